package slots

import (
	"maps"
	"slices"
	"time"
)

// Rules are how a Lender gives out slots.
type Rules struct {
	Policy Policy
	// QueueLimit is how much work of each rank may wait.
	QueueLimit int
	// RejectEarly tells that work is refused as soon as it might not end in time, not
	// only when its deadline has passed.
	RejectEarly bool
	// MaxConsecutive is how many pieces of work of one host run in a row on a slot before
	// the slot goes to whichever host is next.
	MaxConsecutive int
	// MaxReuseMean is how long work of a rank may hold its slot on average and yet be
	// followed without asking. Longer work gains little by it, and holds more
	// urgent work up that arrives at that moment.
	MaxReuseMean time.Duration
}

// DefaultRules returns the rules of the proxy.
func DefaultRules(limit int) Rules {
	const run, brief = 16, 40 * time.Millisecond
	return Rules{Policy: DefaultMinimumShares(), QueueLimit: limit, RejectEarly: true, MaxConsecutive: run, MaxReuseMean: brief}
}

// PermitPool gives out a fixed number of slots.
//
// A slot that is given back costs three messages before its next work begins: to
// the lender, to the next host, and to the member. Therefore the lender names,
// while work runs, other work of the same host that may follow it on the slot. A
// host that uses the slot so tells it afterwards. Until then the lender may give
// the named work a slot of its own; the host then runs it once, and the slot
// that it followed on becomes free.
//
// A PermitPool is not for concurrent use.
type PermitPool struct {
	rules Rules
	queue *Queue
	free  int
	loans map[uint64]*loan
	// paused tells that no slot may be given.
	paused bool
}

// loan is a slot in use.
type loan struct {
	work  Work
	since time.Time
	// run counts the work of the host on the slot, this one included.
	run int
	// next is the named work, or zero.
	next Work
}

// Change is what those who wait for slots, or have them, must be told.
type Change struct {
	// Granted is the work that got a slot.
	Granted []Work
	// Late is the work that can no longer end in time.
	Late []Work
	// Overflow is the work for which there is no room in the queue.
	Overflow []Work
	// Offers are the new names of work that may follow.
	Offers []ReuseOffer
}

// ReuseOffer tells the holder of a slot which work may follow on it.
type ReuseOffer struct {
	Holder Work
	// Next is the work, or zero if none may follow any longer.
	Next Work
}

// NewPermitPool returns a lender of so many slots.
func NewPermitPool(rules Rules, count int) *PermitPool {
	return &PermitPool{rules: rules, queue: NewQueue(rules.Policy, rules.QueueLimit), free: count, loans: make(map[uint64]*loan)}
}

// Free returns how many slots are free. It is below zero while more are in use
// than the lender has.
func (l *PermitPool) Free() int { return l.free }

// InUse returns how many slots are in use.
func (l *PermitPool) InUse() int { return len(l.loans) }

// Waiting returns how much work waits.
func (l *PermitPool) Waiting() int { return l.queue.Len() }

// Request asks for a slot. The work's ID must be new.
func (l *PermitPool) Request(w Work, now time.Time) Change {
	var c Change
	if out, full := l.queue.Add(w); full {
		c.Overflow = append(c.Overflow, out)
	}
	l.hand(now, &c)
	if l.queue.Contains(w.ID) {
		l.revoke(w, &c)
	}
	l.name(&c)
	return c
}

// Release takes a slot back, or work out of the queue.
func (l *PermitPool) Release(id uint64, now time.Time) Change {
	l.queue.Remove(id)
	l.release(id, now)
	return l.Schedule(now)
}

// Reuse notes that work runs on the slot of other work of its host that has
// ended, whatever has become of either meanwhile. The ended work may even still
// wait, if the word that it followed before got lost.
func (l *PermitPool) Reuse(id uint64, next Work, now time.Time) Change {
	run := 1
	if ended := l.loans[id]; ended != nil {
		run += ended.run
	}
	l.queue.Remove(id)
	l.release(id, now)
	if l.loans[next.ID] == nil {
		l.queue.Grant(next.ID)
		l.free--
		l.loans[next.ID] = &loan{work: next, since: now, run: run}
	}
	return l.Schedule(now)
}

// Pause makes all work wait until Resume.
func (l *PermitPool) Pause() { l.paused = true }

// Paused tells whether all work waits until Resume.
func (l *PermitPool) Paused() bool { return l.paused }

// Resume gives slots again.
func (l *PermitPool) Resume(now time.Time) Change {
	l.paused = false
	return l.Schedule(now)
}

// Add gives the lender more slots.
func (l *PermitPool) Add(count int, now time.Time) Change {
	l.free += count
	return l.Schedule(now)
}

// Close takes out all waiting work and returns it.
func (l *PermitPool) Close() []Work {
	var waiting []Work
	for {
		w, found := l.queue.Pop()
		if !found {
			return waiting
		}
		waiting = append(waiting, w)
	}
}

// Schedule takes out the work that is late by now, and gives slots that are free.
func (l *PermitPool) Schedule(now time.Time) Change {
	var c Change
	l.hand(now, &c)
	l.name(&c)
	return c
}

func (l *PermitPool) release(id uint64, now time.Time) {
	ended := l.loans[id]
	if ended == nil {
		return
	}
	if l.rules.RejectEarly {
		l.queue.ObserveHoldTime(ended.work.Rank, now.Sub(ended.since))
	}
	l.queue.WithdrawOffer(ended.next.ID)
	delete(l.loans, id)
	l.free++
}

// hand gives free slots to waiting work, and takes out what is late.
func (l *PermitPool) hand(now time.Time, c *Change) {
	c.Late = append(c.Late, l.queue.RemoveLate(now)...)
	for l.free > 0 && !l.paused {
		w, found := l.queue.Pop()
		if !found {
			break
		}
		l.free--
		l.loans[w.ID] = &loan{work: w, since: now, run: 1}
		c.Granted = append(c.Granted, w)
	}
}

// revoke takes back what was named and is less urgent than new work that waits.
func (l *PermitPool) revoke(w Work, c *Change) {
	for _, id := range l.held() {
		if o := l.loans[id]; o.next.Rank > w.Rank {
			l.queue.WithdrawOffer(o.next.ID)
			o.next = Work{}
			c.Offers = append(c.Offers, ReuseOffer{Holder: o.work})
		}
	}
}

// name names work for every slot whose holder may not go on yet.
func (l *PermitPool) name(c *Change) {
	first, found := l.queue.Peek()
	if !found || l.rules.MaxConsecutive <= 1 || l.queue.MeanHoldTime(first.Rank) > l.rules.MaxReuseMean {
		return
	}
	for _, id := range l.held() {
		o := l.loans[id]
		if o.work.Host == "" || o.run >= l.rules.MaxConsecutive || l.queue.Offered(o.next.ID) {
			continue
		}
		next, found := l.queue.OfferReuse(o.work.Host, first)
		if !found {
			continue
		}
		o.next = next
		c.Offers = append(c.Offers, ReuseOffer{Holder: o.work, Next: next})
	}
}

// held returns the work that has slots, in the order of its IDs.
func (l *PermitPool) held() []uint64 { return slices.Sorted(maps.Keys(l.loans)) }
