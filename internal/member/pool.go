package member

import (
	"context"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Pool lends connections to one member. It holds at most a fixed number of
// them, of both modes, lent and idle together.
type Pool struct {
	options PoolOptions
	permits chan struct{}
	// lending wakes the watch.
	lending chan struct{}

	mu sync.Mutex
	// share is how many connections the pool should hold at most, or 0 for as many as
	// it may.
	share  int
	idle   map[Mode][]*Conn
	lent   map[*Conn]struct{}
	open   int
	closed bool
	// era grows when the pool is found silent; connections of an earlier era
	// are closed instead of reused.
	era int
}

// PoolOptions are what a Pool depends on.
type PoolOptions struct {
	// Address is the member's, for messages.
	Address string
	// Open opens a connection.
	Open func(ctx context.Context, mode Mode) (ProtocolConn, error)
	// Control returns a control of the member, by which lent connections are
	// found silent; nil stands for a protocol that cannot tell them.
	Control func() SlotControl
	// Modeless tells that the protocol's connections are the same in all modes.
	Modeless bool
	// Limit is how many connections the pool holds at most.
	Limit int
	// IdleCheck is how long a connection may idle before it is tried before reuse.
	IdleCheck time.Duration
}

// NewPool returns a pool and its clean-up function.
func NewPool(options PoolOptions) (*Pool, func()) {
	p := &Pool{options: options, permits: make(chan struct{}, options.Limit), lending: make(chan struct{}, 1), idle: make(map[Mode][]*Conn), lent: make(map[*Conn]struct{})}
	stop := func() {}
	if options.Control != nil {
		stop = duty.Run(p.watch)
	}
	return p, func() {
		stop()
		p.close()
	}
}

// Get lends a connection. It waits for one until the context ends. No part of
// any work has been sent when it fails, so its faults are all not run.
func (p *Pool) Get(ctx context.Context, mode Mode) (*Conn, error) {
	if p.options.Modeless {
		mode = ReadWrite
	}
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Overloaded, "get connection", "all %d connections to the member are in use", cap(p.permits))
	}
	c, err := p.take(ctx, mode)
	if err != nil {
		<-p.permits
		return nil, fault.Wrap(err, fault.Unreachable, "get connection", "no connection to member %s", p.options.Address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent[c] = struct{}{}
	select {
	case p.lending <- struct{}{}:
	default:
	}
	return c, nil
}

// TryGet lends a connection if one may be had at once, and returns *BusyError if
// work uses all of them.
func (p *Pool) TryGet(ctx context.Context, mode Mode) (*Conn, error) {
	p.mu.Lock()
	busy := len(p.permits) == cap(p.permits) || (p.share > 0 && len(p.lent) > p.share)
	p.mu.Unlock()
	if busy {
		return nil, &BusyError{Member: p.options.Address}
	}
	return p.Get(ctx, mode)
}

// Resize sets how many connections the pool should hold. Idle ones beyond that are
// closed at once, lent ones when they return; one more is left for questions.
func (p *Pool) Resize(share int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
	for mode, list := range p.idle {
		excess := min(p.open-share-1, len(list))
		for i := 0; i < excess; i++ {
			_ = list[i].Close()
			p.open--
		}
		if excess > 0 {
			p.idle[mode] = list[excess:]
		}
	}
}

// take finds an idle connection that still answers, or opens one.
func (p *Pool) take(ctx context.Context, mode Mode) (*Conn, error) {
	for {
		c, found := p.pop(mode)
		if !found {
			break
		}
		if time.Since(c.idled) < p.options.IdleCheck || p.alive(ctx, c) {
			return c, nil
		}
		p.forget(c)
		p.Invalidate()
	}
	era := p.makeRoom()
	line, err := p.options.Open(ctx, mode)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{ProtocolConn: line, mode: mode, era: era}, nil
}

// pop takes the connection that was returned last.
func (p *Pool) pop(mode Mode) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[mode]
	if len(list) == 0 {
		return nil, false
	}
	p.idle[mode] = list[:len(list)-1]
	return list[len(list)-1], true
}

// makeRoom counts a connection that is about to be opened, and closes an idle
// one of the other mode if the pool is full. It returns the pool's era.
func (p *Pool) makeRoom() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	for mode, list := range p.idle {
		if p.open > cap(p.permits) && len(list) > 0 {
			_ = list[0].Close()
			p.idle[mode] = list[1:]
			p.open--
		}
	}
	return p.era
}

const checkTimeout = 500 * time.Millisecond

// alive sends an empty round trip over a connection that idled for long.
func (p *Pool) alive(ctx context.Context, c *Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if c.SetDeadline(deadline) != nil || c.Ping() != nil {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// Put returns a connection. A connection that is not clean, or in doubt, is
// closed: the caller says whether it is outside a transaction with no answer
// outstanding.
func (p *Pool) Put(c *Conn, clean bool) {
	p.mu.Lock()
	delete(p.lent, c)
	keep := clean && !c.doubt && !p.closed && c.era == p.era && (p.share == 0 || p.open <= p.share+1)
	if keep {
		c.idled = time.Now()
		p.idle[c.mode] = append(p.idle[c.mode], c)
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
	p.open--
}

// Invalidate tells the pool that one of its connections went silent. All idle ones
// are closed, and lent ones when they return, so that a pool that lost its path
// is replaced at once, one new connection for each request that needs one.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	for mode, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		p.open -= len(list)
		delete(p.idle, mode)
	}
}

// CloseWriteConns closes every connection that is lent for writes, so that work on a
// member that is no longer the primary ends with an unknown outcome at once.
func (p *Pool) CloseWriteConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	severed := 0
	for c := range p.lent {
		if c.mode == ReadWrite {
			_ = c.Close()
			severed++
		}
	}
	return severed
}

// Counts returns how many connections are lent and idle.
func (p *Pool) Counts() (lent, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open - idle, idle
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Invalidate()
}
