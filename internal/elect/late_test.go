package elect_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// TestAnswerFromBeforeThePromotionStartsNoOther guards against a second promotion: a query that was
// sent while the order to promote was under way, and answered before the order took effect, arrives
// after the order's answer.
func TestAnswerFromBeforeThePromotionStartsNoOther(t *testing.T) {
	start := time.Unix(0, 0)
	a := &attempt{WithT: NewWithT(t), machine: elect.New(elect.RulesFor(time.Second), "p1", []string{"p1", "p2", "p3"}, start), now: start}
	a.view = view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	a.report("a", group.State{Role: group.Primary, Term: 1, EntryTerm: 1, Received: 10})
	a.report("b", replicaState)
	a.report("c", replicaState)
	a.view = a.view.WithSilence("a")
	a.Expect(a.step(time.Second, elect.Event{})).To(Equal("suspected, ask 1"))
	a.Expect(a.step(0, elect.Event{Vote: &elect.Vote{From: "p2", Term: 1, Down: true}})).To(Equal("claim after 1"))
	won := elect.ClaimResult{Won: true, Claim: elect.Claim{Term: 2, Promoter: "p1"}}
	a.Expect(a.step(0, elect.Event{Claimed: &won})).To(HaveSuffix("fence a 2, fence b 2, fence c 2"))
	a.promise("b", 10)
	a.promise("c", 10)
	a.Expect(a.step(100*time.Millisecond, elect.Event{})).To(Equal("promote b 2"))

	ordered := a.now
	received := ordered.Add(2 * time.Millisecond)
	promoted := group.State{Role: group.Primary, Term: 2, Fence: 2, EntryTerm: 2, Received: 11}
	a.view = a.view.WithReport(view.Report{Member: "b", SentAt: ordered, ReceivedAt: received, State: promoted})
	a.step(2*time.Millisecond, elect.Event{})
	a.Expect(a.machine.Stage()).To(Equal(elect.Watching))

	before := group.State{Term: 1, Fence: 2, EntryTerm: 1, Received: 10}
	a.view = a.view.WithReport(view.Report{Member: "b", SentAt: ordered.Add(time.Millisecond), ReceivedAt: received.Add(time.Millisecond), State: before})
	a.Expect(a.step(time.Millisecond, elect.Event{})).To(Equal("follow c b 2"))
	a.Expect(a.step(0, elect.Event{Vote: &elect.Vote{From: "p2", Term: 1, Down: true}})).To(BeEmpty())
	a.Expect(a.machine.Stage()).To(Equal(elect.Watching))
}
