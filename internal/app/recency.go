package app

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/recent"
	"poplarrouter.example/poplarrouter/internal/store"
)

// keyRecency is the part of a proxy that knows how recent its list of keys is. Its Recency is
// nil if the settings do not require that.
type keyRecency struct{ *ctrl.Recency }

// ClockError reports that the clock that counts suspended time cannot be read.
type ClockError struct{}

// Error implements error.
func (*ClockError) Error() string {
	return "read CLOCK_BOOTTIME: not permitted, but StrictRevocation needs it"
}

func newKeyRecency(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, registry *prometheus.Registry, documents *ctrl.Documents, mesh *peer.Connections) (keyRecency, error) {
	confirmer, able := st.(store.Confirmer)
	if !s.Customers.StrictRevocation || !able {
		return keyRecency{}, nil
	}
	if bootTime() == 0 {
		return keyRecency{}, &ClockError{}
	}
	r, cleanUp := ctrl.NewRecency(ctrl.RecencyOptions{
		Host: s.Host, Region: s.Region, Rules: recent.RulesFor(s.Customers.RevokeMs.Duration()),
		Documents: documents, Store: confirmer, Peers: mesh, Log: log, Clock: bootTime,
	})
	onStop(lc, cleanUp)
	registerRecencyMetrics(registry, r)
	return keyRecency{r}, nil
}

// registerRecencyMetrics registers the age of the proof and the calls that keep it young.
func registerRecencyMetrics(registry *prometheus.Registry, r *ctrl.Recency) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "poplarrouter_key_proof_age_seconds", Help: "Age of the proof that the list of keys is the store's newest; infinite without one.",
		}, func() float64 {
			if s := r.Status(); s.Proven {
				return s.Age.Seconds()
			}
			return math.Inf(1)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "poplarrouter_key_proof_queries_total", Help: "Queries for a proof that were sent to peers.",
		}, func() float64 { return float64(r.Status().Queries) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "poplarrouter_key_proof_reads_total", Help: "Reads of the store for a proof.",
		}, func() float64 { return float64(r.Status().Reads) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "poplarrouter_key_proof_read_failures_total", Help: "Reads of the store for a proof that failed.",
		}, func() float64 { return float64(r.Status().FailedReads) }),
	)
}

// keys returns the recency for the chain, or nil if keys are always accepted.
func (k keyRecency) keys() chain.KeyRecency {
	if k.Recency == nil {
		return nil
	}
	return k.Recency
}

// missing reports whether a proof is required and the last one is too old.
func (k keyRecency) missing() bool {
	return k.Recency != nil && k.Required() && !k.Recent()
}

// status returns the status of the proof, or nil if none is required.
func (k keyRecency) status() *KeyProofStatus {
	if k.Recency == nil || !k.Required() {
		return nil
	}
	s := k.Status()
	status := &KeyProofStatus{Recent: s.Recent, AgeMs: -1, Source: s.Source, Reader: s.Reader}
	if s.Proven {
		status.AgeMs = s.Age.Milliseconds()
	}
	return status
}

// HandleProofQuery implements peer.Handler.
func (k keyRecency) HandleProofQuery(q peer.ProofQuery) (peer.ProofAnswer, bool) {
	if k.Recency == nil {
		return peer.ProofAnswer{}, false
	}
	v, age, proven := k.Answer()
	// The age is rounded up to the next millisecond.
	ms := min(age/time.Millisecond+1, math.MaxUint32)
	return peer.ProofAnswer{ID: q.ID, Serial: v.Serial, Keys: v.Keys, AgeMs: uint32(ms)}, proven //nolint:gosec // the age is not negative
}

// TakeProof implements peer.Handler.
func (k keyRecency) TakeProof(host string, a peer.ProofAnswer) {
	if k.Recency != nil {
		k.TakeAnswer(host, a.ID, recent.Version{Serial: a.Serial, Keys: a.Keys}, time.Duration(a.AgeMs)*time.Millisecond)
	}
}
