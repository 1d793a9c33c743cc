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

func TestLocalRegionFirstInRotation(t *testing.T) {
	g := NewWithT(t)
	g.Expect(relay.OrderCandidates(candidates(), "north", 0, noon)).To(Equal([]string{"n1", "n2", "s1", "s2"}))
	g.Expect(relay.OrderCandidates(candidates(), "north", 1, noon)).To(Equal([]string{"n2", "n1", "s1", "s2"}))
	g.Expect(relay.OrderCandidates(candidates(), "south", 0, noon)).To(Equal([]string{"s1", "s2", "n1", "n2"}))
	g.Expect(relay.OrderCandidates(nil, "south", 3, noon)).To(BeEmpty())
}

// TestFewestJobsInFlightFirst guards against sending a burst of requests that arrives at one
// proxy to a single owner.
func TestFewestJobsInFlightFirst(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].InFlight, list[0].OldestSent = 7, noon.Add(-time.Millisecond)
	list[1].InFlight, list[1].OldestSent = 3, noon.Add(-time.Millisecond)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "n1", "s1", "s2"}))
}

// TestUnresponsiveHostIsTriedLast has an owner whose process is suspended: its connections
// stay open, but no job is answered on them.
func TestUnresponsiveHostIsTriedLast(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].InFlight, list[0].OldestSent = 1, noon.Add(-time.Second)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
}

// TestSubstituteServesWhileNoOwnerIsReachable covers the failure of all owners of a database.
func TestSubstituteServesWhileNoOwnerIsReachable(t *testing.T) {
	g := NewWithT(t)
	list := []relay.Candidate{candidates()[1], candidates()[2], {Host: "d", Region: "north", Substitute: true}}
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "d"}))
	list[0].BackoffUntil, list[1].BackoffUntil = noon.Add(time.Second), noon.Add(time.Second)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"d", "n2", "s1"}))
}

// TestHostInBackoffIsTriedLast has an owner that was killed. It is tried first again once its
// backoff has ended.
func TestHostInBackoffIsTriedLast(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].BackoffUntil = noon.Add(time.Second)
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
	g.Expect(relay.OrderCandidates(list, "north", 0, noon.Add(time.Second))[0]).To(Equal("n1"))
}

// TestDrainingHostIsTriedAfterUnreachableOnes covers a rolling restart: a host that was
// unreachable a moment ago may be back, while a draining host runs no request.
func TestDrainingHostIsTriedAfterUnreachableOnes(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].DrainingUntil = noon.Add(time.Second)
	for i := range list[1:] {
		list[i+1].BackoffUntil = noon.Add(time.Second)
	}
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
}

// TestFailingHostGetsOneRequest has a partitioned owner whose backoff has ended: a single
// request probes whether it answers again.
func TestFailingHostGetsOneRequest(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	list[0].Failing = true
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)[0]).To(Equal("n1"))
	list[0].InFlight, list[0].OldestSent = 1, noon
	g.Expect(relay.OrderCandidates(list, "north", 0, noon)).To(Equal([]string{"n2", "s1", "s2", "n1"}))
}
