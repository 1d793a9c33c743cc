package limit

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/usage"
)

// metrics count operations of customers with caps. They have no label for the customer, of
// which there may be many.
type metrics struct {
	granted, refused, unanswered prometheus.Counter
	waited                       prometheus.Histogram
}

func newMetrics(registry *prometheus.Registry) metrics {
	operations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarrouter_cap_operations_total", Help: "Operations of customers with usage caps, by outcome: granted, refused because the customer is beyond its cap, or unanswered by a coordinator in time.",
	}, []string{"outcome"})
	waited := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "poplarrouter_cap_wait_seconds", Help: "Time that operations waited for a token. Those that found one are not included.",
		Buckets: []float64{0.001, 0.01, 0.03, 0.07, 0.15, 0.5, 1, 2, 5},
	})
	registry.MustRegister(operations, waited)
	return metrics{
		granted: operations.WithLabelValues("granted"), refused: operations.WithLabelValues("refused"),
		unanswered: operations.WithLabelValues("unanswered"), waited: waited,
	}
}

const (
	// reportInterval is the minimum time between two log lines about refusals of a customer.
	reportInterval = 10 * time.Second
	// maxReported bounds the number of customers whose refusals are counted apart.
	maxReported = 1000
)

// reports logs refusals and changes of coordinators in a bounded number of lines.
type reports struct {
	log          *event.Log
	coordinators [usage.Partitions]string

	mu       *sync.Mutex
	refusals map[string]*refusals
}

// refusals counts the refusals of a customer since the last log line about them.
type refusals struct {
	count    int
	reported time.Time
}

func newReports(log *event.Log) reports {
	return reports{log: log, mu: &sync.Mutex{}, refusals: make(map[string]*refusals)}
}

// refused counts a refusal and logs it, unless one of the customer was logged recently.
func (r *reports) refused(customer string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, found := r.refusals[customer]
	if !found {
		if len(r.refusals) >= maxReported {
			clear(r.refusals)
		}
		c = &refusals{}
		r.refusals[customer] = c
	}
	c.count++
	if now.Sub(c.reported) < reportInterval {
		return
	}
	r.log.Emit(event.CapReached, event.Fields{"Customer": customer, "Refused": c.count})
	c.count, c.reported = 0, now
}

// coordinator logs a change of a partition's coordinator.
func (r *reports) coordinator(partition uint32, name string) {
	if was := r.coordinators[partition]; was != name {
		r.coordinators[partition] = name
		r.log.Emit(event.CapCoordinator, event.Fields{"Partition": partition, "Was": was, "Coordinator": name})
	}
}
