package app

import (
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/config"
)

const (
	// bytesPerMB is the stricter of the two meanings of MB.
	bytesPerMB = 1_000_000
	// fileDescriptors is the number of descriptors that the platform sets aside for files.
	fileDescriptors = 200
	// otherSockets is the part of the remaining descriptors, as a divisor, for connections to
	// members, peers, the store and operators, and for connections that are being refused.
	otherSockets = 5
)

// newMemory returns the memory budget, and sets the soft memory limit of the Go runtime until the
// application stops. The budget is nil if memory is not limited.
func newMemory(lc fx.Lifecycle, s config.Settings, registry *prometheus.Registry) *budget.Budget {
	memory := int64(s.Limits.MemoryMB) * bytesPerMB
	b := budget.New(budget.Options{Memory: memory, MaxMessage: s.Limits.RequestBytes})
	if b == nil {
		return nil
	}
	former := debug.SetMemoryLimit(budget.GoLimit(memory))
	onStop(lc, func() { debug.SetMemoryLimit(former) })
	for _, c := range budget.Classes() {
		labels := prometheus.Labels{"class": c.String()}
		registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "poplarrouter_memory_bytes", Help: "Bytes in use in the memory budget, by class of data.", ConstLabels: labels,
			}, func() float64 { return float64(b.Used(c)) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "poplarrouter_memory_limit_bytes", Help: "Bytes that the memory budget allows, by class of data.", ConstLabels: labels,
			}, func() float64 { return float64(b.Capacity(c)) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "poplarrouter_memory_refusals_total", Help: "Messages refused and callers disconnected because the budget was used up, by class of data.", ConstLabels: labels,
			}, func() float64 { return float64(b.Evicted(c)) }),
		)
	}
	return b
}

// maxSessions returns the number of connections of callers and of relaying proxies that the
// file descriptors allow, or 0 if descriptors are not limited.
func maxSessions(l config.Limits) int {
	if l.Descriptors == 0 {
		return 0
	}
	sockets := max(l.Descriptors-fileDescriptors, l.Descriptors/2)
	return max(sockets-sockets/otherSockets, 1)
}

// callerConnections returns the maximum number of connected callers: CallerConnections, or what
// the file descriptors allow if that is less.
func callerConnections(l config.Limits) int {
	if limit := maxSessions(l); limit > 0 {
		return min(l.CallerConnections, limit)
	}
	return l.CallerConnections
}
