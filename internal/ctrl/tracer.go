package ctrl

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/trace"
)

// tracer logs the steps of one election machine. A nil tracer logs nothing.
type tracer struct {
	log      *event.Log
	database string
	steps    uint64
}

// newTracer logs how the machine began, or returns nil if no trace is wanted.
func (b *Controller) newTracer(began time.Time, watchers []string) *tracer {
	if !b.options.Trace {
		return nil
	}
	t := &tracer{log: b.options.Log, database: b.name}
	begin := trace.Begin{Host: b.options.Host, Rules: b.options.Rules, Members: b.View().Members(), Watchers: watchers}
	t.note(trace.Record{At: began, Begin: &begin})
	return t
}

// note logs a step.
func (t *tracer) note(r trace.Record) {
	if t == nil {
		return
	}
	t.steps++
	r.Step = t.steps
	t.log.Emit(event.ElectionStep, event.Fields{"Database": t.database, "Record": r})
}
