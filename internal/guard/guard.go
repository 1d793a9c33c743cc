// Package guard asserts the promises of the proxy while it runs.
//
// A broken promise is an event in the log and a count in the metrics; in tests
// it ends the test. The asserting code stands beside the decision that it
// watches, and takes its facts from another source than the decision does.
package guard

import (
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/event"
)

// Invariant names what must always hold.
type Invariant string

// The promises.
const (
	// ReadYourWrites: a read sees every write acknowledged to its session.
	ReadYourWrites Invariant = "read-your-writes"
	// NoReplacedAck: no write is acknowledged for a primary that was replaced.
	NoReplacedAck Invariant = "no-replaced-ack"
	// SingleCallerTransaction: a database transaction holds statements of one caller only.
	SingleCallerTransaction Invariant = "one-caller"
	// CompleteAnswer: a caller receives the complete answer to its own request.
	CompleteAnswer Invariant = "whole-answer"
	// RejectedNotSent: work reported as not run was not sent.
	RejectedNotSent Invariant = "honest-refusal"
	// AtMostOnce: work that is not idempotent is sent at most once.
	AtMostOnce Invariant = "at-most-once"
	// NoWorkToDrainingDatabase: a leaving database receives no new work.
	NoWorkToDrainingDatabase Invariant = "no-leaving-work"
	// NoInterruptedRequest: a graceful shutdown cuts off no request.
	NoInterruptedRequest Invariant = "no-cut-request"
	// SheetMonotonic: a sheet never gives way to an older one.
	SheetMonotonic Invariant = "sheet-forward"
)

// Invariants returns all promises.
func Invariants() []Invariant {
	return []Invariant{
		ReadYourWrites, NoReplacedAck, SingleCallerTransaction, CompleteAnswer, RejectedNotSent,
		AtMostOnce, NoWorkToDrainingDatabase, NoInterruptedRequest, SheetMonotonic,
	}
}

// Guard asserts promises.
type Guard struct {
	log    *event.Log
	broken *prometheus.CounterVec
	failed func(Invariant)
}

// New returns a guard that logs and counts broken promises, and calls failed
// for each if it is not nil.
func New(log *event.Log, registry prometheus.Registerer, failed func(Invariant)) *Guard {
	broken := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarrouter_invariants_broken_total",
		Help: "Promises found broken, by promise.",
	}, []string{"promise"})
	registry.MustRegister(broken)
	for _, p := range Invariants() {
		broken.WithLabelValues(string(p))
	}
	return &Guard{log: log, broken: broken, failed: failed}
}

// Assert reports the promise as broken unless it holds.
func (g *Guard) Assert(p Invariant, holds bool, fields event.Fields) {
	if holds {
		return
	}
	g.broken.WithLabelValues(string(p)).Inc()
	line := event.Fields{"Promise": string(p)}
	for name, value := range fields {
		line[name] = value
	}
	g.log.Emit(event.InvariantBroken, line)
	if g.failed != nil {
		g.failed(p)
	}
}
