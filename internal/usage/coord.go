package usage

import (
	"maps"
	"math"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// whole is the number of parts that a cap is divided into. Delegations are counted in whole
// parts, so that their sum is exact.
const whole = 1 << 40

// forgetTime is how long a host without a delegation is remembered, so that its late and
// repeated asks are recognized.
const forgetTime = 10 * DelegationTime

// settleTime is the time within which all hosts delegate to a new coordinator, and it has
// granted the operations that waited meanwhile. Until then it judges demand against the whole
// cap, so that operations wait for the other hosts' parts.
const settleTime = 3 * DelegationTime

// Coordinator grants tokens of the partitions for which hosts have delegated their parts of
// the caps to it.
type Coordinator struct {
	policy Policy
	pools  [Partitions]*pool
}

// pool is the authority over one partition and the accounts of its customers.
type pool struct {
	policy      Policy
	delegations map[string]*delegation
	// parts is the sum of all valid delegations.
	parts int64
	// average is the decaying average of share over demandPeriod, as of updated.
	average float64
	updated time.Duration
	// began is when the first delegation arrived after a time without any.
	began time.Duration
	// nextExpiry is no later than the next time at which a delegation expires or is forgotten.
	nextExpiry time.Duration
	accounts   map[string]*account
}

// delegation is a host's part of the caps.
type delegation struct {
	host    string
	boot    uint32
	lastID  uint64
	parts   int64
	expires time.Duration
	seen    time.Duration
}

// end returns when the delegation expires, or is forgotten if it has expired.
func (d *delegation) end() time.Duration {
	if d.parts > 0 {
		return d.expires
	}
	return d.seen + forgetTime
}

// NewCoordinator returns a coordinator without delegations. Its clock must start at a random
// reading, so that the tickets of an earlier process of the host are void.
func NewCoordinator(policy Policy) *Coordinator {
	c := &Coordinator{policy: policy}
	for i := range c.pools {
		c.pools[i] = &pool{policy: policy, delegations: make(map[string]*delegation), nextExpiry: math.MaxInt64, accounts: make(map[string]*account)}
	}
	return c
}

// SetCustomers replaces the caps. An account keeps its grants; those of a new customer are
// unknown.
func (c *Coordinator) SetCustomers(now time.Duration, customers []sheet.Customer) {
	listed := make(map[string]bool, len(customers))
	for _, p := range c.pools {
		p.advance(now)
	}
	for _, customer := range customers {
		if !customer.Capped() || listed[customer.Name] {
			continue
		}
		listed[customer.Name] = true
		p := c.pools[PartitionOf(customer.Name)]
		if b, found := p.accounts[customer.Name]; found {
			b.setCap(customer, c.policy)
			continue
		}
		p.accounts[customer.Name] = newAccount(now, customer, c.policy)
	}
	for _, p := range c.pools {
		maps.DeleteFunc(p.accounts, func(name string, _ *account) bool { return !listed[name] })
	}
}

// Handle answers an ask of a host.
func (c *Coordinator) Handle(now time.Duration, host string, a Ask) Grant {
	g := Grant{ID: a.ID, Partition: a.Partition, Ticket: now.Milliseconds()}
	if a.Partition >= Partitions {
		return g
	}
	p := c.pools[a.Partition]
	p.advance(now)
	if a.Ticket == 0 && len(a.Tokens) == 0 {
		return g
	}
	if !p.accept(now, host, a) {
		// Without a ticket, the grant does not confirm that a delegation was withdrawn.
		g.Ticket = 0
		return g
	}
	for _, name := range slices.Sorted(maps.Keys(a.Tokens)) {
		granted, beyond := p.take(now, name, a.Tokens[name], a.Again[name])
		if granted > 0 {
			if g.Tokens == nil {
				g.Tokens = make(map[string]uint32, len(a.Tokens))
			}
			g.Tokens[name] = granted
		}
		if beyond {
			g.Beyond = append(g.Beyond, name)
		}
	}
	return g
}

func (p *pool) take(now time.Duration, customer string, n, again uint32) (granted uint32, beyond bool) {
	b, found := p.accounts[customer]
	if !found {
		// The host's sheet is newer than this one, or older.
		return 0, false
	}
	return b.take(now, n, again, p.share(), p.judgedShare(now))
}

// judgedShare returns the part of the cap against which demand is judged. The demand is that of
// the past demandPeriod, in which the share may have been greater.
func (p *pool) judgedShare(now time.Duration) float64 {
	switch {
	case p.parts == 0:
		return 0
	case now < p.began+settleTime:
		return 1
	default:
		return max(p.share(), p.average)
	}
}

// averageTo moves the average of the share to a time.
func (p *pool) averageTo(now time.Duration) {
	if now > p.updated {
		p.average = p.share() + (p.average-p.share())*math.Exp(-float64(now-p.updated)/float64(demandPeriod))
		p.updated = now
	}
}

// accept applies the delegation of an ask. It reports false for a repeated ask and for one
// that a later one has overtaken.
func (p *pool) accept(now time.Duration, host string, a Ask) bool {
	d, found := p.delegations[host]
	if !found {
		d = &delegation{host: host, boot: a.Boot}
		p.delegations[host] = d
	}
	if d.boot != a.Boot {
		p.setParts(now, d, 0)
		d.boot, d.lastID = a.Boot, 0
	}
	if a.ID <= d.lastID {
		return false
	}
	d.lastID, d.seen = a.ID, now
	ticket := time.Duration(a.Ticket) * time.Millisecond
	if a.Ticket != 0 && ticket <= now && now < ticket+DelegationTime {
		d.expires = ticket + DelegationTime
		var parts int64
		if a.Hosts > 0 {
			parts = whole / int64(a.Hosts)
		}
		p.setParts(now, d, parts)
	}
	p.nextExpiry = min(p.nextExpiry, d.end())
	return true
}

// setParts changes a delegation. What an added part was used for until now is unknown.
func (p *pool) setParts(now time.Duration, d *delegation, parts int64) {
	p.averageTo(now)
	share := p.share()
	if p.parts == 0 && parts > 0 {
		p.began = now
	}
	p.parts += parts - d.parts
	d.parts = parts
	added := p.share() - share
	if added <= 0 {
		return
	}
	for _, b := range p.accounts {
		b.join(now, share, added)
	}
}

// share returns the part of the caps that is delegated to this coordinator. It is at most 1,
// also while hosts count differing numbers of hosts.
func (p *pool) share() float64 { return min(1, float64(p.parts)/whole) }

// advance ends the delegations that have expired by a time.
func (p *pool) advance(now time.Duration) {
	if p.nextExpiry <= now {
		p.expire(now)
	}
	p.averageTo(now)
}

func (p *pool) expire(now time.Duration) {
	for _, d := range p.delegations {
		if d.parts > 0 && d.expires <= now {
			p.setParts(now, d, 0)
		}
	}
	p.nextExpiry = math.MaxInt64
	for host, d := range p.delegations {
		if d.parts == 0 && d.seen+forgetTime <= now {
			delete(p.delegations, host)
			continue
		}
		p.nextExpiry = min(p.nextExpiry, d.end())
	}
}

// BucketStatus is the state of a customer's account at its coordinator.
type BucketStatus struct {
	Customer string
	Rate     float64
	Tokens   float64
	// Demand is the number of tokens requested a second.
	Demand float64
}

// PoolStatus is the state of a partition at its coordinator.
type PoolStatus struct {
	Partition uint32
	// Delegations is the number of hosts whose parts are delegated, and Share the sum of
	// these parts.
	Delegations int
	Share       float64
	Buckets     []BucketStatus
}

// Status returns the state of the partitions for which this coordinator has delegations.
func (c *Coordinator) Status(now time.Duration) []PoolStatus {
	var list []PoolStatus
	for i, p := range c.pools {
		p.advance(now)
		s := PoolStatus{Partition: uint32(i), Share: p.share()} //nolint:gosec // less than Partitions
		for _, d := range p.delegations {
			if d.parts > 0 {
				s.Delegations++
			}
		}
		if s.Delegations == 0 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(p.accounts)) {
			b := p.accounts[name]
			s.Buckets = append(s.Buckets, BucketStatus{Customer: name, Rate: b.rate, Tokens: b.available(now, p.share()), Demand: b.demand.rate(now, demandPeriod)})
		}
		list = append(list, s)
	}
	return list
}
