package elect_test

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// replay drives a machine by the events of a trace. The machine is that of voter p1; the
// voters are p1, p2 and p3, the members a, b and c.
type replay struct {
	t       *testing.T
	start   time.Time
	machine elect.Machine
	view    view.View
}

// TestTraces replays the traces in testdata. Each line holds a time in milliseconds, an
// event, and after an arrow the expected actions.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("no traces in testdata:", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replayFile(t, file) })
	}
}

func replayFile(t *testing.T, name string) {
	file, err := os.Open(name) //nolint:gosec // a file of testdata
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	start := time.Unix(0, 0)
	r := &replay{t: t, start: start}
	r.machine = elect.New(elect.RulesFor(time.Second), "p1", []string{"p1", "p2", "p3"}, start)
	r.view = view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		event, want, _ := strings.Cut(line, "->")
		if got := r.step(strings.Fields(event)); got != strings.TrimSpace(want) {
			t.Errorf("line %d: %s: got %q, want %q", n, strings.TrimSpace(event), got, strings.TrimSpace(want))
		}
	}
}

func (r *replay) number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		r.t.Fatal(err)
	}
	return n
}

func (r *replay) term(word string) group.Term { return group.Term(r.number(word)) } //nolint:gosec // small numbers of a trace

// step applies one event and returns the actions in short form.
func (r *replay) step(words []string) string {
	now := r.start.Add(time.Duration(r.number(words[0])) * time.Millisecond)
	event := r.event(now, words[1], words[2:])
	var actions []elect.Action
	r.machine, actions = r.machine.Step(now, r.view, event)
	return elect.FormatActions(actions)
}

func (r *replay) event(now time.Time, verb string, args []string) elect.Event {
	switch verb {
	case "report":
		// report MEMBER ROLE TERM FENCE RECEIVED
		s := group.State{Term: r.term(args[2]), Fence: r.term(args[3]), EntryTerm: r.term(args[2])}
		s.Received = group.Position(r.term(args[4]))
		if args[1] == "primary" {
			s.Role = group.Primary
		}
		r.view = r.view.WithReport(view.Report{Member: args[0], SentAt: now, ReceivedAt: now, State: s})
	case "silent", "refuses", "busy":
		r.observe(now, verb, args[0])
	case "vote":
		return elect.Event{Vote: &elect.Vote{From: args[0], Term: r.term(args[1]), Down: args[2] == "down"}}
	case "won":
		return elect.Event{Claimed: &elect.ClaimResult{Won: true, Claim: elect.Claim{Term: r.term(args[0]), Promoter: "p1", Attempt: "x"}}}
	case "conflict":
		return elect.Event{Claimed: &elect.ClaimResult{Conflict: true}}
	case "unreachable":
		return elect.Event{Claimed: &elect.ClaimResult{}}
	case "answer":
		// answer MEMBER TERM promised|refused|failed|promoted|follows ENTRYTERM RECEIVED
		a := &elect.Answer{Member: args[0], Term: r.term(args[1]), Refused: args[2] == "refused", Failed: args[2] == "failed" || args[2] == "refused"}
		a.State = group.State{EntryTerm: r.term(args[3]), Received: group.Position(r.term(args[4])), Term: r.term(args[3])}
		switch args[2] {
		case "promoted":
			a.State.Role, a.State.Term = group.Primary, a.Term
		case "follows":
			a.State.Term = a.Term
		}
		return elect.Event{Answer: a}
	case "rival":
		// rival TERM TOKEN
		return elect.Event{Rival: &elect.Claim{Term: r.term(args[0]), Token: uint64(r.term(args[1]))}}
	case "handover":
		return elect.Event{Handover: &elect.Handover{Target: args[0]}}
	case "shared", "deposes":
		r.useSharedTerms(verb == "deposes")
	case "tick":
	default:
		r.t.Fatalf("unknown event %q", verb)
	}
	return elect.Event{}
}

// useSharedTerms makes the members promise a term to every promoter, and reads rely on a
// lease. If deposes is set, a promotion also deposes the former primary.
func (r *replay) useSharedTerms(deposes bool) {
	rules := elect.RulesFor(time.Second)
	rules.SharedTerms, rules.Lease, rules.PromotionDeposes = true, time.Second, deposes
	r.machine = elect.New(rules, "p1", []string{"p1", "p2", "p3"}, r.start)
}

// observe applies what a query to a member showed other than its state.
func (r *replay) observe(now time.Time, verb, member string) {
	switch verb {
	case "silent":
		r.view = r.view.WithSilence(member)
	case "refuses":
		r.view = r.view.WithRefusal(member)
	case "busy":
		r.view = r.view.WithBusy(view.Busy{Member: member, At: now})
	}
}
