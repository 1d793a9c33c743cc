package member

import (
	"context"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Pool is a pool of connections to one member. Its limit covers the connections of both modes and
// of all customers, idle and in use. A connection serves only the customer it was opened for.
type Pool struct {
	options PoolOptions
	permits chan struct{}
	// inUseSignal signals watch that a connection came into use.
	inUseSignal chan struct{}

	mu sync.Mutex
	// share is the number of connections that the pool should hold at most, or 0 if only
	// PoolOptions.Limit applies.
	share int
	// idle holds the idle connections in the order in which they were returned.
	idle   []*Conn
	inUse  map[*Conn]struct{}
	open   int
	closed bool
	// sweep is the timer of the next sweep, or nil if none is due.
	sweep *time.Timer
	// interruptions is the number of connections that the member or the network ended.
	interruptions int
	// generation is incremented by Invalidate. Connections of an earlier generation are closed
	// instead of reused.
	generation int
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	// Address is the member's address, for error messages.
	Address string
	// Open opens a connection for a customer, or for the proxy itself and callers without a
	// customer if the name is empty.
	Open func(ctx context.Context, mode Mode, customer string) (ProtocolConn, error)
	// Listed reports whether a customer still exists. Idle connections of others are closed.
	// Nil means that every customer exists.
	Listed func(customer string) bool
	// Control returns a control of the member, by which the pool detects connections in use
	// that no longer respond. It is nil for a protocol that cannot detect them.
	Control func() SlotControl
	// Modeless is set if the protocol does not distinguish the modes of connections.
	Modeless bool
	// Limit is the maximum number of connections in the pool.
	Limit int
	// IdleCheck is the idle time after which a connection is pinged before it is reused.
	IdleCheck time.Duration
}

// NewPool returns a pool and a function that closes it.
func NewPool(options PoolOptions) (*Pool, func()) {
	p := &Pool{options: options, permits: make(chan struct{}, options.Limit), inUseSignal: make(chan struct{}, 1), inUse: make(map[*Conn]struct{})}
	stop := func() {}
	if options.Control != nil {
		stop = duty.Run(p.watch)
	}
	return p, func() {
		stop()
		p.close()
	}
}

// Get returns a connection for the use of a customer, or of a caller without one if the name is
// empty. It waits for one until the context ends. Get sends no part of a request, so the outcome
// of every fault that it returns is that the request did not run.
func (p *Pool) Get(ctx context.Context, mode Mode, customer string) (*Conn, error) {
	if p.options.Modeless {
		mode = ReadWrite
	}
	return p.get(ctx, mode, customer, func() (*Conn, bool) { return p.popIdle(mode, customer) })
}

// GetAny is like Get for the proxy's own queries and commands, which belong to no customer: it may
// return an idle connection of any of them.
func (p *Pool) GetAny(ctx context.Context, mode Mode) (*Conn, error) {
	if p.options.Modeless {
		mode = ReadWrite
	}
	return p.get(ctx, mode, "", func() (*Conn, bool) { return p.popAnyIdle(mode) })
}

// TryGet is like GetAny, but returns *BusyError without waiting if requests use all connections.
func (p *Pool) TryGet(ctx context.Context, mode Mode) (*Conn, error) {
	p.mu.Lock()
	busy := len(p.permits) == cap(p.permits) || (p.share > 0 && len(p.inUse) > p.share)
	p.mu.Unlock()
	if busy {
		return nil, &BusyError{Member: p.options.Address}
	}
	return p.GetAny(ctx, mode)
}

// get waits for a permit and takes a connection. The function pop removes a suitable idle
// connection from the pool.
func (p *Pool) get(ctx context.Context, mode Mode, customer string, pop func() (*Conn, bool)) (*Conn, error) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Overloaded, "get connection", "all %d connections to the member are in use", cap(p.permits))
	}
	c, err := p.takeIdleOrOpen(ctx, mode, customer, pop)
	if err != nil {
		<-p.permits
		return nil, fault.Wrap(err, fault.Unreachable, "get connection", "no connection to member %s", p.options.Address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[c] = struct{}{}
	select {
	case p.inUseSignal <- struct{}{}:
	default:
	}
	return c, nil
}

// Resize sets the number of connections that the pool should hold. Excess connections are closed:
// idle ones immediately, those in use when they are returned. One more connection remains
// allowed, for state queries.
func (p *Pool) Resize(share int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
	p.evict(share + 1)
}

// takeIdleOrOpen returns an idle connection that still responds, or opens one.
func (p *Pool) takeIdleOrOpen(ctx context.Context, mode Mode, customer string, pop func() (*Conn, bool)) (*Conn, error) {
	for {
		c, hasIdle := pop()
		if !hasIdle {
			break
		}
		if time.Since(c.idleSince) < p.options.IdleCheck || p.alive(ctx, c) {
			return c, nil
		}
		p.discard(c)
		p.Invalidate()
	}
	generation := p.countOpening()
	conn, err := p.options.Open(ctx, mode, customer)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{ProtocolConn: conn, mode: mode, customer: customer, generation: generation}, nil
}

const pingTimeout = 500 * time.Millisecond

// alive reports whether the member answers a ping over the connection.
func (p *Pool) alive(ctx context.Context, c *Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if c.SetDeadline(deadline) != nil || c.Ping() != nil {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// Put returns a connection to the pool. The caller sets clean if the connection is outside a
// transaction with no answer outstanding. A connection that is not clean, or that was marked
// unusable, is closed.
func (p *Pool) Put(c *Conn, clean bool) {
	listed := p.listed(c.customer)
	p.mu.Lock()
	delete(p.inUse, c)
	keep := clean && listed && !c.unusable && !p.closed && c.generation == p.generation && (p.share == 0 || p.open <= p.share+1)
	if keep {
		c.idleSince = time.Now()
		if !c.forStateQuery {
			c.lastUsed = c.idleSince
		}
		p.idle = append(p.idle, c)
		p.scheduleSweep()
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
	<-p.permits
}

// discard closes a connection that is not idle and no longer counts it.
func (p *Pool) discard(c *Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if e, ok := c.ProtocolConn.(endable); ok && e.Ended() {
		p.interruptions++
	}
}

// endable is a connection that knows whether the member or the network has ended it.
type endable interface{ Ended() bool }

// Interruptions returns the number of connections so far that were found ended when they
// were used.
func (p *Pool) Interruptions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interruptions
}

// Invalidate replaces the connections of the pool after one of them stopped responding. It closes
// the idle connections; those in use are closed when they are returned. After a network failure,
// requests thus do not try the remaining broken connections in turn: each opens a new one.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// CloseWriteConns closes every read-write connection that is in use and returns their number.
// Requests on a member that is no longer the primary thus end immediately, with an unknown outcome.
func (p *Pool) CloseWriteConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := 0
	for c := range p.inUse {
		if c.mode == ReadWrite {
			_ = c.Close()
			closed++
		}
	}
	return closed
}

// Counts returns the numbers of connections that are in use and idle.
func (p *Pool) Counts() (inUse, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle), len(p.idle)
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	if p.sweep != nil {
		p.sweep.Stop()
	}
	p.mu.Unlock()
	p.Invalidate()
}
