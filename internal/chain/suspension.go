package chain

import (
	"sync"
	"time"
)

// suspensionDetector detects that the host was suspended. The monotonic clock does not count
// that time, so that earlier proofs appear more recent than they are.
type suspensionDetector struct {
	// suspended returns the total time for which the host has been suspended since it started.
	suspended func() time.Duration

	mu   sync.Mutex
	last time.Duration
	at   time.Time
}

// resumeSlack is how far the two clocks may drift apart between two calls without a
// suspension. It is far shorter than a leadership lease.
const resumeSlack = 20 * time.Millisecond

// lastResume returns a time after the last detected suspension, or zero. Proofs from before
// that time must not be trusted by their age.
func (r *suspensionDetector) lastResume(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspended := r.suspended()
	if suspended-r.last > resumeSlack {
		r.at = now
	}
	r.last = suspended
	return r.at
}
