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

// bucket is the token bucket of one customer at a coordinator.
type bucket struct {
	rate     float64
	capacity float64
	level    float64
	// filled is the reading of pool.filled up to which level includes the customer's rate.
	filled float64
	// demand counts the tokens that were requested.
	demand decaying
	// credit is the fraction of a token that proportional division owes to the next ask.
	credit float64
}

// update fills the bucket for the authority that the coordinator had since the last update,
// and limits it to its present share of the capacity.
func (b *bucket) update(filled, share float64) {
	b.level += b.rate * (filled - b.filled)
	b.filled = filled
	b.level = min(b.level, share*b.capacity)
}

// setCap applies the customer's cap. The bucket must be up to date.
func (b *bucket) setCap(c sheet.Customer, policy Policy, share float64) {
	b.rate, b.capacity = c.Rate, policy.capacity(c.Burst)
	b.level = min(b.level, share*b.capacity)
}

// take grants tokens for n operations, of which again were already requested earlier. It
// reports whether the customer asks for more than the given share of its cap. The bucket must
// be up to date.
func (b *bucket) take(now time.Duration, n, again uint32, share float64) (granted uint32, beyond bool) {
	demand := b.demand.add(now, demandPeriod, float64(n-min(n, again)))
	permitted := share * b.rate * demandPeriod.Seconds()
	beyond = share > 0 && demand > permitted+demandAllowance
	available := max(0, b.level)
	if beyond && available-float64(n) < b.reserve(share) {
		// Each ask gets the same part of what it wants, so that hosts share in proportion to
		// their demand and not to how often they ask.
		b.credit += float64(n) * permitted / demand
		available = min(available, b.credit)
	}
	granted = min(n, uint32(min(available, math.MaxUint32)))
	b.level -= float64(granted)
	b.credit = max(0, min(b.credit-float64(granted), 1))
	return granted, beyond
}

// reserve is the level below which tokens are divided in proportion while the customer asks
// for more than its cap. With 0.05 s of the rate, hosts with few operations got up to 30%
// more than their part, now 26%; with 0.2 s and a quarter of the capacity, 1% of the permitted
// operations was refused in bursts.
func (b *bucket) reserve(share float64) float64 {
	const period, part = 0.1, 0.1
	return share * min(b.rate*period, b.capacity*part)
}
