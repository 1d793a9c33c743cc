package usage

import (
	"math"
	"slices"
	"time"
)

const (
	// ratePeriod is the time constant over which a host averages a customer's arrivals.
	ratePeriod = time.Second
	// prefetchTime is the time for which tokens are prefetched. It leaves a round trip between
	// regions until they expire.
	prefetchTime = 300 * time.Millisecond
	// prefetchPart is the part of the expected operations for which tokens are prefetched.
	// With all of them, about half of the time some would expire unused.
	prefetchPart = 0.75
	// beyondTime is how long after a grant a customer counts as beyond its cap.
	beyondTime = 250 * time.Millisecond
	// retryTime is the pause before tokens that were not granted are requested again.
	retryTime = 60 * time.Millisecond
	// topUpTime is the pause between asks that only prefetch tokens.
	topUpTime = 100 * time.Millisecond
	// idleTime is the time without operations after which a customer's counter is dropped.
	idleTime = 10 * time.Second
)

// counter is a host's account of one customer.
type counter struct {
	// arrivals and used count the operations that arrived, and those that ran.
	arrivals, used decaying
	// waiting are the operations without a token, in order of arrival.
	waiting []waiter
	stock   []batch
	// beyondUntil is the time until which the customer counts as beyond its cap, and unserved
	// the number of operations refused since the last ask for that reason.
	beyondUntil time.Duration
	unserved    uint32
	// retryAt is the earliest time at which tokens that were not granted are requested again.
	retryAt time.Duration
}

// waiter is an operation that waits for a token. firstAsk is the ID of the first ask for it,
// or 0.
type waiter struct {
	id       uint64
	firstAsk uint64
}

// batch is a number of unused tokens that expire at the same time.
type batch struct {
	tokens  uint32
	expires time.Duration
}

// expected returns the number of operations that are likely to arrive within prefetchTime.
func (c *counter) expected(now time.Duration) uint32 {
	return uint32(c.arrivals.rate(now, ratePeriod) * prefetchTime.Seconds() * prefetchPart)
}

// take uses a token and reports whether there was one.
func (c *counter) take(now time.Duration) bool {
	c.stock = slices.DeleteFunc(c.stock, func(b batch) bool { return b.tokens == 0 || b.expires <= now })
	if len(c.stock) == 0 {
		return false
	}
	c.stock[0].tokens--
	c.used.add(now, ratePeriod, 1)
	return true
}

// add stores tokens.
func (c *counter) add(tokens uint32, expires time.Duration) {
	if tokens > 0 {
		c.stock = append(c.stock, batch{tokens: tokens, expires: expires})
	}
}

// stocked returns the number of tokens that have not expired.
func (c *counter) stocked(now time.Duration) uint32 {
	var n uint32
	for _, b := range c.stock {
		if b.expires > now {
			n += b.tokens
		}
	}
	return n
}

func (c *counter) beyond(now time.Duration) bool { return now < c.beyondUntil }

// refusesAtOnce reports whether an operation without a token is refused without an ask: the
// customer is beyond its cap, and arrivals are frequent enough to use prefetched tokens.
func (c *counter) refusesAtOnce(now time.Duration) bool {
	return c.beyond(now) && c.expected(now) > 0
}

// wanted returns the number of tokens to request, and the part of it that does not count as
// demand: tokens that were requested before, and prefetched ones, which are requested again
// until they are granted.
func (c *counter) wanted(now time.Duration) (n, again uint32) {
	for _, w := range c.waiting {
		n++
		if w.firstAsk != 0 {
			again++
		}
	}
	if c.beyond(now) {
		return n + c.unserved, again
	}
	if target, stocked := c.expected(now), c.stocked(now); target > stocked {
		n += target - stocked
		again += target - stocked
	}
	return n, again
}

// unasked returns the number of operations whose token was not requested yet.
func (c *counter) unasked() (n uint32) {
	for _, w := range c.waiting {
		if w.firstAsk == 0 {
			n++
		}
	}
	return n
}

// dueAt returns when tokens should be requested, given the time of the last ask.
func (c *counter) dueAt(now, lastAsk time.Duration) (time.Duration, bool) {
	due := time.Duration(math.MaxInt64)
	for _, w := range c.waiting {
		if w.firstAsk == 0 {
			return now, true
		}
		due = c.retryAt
	}
	topUp := c.beyond(now) && c.unserved > 0
	if !c.beyond(now) {
		target := c.expected(now)
		topUp = target > 0 && c.stocked(now) <= target/2
	}
	if topUp {
		due = min(due, lastAsk+topUpTime)
	}
	return due, due < math.MaxInt64
}

// asked records that the wanted tokens were requested.
func (c *counter) asked(id uint64) {
	for i := range c.waiting {
		if c.waiting[i].firstAsk == 0 {
			c.waiting[i].firstAsk = id
		}
	}
	c.unserved = 0
}

// settle runs the waiting operations for which there are tokens. If the customer is beyond
// its cap, it refuses those that were part of the ask or of an earlier one.
func (c *counter) settle(now time.Duration, ask uint64, beyond bool) []Outcome {
	var outcomes []Outcome
	for len(c.waiting) > 0 && c.take(now) {
		outcomes = append(outcomes, Outcome{ID: c.waiting[0].id, Run: true})
		c.waiting = c.waiting[1:]
	}
	if beyond {
		c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool {
			refused := w.firstAsk != 0 && w.firstAsk <= ask
			if refused {
				outcomes = append(outcomes, Outcome{ID: w.id})
			}
			return refused
		})
	}
	return outcomes
}

// idle reports whether the counter can be dropped.
func (c *counter) idle(now time.Duration) bool {
	return len(c.waiting) == 0 && now-c.arrivals.at > idleTime
}
