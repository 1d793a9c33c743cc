package elect_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// TestPrimaryOfATermThatAReplicaReportsFirstHasTimeToAnswer guards against the replacement of a
// primary in service: a replica's answer reports a term, its own or a later one, before the primary's
// answer arrives, and the machine has run for longer than SuspectAfter.
func TestPrimaryOfATermThatAReplicaReportsFirstHasTimeToAnswer(t *testing.T) {
	const suspect = time.Second
	start := time.Unix(0, 0)
	a := &attempt{WithT: NewWithT(t), machine: elect.New(elect.RulesFor(suspect), "p1", []string{"p1", "p2", "p3"}, start), now: start}
	a.view = view.New("d", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	a.Expect(a.step(2*suspect, elect.Event{})).To(BeEmpty(), "no member has answered yet")
	a.report("b", replicaState)
	a.Expect(a.step(0, elect.Event{})).To(BeEmpty(), "the first answer is a replica's")
	a.now = a.now.Add(5 * time.Millisecond)
	a.report("a", group.State{Role: group.Primary, Term: 1, EntryTerm: 1, Received: 10})
	a.Expect(a.step(0, elect.Event{})).To(BeEmpty())

	a.now = a.now.Add(suspect)
	a.report("a", group.State{Role: group.Primary, Term: 1, EntryTerm: 1, Received: 10})
	a.report("c", group.State{Term: 2, Fence: 2, EntryTerm: 2, Received: 11})
	a.Expect(a.step(0, elect.Event{})).To(BeEmpty(), "a replica follows the primary of a later term")
	a.Expect(a.step(suspect-time.Millisecond, elect.Event{})).To(BeEmpty())
	a.Expect(a.step(time.Millisecond, elect.Event{})).To(Equal("suspected, ask 2"), "the primary of the later term is never reported")
}
