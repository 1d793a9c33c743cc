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
	query Query
	// given is the session as it was before the statement, and session as it is.
	given   stmt.Session
	session stmt.Session
	reply   Reply
}

var _ chain.Exchange = (*Exchange)(nil)

// NewExchange returns the exchange of a query in a session.
func NewExchange(q Query, s stmt.Session) *Exchange { return &Exchange{query: q, given: s, session: s} }

// Session returns the session behind the statement.
func (x *Exchange) Session() stmt.Session { return x.session }

// Idle tells whether no transaction is open behind the statement.
func (x *Exchange) Idle() bool { return x.session.Phase == stmt.Idle }

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

// ProvesLeadership implements chain.Exchange.
func (x *Exchange) ProvesLeadership() bool { return x.session.Phase != stmt.Open }

func (x *Exchange) opens() bool { return x.session.Phase == stmt.Begun }

// Sent implements chain.Exchange. The answer goes out as a whole after the run.
func (*Exchange) Sent() bool { return false }

// Discard implements chain.Exchange. A transaction that was opened is gone with its
// connection.
func (x *Exchange) Discard() { x.reply, x.session = Reply{}, x.given }

// Drop implements chain.Exchange.
func (*Exchange) Drop() {}

// flight is what goes to a member at a time, in this order: what sets the connection
// up, what opens the transaction, the statement, and what closes a transaction that was
// opened for it alone.
//
// A member that refuses to open a transaction runs what follows all the same, outside
// of it. Therefore the first statement of a caller's transaction is sent only once the
// transaction is open. A single read that must prove that the member leads may follow
// at once: if the member does not lead, the answer is dropped.
type flight struct {
	queries []Query
	// lead, open and main are the places of what only a leading member accepts, of the
	// opening statement and of the caller's, or -1.
	lead int
	open int
	main int
	then stmt.Setup
}

// first returns the place of the first query that does not set the connection up.
func (f *flight) first() int {
	for _, place := range []int{f.lead, f.open, f.main} {
		if place >= 0 {
			return place
		}
	}
	return 0
}

func (f *flight) add(q Query) int {
	f.queries = append(f.queries, q)
	return len(f.queries) - 1
}

// opening returns what opens a transaction of the caller at a member.
func (x *Exchange) opening(setup stmt.Setup, o chain.RunOptions) flight {
	f, _ := x.settingUp(setup, x.session.Start)
	q := Query{ID: x.query.ID, Statement: x.session.Start}
	switch {
	case o.Write:
	case o.ProveLeadership:
		// A replica opens a transaction that only reads, too: one that may write is
		// tried before it. What was acknowledged before that is seen behind it.
		f.lead = f.add(probe[0])
		f.add(probe[1])
	default:
		q.Floor = o.Floor
	}
	f.open = f.add(q)
	return f
}

// statement returns what runs the statement at a member.
func (x *Exchange) statement(setup stmt.Setup, o chain.RunOptions) flight {
	f, prepared := x.settingUp(setup, x.query.Statement)
	main := x.query
	main.Prepared = prepared
	reads := x.session.Phase == stmt.Idle && !o.Write
	if reads && o.ProveLeadership {
		f.open = f.add(probe[0])
	} else if reads {
		main.Floor = o.Floor
	}
	f.main = f.add(main)
	if f.open >= 0 {
		f.add(probe[1])
	}
	return f
}

// settingUp returns what a connection needs before a statement, and the name under which
// it then knows the prepared statement that is executed.
func (x *Exchange) settingUp(setup stmt.Setup, st stmt.Statement) (f flight, prepared string) {
	before, prepared, then := setup.Lacking(x.session, st)
	f = flight{lead: -1, open: -1, main: -1, then: then}
	for _, b := range before {
		f.add(Query{Statement: b})
	}
	return f, prepared
}

// send sends a flight and returns the replies. It fails if the connection could not be
// set up.
func (f flight) send(line *Line) ([]Reply, error) {
	replies, err := line.exchange(f.queries)
	if err != nil {
		return nil, err
	}
	line.setup = f.then
	for _, r := range replies[:f.first()] {
		if r.Refusal != Accepted {
			return nil, fault.New(fault.Severed, "set up connection", "the member refused a value or a prepared statement of the session: %s", r.Text)
		}
	}
	return replies, nil
}

// Run implements chain.Exchange.
func (x *Exchange) Run(l member.ProtocolConn, o chain.RunOptions) (chain.Answer, error) {
	line := l.(*Line) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	opens := x.opens()
	if opens {
		refusal, phase, err := x.open(line, o)
		if err != nil {
			return chain.Answer{}, err
		}
		if refusal.Refusal != Accepted {
			return x.turned(line, refusal, phase)
		}
	}
	f := x.statement(line.setup, o)
	replies, err := f.send(line)
	if err != nil {
		return chain.Answer{}, err
	}
	main, last := replies[f.main], replies[len(replies)-1]
	if f.open >= 0 && replies[f.open].Refusal != Accepted {
		return x.turned(line, replies[f.open], last.Phase)
	}
	if main.Refusal != Accepted && x.session.Phase == stmt.Idle && movable(main.Refusal) {
		return x.turned(line, main, last.Phase)
	}
	x.reply, x.reply.Phase, x.session.Phase = main, last.Phase, last.Phase
	answer := chain.Answer{Idle: last.Phase == stmt.Idle, Whole: true, MemberPosition: last.Position}
	if main.Refusal == Accepted {
		answer.UnderLease = o.ProveLeadership || (opens && o.Write)
		x.show(&answer, o, last.Position)
	}
	return answer, nil
}

// open opens the caller's transaction. It returns the reply that refuses it, if one
// does, and the phase behind it.
func (x *Exchange) open(line *Line, o chain.RunOptions) (Reply, stmt.Phase, error) {
	f := x.opening(line.setup, o)
	replies, err := f.send(line)
	if err != nil {
		return Reply{}, stmt.Idle, err
	}
	opened := replies[f.open]
	if f.lead >= 0 && replies[f.lead].Refusal != Accepted {
		return replies[f.lead], opened.Phase, nil
	}
	if opened.Refusal == Accepted {
		x.session.Phase = stmt.Open
	}
	return opened, opened.Phase, nil
}

// show completes the answer to a statement that ran with what it shows of the member.
func (x *Exchange) show(answer *chain.Answer, o chain.RunOptions, at group.Floor) {
	role := group.Replica
	if o.Write || o.ProveLeadership {
		role = group.Primary
	}
	if !at.IsZero() {
		answer.MemberState = stateOf(role, at)
	}
	x.session = x.session.WithRun(x.query.Statement, x.session.Phase)
	// A commit of nothing needs no replica.
	if o.Write && answer.Idle && x.session.Wrote && x.query.Statement.Kind != stmt.Rollback {
		answer.Confirmed = at
		answer.MemberState.Confirmed = o.Replicated && !at.IsZero()
	}
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
		answer.NotPrimary = true
		answer.Rejection = fault.New(fault.Unreachable, "run", "the member does not lead")
	case Behind:
		answer.Rejection = fault.New(fault.Behind, "run", "the member lacks a position that the work must see")
	case Busy:
		answer.Rejection = fault.New(fault.Overloaded, "run", "the member has no room for the work")
	default:
		answer.Rejection = fault.New(fault.Unreachable, "run", "the member refused the transaction: %s", r.Text)
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
