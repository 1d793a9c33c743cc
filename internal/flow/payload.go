package flow

import (
	"poplarrouter.example/poplarrouter/internal/stmt"
)

// Payload is a caller's statement with the session state that another proxy needs to run
// it. It is encoded as an array, so the order and the types of its fields are part of the
// protocol.
type Payload struct {
	Query   Query
	Session stmt.Extract
}

// Payload returns the payload with which another proxy runs the statement. The text of an Execute
// with arguments is left out, as it follows from them, so that the payload is not much longer than the
// caller's message.
func (x *Exchange) Payload() Payload {
	q := x.query
	if q.Statement.Kind == stmt.Execute && q.Statement.Value != "" {
		q.Statement.Text = ""
	}
	return Payload{Query: q, Session: x.session.Extract(q.Statement)}
}

// Exchange returns the exchange of a statement that another proxy relayed.
func (p Payload) Exchange() *Exchange {
	return NewExchange(p.Query, p.Session.Session(p.Query.Statement))
}

// Finish completes the exchange with the reply that another proxy received.
func (x *Exchange) Finish(r Reply) {
	x.memory.Keep(r.Bytes())
	x.reply = r
	if r.Refusal == Accepted {
		x.session = x.session.WithRun(x.query.Statement, r.Phase)
		return
	}
	x.session = x.session.WithPhase(r.Phase)
}
