package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
)

const (
	// shunTime is how long a proxy that could not be reached is tried after others: about
	// as long as a process takes to start again. It doubles with each further failure, up
	// to maxShunTime: about as long as a cut lasts that callers notice.
	shunTime    = time.Second
	maxShunTime = 8 * time.Second
	// leaveTime is how long a proxy that is leaving is tried after others: most drains are
	// over by then, and one that is not turns a request away at once.
	leaveTime = 4 * time.Second
	// maxFailures is as many as matter for how long a proxy is shunned.
	maxFailures = 8
	// maxIdle is how many idle connections to a proxy are kept.
	maxIdle = 8
)

// target is a proxy that serves databases, with the connections to it.
type target struct {
	host book.Host

	mu   sync.Mutex
	idle []*line
	// open are the times at which the jobs were sent that are under way.
	open    []time.Time
	shunned time.Time
	leaving time.Time
	// failures counts the jobs and attempts to connect that failed since the last answer.
	failures int
	closed   bool
}

// get returns an idle connection, the one used last first, or nil.
func (t *target) get() *line {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.idle)
	if n == 0 {
		return nil
	}
	l := t.idle[n-1]
	t.idle = t.idle[:n-1]
	return l
}

// put takes a connection back, and closes it unless it is clean.
func (t *target) put(l *line, clean bool) {
	t.mu.Lock()
	keep := clean && !t.closed && !l.gone && len(t.idle) < maxIdle
	if keep {
		t.idle = append(t.idle, l)
	}
	t.mu.Unlock()
	if !keep {
		_ = l.conn.Close()
	}
}

// drop takes out a connection that has ended.
func (t *target) drop(l *line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = l.conn.Close()
	l.gone = true
	t.idle = slices.DeleteFunc(t.idle, func(other *line) bool { return other == l })
}

// begin notes that a job is sent.
func (t *target) begin(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open = append(t.open, now)
	return now
}

// end notes that a job that was sent at a time is over.
func (t *target) end(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.open, sent); i >= 0 {
		t.open = slices.Delete(t.open, i, i+1)
	}
}

// leave notes that the proxy is leaving. Its connections end with it, and the idle ones are
// closed before that.
func (t *target) leave() {
	t.mu.Lock()
	t.leaving = time.Now().Add(leaveTime)
	t.mu.Unlock()
	t.closeIdle()
}

// answered notes that the proxy has answered a job.
func (t *target) answered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
}

// silent notes that a job got no answer, or that no connection could be opened. The idle
// connections may have lost their path too, and are closed.
func (t *target) silent() {
	t.mu.Lock()
	now := time.Now()
	if now.After(t.shunned) {
		// What fails together is one failure.
		t.shunned = now.Add(min(shunTime<<t.failures, maxShunTime))
		t.failures = min(t.failures+1, maxFailures)
	}
	t.mu.Unlock()
	t.closeIdle()
}

func (t *target) closeIdle() {
	t.mu.Lock()
	idle := t.idle
	t.idle = nil
	t.mu.Unlock()
	for _, l := range idle {
		_ = l.conn.Close()
	}
}

// close closes the idle connections, and the others when they are given back.
func (t *target) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.closeIdle()
}

func (t *target) candidate() Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Candidate{Host: t.host.Name, Region: t.host.Region, BackoffUntil: t.shunned, DrainingUntil: t.leaving, Failing: t.failures > 0, InFlight: len(t.open)}
	if len(t.open) > 0 {
		c.OldestSent = slices.MinFunc(t.open, time.Time.Compare)
	}
	return c
}

// dialTimeout ends the opening of a connection: three round trips between regions, and
// as much again for a host that is slow.
const dialTimeout = 400 * time.Millisecond

// dial opens a connection to the proxy.
func (t *target) dial(ctx context.Context, dial DialFunc) (*line, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := t.begin(time.Now())
	defer t.end(began)
	conn, err := dial(ctx, t.host)
	if err != nil {
		t.silent()
		return nil, err
	}
	return newLine(conn, t), nil
}
