package flow

import (
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Exchange is one statement of a caller with its answer.
type Exchange struct {
	query   Query
	session stmt.Session
	reply   Reply
}

var _ chain.Exchange = (*Exchange)(nil)

// NewExchange returns the exchange of a query in a session.
func NewExchange(q Query, s stmt.Session) *Exchange { return &Exchange{query: q, session: s} }

// Session returns the session behind the statement.
func (x *Exchange) Session() stmt.Session { return x.session }

// Reply returns the answer.
func (x *Exchange) Reply() Reply { return x.reply }

// Access implements chain.Exchange. What the statement may do follows from the
// statement and from how its transaction began, not from the sheet.
func (x *Exchange) Access(sheet.Access) sheet.Access {
	if x.session.Phase != stmt.Idle {
		if x.session.Start.Kind == stmt.BeginRead {
			return sheet.Read
		}
		return sheet.Write
	}
	if x.session.Writes(x.query.Statement) {
		return sheet.Write
	}
	return sheet.Read
}

// Proves implements chain.Exchange.
func (x *Exchange) Proves() bool { return x.session.Phase == stmt.Idle }

func (x *Exchange) opens() bool { return x.session.Phase == stmt.Begun }

// Sent implements chain.Exchange. The answer goes out as a whole after the run.
func (*Exchange) Sent() bool { return false }

// Discard implements chain.Exchange.
func (x *Exchange) Discard() { x.reply = Reply{} }

// Drop implements chain.Exchange.
func (*Exchange) Drop() {}

// flight is what goes to a member for one statement, in this order: what sets the
// connection up, what opens the transaction, the statement, and what closes a
// transaction that was opened for it alone.
type flight struct {
	queries []Query
	// open and main are the places of the opening statement and of the caller's; open
	// is -1 if nothing is opened.
	open int
	main int
	then stmt.Setup
}

// plan returns what goes to a member.
func (x *Exchange) plan(setup stmt.Setup, o chain.Order) flight {
	before, name, then := setup.Lacking(x.session, x.query.Statement)
	f := flight{open: -1, then: then}
	for _, st := range before {
		f.queries = append(f.queries, Query{Statement: st})
	}
	main := x.query
	main.Prepared = name
	single := x.session.Phase == stmt.Idle
	reads := !o.Write
	switch {
	case x.opens():
		f.open = len(f.queries)
		opening := Query{ID: x.query.ID, Statement: x.session.Start}
		if reads {
			opening.Floor, main.Floor = o.Floor, o.Floor
		}
		f.queries = append(f.queries, opening)
	case single && reads && o.Lead:
		f.open = len(f.queries)
		f.queries = append(f.queries, Query{Statement: stmt.Statement{Kind: stmt.Begin}})
	case single && reads:
		main.Floor = o.Floor
	}
	f.main = len(f.queries)
	f.queries = append(f.queries, main)
	if single && f.open >= 0 {
		f.queries = append(f.queries, Query{Statement: stmt.Statement{Kind: stmt.Rollback}})
	}
	return f
}

// Run implements chain.Exchange.
func (x *Exchange) Run(l member.Line, o chain.Order) (chain.Answer, error) {
	line := l.(*Line) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	f := x.plan(line.setup, o)
	replies, err := line.exchange(f.queries)
	if err != nil {
		return chain.Answer{}, err
	}
	line.setup = f.then
	setting := f.main
	if f.open >= 0 {
		setting = f.open
	}
	for _, r := range replies[:setting] {
		if r.Refusal != Accepted {
			return chain.Answer{}, fault.New(fault.Severed, "set up connection", "the member refused a value or a prepared statement of the session: %s", r.Text)
		}
	}
	last := replies[len(replies)-1]
	if f.open >= 0 && replies[f.open].Refusal != Accepted {
		return x.turned(line, replies[f.open], last.Phase)
	}
	main := replies[f.main]
	if main.Refusal != Accepted && !o.Pinned && movable(main.Refusal) {
		return x.turned(line, main, last.Phase)
	}
	x.reply, x.reply.Phase, x.session.Phase = main, last.Phase, last.Phase
	answer := chain.Answer{Idle: last.Phase == stmt.Idle, Whole: true, At: last.Position}
	if main.Refusal != Accepted {
		return answer, nil
	}
	if o.Write || (f.open >= 0 && o.Lead) {
		answer.Led = stateOf(group.Primary, last.Position)
	}
	if o.Write && answer.Idle && x.query.Statement.Kind != stmt.Rollback {
		answer.Kept = last.Position
	}
	return answer, nil
}

// movable tells whether work that a member refused may run on another one, or
// later on the same.
func movable(r Refusal) bool { return r == NotPrimary || r == Behind || r == Busy }

// turned tells that a member refused the request before any of it ran. A
// transaction that is open all the same is ended.
func (x *Exchange) turned(line *Line, r Reply, phase stmt.Phase) (chain.Answer, error) {
	answer := chain.Answer{Idle: true, Whole: true}
	if phase != stmt.Idle {
		replies, err := line.exchange([]Query{{Statement: stmt.Statement{Kind: stmt.Rollback}}})
		answer.Dirty = err != nil || replies[0].Phase != stmt.Idle
	}
	switch r.Refusal {
	case NotPrimary:
		answer.Refused = true
		answer.Turned = fault.New(fault.Unreachable, "run", "the member does not lead")
	case Behind:
		answer.Turned = fault.New(fault.Behind, "run", "the member lacks a position that the work must see")
	case Busy:
		answer.Turned = fault.New(fault.Overloaded, "run", "the member has no room for the work")
	default:
		answer.Turned = fault.New(fault.Unreachable, "run", "the member refused the transaction: %s", r.Text)
	}
	return answer, nil
}

// Fail returns what the caller is told of a request that ended with a fault, and
// the session behind it. A transaction whose connection is gone is rolled back.
func (x *Exchange) Fail(err *fault.Error) (Reply, stmt.Session) {
	r, s := Reply{Refusal: refusalOf(err), Text: err.Message()}, x.session
	commits := x.query.Statement.Kind == stmt.Commit
	switch {
	case commits:
		s.Phase = stmt.Idle
	case s.Phase != stmt.Idle:
		// Nothing that the caller has asked to commit was sent.
		r.Refusal, s.Phase = Aborted, stmt.Failed
	case r.Refusal == InDoubt && !s.Writes(x.query.Statement):
		r.Refusal = TimedOut
	}
	r.Phase = s.Phase
	return r, s
}
