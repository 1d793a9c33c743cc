package share

import (
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
	// local is, by member, the most work of this proxy that was at the member or waited
	// for it since the last heartbeat.
	local map[string]int
	// reported is the demand in the last heartbeat.
	reported map[string]int
	// others is the last report of each other proxy.
	others map[string]report
	// started is when this proxy could first have received a report.
	started time.Time
}

// report is the demand by member that another proxy reported.
type report struct {
	demand   map[string]int
	received time.Time
}

func newDemands(now time.Time) *demands {
	return &demands{started: now, local: make(map[string]int), reported: make(map[string]int), others: make(map[string]report)}
}

// observe records the amount of work that is at a member or waits for it.
func (d *demands) observe(member string, count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.local[member] = max(d.local[member], count)
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
	for member, count := range d.local {
		demand[member] = max(demand[member], count)
	}
	d.local, d.reported = make(map[string]int), demand
	return demand
}

// receive records the demand that another proxy reported.
func (d *demands) receive(host string, demand map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others[host] = report{demand: demand, received: now}
}

// of returns the demand of the given proxies at a member, plus 1 each. A proxy from which
// no report has arrived since this proxy started counts with an equal share until a report
// is overdue. An unresponsive proxy counts as one without demand, so that the others use
// what it cannot.
func (d *demands) of(member, self string, hosts []string, equal int, now time.Time) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := map[string]int{self: max(d.local[member], d.reported[member]) + 1}
	for _, host := range hosts {
		last, found := d.others[host]
		switch {
		case host == self:
		case found && now.Sub(last.received) < demandLifetime:
			list[host] = last.demand[member] + 1
		case now.Sub(d.started) < demandLifetime:
			list[host] = equal
		default:
			list[host] = 1
		}
	}
	return list
}
