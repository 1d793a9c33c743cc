package app

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/limit"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/usage"
)

// newLimiter returns the limiter of customers' usage.
func newLimiter(lc fx.Lifecycle, s config.Settings, documents *ctrl.Documents, mesh *peer.Connections, log *event.Log, registry *prometheus.Registry) *limit.Limiter {
	limiter, cleanUp := limit.New(limit.Options{
		Host:      s.Host,
		Region:    s.Region,
		Policy:    usage.Policy{Window: s.Customers.CapWindowMs.Duration(), Overage: s.Customers.CapOverage, Slack: s.Customers.CapSlack},
		Suspended: suspended,
		Documents: documents,
		Sender:    mesh,
		Log:       log,
		Registry:  registry,
	})
	onStop(lc, cleanUp)
	return limiter
}

// caps handles the frames about usage caps.
type caps interface {
	HandleCapAsk(host string, a peer.CapAsk) (peer.CapGrant, bool)
	TakeCapGrant(host string, g peer.CapGrant)
}
