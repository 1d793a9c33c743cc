package flow

import (
	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Exchange is one statement of a caller with its reply.
type Exchange struct {
	query Query
	// previous is the session before the statement, and session the current one.
	previous stmt.Session
	session  stmt.Session
	reply    Reply
	// memory accounts for the reply. It may be nil.
	memory *budget.Hold
}

var _ chain.Exchange = (*Exchange)(nil)

// NewExchange returns the exchange of a query in a session.
func NewExchange(q Query, s stmt.Session) *Exchange {
	return &Exchange{query: q, previous: s, session: s}
}

// WithMemory makes the exchange account for its reply from its arrival on, and returns it.
func (x *Exchange) WithMemory(h *budget.Hold) *Exchange {
	x.memory = h
	return x
}

// Session returns the session after the statement.
func (x *Exchange) Session() stmt.Session { return x.session }

// Idle reports whether no transaction is open after the statement.
func (x *Exchange) Idle() bool { return x.session.Phase == stmt.Idle }

// InTransaction reports whether a transaction is open at a member.
func (x *Exchange) InTransaction() bool {
	return x.session.Phase == stmt.Open || x.session.Phase == stmt.Failed
}

// Reply returns the reply to the statement.
func (x *Exchange) Reply() Reply { return x.reply }

// Access implements chain.Exchange. The access follows from the statement and from the
// kind of its transaction, not from the sheet.
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

// opens reports whether the statement is the first of a transaction that is not yet open at
// a member.
func (x *Exchange) opens() bool { return x.session.Phase == stmt.Pending }

// Sent implements chain.Exchange. The reply is sent as a whole after the run.
func (*Exchange) Sent() bool { return false }

// Discard implements chain.Exchange. It restores the previous session, because a
// transaction that was opened has ended with its connection.
func (x *Exchange) Discard() { x.reply, x.session = Reply{}, x.previous }

// Drop implements chain.Exchange. No part of a reply is sent before the run ends.
func (*Exchange) Drop() {}

// pipeline is a sequence of queries that are sent to a member together, in this order:
// those that set the connection up, the one that opens the transaction, the statement, and
// the one that ends a transaction which was opened only for the statement.
//
// A member that refuses to open a transaction still runs the following queries, outside a
// transaction. Therefore the first statement of a caller's transaction is sent only once
// the transaction is open. A single read for which the member must prove that it is the
// primary may follow in the same pipeline: if the member is not, the reply is discarded.
type pipeline struct {
	queries []Query
	// leadProbe, open and main are the indexes of the query that only a primary accepts,
	// of the one that opens the transaction and of the caller's statement, or -1.
	// then is the connection's setup after the pipeline.
	leadProbe int
	open      int
	main      int
	then      stmt.Setup
}

// first returns the index of the first query that does not set the connection up.
func (p *pipeline) first() int {
	for _, index := range []int{p.leadProbe, p.open, p.main} {
		if index >= 0 {
			return index
		}
	}
	return 0
}

func (p *pipeline) add(q Query) int {
	p.queries = append(p.queries, q)
	return len(p.queries) - 1
}

// opening returns the pipeline that opens the caller's transaction at a member.
func (x *Exchange) opening(setup stmt.Setup, o chain.RunOptions) pipeline {
	p, _ := x.connectionSetup(setup, x.session.Start)
	q := Query{ID: x.query.ID, Statement: x.session.Start}
	switch {
	case o.Write:
	case o.ProveLeadership:
		// A replica also opens a transaction that only reads. Therefore a transaction that
		// may write is opened first, which only a primary accepts: the transaction after it
		// sees every write that was acknowledged before it.
		p.leadProbe = p.add(probe[0])
		p.add(probe[1])
	default:
		q.Floor = o.Floor
	}
	p.open = p.add(q)
	return p
}

// statement returns the pipeline that runs the caller's statement at a member.
func (x *Exchange) statement(setup stmt.Setup, o chain.RunOptions) pipeline {
	p, prepared := x.connectionSetup(setup, x.query.Statement)
	main := x.query
	main.Prepared = prepared
	reads := x.session.Phase == stmt.Idle && !o.Write
	if reads && o.ProveLeadership {
		p.open = p.add(probe[0])
	} else if reads {
		main.Floor = o.Floor
	}
	p.main = p.add(main)
	if p.open >= 0 {
		p.add(probe[1])
	}
	return p
}

// connectionSetup returns the pipeline that sets a connection up for a statement, and the
// name under which the executed statement is then prepared on the connection.
func (x *Exchange) connectionSetup(setup stmt.Setup, st stmt.Statement) (p pipeline, prepared string) {
	before, prepared, then := setup.Missing(x.session, st)
	p = pipeline{leadProbe: -1, open: -1, main: -1, then: then}
	for _, b := range before {
		p.add(Query{Statement: b})
	}
	return p, prepared
}

// send sends the pipeline and returns the replies. It fails if the connection could not be
// set up.
func (p pipeline) send(conn *MemberConn) ([]Reply, error) {
	replies, err := conn.exchange(p.queries)
	if err != nil {
		return nil, err
	}
	conn.setup = p.then
	for _, r := range replies[:p.first()] {
		if r.Refusal != Accepted {
			return nil, fault.New(fault.Severed, "set up connection", "the member refused a setting or a prepared statement of the session: %s", r.Text)
		}
	}
	return replies, nil
}

// maxSetupBytes is the size of the session state on a connection to a member above which the
// connection is closed after use. It is enough for hundreds of prepared statements; callers that
// prepare without end would otherwise fill the memory through the idle connections.
const maxSetupBytes = 128 << 10

// check returns a Protocol fault if the statement, or the one that began its transaction, is none that
// runs at a member, as another proxy may relay it. A setting would remain on the connection for
// other sessions, and what begins a transaction runs before the statement.
func (x *Exchange) check() error {
	switch x.query.Statement.Kind {
	case stmt.Commit, stmt.Rollback, stmt.Read, stmt.Write, stmt.Execute:
	default:
		return fault.New(fault.Protocol, "run", "got a statement that the caller's proxy answers itself")
	}
	if start := x.session.Start.Kind; x.opens() && start != stmt.Begin && start != stmt.BeginRead {
		return fault.New(fault.Protocol, "run", "got a transaction that no BEGIN began")
	}
	return nil
}

// Run implements chain.Exchange.
func (x *Exchange) Run(l member.ProtocolConn, o chain.RunOptions) (chain.Answer, error) {
	if err := x.check(); err != nil {
		return chain.Answer{Unsent: true}, err
	}
	conn := l.(*MemberConn) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	opens := x.opens()
	if opens {
		refusal, phase, err := x.open(conn, o)
		if err != nil {
			return chain.Answer{Unsent: isUnsent(err)}, err
		}
		if refusal.Refusal != Accepted {
			return x.rejected(conn, refusal, phase)
		}
	}
	p := x.statement(conn.setup, o)
	replies, err := p.send(conn)
	if err != nil {
		return chain.Answer{Unsent: isUnsent(err)}, err
	}
	main, last := replies[p.main], replies[len(replies)-1]
	if p.open >= 0 && replies[p.open].Refusal != Accepted {
		return x.rejected(conn, replies[p.open], last.Phase)
	}
	if main.Refusal != Accepted && x.session.Phase == stmt.Idle && retriable(main.Refusal) {
		return x.rejected(conn, main, last.Phase)
	}
	x.memory.Keep(main.Bytes())
	x.reply, x.reply.Phase, x.session.Phase = main, last.Phase, last.Phase
	answer := chain.Answer{Idle: last.Phase == stmt.Idle, Whole: true, MemberPosition: last.Position, Dirty: conn.setup.Bytes() > maxSetupBytes}
	if main.Refusal == Accepted {
		answer.UnderLease = o.ProveLeadership || (opens && o.Write)
		x.addMemberState(&answer, o, last.Position)
	}
	return answer, nil
}

// open opens the caller's transaction. It returns the reply that accepts or refuses the
// transaction, and the phase after it.
func (x *Exchange) open(conn *MemberConn, o chain.RunOptions) (Reply, stmt.Phase, error) {
	p := x.opening(conn.setup, o)
	replies, err := p.send(conn)
	if err != nil {
		return Reply{}, stmt.Idle, err
	}
	opened := replies[p.open]
	if p.leadProbe >= 0 && replies[p.leadProbe].Refusal != Accepted {
		return replies[p.leadProbe], opened.Phase, nil
	}
	if opened.Refusal == Accepted {
		x.session.Phase = stmt.Open
	}
	return opened, opened.Phase, nil
}

// addMemberState adds the member state that the reply implies to the answer of a statement
// that ran.
func (x *Exchange) addMemberState(answer *chain.Answer, o chain.RunOptions, at group.Floor) {
	role := group.Replica
	if o.Write || o.ProveLeadership {
		role = group.Primary
	}
	if !at.IsZero() {
		answer.MemberState = stateOf(role, at)
	}
	x.session = x.session.WithRun(x.query.Statement, x.session.Phase)
	// A commit without writes is acknowledged without a replica, so it confirms nothing.
	if o.Write && answer.Idle && x.session.Wrote && x.query.Statement.Kind != stmt.Rollback {
		answer.Confirmed = at
		answer.MemberState.Confirmed = o.Replicated && !at.IsZero()
	}
}

// retriable reports whether a statement that a member refused may run on another member,
// or later on the same one.
func retriable(r Refusal) bool { return r == NotPrimary || r == Behind || r == Busy }

// rejected returns the answer for a request that a member refused before any of it ran. It
// rolls back a transaction that is nevertheless open.
func (x *Exchange) rejected(conn *MemberConn, r Reply, phase stmt.Phase) (chain.Answer, error) {
	answer := chain.Answer{Idle: true, Whole: true}
	if phase != stmt.Idle {
		replies, err := conn.exchange([]Query{{Statement: stmt.Statement{Kind: stmt.Rollback}}})
		answer.Dirty = err != nil || replies[0].Phase != stmt.Idle
	}
	switch r.Refusal {
	case NotPrimary:
		answer.NotPrimary = true
		answer.Rejection = fault.New(fault.Unreachable, "run", "the member is not the primary")
	case Behind:
		answer.Rejection = fault.New(fault.Behind, "run", "the member has not applied the position that the read requires")
	case Busy:
		answer.Rejection = fault.New(fault.Overloaded, "run", "the member has no free slot for the statement")
	default:
		answer.Rejection = fault.New(fault.Unreachable, "run", "the member refused the transaction: %s", r.Text)
	}
	return answer, nil
}

// Fail returns the reply to a request that ended with a fault, and the session after it. A
// transaction whose connection has ended is rolled back.
func (x *Exchange) Fail(err *fault.Error) (Reply, stmt.Session) {
	r, s := Reply{Refusal: refusalOf(err), Text: err.Message()}, x.session
	commits := x.query.Statement.Kind == stmt.Commit
	switch {
	case commits:
		s.Phase = stmt.Idle
	case r.Refusal == Unauthorized:
		s.Phase = phaseAfterRollback(s.Phase, x.query.Statement)
	case s.Phase != stmt.Idle:
		// No commit was sent, so none of the transaction's writes takes effect.
		r.Refusal, s.Phase = Aborted, stmt.Failed
	case r.Refusal == InDoubt && !s.Writes(x.query.Statement):
		r.Refusal = TimedOut
	}
	r.Phase = s.Phase
	return r, s
}
