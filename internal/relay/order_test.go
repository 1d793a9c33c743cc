package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/relay"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func candidates() []relay.Candidate {
	return []relay.Candidate{
		{Host: "n1", Region: "north"}, {Host: "n2", Region: "north"}, {Host: "s1", Region: "south"}, {Host: "s2", Region: "south"},
	}
}

func TestRequestsStayInTheRegionAndTakeTurns(t *testing.T) {
	g := NewWithT(t)
	g.Expect(relay.OrderCandidates(candidates(), "north", 0, noon)).To(Equal([]string{"n1", "n2", "s1", "s2"}))
	g.Expect(relay.OrderCandidates(candidates(), "north", 1, noon)).To(Equal([]string{"n2", "n1", "s1", "s2"}))
	g.Expect(relay.OrderCandidates(candidates(), "south", 0, noon)).To(Equal([]string{"s1", "s2", "n1", "n2"}))
	g.Expect(relay.OrderCandidates(nil, "south", 3, noon)).To(BeEmpty())
}

// TestABurstGoesToTheHostWithTheFewestOpenJobs is a burst at one entry host.
func TestABurstGoesToTheHostWithTheFewestOpenJobs(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].InFlight, list[0].OldestSent = 7, noon.Add(-time.Millisecond)
	list[1].InFlight, list[1].OldestSent = 3, noon.Add(-time.Millisecond)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "n1", "s1", "s2"}))
}

// TestAFrozenHostGetsNoMoreRequests is a home that is suspended: its connections stay
// open, and nothing is answered on them.
func TestAFrozenHostGetsNoMoreRequests(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].InFlight, list[0].OldestSent = 1, noon.Add(-time.Second)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
}

// TestDeputiesServeWhileNoHomeCanBeReached is the loss of all homes of a database.
func TestDeputiesServeWhileNoHomeCanBeReached(t *testing.T) {
	g := NewWithT(t)
	list := []relay.Candidate{candidates()[1], candidates()[2], {Host: "d", Region: "north", Substitute: true}}
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "d"}))
	list[0].BackoffUntil, list[1].BackoffUntil = noon.Add(time.Second), noon.Add(time.Second)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"d", "n2", "s1"}))
}

// TestAHostThatCannotBeReachedIsTriedLast is a home that was killed.
func TestAHostThatCannotBeReachedIsTriedLast(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].BackoffUntil = noon.Add(time.Second)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
	g.Expect(relay.OrderCandidates(list, "north", 0, noon.Add(time.Second))[0]).To(Equal("n1"))
}

// TestALeavingHostIsTriedAfterThoseOutOfReach is a restart of hosts in turn: one that could
// not be reached a moment ago may be back, and one that is leaving runs nothing.
func TestALeavingHostIsTriedAfterThoseOutOfReach(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].DrainingUntil = noon.Add(time.Second)
	for i := range list[1:] {
		list[i+1].BackoffUntil = noon.Add(time.Second)
	}
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
}

// TestAFailingHostIsTriedWithOneRequest is a home that is cut off: its shun time has
// passed, and the next request finds out whether it answers again.
func TestAFailingHostIsTriedWithOneRequest(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].Failing = true
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)[0]).To(Equal("n1"))
	list[0].InFlight, list[0].OldestSent = 1, noon
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
}
