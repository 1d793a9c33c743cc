package share_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/share"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

var near = view.Member{Name: "near", Database: "stock"}

// newShares returns the shares of one of two proxies at members that accept 12
// connections, and a variable that determines whether members are listed.
func newShares() (*share.Shares, *bool) {
	listed := true
	return share.New(share.Options{
		Host: "a", QueueLimit: 10, Connections: func(string) int { return 12 }, Slots: func(string) int { return 0 }, Hosts: func(string) []string { return []string{"a", "b"} },
		Listed: func(view.Member) bool { return listed },
	}), &listed
}

func request() *chain.Request {
	return &chain.Request{Arrived: time.Now(), Work: sheet.Row{Rank: 1, Deadline: 100 * time.Millisecond, LatencyObjective: 80 * time.Millisecond}}
}

// TestWorkBeyondShareIsRefusedInTimeForRetry puts a burst of writes on one proxy. Work that
// finds no capacity must be refused after a quarter of its latency objective rather than at
// its deadline, so that the caller can still try another proxy.
func TestWorkBeyondShareIsRefusedInTimeForRetry(t *testing.T) {
	g := NewWithT(t)
	shares, _ := newShares()
	capacity := shares.SpareCapacity("stock", near)
	g.Expect(capacity).To(BeNumerically(">", 0))
	for range capacity {
		_, err := shares.Acquire(t.Context(), "stock", near, request())
		g.Expect(err).NotTo(HaveOccurred())
	}
	r := request()
	ctx, cancel := context.WithDeadline(t.Context(), r.Arrived.Add(r.Work.MaxQueueWait()))
	defer cancel()
	_, err := shares.Acquire(ctx, "stock", near, r)
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Late))
	g.Expect(fault.FromError(err).Kind.Outcome()).To(Equal(fault.NotRun))
	g.Expect(r.Work.MaxQueueWait()).To(Equal(20 * time.Millisecond))
}

// TestShareFollowsDemandOfOthers covers a burst that ends at this proxy and begins at
// another.
func TestShareFollowsDemandOfOthers(t *testing.T) {
	g := NewWithT(t)
	shares, _ := newShares()
	shares.TakeWants("b", map[string]int{"near": 0})
	for range 3 {
		_, err := shares.Acquire(t.Context(), "stock", near, request())
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(shares.Wants()).To(HaveKeyWithValue("near", 3))
	withoutOthers := shares.SpareCapacity("stock", near)
	shares.TakeWants("b", map[string]int{"near": 40})
	shares.Wants()
	g.Expect(shares.SpareCapacity("stock", near)).To(BeNumerically("<", withoutOthers))
	g.Expect(shares.Wants()).To(HaveKeyWithValue("near", 1), "demand decays over several heartbeats")
}

func TestGateOfRemovedMemberIsClosed(t *testing.T) {
	g := NewWithT(t)
	shares, listed := newShares()
	shares.SpareCapacity("stock", near)
	g.Expect(shares.Queues()).To(HaveLen(1))
	*listed = false
	shares.Wants()
	g.Expect(shares.Queues()).To(BeEmpty())
}
