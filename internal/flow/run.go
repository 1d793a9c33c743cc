package flow

import (
	"slices"

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

// setUp sends the statements that the connection lacks before the exchange's statement, followed
// by the queries of a transaction that is opened, and returns the replies to these queries. It
// returns the refusal instead if the member refused one of the statements.
//
// A member runs what follows a statement that it refused. Therefore a caller's statement is sent
// only after the replies to all of these have arrived. The connection's setup takes over those that
// the member ran.
func (x *Exchange) setUp(conn *MemberConn, opening ...Query) (replies []Reply, refused Reply, err error) {
	var before []stmt.Statement
	if x.session.Phase != stmt.Failed {
		before, _, _ = conn.setup.Missing(x.session, x.query.Statement)
	}
	if len(before)+len(opening) == 0 {
		return nil, Reply{}, nil
	}
	queries := make([]Query, 0, len(before)+len(opening))
	for _, b := range before {
		queries = append(queries, Query{Statement: b})
	}
	replies, err = conn.exchange(append(queries, opening...))
	if err != nil {
		if !isUnsent(err) {
			err = fault.Wrap(err, fault.Unreachable, "set up connection", "the member's connection ended before the statement was sent")
		}
		return nil, Reply{}, err
	}
	for i, b := range before {
		if r := replies[i]; r.Refusal != Accepted {
			refused = r
			conn.unusable = conn.unusable || !r.Refusal.notRun()
			continue
		}
		conn.setup = conn.setup.With(b)
	}
	return replies[len(before):], refused, nil
}

// opening returns the queries that open the caller's transaction at a member.
func (x *Exchange) opening(o chain.RunOptions) []Query {
	q := Query{ID: x.query.ID, Statement: x.session.Start}
	switch {
	case o.Write:
	case o.ProveLeadership:
		// A replica also opens a transaction that only reads. Therefore a transaction that
		// may write is opened first, which only a primary accepts: the transaction after it
		// sees every write that was acknowledged before it.
		return append(slices.Clone(probe), q)
	default:
		q.Floor = o.Floor
	}
	return []Query{q}
}

// statement returns the queries that run the caller's statement on a connection that is set up
// for it, and the index of the statement.
//
// A single read for which the member must prove that it is the primary is enclosed in a
// transaction that only a primary opens. All three queries are sent together: if the member is
// not the primary, the reply to the read is discarded.
func (x *Exchange) statement(setup stmt.Setup, o chain.RunOptions) (queries []Query, main int) {
	q := x.query
	_, q.Prepared, _ = setup.Missing(x.session, q.Statement)
	reads := x.session.Phase == stmt.Idle && !o.Write
	if reads && o.ProveLeadership {
		return []Query{probe[0], q, probe[1]}, 1
	}
	if reads {
		q.Floor = o.Floor
	}
	return []Query{q}, 0
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

// prepare sets the connection up for the statement, and opens the caller's transaction if the
// statement is its first. The answer has a rejection if the member refused any of this.
func (x *Exchange) prepare(conn *MemberConn, o chain.RunOptions) (chain.Answer, error) {
	var opening []Query
	if x.opens() {
		opening = x.opening(o)
	}
	opened, refused, err := x.setUp(conn, opening...)
	if err != nil {
		return chain.Answer{Unsent: true}, err
	}
	if refused.Refusal != Accepted {
		return x.setupRejected(conn, refused, opened)
	}
	for _, r := range opened {
		if r.Refusal != Accepted {
			return x.rejected(conn, r, opened[len(opened)-1].Phase)
		}
	}
	if x.opens() {
		x.session.Phase = stmt.Open
	}
	return chain.Answer{}, nil
}

// Run implements chain.Exchange.
func (x *Exchange) Run(l member.ProtocolConn, o chain.RunOptions) (chain.Answer, error) {
	if err := x.check(); err != nil {
		return chain.Answer{Unsent: true}, err
	}
	conn := l.(*MemberConn) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	opens := x.opens()
	if answer, err := x.prepare(conn, o); err != nil || answer.Rejection != nil {
		return answer, err
	}
	queries, index := x.statement(conn.setup, o)
	replies, err := conn.exchange(queries)
	if err != nil {
		return chain.Answer{Unsent: isUnsent(err)}, err
	}
	main, phase := replies[index], replies[len(replies)-1].Phase
	if index > 0 && replies[0].Refusal != Accepted {
		return x.rejected(conn, replies[0], phase)
	}
	if main.Refusal != Accepted && x.session.Phase == stmt.Idle && retriable(main.Refusal) {
		return x.rejected(conn, main, phase)
	}
	if x.session.Phase == stmt.Idle && phase != stmt.Idle {
		// The member refused to end the transaction that enclosed the statement.
		conn.unusable, phase = true, stmt.Idle
	}
	x.memory.Keep(main.Bytes())
	x.reply, x.reply.Phase, x.session.Phase = main, phase, phase
	position := replies[len(replies)-1].Position
	answer := chain.Answer{Idle: phase == stmt.Idle, Whole: true, MemberPosition: position, Dirty: conn.dirty()}
	if main.Refusal == Accepted {
		answer.UnderLease = o.ProveLeadership || (opens && o.Write)
		x.addMemberState(&answer, o, position)
	}
	return answer, nil
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

// setupRejected returns the answer for a request that did not run because the member refused a
// statement that sets the connection up. The transaction that was to be opened, if there is one, or
// the caller's open one, is rolled back.
func (x *Exchange) setupRejected(conn *MemberConn, r Reply, opened []Reply) (chain.Answer, error) {
	phase := x.session.Phase
	if len(opened) > 0 {
		phase = opened[len(opened)-1].Phase
	}
	answer := endedAnswer(conn, phase)
	kind := fault.Overloaded
	if r.Refusal == Malformed {
		kind = fault.Protocol
	}
	answer.Rejection = fault.New(kind, "set up connection", "the member refused a setting or a prepared statement of the session: %s", r.Text)
	return answer, nil
}

// endedAnswer returns the answer for a request that did not run, after it has rolled back the
// transaction that is open on the connection, if there is one.
func endedAnswer(conn *MemberConn, phase stmt.Phase) chain.Answer {
	if phase != stmt.Idle {
		replies, err := conn.exchange([]Query{{Statement: stmt.Statement{Kind: stmt.Rollback}}})
		conn.unusable = conn.unusable || err != nil || replies[0].Phase != stmt.Idle
	}
	return chain.Answer{Idle: true, Whole: true, Dirty: conn.dirty()}
}

// rejected returns the answer for a request that a member refused before any of it ran. It
// rolls back a transaction that is nevertheless open.
func (x *Exchange) rejected(conn *MemberConn, r Reply, phase stmt.Phase) (chain.Answer, error) {
	answer := endedAnswer(conn, phase)
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
