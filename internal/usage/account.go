package usage

import (
	"math"
	"time"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// demandPeriod is the time constant over which demand for tokens is averaged at the
// coordinator. Shorter ones take the bursts of small customers for lasting demand.
const demandPeriod = 2 * time.Second

// demandAllowance is the number of operations by which the demand within demandPeriod may
// exceed the cap before operations without a token are refused instead of waiting. It keeps
// customers with caps of about one operation a second from being refused for two arrivals
// in a row.
const demandAllowance = 3

// account is the account of one customer at a coordinator.
type account struct {
	rate      float64
	allowance allowance
	granted   ledger
	// sustained is the number of operations a second that can be granted for ever, and initial
	// the number that can be granted as soon as the whole cap is delegated.
	sustained float64
	initial   float64
	// demand counts the tokens that were requested.
	demand decaying
	// credit is the fraction of a token that proportional division owes to the next ask.
	credit float64
}

// newAccount returns the account of a customer of whose grants nothing is known.
func newAccount(now time.Duration, c sheet.Customer, policy Policy) *account {
	b := &account{}
	b.setCap(c, policy)
	b.granted = newLedger(now, policy.slots())
	return b
}

// setCap applies the customer's cap.
func (b *account) setCap(c sheet.Customer, policy Policy) {
	b.rate, b.allowance = c.Rate, policy.allowance(c.Rate, c.Burst)
	b.sustained, b.initial = b.allowance.sustained(policy.slots()), policy.initial()
}

// available returns the number of tokens that may be granted now.
func (b *account) available(now time.Duration, share float64) float64 {
	b.granted.advance(now)
	return share * b.granted.room(b.allowance)
}

// join adds a host's part to the share of the cap that is delegated here.
func (b *account) join(now time.Duration, share, added float64) {
	b.granted.advance(now)
	b.granted.mix(share, added, b.initial)
}

// take grants tokens for n operations, of which again were already requested earlier. It
// reports whether the customer asks for more than the expected share of its cap.
func (b *account) take(now time.Duration, n, again uint32, share, expected float64) (granted uint32, beyond bool) {
	demand := b.demand.add(now, demandPeriod, float64(n-min(n, again)))
	permitted := expected * max(b.rate, b.sustained) * demandPeriod.Seconds()
	available := b.available(now, share)
	// While tokens are left, hosts need not refuse operations without asking.
	beyond = expected > 0 && demand > permitted+demandAllowance && available-float64(n) < b.reserve(expected)
	if beyond {
		// Each ask gets the same part of what it wants, so that hosts share in proportion to
		// their demand and not to how often they ask.
		b.credit += float64(n) * permitted / demand
		available = min(available, b.credit)
	}
	granted = min(n, uint32(min(available, math.MaxUint32)))
	if granted > 0 {
		b.granted.add(float64(granted), share)
	}
	b.credit = max(0, min(b.credit-float64(granted), 1))
	return granted, beyond
}

// reserve is the number of available tokens below which they are divided in proportion while
// the customer asks for more than its cap. With 0.05 s of the rate, hosts with few operations
// got up to 30% more than their part.
func (b *account) reserve(share float64) float64 {
	const period, part = 0.1, 0.1
	return share * min(b.sustained*period, b.allowance.burst*part)
}
