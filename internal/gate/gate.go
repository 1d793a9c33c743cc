// Package gate shares each member's slots among all proxies.
//
// One proxy, the dispatcher, gives out the slots of a member; the others ask it
// over the peers' connections. Who is the dispatcher is decided by the member
// itself: it is the proxy that holds the member's one leading connection, and
// every proxy reads its name in the member's state. So no store and no election
// takes part, a dispatcher that is cut off from its member cannot give out its
// slots, and each member has a dispatcher in its own region.
//
// A slot that is given may be used to begin work for a short time after the
// member last named the dispatcher, and a new dispatcher waits that time out. What
// became of older slots is told by the member, which counts the connections of a
// proxy that are busy. So the number of slots holds whatever fails.
//
// A Gate holds one member's queue, a station is a proxy's part for one member,
// and a Dispatch holds all stations.
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

// Gate gives out a fixed number of slots.
type Gate struct {
	mu     sync.Mutex
	lender *slots.Lender
	// waiters are those of all work that waits or has a slot.
	waiters map[uint64]Waiter
	nextID  uint64
	closed  bool
	// proven is when the last question was asked to which the member answered
	// that this proxy is its dispatcher.
	proven atomic.Pointer[time.Time]
	// wanted is when a slot was asked for last. A gate that sleeps has paused its
	// lender until the member has been asked again, which wake demands.
	wanted time.Time
	wake   chan struct{}
}

// sleepAfter is how long no slot must have been wanted before the member is asked
// less often.
const sleepAfter = 10 * time.Second

// Waiter is told what becomes of its work. Its methods must neither wait nor
// call the gate.
type Waiter interface {
	// Granted tells that the work has a slot.
	Granted()
	// Refused tells that the work gets no slot, with a fault.
	Refused(err error)
	// ReuseAssigned tells which work of the same host, by its number there, may use
	// the slot next without asking; 0 stands for none.
	ReuseAssigned(number uint64)
}

var (
	_ Waiter = local(nil)
	_ Waiter = (*remote)(nil)
)

// New returns a gate with so many slots of a member that was asked at a time and
// named this proxy its dispatcher.
func New(rules slots.Rules, count int, asked time.Time) *Gate {
	g := &Gate{lender: slots.NewLender(rules, count), waiters: make(map[uint64]Waiter), wanted: time.Now(), wake: make(chan struct{}, 1)}
	g.ConfirmLease(asked)
	return g
}

// ConfirmLease notes that the member, asked at a time, named this proxy its dispatcher.
func (g *Gate) ConfirmLease(asked time.Time) {
	g.proven.Store(&asked)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.lender.Resume(time.Now()))
}

// await waits until the member is to be asked again: soon, or, if the gate may
// sleep and no slot has been wanted for a while, once one is. It returns false if
// the context has ended.
func (g *Gate) await(ctx context.Context, maySleep bool) bool {
	pause := pingPeriod
	if maySleep && g.sleeps(time.Now()) {
		pause = sleepPeriod
	}
	select {
	case <-time.After(pause):
	case <-g.wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (g *Gate) sleeps(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lender.Lent() > 0 || g.lender.Waiting() > 0 || now.Sub(g.wanted) < sleepAfter {
		return false
	}
	g.lender.Pause()
	return true
}

// until returns when a slot that is given now lapses.
func (g *Gate) until() time.Time { return g.proven.Load().Add(slotLife) }

// Counts returns how many slots are free and in use, and how many requests wait.
func (g *Gate) Counts() (free, lent, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lender.Free(), g.lender.Lent(), g.lender.Waiting()
}

// ReserveID returns a new ID for work.
func (g *Gate) ReserveID() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	return g.nextID
}

// Request asks for a slot for work with a reserved ID. The waiter may be told before
// Request returns. A Late fault means that the deadline comes too near, and an
// Overloaded fault that the queue is full.
func (g *Gate) Request(w slots.Work, waiter Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		waiter.Refused(errClosed())
		return
	}
	g.waiters[w.ID] = waiter
	g.wanted = time.Now()
	if g.lender.Paused() {
		g.rouse()
	}
	g.tell(g.lender.Ask(w, g.wanted))
}

func (g *Gate) rouse() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Release takes a slot back, or work out of the queue.
func (g *Gate) Release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.tell(g.lender.Done(id, time.Now()))
}

// Reuse notes that work uses the slot of other work, which has ended.
func (g *Gate) Reuse(id uint64, next slots.Work, waiter Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.waiters[next.ID] = waiter
	g.tell(g.lender.Followed(id, next, time.Now()))
}

// RefuseLate turns away the work that is late by now.
func (g *Gate) RefuseLate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.lender.Settle(time.Now()))
}

// AddSlots gives the gate more slots, such as those that were found to be free.
func (g *Gate) AddSlots(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.lender.Add(count, time.Now()))
}

// Close turns away all waiting work, now and later.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, w := range g.lender.Close() {
		g.refuse(w, errClosed())
	}
}

func errClosed() error {
	return fault.New(fault.Undispatched, "wait for slot", "this proxy no longer gives out the member's slots")
}

// tell passes a change on to the waiters. The lock must be held.
func (g *Gate) tell(c slots.Change) {
	for _, w := range c.Late {
		g.refuse(w, fault.New(fault.Late, "wait for slot", "the deadline is nearer than the time that work of rank %d takes", w.Rank))
	}
	for _, w := range c.Full {
		g.refuse(w, fault.New(fault.Overloaded, "wait for slot", "the member's queue is full"))
	}
	for _, w := range c.Granted {
		g.waiters[w.ID].Granted()
	}
	for _, n := range c.Named {
		g.waiters[n.Holder.ID].ReuseAssigned(n.Next.Number)
	}
}

func (g *Gate) refuse(w slots.Work, err error) {
	g.waiters[w.ID].Refused(err)
	delete(g.waiters, w.ID)
}

// local is the waiter of a request of this proxy. It has room for one answer.
type local chan error

// Granted implements Waiter.
func (l local) Granted() { l <- nil }

// Refused implements Waiter.
func (l local) Refused(err error) { l <- err }

// ReuseAssigned implements Waiter. Work of this proxy asks without a message.
func (local) ReuseAssigned(uint64) {}

// Acquire waits for a slot. The work's ID is set by the gate.
func (g *Gate) Acquire(ctx context.Context, w slots.Work) (chain.Slot, error) {
	w.ID = g.ReserveID()
	answer := make(local, 1)
	g.Request(w, answer)
	select {
	case err := <-answer:
		if err != nil {
			return chain.Slot{}, err
		}
		return chain.Slot{Until: g.until(), Release: func() { g.Release(w.ID) }}, nil
	case <-ctx.Done():
		g.Release(w.ID)
		return chain.Slot{}, fault.New(fault.Late, "wait for slot", "no slot became free within the deadline")
	}
}
