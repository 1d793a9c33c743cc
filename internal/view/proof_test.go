package view_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// partialReport returns a report that contains no promises.
func partialReport(member string, role group.Role, at time.Time, term group.Term, position group.Position) view.Report {
	return view.Report{Member: member, SentAt: at, ReceivedAt: at, State: group.State{
		Role: role, Term: term, EntryTerm: term, Received: position, Applied: position,
		Leading: role == group.Primary, Partial: true,
	}}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func threeMembers() view.View {
	return view.New("stock", []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
}

// TestEntryThatAwaitsItsAcknowledgementProvesNothing guards against a stale read. An entry is
// sent to a replica just before the primary is cut off, and the primary does not count it,
// since it was never acknowledged. Another member is promoted. When the partition ends, the
// former primary, which still leads, is asked again, and the replica reports the entry: it did
// not receive it after that question.
func TestEntryThatAwaitsItsAcknowledgementProvesNothing(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := threeMembers().
		WithReport(partialReport("a", group.Primary, t0, 1, 10)).
		WithReport(partialReport("b", group.Replica, t0.Add(ms(10)), 1, 10)).
		WithReport(partialReport("a", group.Primary, t0.Add(8*time.Second), 1, 10)).
		WithReport(partialReport("b", group.Replica, t0.Add(8*time.Second+ms(10)), 1, 11)).
		WithReport(partialReport("c", group.Replica, t0.Add(8*time.Second+ms(20)), 1, 12))
	g.Expect(v.ProvenUntil()).To(BeZero())
	_, found := v.StalenessFloor(t0)
	g.Expect(found).To(BeFalse())
}

// TestIsolatedPrimaryProvesNothing guards against proofs by a partitioned primary, which
// continues to write entries that no replica receives.
func TestIsolatedPrimaryProvesNothing(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := threeMembers().WithReport(partialReport("b", group.Replica, t0, 1, 10))
	for i := range 20 {
		v = v.WithReport(partialReport("a", group.Primary, t0.Add(ms(10*i)), 1, group.Position(10+i)))
	}
	g.Expect(v.ProvenUntil()).To(BeZero())
}

func TestConfirmedReportProvesThePrimary(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	acknowledged := partialReport("a", group.Primary, t0, 1, 11)
	acknowledged.State.Confirmed = true
	g.Expect(threeMembers().WithReport(acknowledged).ProvenUntil()).To(Equal(t0))
	// Other writes were made in the meantime: the answer reports a position beyond the entry
	// that a replica has.
	acknowledged.State.Received, acknowledged.State.Applied = 13, 13
	acknowledged.ReceivedAt = t0.Add(ms(900))
	v := threeMembers().WithReport(partialReport("a", group.Primary, t0.Add(ms(-1)), 1, 10))
	later := v.WithReport(partialReport("a", group.Primary, t0.Add(ms(800)), 1, 12))
	g.Expect(later.WithReport(acknowledged).ProvenUntil()).To(BeZero(), "an answer to an older query changes nothing")
	acknowledged.SentAt = t0.Add(ms(810))
	g.Expect(later.WithReport(acknowledged).ProvenUntil()).To(Equal(acknowledged.SentAt))
}

// TestEntryOfAnotherTermProvesNothing guards against proofs by a replica that follows
// another primary.
func TestEntryOfAnotherTermProvesNothing(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := threeMembers().WithReport(partialReport("a", group.Primary, t0, 1, 10)).
		WithReport(partialReport("b", group.Replica, t0.Add(ms(50)), 2, 12))
	g.Expect(v.ProvenUntil()).To(BeZero())
}

// TestPartialReportDoesNotCountTowardsMajority guards against proofs by a majority in
// which one member did not report its promises.
func TestPartialReportDoesNotCountTowardsMajority(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := threeMembers().WithReport(partialReport("a", group.Primary, t0, 1, 10)).
		WithReport(partialReport("b", group.Replica, t0, 1, 10))
	g.Expect(v.ProvenUntil()).To(BeZero())
	full := partialReport("c", group.Replica, t0.Add(ms(1)), 1, 10)
	full.State.Partial = false
	g.Expect(v.WithReport(full).ProvenUntil()).To(Equal(t0))
	full.State.Fence = 2
	g.Expect(v.WithReport(full).ProvenUntil()).To(BeZero())
}

// TestLastQueriedOfTwoPrimariesIsUsed guards against choosing a replaced primary. A new
// primary that has not written yet reports the log of the former term, so that two
// members claim this term.
func TestLastQueriedOfTwoPrimariesIsUsed(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Now()
	v := threeMembers().WithReport(partialReport("a", group.Primary, t0, 1, 10)).
		WithReport(partialReport("b", group.Primary, t0.Add(ms(1)), 1, 10))
	primary, _ := v.Primary()
	g.Expect(primary.Member).To(Equal("b"))
	g.Expect(v.Contested("a")).To(BeTrue())
	g.Expect(v.Contested("b")).To(BeTrue())
	g.Expect(v.Contested("c")).To(BeFalse())
	full := partialReport("b", group.Primary, t0.Add(ms(2)), 1, 10)
	full.State.Term, full.State.Partial = 2, false
	g.Expect(v.WithReport(full).Contested("b")).To(BeFalse(), "its term is known")
	g.Expect(v.WithSilence("a").Contested("b")).To(BeFalse())
}
