package member

import (
	"slices"
	"time"
)

const (
	// customerIdleTime is how long a connection of a customer stays idle before it is closed,
	// so that customers who are no longer active hold no connections of a member. Opening a
	// connection takes longer than a statement, so pauses of a few seconds are bridged.
	customerIdleTime = 10 * time.Second
	// sweepPeriod is the interval at which idle connections of customers are examined.
	sweepPeriod = time.Second
)

// popIdle removes and returns the idle connection of a customer that was returned last.
func (p *Pool) popIdle(mode Mode, customer string) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, found := p.popLast(mode, customer)
	if found {
		c.forStateQuery = false
	}
	return c, found
}

// HasIdle reports whether a connection of a customer is idle.
func (p *Pool) HasIdle(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *Conn) bool { return c.customer == customer })
}

// popAnyIdle removes and returns an idle connection for a state query: preferably one of the
// proxy's own, or else the least recently used one, which its customer is least likely to need.
func (p *Pool) popAnyIdle(mode Mode) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, found := p.popLast(mode, "")
	if !found {
		i := p.leastRecentlyUsed(func(c *Conn) bool { return c.mode == mode })
		if i < 0 {
			return nil, false
		}
		c = p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	c.forStateQuery = true
	return c, true
}

// popLast removes and returns the connection of a customer that was returned last. The lock must
// be held.
func (p *Pool) popLast(mode Mode, customer string) (*Conn, bool) {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.mode == mode && c.customer == customer {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, true
		}
	}
	return nil, false
}

// leastRecentlyUsed returns the index of the idle connection that was used least recently among
// the suitable ones, or -1. The lock must be held.
func (p *Pool) leastRecentlyUsed(suitable func(c *Conn) bool) int {
	oldest := -1
	for i, c := range p.idle {
		if suitable(c) && (oldest < 0 || c.lastUsed.Before(p.idle[oldest].lastUsed)) {
			oldest = i
		}
	}
	return oldest
}

// evict closes the least recently used idle connections while more than limit connections are
// open. The lock must be held.
func (p *Pool) evict(limit int) {
	for p.open > limit && len(p.idle) > 0 {
		i := p.leastRecentlyUsed(func(*Conn) bool { return true })
		_ = p.idle[i].Close()
		p.idle = slices.Delete(p.idle, i, i+1)
		p.open--
	}
}

// countOpening counts a connection that is about to be opened, and closes idle connections of the
// other mode or of other customers if the pool then exceeds its share. It returns the pool's
// generation.
func (p *Pool) countOpening() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	limit := cap(p.permits)
	if p.share > 0 {
		limit = min(limit, p.share)
	}
	p.evict(limit)
	return p.generation
}

// listed reports whether connections of a customer may be kept.
func (p *Pool) listed(customer string) bool {
	return customer == "" || p.options.Listed == nil || p.options.Listed(customer)
}

// scheduleSweep plans a sweep if a connection of a customer is idle. The lock must be held.
func (p *Pool) scheduleSweep() {
	if p.sweep != nil || p.closed || !slices.ContainsFunc(p.idle, ofCustomer) {
		return
	}
	p.sweep = time.AfterFunc(sweepPeriod, p.sweepIdle)
}

func ofCustomer(c *Conn) bool { return c.customer != "" }

// sweepIdle closes the idle connections of customers who have not used them for
// customerIdleTime or are no longer listed.
func (p *Pool) sweepIdle() {
	unlisted := p.unlistedIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	oldest := time.Now().Add(-customerIdleTime)
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		expired := ofCustomer(c) && (unlisted[c.customer] || c.lastUsed.Before(oldest))
		if expired {
			_ = c.Close()
			p.open--
		}
		return expired
	})
	p.scheduleSweep()
}

// unlistedIdle returns the customers of idle connections who are no longer listed. It consults
// the list without the lock.
func (p *Pool) unlistedIdle() map[string]bool {
	unlisted := make(map[string]bool)
	p.mu.Lock()
	for _, c := range p.idle {
		unlisted[c.customer] = false
	}
	p.mu.Unlock()
	for customer := range unlisted {
		unlisted[customer] = !p.listed(customer)
	}
	return unlisted
}
