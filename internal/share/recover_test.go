package share_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// heartbeats sends one heartbeat a second from both proxies for a time. The other proxy has no
// demand.
func heartbeats(wants func() map[string]int, takeWants func(string, map[string]int), d time.Duration) {
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		wants()
		takeWants("b", map[string]int{near.Name: 0})
	}
}

// TestConcurrencyLimitRecoversWithoutWork guards against a limit that rises only when admitted
// work succeeds. A minute of refusals lowers it to one statement for each slot, and never
// below; 12 heartbeats without any work restore it.
func TestConcurrencyLimitRecoversWithoutWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		shares := newLimitedShares(150)
		before := shares.SpareCapacity("stock", near)
		slot, err := shares.Acquire(t.Context(), "stock", near, request())
		g.Expect(err).NotTo(HaveOccurred())
		for range 60 {
			for range 10 {
				slot.ReportOverload()
			}
			heartbeats(shares.Wants, shares.TakeWants, time.Second)
		}
		slot.Release()
		g.Expect(shares.SpareCapacity("stock", near)).To(BeNumerically(">=", 2))
		heartbeats(shares.Wants, shares.TakeWants, 12*time.Second)
		g.Expect(shares.SpareCapacity("stock", near)).To(Equal(before))
	})
}

// TestShareRecoversFromDemandOfOthers guards against a share that stays small after the load
// of another proxy has ended: the other's next report restores it, and if that proxy is
// gone, the end of the lifetime of its last report does.
func TestShareRecoversFromDemandOfOthers(t *testing.T) {
	for name, after := range map[string]func(wants func() map[string]int, takeWants func(string, map[string]int)){
		"report":        func(w func() map[string]int, t func(string, map[string]int)) { heartbeats(w, t, 2*time.Second) },
		"lost reporter": func(w func() map[string]int, _ func(string, map[string]int)) { time.Sleep(3 * time.Second); w() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				shares := newLimitedShares(34)
				before := shares.SpareCapacity("stock", near)
				for range 30 {
					shares.TakeWants("b", map[string]int{near.Name: 400})
					shares.Wants()
					time.Sleep(time.Second)
				}
				after(shares.Wants, shares.TakeWants)
				g.Expect(shares.SpareCapacity("stock", near)).To(BeNumerically(">=", before))
			})
		})
	}
}
