package limit

import (
	"poplarrouter.example/poplarrouter/internal/usage"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Status is the state of the usage caps on this host.
type Status struct {
	Customers []CustomerStatus `json:",omitempty"`
	// Coordinated are the partitions that this host coordinates.
	Coordinated []usage.PoolStatus `json:",omitempty"`
}

// CustomerStatus is the cap of a customer, and what this host recently used of it.
type CustomerStatus struct {
	usage.CustomerStatus
	Rate        float64
	Burst       float64
	Coordinator string
}

// Status returns the state for the customers of a sheet that have caps.
func (l *Limiter) Status(customers []sheet.Customer) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.now()
	used := make(map[string]usage.CustomerStatus)
	for _, s := range l.host.Status(now) {
		used[s.Customer] = s
	}
	status := Status{Coordinated: l.coordinator.Status(now)}
	for _, c := range customers {
		if !c.Capped() {
			continue
		}
		s := CustomerStatus{CustomerStatus: used[c.Name], Rate: c.Rate, Burst: c.Burst, Coordinator: l.host.Coordinator(usage.PartitionOf(c.Name))}
		s.Customer = c.Name
		status.Customers = append(status.Customers, s)
	}
	return status
}
