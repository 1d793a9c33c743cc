package flow_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// database is an in-memory connection to a member. It runs each query at once, also after
// it has refused to open a transaction, as the platform's databases do.
type database struct {
	leads bool
	at    group.Floor
	phase stmt.Phase
	// ran lists the callers' statements, each with the phase in which it ran.
	ran []run
	// repliesLeft is the number of replies that can be read before the connection breaks.
	// It never breaks if the number is negative.
	repliesLeft int
	replies     []flow.Reply
}

type run struct {
	id    string
	phase stmt.Phase
}

var errConnectionReset = errors.New("connection reset")

func newDatabase(leads bool) *database {
	return &database{leads: leads, at: group.Floor{Term: 1, Position: 10}, repliesLeft: -1}
}

func (d *database) SetDeadline(time.Time) error { return nil }
func (d *database) Close() error                { return nil }

func (d *database) Send(queries []flow.Query) error {
	for _, q := range queries {
		d.replies = append(d.replies, d.answer(q))
	}
	return nil
}

func (d *database) Receive() (flow.Reply, error) {
	if d.repliesLeft == 0 {
		return flow.Reply{}, errConnectionReset
	}
	d.repliesLeft--
	r := d.replies[0]
	d.replies = d.replies[1:]
	return r, nil
}

func (d *database) answer(q flow.Query) flow.Reply {
	refusal := d.refusal(q)
	if refusal == flow.Accepted {
		d.do(q)
	}
	return flow.Reply{Refusal: refusal, Receipt: "receipt", Phase: d.phase, Position: d.at}
}

func (d *database) refusal(q flow.Query) flow.Refusal {
	open := d.phase == stmt.Open
	switch {
	case d.at.Less(q.Floor):
		return flow.Behind
	case q.Statement.Kind == stmt.Begin && !d.leads, q.Statement.Kind == stmt.Write && !d.leads:
		return flow.NotPrimary
	case (q.Statement.Kind == stmt.Rollback || q.Statement.Kind == stmt.Commit) && !open:
		return flow.Malformed
	default:
		return flow.Accepted
	}
}

func (d *database) do(q flow.Query) {
	switch q.Statement.Kind {
	case stmt.Begin, stmt.BeginRead:
		d.phase = stmt.Open
	case stmt.Commit, stmt.Rollback:
		d.phase = stmt.Idle
	case stmt.Write:
		d.at.Position++
	default:
	}
	if q.ID != "" && q.Statement.Kind != stmt.Begin && q.Statement.Kind != stmt.BeginRead {
		d.ran = append(d.ran, run{q.ID, d.phase})
	}
}

var (
	read   = stmt.Statement{Kind: stmt.Read, Text: "READ 1"}
	write  = stmt.Statement{Kind: stmt.Write, Text: "WRITE 1 x"}
	commit = stmt.Statement{Kind: stmt.Commit, Text: "COMMIT"}
)

// begun returns a session with a transaction that is not yet open at any member.
func begun(kind stmt.Kind) stmt.Session {
	s, _ := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: kind, Text: "BEGIN"})
	return s
}

// TestStatementIsNotSentUnlessTransactionIsOpen guards against running a statement outside
// its transaction: a member that refuses to open the transaction would still run it.
func TestStatementIsNotSentUnlessTransactionIsOpen(t *testing.T) {
	g := NewWithT(t)
	replica := newDatabase(false)
	x := flow.NewExchange(flow.Query{ID: "r1", Statement: read}, begun(stmt.Begin))
	answer, err := x.Run(flow.NewMemberConn(replica), chain.RunOptions{Write: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.NotPrimary).To(BeTrue(), "the request may wait for the next primary")
	g.Expect(replica.ran).To(BeEmpty(), "no statement ran outside the transaction")
}

// TestTransactionIsReopenedAtNextMember loses the connection after a transaction that only
// reads was opened. The filter chain then tries the next member, where the transaction
// must be opened again.
func TestTransactionIsReopenedAtNextMember(t *testing.T) {
	g := NewWithT(t)
	first, second := newDatabase(false), newDatabase(false)
	first.repliesLeft = 1
	x := flow.NewExchange(flow.Query{ID: "r1", Statement: read}, begun(stmt.BeginRead))
	_, err := x.Run(flow.NewMemberConn(first), chain.RunOptions{Floor: first.at})
	g.Expect(err).To(MatchError(errConnectionReset))
	x.Discard()
	answer, err := x.Run(flow.NewMemberConn(second), chain.RunOptions{Floor: second.at})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Rejection).To(BeNil())
	g.Expect(second.ran).To(Equal([]run{{"r1", stmt.Open}}))
}

func TestReadAtNonPrimaryIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	line := flow.NewMemberConn(newDatabase(false))
	for _, s := range []stmt.Session{{}, begun(stmt.BeginRead)} {
		x := flow.NewExchange(flow.Query{ID: "r1", Statement: read}, s)
		answer, err := x.Run(line, chain.RunOptions{ProveLeadership: true})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.NotPrimary).To(BeTrue())
		g.Expect(answer.Dirty).To(BeFalse(), "no transaction is open on the connection")
		g.Expect(x.Reply().Receipt).To(BeEmpty())
	}
}

func TestStatementAtPrimaryIsUnderLease(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		session    stmt.Session
		options    chain.RunOptions
		underLease bool
	}{
		{stmt.Session{}, chain.RunOptions{ProveLeadership: true}, true},
		{begun(stmt.BeginRead), chain.RunOptions{ProveLeadership: true}, true},
		{begun(stmt.Begin), chain.RunOptions{Write: true}, true},
		{stmt.Session{}, chain.RunOptions{Floor: group.Floor{Term: 1, Position: 3}}, false},
		{begun(stmt.Begin).WithPhase(stmt.Open), chain.RunOptions{Write: true, Pinned: true}, false},
	} {
		x := flow.NewExchange(flow.Query{ID: "r1", Statement: read}, c.session)
		answer, err := x.Run(flow.NewMemberConn(newDatabase(true)), c.options)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.UnderLease).To(Equal(c.underLease))
	}
}

// TestCommitWithoutWritesIsNotConfirmed commits a transaction that has only read. A primary
// that is partitioned from its replicas acknowledges it too, so it proves no leadership.
func TestCommitWithoutWritesIsNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	line := flow.NewMemberConn(newDatabase(true))
	session := begun(stmt.Begin)
	confirmed := func(st stmt.Statement) bool {
		x := flow.NewExchange(flow.Query{ID: "r", Statement: st}, session)
		answer, err := x.Run(line, chain.RunOptions{Write: true, Replicated: true})
		g.Expect(err).NotTo(HaveOccurred())
		session = x.Session()
		return answer.MemberState.Confirmed
	}
	g.Expect(confirmed(read)).To(BeFalse())
	g.Expect(confirmed(commit)).To(BeFalse())
	session = begun(stmt.Begin)
	g.Expect(confirmed(write)).To(BeFalse())
	g.Expect(confirmed(commit)).To(BeTrue())
	g.Expect(confirmed(write)).To(BeTrue(), "a single write is its own transaction")
}

func TestMemberBehindFloorRunsNothing(t *testing.T) {
	g := NewWithT(t)
	behind := newDatabase(false)
	floor := group.Floor{Term: 1, Position: behind.at.Position + 1}
	for _, s := range []stmt.Session{{}, begun(stmt.BeginRead)} {
		x := flow.NewExchange(flow.Query{ID: "r1", Statement: read}, s)
		answer, err := x.Run(flow.NewMemberConn(behind), chain.RunOptions{Floor: floor})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Rejection.Kind).To(Equal(fault.Behind))
	}
	g.Expect(behind.ran).To(BeEmpty())
}

// TestReplyToFailedRequest checks which refusal and transaction phase a caller gets,
// depending on the phase in which the statement failed and on whether it was sent.
func TestReplyToFailedRequest(t *testing.T) {
	open := begun(stmt.Begin).WithPhase(stmt.Open)
	severed, refused := fault.New(fault.Severed, "run", "cut"), fault.New(fault.Overloaded, "run", "full")
	unknownKey, rollback := fault.New(fault.UnknownKey, "check key", "removed"), stmt.Statement{Kind: stmt.Rollback, Text: "ROLLBACK"}
	for name, c := range map[string]struct {
		statement stmt.Statement
		session   stmt.Session
		err       *fault.Error
		want      flow.Refusal
		phase     stmt.Phase
	}{
		"a single write that was sent":         {write, stmt.Session{}, severed, flow.InDoubt, stmt.Idle},
		"a single write that was not sent":     {write, stmt.Session{}, refused, flow.Busy, stmt.Idle},
		"a single read that was sent":          {read, stmt.Session{}, severed, flow.TimedOut, stmt.Idle},
		"a commit that was sent":               {commit, open, severed, flow.InDoubt, stmt.Idle},
		"a write in a transaction":             {write, open, severed, flow.Aborted, stmt.Failed},
		"the first statement of a transaction": {read, begun(stmt.Begin), refused, flow.Aborted, stmt.Failed},
		"a single write with a removed key":    {write, stmt.Session{}, unknownKey, flow.Unauthorized, stmt.Idle},
		"a write in a transaction, removed":    {write, open, unknownKey, flow.Unauthorized, stmt.Failed},
		"a commit with a removed key":          {commit, open, unknownKey, flow.Unauthorized, stmt.Idle},
		"a rollback with a removed key":        {rollback, open, unknownKey, flow.Unauthorized, stmt.Idle},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reply, session := flow.NewExchange(flow.Query{ID: "r", Statement: c.statement}, c.session).Fail(c.err)
			g.Expect(reply.Refusal).To(Equal(c.want))
			g.Expect(reply.Phase).To(Equal(c.phase))
			g.Expect(session.Phase).To(Equal(c.phase))
		})
	}
}

var _ flow.Member = (*database)(nil)
