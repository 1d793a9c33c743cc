package share

import (
	"math"
	"sync"
	"time"
)

// demandLifetime is how long the reported demand of another proxy is valid: three
// heartbeats at the longest period.
const demandLifetime = 3 * time.Second

// decayDivisor sets how fast the reported demand follows a falling load: it falls by
// 1/decayDivisor with each heartbeat. This is quick enough for the next burst at another
// proxy, and slow enough that connections are not closed and reopened with every
// fluctuation.
const decayDivisor = 4

// demands holds the demand of each proxy at each member.
type demands struct {
	mu sync.Mutex
	// local is, by member, the work of this proxy since the last heartbeat.
	local map[string]load
	// reported is the demand in the last heartbeat.
	reported map[string]int
	// others is the last report of each other proxy.
	others map[string]report
	// started is when this proxy could first have received a report.
	started time.Time
}

// load is the work that arrivals found at a member or waiting for it.
type load struct{ found, arrivals int }

// demand returns how much work the member is to have capacity for: the arriving work, what it
// finds on average, and one standard deviation of a Poisson distribution with that mean. A
// brief peak does not keep connections from other proxies.
func (l load) demand() int {
	if l.arrivals == 0 {
		return 0
	}
	mean := float64(l.found) / float64(l.arrivals)
	return 1 + int(math.Round(mean+math.Sqrt(mean)))
}

// report is the demand by member that another proxy reported.
type report struct {
	demand   map[string]int
	received time.Time
}

func newDemands(now time.Time) *demands {
	return &demands{started: now, local: make(map[string]load), reported: make(map[string]int), others: make(map[string]report)}
}

// observe records the amount of work that an arrival finds at a member or waiting for it.
func (d *demands) observe(member string, found int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.local[member]
	d.local[member] = load{found: l.found + found, arrivals: l.arrivals + 1}
}

// next returns the demand of this proxy for its next heartbeat.
func (d *demands) next() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := make(map[string]int, len(d.local))
	for member, previous := range d.reported {
		if decayed := previous - max(previous/decayDivisor, 1); decayed > 0 {
			demand[member] = decayed
		}
	}
	for member, l := range d.local {
		demand[member] = max(demand[member], l.demand())
	}
	d.local, d.reported = make(map[string]load), demand
	return demand
}

// receive records the demand that another proxy reported.
func (d *demands) receive(host string, demand map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others[host] = report{demand: demand, received: now}
}

// of returns the demand of the given proxies at a member, at least 1 each. A proxy from which
// no report has arrived since this proxy started counts with an equal share until a report
// is overdue. An unresponsive proxy counts as one without demand, so that the others use
// what it cannot.
func (d *demands) of(member, self string, hosts []string, equal int, now time.Time) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := map[string]int{self: max(d.local[member].demand(), d.reported[member], 1)}
	for _, host := range hosts {
		last, found := d.others[host]
		switch {
		case host == self:
		case found && now.Sub(last.received) < demandLifetime:
			list[host] = max(last.demand[member], 1)
		case now.Sub(d.started) < demandLifetime:
			list[host] = equal
		default:
			list[host] = 1
		}
	}
	return list
}
