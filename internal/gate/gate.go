// Package gate shares the slots of each member among all proxies.
//
// For each member one proxy holds the slot lease and grants permits for the member's
// slots. The other proxies request permits from it over peer connections. The member
// itself decides who holds the lease: it is the proxy that has the member's only lease
// connection, and every proxy reads the holder's name in the member's state. No store
// and no election is involved, a holder that is partitioned from its member cannot
// grant permits, and each member's holder is in the member's own region.
//
// A permit allows a proxy to begin work for a short time after the member last named
// the lease holder, and a new holder waits for that time before it grants any. Whether
// older permits are still in use follows from the member's count of a proxy's busy
// connections. So the limit on slots holds under any failure.
//
// A Gate holds the permit queue of one member, a memberLease is one proxy's state for
// one member, and a LeaseManager holds all memberLeases of a proxy.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Gate grants permits for a fixed number of slots of one member.
type Gate struct {
	mu   sync.Mutex
	pool *slots.PermitPool
	// waiters has an entry for all work that waits or has a permit.
	waiters map[uint64]Waiter
	nextID  uint64
	closed  bool
	// confirmedAt is when the latest request was sent to which the member replied that
	// this proxy holds the lease.
	confirmedAt atomic.Pointer[time.Time]
	// lastRequest is when a permit was last requested. An idle gate has paused its
	// pool until the member has confirmed the lease again, which wake triggers.
	lastRequest time.Time
	wake        chan struct{}
}

// idleAfter is how long no permit must have been requested before the lease is
// confirmed less often.
const idleAfter = 10 * time.Second

// Waiter is notified of the result of a permit request. Its methods must neither block
// nor call the gate.
type Waiter interface {
	// Granted reports that the work has a permit.
	Granted()
	// Refused reports the fault for which the work gets no permit.
	Refused(err error)
	// ReuseAssigned reports the request of the same host, by its number there, that
	// may reuse the permit without asking; 0 stands for none.
	ReuseAssigned(number uint64)
}

var (
	_ Waiter = localWaiter(nil)
	_ Waiter = (*remoteRequest)(nil)
)

// New returns a gate with count slots of a member. The request to which the member
// replied that this proxy holds the lease was sent at askedAt.
func New(rules slots.Rules, count int, askedAt time.Time) *Gate {
	g := &Gate{pool: slots.NewPermitPool(rules, count), waiters: make(map[uint64]Waiter), lastRequest: time.Now(), wake: make(chan struct{}, 1)}
	g.ConfirmLease(askedAt)
	return g
}

// ConfirmLease records that the member, in reply to a request sent at askedAt, named
// this proxy as the lease holder.
func (g *Gate) ConfirmLease(askedAt time.Time) {
	g.confirmedAt.Store(&askedAt)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.pool.Resume(time.Now()))
}

// awaitRenewal waits until the lease is to be confirmed again: for renewPeriod, or, if
// the gate may become idle and no permit has been requested for a while, until one is
// or idleRenewPeriod has passed. It returns false if the context has ended.
func (g *Gate) awaitRenewal(ctx context.Context, mayIdle bool) bool {
	pause := renewPeriod
	if mayIdle && g.pauseIfIdle(time.Now()) {
		pause = idleRenewPeriod
	}
	select {
	case <-time.After(pause):
	case <-g.wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// pauseIfIdle pauses the pool and returns true if no permit is in use or requested.
func (g *Gate) pauseIfIdle(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pool.InUse() > 0 || g.pool.Waiting() > 0 || now.Sub(g.lastRequest) < idleAfter {
		return false
	}
	g.pool.Pause()
	return true
}

// permitExpiry returns when a permit that is granted now expires.
func (g *Gate) permitExpiry() time.Time { return g.confirmedAt.Load().Add(permitLifetime) }

// Counts returns how many slots are free and in use, and how many requests wait.
func (g *Gate) Counts() (free, lent, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Free(), g.pool.InUse(), g.pool.Waiting()
}

// ReserveID returns a new ID for work.
func (g *Gate) ReserveID() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	return g.nextID
}

// Request requests a permit for work with a reserved ID. The waiter may be notified
// before Request returns. A Late fault means that the deadline is too near, and an
// Overloaded fault that the queue is full.
func (g *Gate) Request(w slots.Work, waiter Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		waiter.Refused(errClosed())
		return
	}
	g.waiters[w.ID] = waiter
	g.lastRequest = time.Now()
	if g.pool.Paused() {
		g.wakeUp()
	}
	g.notify(g.pool.Request(w, g.lastRequest))
}

// wakeUp ends the wait of awaitRenewal.
func (g *Gate) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Release returns a permit, or removes a request from the queue.
func (g *Gate) Release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.notify(g.pool.Release(id, time.Now()))
}

// Reuse records that work reuses the permit of other work, which has ended.
func (g *Gate) Reuse(id uint64, next slots.Work, waiter Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.waiters[next.ID] = waiter
	g.notify(g.pool.Reuse(id, next, time.Now()))
}

// RefuseLate refuses the waiting work that can no longer meet its deadline.
func (g *Gate) RefuseLate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.pool.Schedule(time.Now()))
}

// AddSlots adds slots to the gate, such as slots that were found to be free.
func (g *Gate) AddSlots(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.pool.Add(count, time.Now()))
}

// Close refuses all waiting work, and all later requests.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, w := range g.pool.Close() {
		g.refuse(w, errClosed())
	}
}

func errClosed() error {
	return fault.New(fault.Undispatched, "wait for slot", "this proxy no longer holds the member's slot lease")
}

// notify passes a change of the pool on to the waiters. The lock must be held.
func (g *Gate) notify(c slots.Change) {
	for _, w := range c.Late {
		g.refuse(w, fault.New(fault.Late, "wait for slot", "the time until the deadline is shorter than work of rank %d takes", w.Rank))
	}
	for _, w := range c.Overflow {
		g.refuse(w, fault.New(fault.Overloaded, "wait for slot", "the member's queue is full"))
	}
	for _, w := range c.Granted {
		g.waiters[w.ID].Granted()
	}
	for _, n := range c.Offers {
		g.waiters[n.Holder.ID].ReuseAssigned(n.Next.Number)
	}
}

func (g *Gate) refuse(w slots.Work, err error) {
	g.waiters[w.ID].Refused(err)
	delete(g.waiters, w.ID)
}

// localWaiter is the Waiter of a request of this proxy. Its buffer must hold one
// result.
type localWaiter chan error

// Granted implements Waiter.
func (l localWaiter) Granted() { l <- nil }

// Refused implements Waiter.
func (l localWaiter) Refused(err error) { l <- err }

// ReuseAssigned implements Waiter. It does nothing, since requests of this proxy need
// no message to reuse a permit.
func (localWaiter) ReuseAssigned(uint64) {}

// Acquire waits for a permit. The gate sets the work's ID.
func (g *Gate) Acquire(ctx context.Context, w slots.Work) (chain.Permit, error) {
	w.ID = g.ReserveID()
	result := make(localWaiter, 1)
	g.Request(w, result)
	select {
	case err := <-result:
		if err != nil {
			return chain.Permit{}, err
		}
		return chain.Permit{ExpiresAt: g.permitExpiry(), Release: func() { g.Release(w.ID) }}, nil
	case <-ctx.Done():
		g.Release(w.ID)
		return chain.Permit{}, fault.New(fault.Late, "wait for slot", "no slot became free within the deadline")
	}
}
