// Package budget divides the memory of the process among the data of its callers.
//
// A Ledger accounts for the bytes of one class of data, and decides who gets them: a request
// for bytes is granted at once, or waits behind earlier requests, and while one waits for too
// long the slowest holder is evicted. It has no clock and no goroutines. A Budget holds the
// ledgers of all classes. A Hold is one connection's share in them.
//
// Small messages are not accounted one by one: each connection may use FreeBytes in each class
// at no cost, which the plan of the memory covers.
package budget

import (
	"errors"
	"sync"
	"time"
)

// FreeBytes is the number of bytes that a connection may hold in each class without accounting
// for them. It covers messages of the usual size, so that an ordinary request takes no lock.
const FreeBytes = 8 << 10

// Class is a kind of data that the budget accounts for.
type Class uint8

// The classes of data.
const (
	// Messages are requests of at most BulkBytes, from the first byte that is read until the
	// answer has been written.
	Messages Class = iota
	// Bulk are larger requests. They have a class of their own, so that they cannot use up
	// the memory for the usual ones.
	Bulk
	// Receiving are answers that are being read from members and from other proxies.
	Receiving
	// Sending are answers that have been received, until they were written to callers and to
	// other proxies.
	Sending
	// State are the values and prepared statements of sessions.
	State
	classes
)

// Classes returns all classes.
func Classes() []Class { return []Class{Messages, Bulk, Receiving, Sending, State} }

// String returns the name of the class as logs and metrics show it.
func (c Class) String() string {
	return [...]string{"messages", "bulk", "receiving", "sending", "state"}[c]
}

const (
	// BulkBytes is the size above which a message counts as Bulk.
	BulkBytes = 64 << 10
	// copies is how often a message is held at a time: as it was read, decoded, and encoded for
	// a member or for another proxy in a buffer that has grown to up to twice its size.
	copies = 4
	// maxWait is how long a request for bytes may wait. A caller that sends as fast as it can
	// waits only while others do the same, and their messages take a fraction of it.
	maxWait = 2 * time.Second
	// Patience is how long a holder may take to send or to accept a message while others wait
	// for its bytes. A message of 1 MiB takes a tenth of it at 100 Mbit/s.
	Patience = time.Second
)

// ErrExhausted reports that the budget of a class is used up.
var ErrExhausted = errors.New("memory budget is used up")

// ErrEvicted reports that the holder was evicted, because it was slow and others waited.
var ErrEvicted = errors.New("evicted from the memory budget")

// shares are the parts of the memory that the classes may use, in thousandths. The remainder is
// for the program itself, idle sessions, small messages and the overhead of the collector.
var shares = [classes]int64{Messages: 60, Bulk: 150, Receiving: 60, Sending: 60, State: 60}

// goShare is the part of the memory that the Go runtime may use, in thousandths, as a soft
// limit. The remainder is for the text of the program, and for what the heap grows during a cycle
// of the collector: a crowd that asks for answers of 1 MiB exceeds the limit by a quarter.
const goShare = 650

// GoLimit returns the soft memory limit of the Go runtime for a machine with the given memory.
func GoLimit(memory int64) int64 { return memory / 1000 * goShare }

// Options configure a Budget.
type Options struct {
	// Memory is the memory of the process in bytes. 0 means that it is not limited.
	Memory int64
	// MaxMessage is the size of the largest legal message.
	MaxMessage int
	// OnEvict is called with the class and the bytes of each holder that is evicted. It must
	// not block. It may be nil.
	OnEvict func(c Class, held int64)
}

// Budget is the memory budget of the process. A nil Budget limits nothing.
type Budget struct {
	options Options

	mu      sync.Mutex
	ledgers [classes]*Ledger
	holds   map[uint64]*Hold
	nextID  uint64
	evicted [classes]uint64
}

// New returns a budget, or nil if the memory is not limited.
func New(o Options) *Budget {
	if o.Memory <= 0 {
		return nil
	}
	b := &Budget{options: o, holds: make(map[uint64]*Hold)}
	for c, share := range shares {
		capacity := o.Memory / 1000 * share
		if Class(c) == Bulk || Class(c) == Receiving { //nolint:gosec // there are few classes
			// A single message of the legal maximum is served on any machine.
			capacity = max(capacity, cost(o.MaxMessage))
		}
		b.ledgers[c] = NewLedger(capacity, Slowest(Patience))
	}
	return b
}

// cost returns the bytes that are accounted for a message of a size. They grow in steps that
// double, as buffers do.
func cost(size int) int64 {
	step := int64(FreeBytes)
	for step < int64(size) {
		step *= 2
	}
	return step * copies
}

// Used returns the bytes in use in a class, and Capacity those that it may use. Both are 0 if
// memory is not limited.
func (b *Budget) Used(c Class) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledgers[c].Used()
}

// Capacity returns the bytes that a class may use.
func (b *Budget) Capacity(c Class) int64 {
	if b == nil {
		return 0
	}
	return b.ledgers[c].Capacity()
}

// Evicted returns the number of holders of a class that were evicted or refused.
func (b *Budget) Evicted(c Class) uint64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted[c]
}

// Open returns a hold without any bytes. evict is called with the class in which the
// holder is evicted, and must make the holder end; it must not block. The hold must be closed. The hold of a nil budget is nil, and
// limits nothing.
func (b *Budget) Open(evict func(Class)) *Hold {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextID++
	h := &Hold{budget: b, id: b.nextID, evict: evict}
	b.holds[h.id] = h
	return h
}

// apply carries out what a ledger decided. The lock must be held; the returned function must
// be called without it.
func (b *Budget) apply(c Class, d Decision) func() {
	for _, id := range d.Granted {
		if h := b.holds[id]; h != nil && h.granted != nil {
			close(h.granted)
			h.granted = nil
		}
	}
	var evicted []*Hold
	held := make([]int64, 0, len(d.Evicted))
	for _, id := range d.Evicted {
		if h := b.holds[id]; h != nil {
			h.isEvicted = true
			b.evicted[c]++
			evicted = append(evicted, h)
			held = append(held, b.ledgers[c].Held(id))
		}
	}
	if len(evicted) == 0 {
		return func() {}
	}
	return func() {
		for i, h := range evicted {
			if b.options.OnEvict != nil {
				b.options.OnEvict(c, held[i])
			}
			h.evict(c)
		}
	}
}
