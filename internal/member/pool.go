package member

import (
	"context"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Pool lends connections of one mode to one member. It holds at most a fixed
// number of them, lent and idle together.
type Pool struct {
	address string
	login   Login
	mode    Mode
	check   time.Duration
	permits chan struct{}

	mu     sync.Mutex
	idle   []*Conn
	lent   int
	closed bool
	// era grows when the pool is found silent; connections of an earlier era
	// are closed instead of reused.
	era  int
	eras map[*Conn]int
}

// NewPool returns a pool of at most limit connections, and its clean-up
// function. A connection that idled for longer than check is tried before reuse.
func NewPool(address string, login Login, mode Mode, limit int, check time.Duration) (*Pool, func()) {
	p := &Pool{
		address: address,
		login:   login,
		mode:    mode,
		check:   check,
		permits: make(chan struct{}, limit),
		eras:    make(map[*Conn]int),
	}
	return p, p.close
}

// Get lends a connection. It waits for one until the context ends. No part of
// any work has been sent when it fails, so its faults are all not run.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	select {
	case p.permits <- struct{}{}:
	default:
		select {
		case p.permits <- struct{}{}:
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Overloaded, "get connection", "all %d connections to the member are in use", cap(p.permits))
		}
	}
	c, err := p.open(ctx)
	if err != nil {
		<-p.permits
		return nil, fault.Wrap(err, fault.Unreachable, "get connection", "no connection to member %s", p.address)
	}
	return c, nil
}

func (p *Pool) open(ctx context.Context) (*Conn, error) {
	for {
		c, found := p.pop()
		if !found {
			break
		}
		if time.Since(c.idled) < p.check || p.alive(ctx, c) {
			return c, nil
		}
		p.forget(c)
		p.Silent()
	}
	c, err := Dial(ctx, p.address, p.login, p.mode)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent++
	p.eras[c] = p.era
	return c, nil
}

// pop takes the connection that was returned last.
func (p *Pool) pop() (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil, false
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	p.lent++
	return c, true
}

const checkTimeout = 500 * time.Millisecond

// alive sends an empty round trip over a connection that idled for long.
func (p *Pool) alive(ctx context.Context, c *Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if c.SetDeadline(deadline) != nil || c.trip() != nil {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// Put returns a connection. A connection that is not clean, or in doubt, is
// closed: the caller says whether it is outside a transaction with no answer
// outstanding.
func (p *Pool) Put(c *Conn, clean bool) {
	p.mu.Lock()
	keep := clean && !c.doubt && !p.closed && p.eras[c] == p.era
	if keep {
		c.idled = time.Now()
		p.idle = append(p.idle, c)
		p.lent--
	}
	p.mu.Unlock()
	if !keep {
		p.forget(c)
	}
	<-p.permits
}

// forget closes a lent connection.
func (p *Pool) forget(c *Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent--
	delete(p.eras, c)
}

// Silent tells the pool that one of its connections went silent. All idle ones
// are closed, and lent ones when they return, so that a pool that lost its path
// is replaced at once, one new connection for each request that needs one.
func (p *Pool) Silent() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.era++
	for _, c := range idle {
		delete(p.eras, c)
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Counts returns how many connections are lent and idle.
func (p *Pool) Counts() (lent, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent, len(p.idle)
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Silent()
}
