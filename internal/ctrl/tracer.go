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

// newTracer logs the initial state of the machine, or returns nil if tracing is off.
func (c *Controller) newTracer(start time.Time, voters []string) *tracer {
	if !c.options.Trace {
		return nil
	}
	t := &tracer{log: c.options.Log, database: c.name}
	begin := trace.Begin{Host: c.options.Host, Rules: c.options.Rules, Members: c.View().Members(), Voters: voters}
	t.note(trace.Record{At: start, Begin: &begin})
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
