package chain

import (
	"sync"
	"time"
)

// resumes notices that the host was suspended. Its steady clock does not count that
// time, so that what was proven before looks younger than it is.
type resumes struct {
	// suspended returns for how long the host has been suspended since it started.
	suspended func() time.Duration

	mu   sync.Mutex
	last time.Duration
	at   time.Time
}

// resumeSlack is by how much the two clocks may drift apart between two looks without
// a suspension: far less than a lease.
const resumeSlack = 20 * time.Millisecond

// since returns a time after the last suspension that was noticed, and before which
// nothing may be relied on by its age.
func (r *resumes) since(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspended := r.suspended()
	if suspended-r.last > resumeSlack {
		r.at = now
	}
	r.last = suspended
	return r.at
}
