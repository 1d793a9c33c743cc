// Package guard checks the invariants of the proxy while it runs.
//
// A violation is logged as an event and counted in the metrics; in tests it fails
// the test. Each assertion is placed next to the decision that it checks and uses
// a different source of data than the decision does.
package guard

import (
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/event"
)

// Invariant is the name of a property that holds at all times.
type Invariant string

// The invariants that the proxy checks.
const (
	// ReadYourWrites: a read sees every write acknowledged to its session.
	ReadYourWrites Invariant = "read-your-writes"
	// NoReplacedAck: no write is acknowledged for a primary that was replaced.
	NoReplacedAck Invariant = "no-replaced-ack"
	// SingleCallerTransaction: a database transaction contains statements of one caller only.
	SingleCallerTransaction Invariant = "one-caller"
	// CompleteAnswer: a caller receives the complete answer to its own request.
	CompleteAnswer Invariant = "whole-answer"
	// RejectedNotSent: a statement reported as not run was not sent to a member.
	RejectedNotSent Invariant = "honest-refusal"
	// AtMostOnce: a statement that is not idempotent is sent at most once.
	AtMostOnce Invariant = "at-most-once"
	// NoWorkToDrainingDatabase: a draining database receives no new statements.
	NoWorkToDrainingDatabase Invariant = "no-leaving-work"
	// NoInterruptedRequest: a graceful shutdown interrupts no request.
	NoInterruptedRequest Invariant = "no-cut-request"
	// SheetMonotonic: a sheet is never replaced by an older one.
	SheetMonotonic Invariant = "sheet-forward"
	// UnalteredStatement: a member reads a statement as its caller wrote it.
	UnalteredStatement Invariant = "unaltered-statement"
)

// Invariants returns all invariants.
func Invariants() []Invariant {
	return []Invariant{
		ReadYourWrites, NoReplacedAck, SingleCallerTransaction, CompleteAnswer, RejectedNotSent,
		AtMostOnce, NoWorkToDrainingDatabase, NoInterruptedRequest, SheetMonotonic, UnalteredStatement,
	}
}

// Guard checks invariants and reports violations.
type Guard struct {
	log         *event.Log
	violations  *prometheus.CounterVec
	onViolation func(Invariant)
}

// New returns a guard that logs and counts violations and, unless onViolation is nil,
// calls onViolation for each of them.
func New(log *event.Log, registry prometheus.Registerer, onViolation func(Invariant)) *Guard {
	violations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarrouter_invariants_broken_total",
		Help: "Promises found broken, by promise.",
	}, []string{"promise"})
	registry.MustRegister(violations)
	for _, p := range Invariants() {
		violations.WithLabelValues(string(p))
	}
	return &Guard{log: log, violations: violations, onViolation: onViolation}
}

// Assert reports a violation of the invariant unless holds is true.
func (g *Guard) Assert(p Invariant, holds bool, fields event.Fields) {
	if holds {
		return
	}
	g.violations.WithLabelValues(string(p)).Inc()
	line := event.Fields{"Promise": string(p)}
	for name, value := range fields {
		line[name] = value
	}
	g.log.Emit(event.InvariantBroken, line)
	if g.onViolation != nil {
		g.onViolation(p)
	}
}
