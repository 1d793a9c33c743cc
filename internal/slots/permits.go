package slots

import (
	"maps"
	"slices"
	"time"
)

// Rules configure how a PermitPool grants slots.
type Rules struct {
	Policy Policy
	// QueueLimit is the maximum amount of waiting work of each rank.
	QueueLimit int
	// RejectEarly rejects work as soon as the estimated hold time of its rank
	// exceeds the time to its deadline, not only once the deadline has passed. While the
	// estimate refuses all work of a rank, one piece of work at a time is exempt and tests
	// it, so that the rank is served again after a slow period of the member.
	RejectEarly bool
	// MaxConsecutive is how many pieces of work of one host may run on a slot in
	// succession before the slot is granted to the next work of any host.
	MaxConsecutive int
	// MaxReuseMean is the longest mean hold time of a rank for which a host may
	// reuse a permit. Longer work gains little from the saved messages, and
	// delays more urgent work that arrives at that moment.
	MaxReuseMean time.Duration
}

// DefaultRules returns the rules that the proxy uses, with the given queue limit.
func DefaultRules(limit int) Rules {
	const maxConsecutive, maxReuseMean = 16, 40 * time.Millisecond
	return Rules{Policy: DefaultMinimumShares(), QueueLimit: limit, RejectEarly: true, MaxConsecutive: maxConsecutive, MaxReuseMean: maxReuseMean}
}

// PermitPool grants permits for a limited number of slots.
//
// Releasing a permit costs three messages before the next work begins: to the
// lease holder, to the next host, and to the member. To save two of them, the
// pool offers a host, while its work runs, other work of that host for which it
// may reuse the permit. A host that does so reports it afterwards with Reuse.
// Until then the pool may grant the offered work a permit of its own; the host
// then runs the work only once, and the reused slot becomes free.
//
// A PermitPool is not safe for concurrent use.
type PermitPool struct {
	rules Rules
	queue *Queue
	free  int
	// permits holds the granted permits by the ID of their work.
	permits map[uint64]*permit
	// paused reports whether granting is suspended.
	paused bool
}

// permit is a slot in use.
type permit struct {
	work  Work
	since time.Time
	// consecutive is how much work of the host has run on the slot in succession,
	// including the current work.
	consecutive int
	// offered is the work that may reuse the permit, or zero.
	offered Work
}

// Change lists the outcomes to report to the hosts that wait for slots or hold them.
type Change struct {
	// Granted is the work that was granted a slot.
	Granted []Work
	// Late is the rejected work that can no longer end before its deadline.
	Late []Work
	// Overflow is the rejected work that exceeds the queue limit.
	Overflow []Work
	// Offers are the permits that may now be reused, or no longer.
	Offers []ReuseOffer
}

// ReuseOffer states for which work the holder of a permit may reuse it.
type ReuseOffer struct {
	Holder Work
	// Next is the work, or zero if the previous offer is withdrawn.
	Next Work
}

// NewPermitPool returns a pool of count slots.
func NewPermitPool(rules Rules, count int) *PermitPool {
	return &PermitPool{rules: rules, queue: NewQueue(rules.Policy, rules.QueueLimit), free: count, permits: make(map[uint64]*permit)}
}

// Free returns how many slots are free. It is negative while more slots are in
// use than the pool has.
func (p *PermitPool) Free() int { return p.free }

// InUse returns how many slots are in use.
func (p *PermitPool) InUse() int { return len(p.permits) }

// Waiting returns how much work waits.
func (p *PermitPool) Waiting() int { return p.queue.Len() }

// Request requests a slot for work, whose ID must be new.
func (p *PermitPool) Request(w Work, now time.Time) Change {
	var c Change
	p.queue.StartProbe(w, now)
	if rejected, full := p.queue.Add(w); full {
		c.Overflow = append(c.Overflow, rejected)
	}
	p.grant(now, &c)
	if p.queue.Contains(w.ID) {
		p.withdraw(w, &c)
	}
	p.offer(&c)
	return c
}

// Release frees the slot that work holds, or removes the work from the queue.
func (p *PermitPool) Release(id uint64, now time.Time) Change {
	p.queue.Remove(id)
	p.reclaim(id, now)
	return p.Schedule(now)
}

// Reuse records that a host reused the permit of work that has ended for its
// next work, regardless of the present state of either. The ended work may even
// still be waiting, if the report that it had itself reused a permit was lost.
func (p *PermitPool) Reuse(id uint64, next Work, now time.Time) Change {
	consecutive := 1
	if ended := p.permits[id]; ended != nil {
		consecutive += ended.consecutive
	}
	p.queue.Remove(id)
	p.reclaim(id, now)
	if p.permits[next.ID] == nil {
		p.queue.Grant(next.ID)
		p.free--
		p.permits[next.ID] = &permit{work: next, since: now, consecutive: consecutive}
	}
	return p.Schedule(now)
}

// Pause suspends granting until Resume.
func (p *PermitPool) Pause() { p.paused = true }

// Paused reports whether granting is suspended.
func (p *PermitPool) Paused() bool { return p.paused }

// Resume resumes granting.
func (p *PermitPool) Resume(now time.Time) Change {
	p.paused = false
	return p.Schedule(now)
}

// Add adds count slots to the pool, or removes them if count is negative.
func (p *PermitPool) Add(count int, now time.Time) Change {
	p.free += count
	return p.Schedule(now)
}

// Close removes and returns all waiting work.
func (p *PermitPool) Close() []Work {
	var waiting []Work
	for {
		w, found := p.queue.Pop()
		if !found {
			return waiting
		}
		waiting = append(waiting, w)
	}
}

// Schedule rejects the work that is late at now, and grants the free slots.
func (p *PermitPool) Schedule(now time.Time) Change {
	var c Change
	p.grant(now, &c)
	p.offer(&c)
	return c
}

// reclaim frees the slot that work holds, if any, and records its hold time.
func (p *PermitPool) reclaim(id uint64, now time.Time) {
	ended := p.permits[id]
	if ended == nil {
		return
	}
	if p.rules.RejectEarly {
		p.queue.ObserveHoldTime(ended.work, ended.since, now)
	}
	p.queue.WithdrawOffer(ended.offered.ID)
	delete(p.permits, id)
	p.free++
}

// grant rejects late work, and grants the free slots to waiting work.
func (p *PermitPool) grant(now time.Time, c *Change) {
	c.Late = append(c.Late, p.queue.RemoveLate(now)...)
	for p.free > 0 && !p.paused {
		w, found := p.queue.Pop()
		if !found {
			break
		}
		p.free--
		p.permits[w.ID] = &permit{work: w, since: now, consecutive: 1}
		c.Granted = append(c.Granted, w)
	}
}

// withdraw withdraws the offers of work that is less urgent than new waiting work.
func (p *PermitPool) withdraw(w Work, c *Change) {
	for _, id := range p.holders() {
		if h := p.permits[id]; h.offered.Rank > w.Rank {
			p.queue.WithdrawOffer(h.offered.ID)
			h.offered = Work{}
			c.Offers = append(c.Offers, ReuseOffer{Holder: h.work})
		}
	}
}

// offer offers waiting work for every permit that has no open offer.
func (p *PermitPool) offer(c *Change) {
	first, found := p.queue.Peek()
	if !found || p.rules.MaxConsecutive <= 1 || p.queue.MeanHoldTime(first.Rank) > p.rules.MaxReuseMean {
		return
	}
	for _, id := range p.holders() {
		h := p.permits[id]
		if h.work.Host == "" || h.consecutive >= p.rules.MaxConsecutive || p.queue.Offered(h.offered.ID) {
			continue
		}
		next, found := p.queue.OfferReuse(h.work.Host, first)
		if !found {
			continue
		}
		h.offered = next
		c.Offers = append(c.Offers, ReuseOffer{Holder: h.work, Next: next})
	}
}

// holders returns the IDs of the work that holds slots, in ascending order.
func (p *PermitPool) holders() []uint64 { return slices.Sorted(maps.Keys(p.permits)) }
