package flow

import (
	"poplarrouter.example/poplarrouter/internal/stmt"
)

// Payload is a statement of a caller with what another proxy must know of its session
// to run it.
type Payload struct {
	Query   Query
	Session stmt.Extract
}

// Payload returns the statement for another proxy.
func (x *Exchange) Payload() Payload {
	return Payload{Query: x.query, Session: x.session.Extract(x.query.Statement)}
}

// Exchange returns the exchange of a statement that another proxy sent.
func (p Payload) Exchange() *Exchange {
	return NewExchange(p.Query, p.Session.Session(p.Query.Statement))
}

// Finish takes the answer that another proxy got.
func (x *Exchange) Finish(r Reply) {
	x.reply = r
	if r.Refusal == Accepted {
		x.session = x.session.WithRun(x.query.Statement, r.Phase)
		return
	}
	x.session = x.session.WithPhase(r.Phase)
}
