package relay_test

import (
	"slices"
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

// TestCustomerKeepsItsOwnerAtLightLoad covers a customer with a few requests in flight. It
// guards against requests that are spread over owners, each of which has to open
// connections to the members for the customer.
func TestCustomerKeepsItsOwnerAtLightLoad(t *testing.T) {
	g := NewWithT(t)
	list := candidates()
	for list[0].InFlight = range 3 {
		list[0].OldestSent = noon.Add(-time.Millisecond)
		g.Expect(relay.OrderCandidates(list, "north", 0, noon)[0]).To(Equal("n1"))
	}
}

// TestSmallOwnerGetsLessWorkInABurst covers owners of 0.134 and of 0.8 cores: a burst of one
// customer fills them in proportion to their capacity, whichever is preferred.
func TestSmallOwnerGetsLessWorkInABurst(t *testing.T) {
	for turn := range uint64(2) {
		g := NewWithT(t)
		list := candidates()[:2]
		list[0].Capacity, list[1].Capacity = 0.134, 0.8
		for range 40 {
			first := relay.OrderCandidates(list, "north", turn, noon)[0]
			for i := range list {
				if list[i].Host == first {
					list[i].InFlight++
					list[i].OldestSent = noon
				}
			}
		}
		g.Expect(list[0].InFlight).To(BeNumerically("<=", 13))
	}
}

// TestBackoffMovesOnlyTheCustomersOfItsOwner guards against a backoff of one owner that makes
// all customers change theirs.
func TestBackoffMovesOnlyTheCustomersOfItsOwner(t *testing.T) {
	g := NewWithT(t)
	list := []relay.Candidate{{Host: "a"}, {Host: "b"}, {Host: "c"}, {Host: "d"}}
	moved := map[string]bool{}
	for turn := range uint64(40) {
		before := relay.OrderCandidates(list, "", turn, noon)[0]
		failed := slices.Clone(list)
		failed[1].BackoffUntil = noon.Add(time.Second)
		after := relay.OrderCandidates(failed, "", turn, noon)[0]
		if before != "b" {
			g.Expect(after).To(Equal(before))
			continue
		}
		moved[after] = true
	}
	g.Expect(moved).To(HaveLen(3), "its customers are spread over all others")
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
