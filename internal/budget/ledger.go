package budget

import (
	"slices"
	"time"
)

// Holder is one holder of bytes as a Policy sees it.
type Holder struct {
	ID   uint64
	Held int64
	// Since is when the holder began to wait for its caller: to read a message from it or to
	// write an answer to it. It is zero while the holder does not wait for its caller.
	Since time.Time
}

// Policy selects the holder to evict while a request waits, and reports whether there is one.
type Policy func(now time.Time, holders []Holder) (Holder, bool)

// Slowest selects the holder that has waited longest for its caller, if it has waited for at
// least the given time.
func Slowest(patience time.Duration) Policy {
	return func(now time.Time, holders []Holder) (Holder, bool) {
		var slowest Holder
		for _, h := range holders {
			if !h.Since.IsZero() && now.Sub(h.Since) >= patience && (slowest.ID == 0 || h.Since.Before(slowest.Since)) {
				slowest = h
			}
		}
		return slowest, slowest.ID != 0
	}
}

// Decision is what follows from a step of a Ledger.
type Decision struct {
	// Granted are the waiting holders whose requests are granted, and Evicted the holders that
	// must end. Both are IDs.
	Granted []uint64
	Evicted []uint64
}

type waiter struct {
	id    uint64
	bytes int64
}

// Ledger accounts for the bytes of one class. Requests that do not fit wait in the order of
// their arrival.
type Ledger struct {
	capacity int64
	used     int64
	policy   Policy
	holders  map[uint64]*Holder
	waiting  []waiter
	// leaving counts the bytes of evicted holders that have not ended yet.
	leaving int64
	evicted map[uint64]bool
}

// NewLedger returns a ledger of the given capacity in bytes.
func NewLedger(capacity int64, p Policy) *Ledger {
	return &Ledger{capacity: capacity, policy: p, holders: make(map[uint64]*Holder), evicted: make(map[uint64]bool)}
}

// Used returns the bytes that are held.
func (l *Ledger) Used() int64 { return l.used }

// Capacity returns the bytes that may be held.
func (l *Ledger) Capacity() int64 { return l.capacity }

// Held returns the bytes that a holder holds.
func (l *Ledger) Held(id uint64) int64 {
	if h := l.holders[id]; h != nil {
		return h.Held
	}
	return 0
}

// Acquire asks for bytes beyond those that the holder has. since is the time from which the
// holder waits for its caller, or zero. It returns whether the bytes are granted; otherwise the
// request waits, and is granted or withdrawn later.
func (l *Ledger) Acquire(now time.Time, id uint64, bytes int64, since time.Time) (bool, Decision) {
	if len(l.waiting) == 0 && l.used+bytes <= l.capacity {
		l.add(id, bytes, since)
		return true, Decision{}
	}
	l.waiting = append(l.waiting, waiter{id, bytes})
	return false, l.Tick(now)
}

// TryAcquire takes bytes if they are free, and reports whether it did.
func (l *Ledger) TryAcquire(id uint64, bytes int64) bool {
	if l.used+bytes > l.capacity {
		return false
	}
	l.add(id, bytes, time.Time{})
	return true
}

// Charge takes bytes for data that is held already, even if the capacity is exceeded. since is the
// time from which the holder waits for its caller, or zero. Charge then evicts those that have
// waited longest for their callers, however short, until the capacity suffices.
func (l *Ledger) Charge(now time.Time, id uint64, bytes int64, since time.Time) (d Decision) {
	l.add(id, bytes, since)
	for l.used-l.leaving > l.capacity {
		victim, found := Slowest(0)(now, l.candidates())
		if !found {
			break
		}
		d.Evicted = append(d.Evicted, l.evict(victim))
	}
	return d
}

// Tick evicts the holder that the policy selects, if requests wait and the bytes of the
// holders that are being evicted do not suffice for the first of them.
func (l *Ledger) Tick(now time.Time) (d Decision) {
	for len(l.waiting) > 0 && l.used-l.leaving+l.waiting[0].bytes > l.capacity {
		victim, found := l.policy(now, l.candidates())
		if !found {
			break
		}
		d.Evicted = append(d.Evicted, l.evict(victim))
	}
	return d
}

func (l *Ledger) evict(h Holder) uint64 {
	l.evicted[h.ID] = true
	l.leaving += h.Held
	return h.ID
}

// candidates returns the holders that are not being evicted and do not wait for bytes of this
// ledger: one that waits is not slow but delayed.
func (l *Ledger) candidates() []Holder {
	list := make([]Holder, 0, len(l.holders))
	for id, h := range l.holders {
		delayed := slices.ContainsFunc(l.waiting, func(w waiter) bool { return w.id == id })
		if !l.evicted[id] && !delayed && h.Held > 0 {
			list = append(list, *h)
		}
	}
	return list
}

// SetSince records from when on a holder waits for its caller, or the zero time if it does not.
func (l *Ledger) SetSince(id uint64, since time.Time) {
	if h := l.holders[id]; h != nil {
		h.Since = since
	}
}

// Withdraw removes the waiting request of a holder.
func (l *Ledger) Withdraw(id uint64) Decision {
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return w.id == id })
	return l.grant()
}

// Release returns all bytes of a holder.
func (l *Ledger) Release(id uint64) Decision {
	h := l.holders[id]
	if h == nil {
		return Decision{}
	}
	l.used -= h.Held
	if l.evicted[id] {
		l.leaving -= h.Held
		delete(l.evicted, id)
	}
	delete(l.holders, id)
	return l.grant()
}

// Shrink returns some bytes of a holder.
func (l *Ledger) Shrink(id uint64, bytes int64) Decision {
	h := l.holders[id]
	if h == nil {
		return Decision{}
	}
	bytes = min(bytes, h.Held)
	h.Held -= bytes
	l.used -= bytes
	if l.evicted[id] {
		l.leaving -= bytes
	}
	return l.grant()
}

func (l *Ledger) grant() (d Decision) {
	for len(l.waiting) > 0 && l.used+l.waiting[0].bytes <= l.capacity {
		first := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.add(first.id, first.bytes, time.Time{})
		d.Granted = append(d.Granted, first.id)
	}
	return d
}

func (l *Ledger) add(id uint64, bytes int64, since time.Time) {
	h := l.holders[id]
	if h == nil {
		h = &Holder{ID: id}
		l.holders[id] = h
	}
	h.Held += bytes
	l.used += bytes
	if !since.IsZero() {
		h.Since = since
	}
	if l.evicted[id] {
		l.leaving += bytes
	}
}
