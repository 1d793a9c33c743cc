package gate

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/slots"
)

// TestGateServesAfterSlowPeriod guards against a gate that refuses all work of a rank as late
// for good after a member was slow once. An idle gate serves the first work at once, and
// all work when that has ended, even if it was idle long enough to be paused meanwhile.
func TestGateServesAfterSlowPeriod(t *testing.T) {
	for name, idle := range map[string]time.Duration{"at once": 0, "after the gate was paused": 2 * idleAfter} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				permits := New(slots.DefaultRules(10), 5, time.Now())
				acquire := func() func() {
					p, err := permits.Acquire(t.Context(), slots.Work{Caller: "c", Rank: 2, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)})
					g.Expect(err).NotTo(HaveOccurred())
					return p.Release
				}
				for range 3 {
					release := acquire()
					time.Sleep(10 * time.Second)
					release()
				}
				time.Sleep(idle)
				if permits.pauseIfIdle(time.Now()) {
					go func() {
						<-permits.wake
						permits.ConfirmLease(time.Now())
					}()
				}
				first := acquire()
				time.Sleep(20 * time.Millisecond)
				first()
				for range 5 {
					acquire()
				}
			})
		})
	}
}
