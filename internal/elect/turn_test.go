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

// TestCutOffMajorityDelaysAPromotionByLessThanFourSeconds covers a primary that is lost
// together with most of its voters, as when a data centre is cut off. The database takes no
// writes from the first failed query until the promotion, which itself takes up to a second;
// both together must end within 6 s.
func TestCutOffMajorityDelaysAPromotionByLessThanFourSeconds(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	machine := elect.New(elect.SharedTermRules(time.Second, time.Second), "p1", []string{"p1", "p2", "p3", "p4", "p5", "p6"}, start)
	v := view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	for name, role := range map[string]group.Role{"a": group.Primary, "b": group.Replica, "c": group.Replica} {
		v = v.WithReport(view.Report{Member: name, SentAt: start, ReceivedAt: start, State: group.State{Role: role, Term: 1, EntryTerm: 1, Received: 10}})
	}
	v = v.WithSilence("a")
	for now := start; now.Sub(start) < 6*time.Second; now = now.Add(50 * time.Millisecond) {
		e := elect.Event{}
		var actions []elect.Action
		machine, actions = machine.Step(now, v, e)
		for _, a := range actions {
			switch {
			case a.RequestVotes != nil:
				machine, _ = machine.Step(now, v, elect.Event{Vote: &elect.Vote{From: "p2", Term: 1, Down: true}})
			case a.ClaimTerm != nil:
				var fences []elect.Action
				machine, fences = machine.Step(now, v, elect.Event{Claimed: &elect.ClaimResult{Won: true, Claim: elect.Claim{Term: 2, Promoter: "p1"}}})
				g.Expect(elect.FormatActions(fences)).To(ContainSubstring("fence b 2, fence c 2"))
				machine, _ = answerFences(machine, now, v, fences)
			case a.Fence != nil:
				var promotion []elect.Action
				machine, promotion = answerFences(machine, now, v, []elect.Action{a})
				if elect.FormatActions(promotion) == "promote b 2" {
					g.Expect(now.Sub(start)).To(BeNumerically("<", 4*time.Second))
					return
				}
			}
		}
	}
	t.Fatal("got no promotion, want one")
}

// answerFences lets the replicas promise what they are asked for, and returns the actions
// after the last promise.
func answerFences(machine elect.Machine, now time.Time, v view.View, orders []elect.Action) (elect.Machine, []elect.Action) {
	var actions []elect.Action
	for _, a := range orders {
		if a.Fence != nil && a.Fence.Member != "a" {
			machine, actions = machine.Step(now, v, elect.Event{Answer: &elect.Answer{Member: a.Fence.Member, Term: 2, State: group.State{Term: 1, Fence: 2, EntryTerm: 1, Received: 10}}})
		}
	}
	return machine, actions
}

// TestClaimUnderWayIsComparedWithARival guards against an attempt that nobody continues: two
// voters claim at the same time, and the one whose token outranks the other's gives way to its
// announcement, although the platform now refuses the other's order.
func TestClaimUnderWayIsComparedWithARival(t *testing.T) {
	for name, c := range map[string]struct {
		own  uint64
		want string
	}{
		"own token is higher": {own: 9, want: "won, tell 2, fence a 2, fence b 2, fence c 2"},
		"own token is lower":  {own: 7, want: "lost"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Unix(0, 0)
			machine := elect.New(elect.SharedTermRules(time.Second, time.Second), "p1", []string{"p1"}, start)
			v := view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
			v = v.WithReport(view.Report{Member: "a", SentAt: start, ReceivedAt: start, State: group.State{Role: group.Primary, Term: 1, EntryTerm: 1, Received: 10}}).WithSilence("a")
			now, actions := start.Add(time.Second), []elect.Action(nil)
			machine, _ = machine.Step(now, v, elect.Event{})
			machine, actions = machine.Step(now, v, elect.Event{})
			g.Expect(elect.FormatActions(actions)).To(Equal("claim after 1"))
			machine, actions = machine.Step(now, v, elect.Event{Rival: &elect.Claim{Term: 2, Token: 8, Promoter: "p2"}})
			g.Expect(actions).To(BeEmpty())
			_, actions = machine.Step(now, v, elect.Event{Claimed: &elect.ClaimResult{Won: true, Claim: elect.Claim{Term: 2, Token: c.own, Promoter: "p1"}}})
			g.Expect(elect.FormatActions(actions)).To(Equal(c.want))
		})
	}
}
