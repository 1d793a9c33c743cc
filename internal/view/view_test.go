package view_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func members() []view.Member { return []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}} }

func primary(term group.Term, position group.Position) group.State {
	return group.State{Role: group.Primary, Term: term, Received: position, Applied: position, Starts: []group.Start{{Term: 1}, {Term: 2, Position: 10}}[:term]}
}

func replica(term group.Term, received, applied group.Position) group.State {
	s := primary(term, received)
	s.Role, s.Applied = group.Replica, applied
	return s
}

func fenced(s group.State) group.State {
	s.Fence = s.Term + 1
	return s
}

func withReport(v view.View, name string, askedMs int, s group.State) view.View {
	return v.WithReport(view.Report{Member: name, SentAt: at(askedMs), ReceivedAt: at(askedMs + 1), State: s})
}

func TestConfirmationRequiresMajorityInTerm(t *testing.T) {
	g := NewWithT(t)
	write := group.Floor{Term: 1, Position: 5}
	v := withReport(view.New("d", members()), "a", 0, primary(1, 5))
	g.Expect(v.ConfirmationOf("a", write)).To(Equal(view.Pending))
	g.Expect(withReport(v, "b", 1, replica(1, 4, 4)).ConfirmationOf("a", write)).To(Equal(view.Pending))
	g.Expect(withReport(v, "b", 1, replica(1, 5, 0)).ConfirmationOf("a", write)).To(Equal(view.Confirmed))
	g.Expect(withReport(v, "b", 1, fenced(replica(1, 5, 5))).ConfirmationOf("a", write)).To(Equal(view.Pending), "a fenced member confirms nothing")
	replaced := withReport(withReport(v, "b", 1, replica(2, 11, 11)), "c", 1, fenced(replica(1, 5, 5)))
	g.Expect(replaced.ConfirmationOf("a", write)).To(Equal(view.Unconfirmable))
}

func TestReadIndexRequiresQueriesSentAfterTheRead(t *testing.T) {
	g := NewWithT(t)
	v := withReport(withReport(view.New("d", members()), "a", 10, primary(1, 7)), "b", 12, replica(1, 7, 7))
	floor, proven := v.ReadIndex(at(10))
	g.Expect(proven).To(BeTrue())
	g.Expect(floor).To(Equal(group.Floor{Term: 1, Position: 7}))
	_, proven = v.ReadIndex(at(11))
	g.Expect(proven).To(BeFalse(), "the primary was queried before the read")
	// The report of a primary alone proves nothing: it may have been replaced.
	_, proven = withReport(view.New("d", members()), "a", 10, primary(1, 7)).ReadIndex(at(0))
	g.Expect(proven).To(BeFalse())
	v = withReport(withReport(view.New("d", members()), "a", 10, primary(1, 7)), "b", 12, fenced(replica(1, 7, 7)))
	_, proven = v.ReadIndex(at(0))
	g.Expect(proven).To(BeFalse(), "the other member has promised a later term")
}

func TestReadersHaveAppliedTheFloor(t *testing.T) {
	g := NewWithT(t)
	names := func(list []view.Member) []string {
		var out []string
		for _, m := range list {
			out = append(out, m.Name)
		}
		return out
	}
	v := withReport(withReport(withReport(view.New("d", members()), "a", 0, primary(1, 9)), "b", 0, replica(1, 9, 8)), "c", 0, replica(1, 9, 5))
	g.Expect(names(v.Readers(group.Floor{Term: 1, Position: 8}))).To(Equal([]string{"b", "a"}))
	g.Expect(names(v.Readers(group.Floor{Term: 1, Position: 3}))).To(Equal([]string{"b", "c", "a"}))
	g.Expect(names(v.WithSilence("b").Readers(group.Floor{}))).To(Equal([]string{"c", "a"}))
	draining := v.WithMembers([]view.Member{{Name: "a"}, {Name: "b", Draining: true}, {Name: "c"}})
	g.Expect(names(draining.Readers(group.Floor{}))).To(Equal([]string{"c", "a"}))
}

func TestStalenessFloorIsTheOldestPointWithinTheBound(t *testing.T) {
	g := NewWithT(t)
	v := view.New("d", members())
	for i := range 10 {
		position := group.Position(i)
		v = withReport(withReport(v, "a", 200*i, primary(1, position)), "b", 200*i, replica(1, position, position))
	}
	floor, proven := v.StalenessFloor(at(900))
	g.Expect(proven).To(BeTrue())
	g.Expect(floor.Position).To(Equal(group.Position(5)), "proven at 1000 ms")
	_, proven = v.StalenessFloor(at(1801))
	g.Expect(proven).To(BeFalse())
}

func TestTruncatedLogTailIsReportedByTheLatestTerm(t *testing.T) {
	g := NewWithT(t)
	lost := group.Floor{Term: 1, Position: 12}
	v := withReport(view.New("d", members()), "a", 0, primary(1, 12))
	g.Expect(v.Fate(lost)).To(Equal(group.Covered))
	v = withReport(v, "b", 1, primary(2, 11))
	g.Expect(v.Fate(lost)).To(Equal(group.Lost))
	g.Expect(v.Fate(group.Floor{Term: 1, Position: 10})).To(Equal(group.Covered))
	m, writable := v.Writable()
	g.Expect(writable).To(BeTrue())
	g.Expect(m.Name).To(Equal("b"), "the primary of the latest term")
}

func TestOlderAnswerIsIgnored(t *testing.T) {
	g := NewWithT(t)
	v := withReport(withReport(view.New("d", members()), "a", 10, primary(1, 9)), "a", 5, primary(1, 4))
	r, _ := v.Report("a")
	g.Expect(r.State.Received).To(Equal(group.Position(9)))
	g.Expect(withReport(v, "unlisted", 20, primary(2, 99)).Term()).To(Equal(group.Term(1)))
}

// TestAnswerOfAnEarlierTermThatOvertakesIsIgnored guards against a second promotion: a poll that was
// sent while the order to promote was under way, and answered before the order took effect, hides the
// primary that the order's answer has shown.
func TestAnswerOfAnEarlierTermThatOvertakesIsIgnored(t *testing.T) {
	g := NewWithT(t)
	before := replica(1, 10, 10)
	promoted := view.Report{Member: "a", SentAt: at(10), ReceivedAt: at(14), State: primary(2, 11)}
	v := withReport(view.New("d", members()), "a", 0, before).WithReport(promoted)
	v = v.WithReport(view.Report{Member: "a", SentAt: at(12), ReceivedAt: at(15), State: fenced(before)})
	g.Expect(v.Term()).To(Equal(group.Term(2)))
	leader, found := v.Primary()
	g.Expect(found).To(BeTrue())
	g.Expect(leader.SentAt).To(Equal(at(10)))

	restarted := v.WithReport(view.Report{Member: "a", SentAt: at(12), ReceivedAt: at(15), State: before, Interrupted: true})
	g.Expect(restarted.Term()).To(Equal(group.Term(1)), "the member has restarted meanwhile")
	g.Expect(withReport(v, "a", 14, before).Term()).To(Equal(group.Term(1)), "the query was sent after the earlier answer")
}

func TestWithMembersKeepsClosedMembersAndValidReports(t *testing.T) {
	g := NewWithT(t)
	list := []view.Member{{Name: "a", Address: "1", Draining: true}, {Name: "b", Address: "2"}}
	v := withReport(withReport(view.New("d", list), "a", 0, primary(1, 5)), "b", 0, replica(1, 5, 5)).WithClosed("a")
	moved := v.WithMembers([]view.Member{list[0], {Name: "b", Address: "3"}})
	a, _ := moved.Member("a")
	g.Expect(a.Closed).To(BeTrue(), "another list does not reopen a draining member")
	_, known := moved.Report("a")
	g.Expect(known).To(BeTrue())
	_, known = moved.Report("b")
	g.Expect(known).To(BeFalse(), "a report from the old address is dropped")
	reopened, _ := moved.WithMembers([]view.Member{{Name: "a", Address: "1"}}).Member("a")
	g.Expect(reopened.Closed).To(BeFalse(), "a member that no longer drains is reopened")
}

func TestShouldPollThePrimaryAndTheNearestMajority(t *testing.T) {
	g := NewWithT(t)
	v := view.New("d", []view.Member{{Name: "a", Region: "far"}, {Name: "b", Region: "far"}, {Name: "c", Region: "near"}})
	g.Expect(v.ShouldPoll("b", "near")).To(BeTrue(), "no primary is known yet")
	v = withReport(withReport(withReport(v, "a", 0, primary(1, 1)), "b", 0, replica(1, 1, 1)), "c", 0, replica(1, 1, 1))
	polled := func(v view.View, region string) []bool {
		return []bool{v.ShouldPoll("a", region), v.ShouldPoll("b", region), v.ShouldPoll("c", region)}
	}
	g.Expect(polled(v, "near")).To(Equal([]bool{true, false, true}))
	g.Expect(polled(v, "far")).To(Equal([]bool{true, true, false}))
	g.Expect(polled(v.WithSilence("c"), "near")).To(Equal([]bool{true, true, false}))
	g.Expect(polled(v.WithSilence("a"), "near")).To(Equal([]bool{true, true, true}), "the primary may have been replaced")
}
