package share_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/share"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// newCrowd returns the shares of one of two proxies at members of so many connections,
// each of which runs five statements at a time.
func newCrowd(connections int) *share.Shares {
	shares := share.New(share.Options{
		Host: "a", QueueLimit: 100, Connections: func(string) int { return connections }, Slots: func(string) int { return 5 },
		Hosts: func(string) []string { return []string{"a", "b"} }, Listed: func(view.Member) bool { return true },
	})
	shares.TakeWants("b", map[string]int{near.Name: 0})
	return shares
}

// soon returns a context that ends before a test that waits in vain.
func soon(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestABurstWaitsByRankBeforeTheMember is a burst of the least urgent rank at a member of
// many connections: few statements are under way, so that urgent work is not refused by
// a member that is full of others, nor waits behind them there.
func TestABurstWaitsByRankBeforeTheMember(t *testing.T) {
	g := NewWithT(t)
	shares := newCrowd(150)
	g.Expect(shares.Room("stock", near)).To(Equal(10), "half of four for each slot")
	var release []func()
	for range 10 {
		r := request()
		r.Work.Rank = 3
		slot, err := shares.Acquire(soon(t), "stock", near, r)
		g.Expect(err).NotTo(HaveOccurred())
		release = append(release, slot.Release)
	}
	ctx, order := soon(t), make(chan sheet.Rank, 2)
	for _, rank := range []sheet.Rank{3, 1} {
		r := request()
		r.Work.Rank, r.Work.Deadline, r.Work.Aim = rank, time.Minute, time.Minute
		go func() {
			if _, err := shares.Acquire(ctx, "stock", near, r); err == nil {
				order <- rank
			}
		}()
		g.Eventually(func() int { return shares.Room("stock", near) }).Should(Equal(map[sheet.Rank]int{3: -1, 1: -2}[rank]))
	}
	release[0]()
	g.Expect(<-order).To(Equal(sheet.Rank(1)))
	release[1]()
	g.Expect(<-order).To(Equal(sheet.Rank(3)))
}

// TestATransactionThatRestsGivesItsPlaceAway is a load of transactions whose callers pause
// between statements: they hold connections, and other work still runs.
func TestATransactionThatRestsGivesItsPlaceAway(t *testing.T) {
	g := NewWithT(t)
	shares := newCrowd(34)
	g.Expect(shares.Room("stock", near)).To(Equal(10))
	slot, err := shares.Acquire(soon(t), "stock", near, request())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shares.Room("stock", near)).To(Equal(9))
	slot.Rest(true)
	g.Expect(shares.Room("stock", near)).To(Equal(10))
	slot.Rest(false)
	g.Expect(shares.Room("stock", near)).To(Equal(9))
	slot.Release()
	g.Expect(shares.Room("stock", near)).To(Equal(10))
}

// TestRestingTransactionsKeepToTheConnections opens more of them than there are
// connections for.
func TestRestingTransactionsKeepToTheConnections(t *testing.T) {
	g := NewWithT(t)
	shares := newCrowd(34)
	for range 16 {
		slot, err := shares.Acquire(soon(t), "stock", near, request())
		g.Expect(err).NotTo(HaveOccurred())
		slot.Rest(true)
	}
	g.Expect(shares.Room("stock", near)).To(BeZero(), "half of 34 connections less the reserve")
}

// TestAMemberThatRefusesGetsLess is a member with a shorter queue than others.
func TestAMemberThatRefusesGetsLess(t *testing.T) {
	g := NewWithT(t)
	shares := newCrowd(150)
	slot, err := shares.Acquire(soon(t), "stock", near, request())
	g.Expect(err).NotTo(HaveOccurred())
	for range 20 {
		slot.Crowded()
	}
	g.Expect(shares.Room("stock", near)).To(Equal(2), "half of one for each slot, less the one in use")
	for range 20 {
		shares.Wants()
	}
	slot.Release()
	g.Expect(shares.Room("stock", near)).To(Equal(10))
}

// TestTheShareOfASilentHostServesOthers is the loss of one of two proxies: what it had is
// this one's after three heartbeats.
func TestTheShareOfASilentHostServesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		shares := newCrowd(150)
		shares.TakeWants("b", map[string]int{near.Name: 100})
		shares.Wants()
		g.Expect(shares.Room("stock", near)).To(BeNumerically("<=", 10))
		time.Sleep(4 * time.Second)
		shares.Wants()
		g.Expect(shares.Room("stock", near)).To(BeNumerically(">=", 10))
	})
}
