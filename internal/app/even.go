package app

import (
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/even"
)

// newMemberBalances returns the state of the choice among members, and registers counters of
// the choices among members and among owners by the rule that decided them.
func newMemberBalances(registry *prometheus.Registry, p *protocolParts) *even.Balances {
	members := even.NewBalances()
	registerChoices(registry, "member", members)
	if p.ownerBalances != nil {
		registerChoices(registry, "owner", p.ownerBalances)
	}
	return members
}

func registerChoices(registry *prometheus.Registry, target string, b *even.Balances) {
	for _, reason := range even.Reasons() {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "poplarrouter_balance_choices_total", Help: "Choices among equally suitable members or owners, by the rule that decided.",
			ConstLabels: prometheus.Labels{"target": target, "reason": string(reason)},
		}, func() float64 { return float64(b.Count(reason)) }))
	}
}
