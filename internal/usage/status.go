package usage

import (
	"maps"
	"slices"
	"time"
)

// CustomerStatus is what a host recently used of a customer's cap.
type CustomerStatus struct {
	Customer string
	// Arrived and Used are the operations a second that arrived and that ran.
	Arrived float64
	Used    float64
	Waiting int
	// BeyondCap is set if the coordinator recently reported that the customer asks for more
	// than its cap.
	BeyondCap bool
}

// Status returns the customers with recent operations.
func (h *Host) Status(now time.Duration) []CustomerStatus {
	var list []CustomerStatus
	for _, counters := range h.counters {
		for _, name := range slices.Sorted(maps.Keys(counters)) {
			c := counters[name]
			list = append(list, CustomerStatus{
				Customer: name, Arrived: c.arrivals.rate(now, ratePeriod), Used: c.used.rate(now, ratePeriod), Waiting: len(c.waiting), BeyondCap: c.beyond(now),
			})
		}
	}
	return list
}

// Coordinator returns the coordinator of a partition, or an empty name if there is none.
func (h *Host) Coordinator(partition uint32) string { return h.parts[partition].coordinator }
