package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/budget"
)

const (
	// minBackoff is how long an unreachable proxy is tried after others: about as long as
	// a process takes to restart. It doubles with each further failure, up to maxBackoff:
	// about as long as a network partition that callers notice lasts.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// drainTime is how long a draining proxy is tried after others. Most drains are over
	// by then, and a proxy that still drains rejects a request at once.
	drainTime = 4 * time.Second
	// maxFailures limits the failure count, which is the exponent of the backoff time.
	maxFailures = 8
	// maxIdle is the number of idle connections that are kept for each proxy.
	maxIdle = 8
)

// owner is a proxy that serves databases, with the connections to it.
type owner struct {
	host book.Host
	// sheetSerial returns the serial of this proxy's sheet.
	sheetSerial func() uint64
	// memory accounts for the answers that are being received.
	memory *budget.Budget
	times  *answerTimes

	mu   sync.Mutex
	idle []*ownerConn
	// inFlight holds the times at which the unanswered jobs and attempts to connect began.
	inFlight      []time.Time
	backoffUntil  time.Time
	drainingUntil time.Time
	// failures is the number of backoffs since the last answer, at most maxFailures.
	failures int
	closed   bool
}

// get returns the idle connection that was used last, or nil.
func (o *owner) get() *ownerConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.idle)
	if n == 0 {
		return nil
	}
	c := o.idle[n-1]
	o.idle = o.idle[:n-1]
	return c
}

// put returns a connection to the idle ones. It closes one that is not clean, has ended,
// exceeds maxIdle or leads to a draining proxy.
func (o *owner) put(c *ownerConn, clean bool) {
	o.mu.Lock()
	keep := clean && !o.closed && !c.disconnected && len(o.idle) < maxIdle && time.Now().After(o.drainingUntil)
	if keep {
		o.idle = append(o.idle, c)
	}
	o.mu.Unlock()
	if !keep {
		_ = c.conn.Close()
	}
}

// drop removes a connection that has ended.
func (o *owner) drop(c *ownerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = c.conn.Close()
	c.disconnected = true
	o.idle = slices.DeleteFunc(o.idle, func(other *ownerConn) bool { return other == c })
}

// begin records that a job or an attempt to connect begins.
func (o *owner) begin(now time.Time) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight = append(o.inFlight, now)
	return now
}

// end records that the job or attempt to connect which began at the given time is over.
func (o *owner) end(sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if i := slices.Index(o.inFlight, sent); i >= 0 {
		o.inFlight = slices.Delete(o.inFlight, i, i+1)
	}
}

// setDraining records that the proxy is draining. It closes the idle connections, which
// would otherwise end when the proxy does.
func (o *owner) setDraining() {
	o.mu.Lock()
	o.drainingUntil = time.Now().Add(drainTime)
	o.mu.Unlock()
	o.closeIdle()
}

// recordAnswer records that the proxy has answered a job.
func (o *owner) recordAnswer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = 0
}

// recordFailure records that a job was not answered in time, or that no connection could be
// opened. It closes the idle connections, because the same network fault may have broken
// them.
func (o *owner) recordFailure() {
	o.mu.Lock()
	now := time.Now()
	if now.After(o.backoffUntil) {
		// Jobs that fail during a backoff belong to the failure that started it.
		o.backoffUntil = now.Add(min(minBackoff<<o.failures, maxBackoff))
		o.failures = min(o.failures+1, maxFailures)
	}
	o.mu.Unlock()
	o.closeIdle()
}

func (o *owner) closeIdle() {
	o.mu.Lock()
	idle := o.idle
	o.idle = nil
	o.mu.Unlock()
	for _, c := range idle {
		_ = c.conn.Close()
	}
}

// close closes the idle connections at once, and the others when they are released.
func (o *owner) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.closeIdle()
}

func (o *owner) candidate() Candidate {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := Candidate{Host: o.host.Name, Region: o.host.Region, Capacity: o.host.Capacity, BackoffUntil: o.backoffUntil, DrainingUntil: o.drainingUntil, Failing: o.failures > 0, InFlight: len(o.inFlight)}
	if len(o.inFlight) > 0 {
		c.OldestSent = slices.MinFunc(o.inFlight, time.Time.Compare)
	}
	return c
}

// dialTimeout is the time limit for opening a connection: three round trips between
// regions, and as much again for a slow host.
const dialTimeout = 400 * time.Millisecond

// dial opens a connection to the proxy.
func (o *owner) dial(ctx context.Context, dial DialFunc) (*ownerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	start := o.begin(time.Now())
	defer o.end(start)
	conn, err := dial(ctx, o.host)
	if err != nil {
		o.recordFailure()
		return nil, err
	}
	return newOwnerConn(conn, o), nil
}
