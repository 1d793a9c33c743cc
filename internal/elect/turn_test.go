package elect_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// TestLastRespondingVoterSkipsUnresponsiveOnes guards against a claim that is delayed by
// the stagger of nine unresponsive voters listed before this one. The voter must claim
// as soon as the reduced quorum applies.
func TestLastRespondingVoterSkipsUnresponsiveOnes(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	rules := elect.RulesFor(time.Second)
	rules.Stagger = time.Second / 2
	machine := elect.New(rules, "last", []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "last"}, start)
	v := view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	for name, role := range map[string]group.Role{"a": group.Primary, "b": group.Replica, "c": group.Replica} {
		v = v.WithReport(view.Report{Member: name, SentAt: start, ReceivedAt: start, State: group.State{Role: role, Term: 1, EntryTerm: 1, Received: 10}})
	}
	v = v.WithRefusal("a")
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(50 * time.Millisecond) {
		var actions []elect.Action
		machine, actions = machine.Step(now, v, elect.Event{})
		if machine.Stage() == elect.Claiming {
			g.Expect(elect.FormatActions(actions)).To(Equal("claim after 1"))
			g.Expect(now.Sub(start)).To(BeNumerically("<=", rules.SuspectAfter+rules.ReducedQuorumAfter))
			return
		}
	}
	t.Fatal("got no claim, want one")
}
