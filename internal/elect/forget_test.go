package elect_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// attempt is an attempt to replace the primary a, which does not answer, while the members
// change.
type attempt struct {
	*WithT
	machine elect.Machine
	view    view.View
	now     time.Time
}

var replicaState = group.State{Term: 1, EntryTerm: 1, Received: 10}

// newAttempt returns an attempt whose term is claimed, and which has asked the replicas b
// and c for their promises.
func newAttempt(t *testing.T) *attempt {
	start := time.Unix(0, 0)
	rules := elect.SharedTermRules(time.Second, time.Second)
	rules.PromotionDeposes = true
	a := &attempt{WithT: NewWithT(t), machine: elect.New(rules, "p1", []string{"p1"}, start), now: start}
	a.view = view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	a.report("a", group.State{Role: group.Primary, Term: 1, EntryTerm: 1, Received: 10})
	a.report("b", replicaState)
	a.report("c", replicaState)
	a.view = a.view.WithSilence("a")
	a.Expect(a.step(time.Second, elect.Event{})).To(Equal("suspected, ask 1"))
	a.Expect(a.step(time.Millisecond, elect.Event{})).To(Equal("claim after 1"))
	won := elect.ClaimResult{Won: true, Claim: elect.Claim{Term: 2, Promoter: "p1"}}
	a.Expect(a.step(time.Millisecond, elect.Event{Claimed: &won})).To(HaveSuffix("fence a 2, fence b 2, fence c 2"))
	return a
}

func (a *attempt) report(member string, s group.State) {
	a.view = a.view.WithReport(view.Report{Member: member, SentAt: a.now, ReceivedAt: a.now, State: s})
}

// step lets time pass and applies an event, and returns the actions.
func (a *attempt) step(passed time.Duration, e elect.Event) string {
	var actions []elect.Action
	a.now = a.now.Add(passed)
	a.machine, actions = a.machine.Step(a.now, a.view, e)
	return elect.FormatActions(actions)
}

// promise lets a member promise the term with a log of the given length.
func (a *attempt) promise(member string, received group.Position) string {
	s := group.State{Term: 1, EntryTerm: 1, Fence: 2, Received: received}
	a.report(member, s)
	return a.step(time.Millisecond, elect.Event{Answer: &elect.Answer{Member: member, Term: 2, State: s}})
}

// TestPromisesAreAskedForAgainAfterTheLease guards against a lost commit: a replica restarts
// after its promise, which it forgets, receives an entry that the unreachable primary then
// acknowledges, and the other replica is promoted.
func TestPromisesAreAskedForAgainAfterTheLease(t *testing.T) {
	a := newAttempt(t)
	a.promise("b", 10)
	a.promise("c", 10)
	a.Expect(a.step(1100*time.Millisecond, elect.Event{})).To(Equal("fence b 2, fence c 2"))
	a.Expect(a.promise("b", 10)).To(BeEmpty())
	a.Expect(a.promise("c", 11)).To(BeEmpty(), "c had forgotten its promise, so that the lease begins again")
	a.Expect(a.step(1100*time.Millisecond, elect.Event{})).To(Equal("fence b 2, fence c 2"))
	a.Expect(a.promise("b", 10)).To(BeEmpty())
	a.Expect(a.promise("c", 11)).To(Equal("promote c 2"))
}

// TestForgottenPromiseIsAskedForAtOnce covers a replica whose state shows, before or after
// the order to promote, that it has forgotten its promise.
func TestForgottenPromiseIsAskedForAtOnce(t *testing.T) {
	a := newAttempt(t)
	a.promise("b", 10)
	a.promise("c", 10)
	a.now = a.now.Add(100 * time.Millisecond)
	a.report("c", replicaState)
	a.Expect(a.step(0, elect.Event{})).To(Equal("fence c 2"))
	a.promise("c", 10)
	a.Expect(a.step(1100*time.Millisecond, elect.Event{})).To(Equal("fence b 2, fence c 2"))
	a.promise("b", 10)
	a.Expect(a.promise("c", 10)).To(Equal("promote b 2"))
	a.now = a.now.Add(100 * time.Millisecond)
	a.report("c", replicaState)
	a.Expect(a.step(0, elect.Event{})).To(Equal("fence c 2"))
}

// TestReplicaListedDuringAnAttemptPromises guards against a lost commit: a replica joins
// after the attempt began and receives entries of the unreachable primary. It has to
// promise too, and its log counts.
func TestReplicaListedDuringAnAttemptPromises(t *testing.T) {
	a := newAttempt(t)
	a.promise("b", 10)
	a.promise("c", 10)
	a.view = a.view.WithMembers([]view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	a.Expect(a.step(time.Millisecond, elect.Event{})).To(Equal("fence d 2"))
	a.promise("d", 12)
	a.Expect(a.step(1100*time.Millisecond, elect.Event{})).To(Equal("fence b 2, fence c 2, fence d 2"))
	a.promise("b", 10)
	a.promise("c", 10)
	a.Expect(a.promise("d", 12)).To(Equal("promote d 2"))
}

// TestAllReplicasPromiseAfterTheFormerPrimaryHasLeft guards against a lost commit: the
// primary is gone from the list, and the replica that does not answer may be the only one
// that holds an acknowledged entry.
func TestAllReplicasPromiseAfterTheFormerPrimaryHasLeft(t *testing.T) {
	a := newAttempt(t)
	a.view = a.view.WithMembers([]view.Member{{Name: "b"}, {Name: "c"}, {Name: "d"}})
	a.Expect(a.step(time.Millisecond, elect.Event{})).To(Equal("fence d 2"))
	a.promise("b", 10)
	a.promise("c", 10)
	a.Expect(a.step(1100*time.Millisecond, elect.Event{})).To(BeEmpty(), "d has not promised")
	a.promise("d", 11)
	a.step(1100*time.Millisecond, elect.Event{})
	a.promise("b", 10)
	a.promise("c", 10)
	a.Expect(a.promise("d", 11)).To(Equal("promote d 2"))
}

// TestHandoverTargetHoldsWhatALeavingReplicaHad guards against a lost commit: during a
// planned handover the replica that alone received the last entries leaves the list.
func TestHandoverTargetHoldsWhatALeavingReplicaHad(t *testing.T) {
	a := &attempt{WithT: NewWithT(t), now: time.Unix(0, 0)}
	rules := elect.SharedTermRules(time.Second, time.Second)
	rules.PromotionDeposes = true
	a.machine = elect.New(rules, "p1", []string{"p1"}, a.now)
	a.view = view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	a.report("a", group.State{Role: group.Primary, Term: 1, EntryTerm: 1, Received: 10})
	a.report("b", replicaState)
	a.report("c", group.State{Term: 1, EntryTerm: 1, Received: 4})
	a.Expect(a.step(0, elect.Event{Handover: &elect.Handover{Target: "c"}})).To(Equal("claim after 1"))
	won := elect.ClaimResult{Won: true, Claim: elect.Claim{Term: 2, Promoter: "p1"}}
	a.Expect(a.step(time.Millisecond, elect.Event{Claimed: &won})).To(HaveSuffix("fence b 2"))
	a.promise("b", 10)
	a.view = a.view.WithMembers([]view.Member{{Name: "a"}, {Name: "c"}})
	a.Expect(a.step(time.Millisecond, elect.Event{})).To(BeEmpty(), "c lacks the entries that only b had")
	a.report("c", replicaState)
	a.Expect(a.step(time.Millisecond, elect.Event{})).To(Equal("tell 2, promote c 2"))
}
