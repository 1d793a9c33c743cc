package share

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/view"
)

var _ chain.MemberLoads = (*Shares)(nil)

// MemberLoad implements chain.MemberLoads. An idle transaction keeps its connection, but is no
// work for the member.
func (s *Shares) MemberLoad(database string, m view.Member) even.Candidate {
	g := s.gate(database, m)
	_, inUse, waiting := g.Counts()
	s.mu.Lock()
	idle := g.idle
	s.mu.Unlock()
	c := even.Candidate{Name: m.Name, Own: max(inUse+waiting-idle, 0), Capacity: float64(s.options.Slots(database))}
	c.Others, c.Age, c.Reported = s.demands.at(m.Name, time.Now())
	return c
}

// HostLoad returns the demand that another proxy last reported, at all members together, and
// the time since. It returns false if it has reported none recently.
func (s *Shares) HostLoad(host string) (demand float64, age time.Duration, found bool) {
	return s.demands.reportedBy(host, time.Now())
}

// at returns the sum of the valid reports of other proxies at a member and their mean age.
func (d *demands) at(member string, now time.Time) (sum float64, age time.Duration, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reports := 0
	for _, r := range d.others {
		if since := now.Sub(r.received); since < demandLifetime {
			sum += float64(r.demand[member])
			age += since
			reports++
		}
	}
	if reports == 0 {
		return 0, 0, false
	}
	return sum, age / time.Duration(reports), true
}

// reportedBy returns the sum of the valid report of another proxy over all members.
func (d *demands) reportedBy(host string, now time.Time) (sum float64, age time.Duration, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.others[host]
	if age = now.Sub(r.received); !found || age >= demandLifetime {
		return 0, 0, false
	}
	for _, n := range r.demand {
		sum += float64(n)
	}
	return sum, age, true
}
