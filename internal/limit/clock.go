package limit

import (
	"math/rand/v2"
	"time"
)

// clock counts the time since the process started, including the time for which the host was
// suspended. Readings do not go back.
type clock struct {
	base        time.Duration
	started     time.Time
	suspended   func() time.Duration
	suspendedAt time.Duration
	last        time.Duration
}

// maxBase is large enough that the readings of two processes are unlikely to be within a
// second of each other, and leaves centuries until the clock overflows.
const maxBase = 50 * 365 * 24 * time.Hour

// newClock returns a clock that starts at a random reading, so that readings of an earlier
// process of the host are recognized.
func newClock(suspended func() time.Duration) clock {
	base := time.Hour + rand.N(maxBase) //nolint:gosec // distinguishes processes
	return clock{base: base, started: time.Now(), suspended: suspended, suspendedAt: suspended()}
}

func (c *clock) now() time.Duration {
	c.last = max(c.last, c.base+time.Since(c.started)+c.suspended()-c.suspendedAt)
	return c.last
}
