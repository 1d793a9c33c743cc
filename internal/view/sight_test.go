package view_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// seen returns a report that tells nothing of promises.
func seen(member string, role group.Role, at time.Time, term group.Term, position group.Position) view.Report {
	return view.Report{Member: member, Asked: at, Heard: at, State: group.State{
		Role: role, Term: term, EntryTerm: term, Received: position, Applied: position,
		Leading: role == group.Primary, Partial: true,
	}}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func trio() view.View {
	return view.New("stock", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
}

// TestAReplicaProvesThePrimaryByWhatItReceived has a replica hold an entry that the
// primary did not have yet when it was seen before.
func TestAReplicaProvesThePrimaryByWhatItReceived(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := trio().
		WithReport(seen("a", group.Primary, t0, 1, 10)).
		WithReport(seen("b", group.Replica, t0.Add(ms(10)), 1, 10))
	g.Expect(v.Proven()).To(BeZero(), "the entry may have been received long before")
	v = v.WithReport(seen("a", group.Primary, t0.Add(ms(100)), 1, 12)).
		WithReport(seen("b", group.Replica, t0.Add(ms(150)), 1, 11))
	g.Expect(v.Proven()).To(Equal(t0))
	floor, found := v.Aged(t0)
	g.Expect(found).To(BeTrue())
	g.Expect(floor).To(Equal(group.Floor{Term: 1, Position: 10}))
	v = v.WithReport(seen("c", group.Replica, t0.Add(ms(200)), 1, 13))
	g.Expect(v.Proven()).To(Equal(t0.Add(ms(100))))
}

// TestAPrimaryThatIsCutOffProvesNothing has a primary go on in its own eyes, with
// entries that no replica receives.
func TestAPrimaryThatIsCutOffProvesNothing(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := trio().WithReport(seen("b", group.Replica, t0, 1, 10))
	for i := range 20 {
		v = v.WithReport(seen("a", group.Primary, t0.Add(ms(10*i)), 1, group.Position(10+i)))
	}
	g.Expect(v.Proven()).To(BeZero())
}

func TestAnAcknowledgedCommitProvesThePrimary(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	acknowledged := seen("a", group.Primary, t0, 1, 11)
	acknowledged.State.Confirmed = true
	g.Expect(trio().WithReport(acknowledged).Proven()).To(Equal(t0))
	// Others have written meanwhile: the answer tells a position beyond the entry that a
	// replica has.
	acknowledged.State.Received, acknowledged.State.Applied = 13, 13
	acknowledged.Heard = t0.Add(ms(900))
	v := trio().WithReport(seen("a", group.Primary, t0.Add(ms(-1)), 1, 10))
	later := v.WithReport(seen("a", group.Primary, t0.Add(ms(800)), 1, 12))
	g.Expect(later.WithReport(acknowledged).Proven()).To(BeZero(), "an answer to an older question changes nothing")
	acknowledged.Asked = t0.Add(ms(810))
	g.Expect(later.WithReport(acknowledged).Proven()).To(Equal(acknowledged.Asked))
}

// TestAnEntryOfAnotherTermProvesNothing has a replica follow another primary.
func TestAnEntryOfAnotherTermProvesNothing(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := trio().WithReport(seen("a", group.Primary, t0, 1, 10)).
		WithReport(seen("b", group.Replica, t0.Add(ms(50)), 2, 12))
	g.Expect(v.Proven()).To(BeZero())
}

// TestAReportWithoutPromisesIsNoVote has a majority answer, of which one leaves out
// what it has promised.
func TestAReportWithoutPromisesIsNoVote(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := trio().WithReport(seen("a", group.Primary, t0, 1, 10)).
		WithReport(seen("b", group.Replica, t0, 1, 10))
	g.Expect(v.Proven()).To(BeZero())
	full := seen("c", group.Replica, t0.Add(ms(1)), 1, 10)
	full.State.Partial = false
	g.Expect(v.WithReport(full).Proven()).To(Equal(t0))
	full.State.Fence = 2
	g.Expect(v.WithReport(full).Proven()).To(BeZero())
}

// TestOfTwoPrimariesOfATermTheOneAskedLastCounts is a new primary that has not written
// yet: its log shows the former term.
func TestOfTwoPrimariesOfATermTheOneAskedLastCounts(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := trio().WithReport(seen("a", group.Primary, t0, 1, 10)).
		WithReport(seen("b", group.Primary, t0.Add(ms(1)), 1, 10))
	primary, _ := v.Primary()
	g.Expect(primary.Member).To(Equal("b"))
	g.Expect(v.Contested("a")).To(BeTrue())
	g.Expect(v.Contested("b")).To(BeTrue())
	g.Expect(v.Contested("c")).To(BeFalse())
	full := seen("b", group.Primary, t0.Add(ms(2)), 1, 10)
	full.State.Term, full.State.Partial = 2, false
	g.Expect(v.WithReport(full).Contested("b")).To(BeFalse(), "its term is known")
	g.Expect(v.WithSilence("a").Contested("b")).To(BeFalse())
}
