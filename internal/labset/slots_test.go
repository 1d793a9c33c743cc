package labset_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/labset"
)

const memberSlots = 5

var counting = map[string]string{"poplarrouter.kind": "count"}

// loopers send statements of one kind from so many callers of each proxy until
// the stop function is called, and count those that were answered.
func loopers(ctx context.Context, set *labset.Set, proxies, callers int, settings map[string]string) (*atomic.Int64, func()) {
	ctx, cancel := context.WithCancel(ctx)
	var done atomic.Int64
	var running sync.WaitGroup
	for i := range proxies * callers {
		conn := connect(ctx, set, i%proxies, settings)
		running.Go(func() {
			for ctx.Err() == nil {
				if _, err := conn.Exec(ctx, "SELECT 1"); err == nil {
					done.Add(1)
				} else if conn.IsClosed() {
					return
				}
			}
		})
	}
	return &done, func() {
		cancel()
		running.Wait()
	}
}

func peak(set *labset.Set) int {
	highest := 0
	for _, m := range set.Members() {
		highest = max(highest, m.Peak())
	}
	return highest
}

var _ = Describe("the slots of a member", func() {
	flooded := labset.Options{
		Members: 3, Proxies: 3,
		Member:   labdb.Options{Slots: memberSlots, ServiceTime: 10 * time.Millisecond},
		Settings: func(s *config.Settings) { s.Limits.MemberConnections = memberSlots },
	}

	It("are never exceeded in a flood from all proxies, and serve the urgent rank first", func(ctx SpecContext) {
		set := startSet(ctx, flooded)
		const urgentCallers, floodCallers = 1, 12
		least, stopLeast := loopers(ctx, set, 3, floodCallers, counting)
		urgent, stopUrgent := loopers(ctx, set, 3, urgentCallers, stock)
		Eventually(urgent.Load).Should(BeNumerically(">", 150))
		stopUrgent()
		stopLeast()
		Expect(peak(set)).To(BeNumerically("<=", memberSlots))
		perUrgent := float64(urgent.Load()) / (3 * urgentCallers)
		perLeast := float64(least.Load()) / (3 * floodCallers)
		Expect(perUrgent).To(BeNumerically(">", 2*perLeast))
		Expect(least.Load()).To(BeNumerically(">", 0), "the least urgent rank keeps its floor")
	}, SpecTimeout(time.Minute))

	It("are given out again after the dispatcher died, and the limit holds", func(ctx SpecContext) {
		set := startSet(ctx, flooded)
		done, stop := loopers(ctx, set, 3, 4, counting)
		Eventually(done.Load).Should(BeNumerically(">", 50))
		leader := set.Members()[1].State().LeaseHolder
		for _, p := range set.Proxies() {
			if p.Settings.Host == leader {
				p.Stop()
			}
		}
		Eventually(func() string { return set.Members()[1].State().LeaseHolder }).ShouldNot(Or(BeEmpty(), Equal(leader)))
		before := done.Load()
		Eventually(done.Load).Should(BeNumerically(">", before+100))
		stop()
		Expect(peak(set)).To(BeNumerically("<=", memberSlots))
	}, SpecTimeout(time.Minute))
})
