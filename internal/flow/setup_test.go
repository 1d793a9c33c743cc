package flow_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// greyDatabase is an in-memory connection to a primary that refuses some queries and runs what
// follows them, as the platform's databases do.
type greyDatabase struct {
	// refuse returns the refusal of a query, or Accepted.
	refuse   func(q flow.Query) flow.Refusal
	values   map[string]string
	prepared map[string]stmt.Shape
	phase    stmt.Phase
	// owner is the ID with which the open transaction was begun.
	owner   string
	replies []flow.Reply
	ran     []greyRun
	flights int
}

// greyRun is a statement of a caller that ran, with the state of the connection.
type greyRun struct {
	id     string
	values map[string]string
	shape  stmt.Shape
	phase  stmt.Phase
	owner  string
}

func newGreyDatabase(refuse func(q flow.Query) flow.Refusal) *greyDatabase {
	return &greyDatabase{refuse: refuse, values: map[string]string{}, prepared: map[string]stmt.Shape{}}
}

func (*greyDatabase) SetDeadline(time.Time) error { return nil }
func (*greyDatabase) Close() error                { return nil }

func (d *greyDatabase) Send(queries []flow.Query) error {
	d.flights++
	for _, q := range queries {
		refusal := d.refuse(q)
		if refusal == flow.Accepted {
			refusal = d.run(q)
		}
		d.replies = append(d.replies, flow.Reply{Refusal: refusal, Receipt: "receipt", Phase: d.phase})
	}
	return nil
}

func (d *greyDatabase) Receive() (flow.Reply, error) {
	r := d.replies[0]
	d.replies = d.replies[1:]
	return r, nil
}

func (d *greyDatabase) run(q flow.Query) flow.Refusal {
	st := q.Statement
	switch st.Kind {
	case stmt.Reset:
		d.values, d.prepared = map[string]string{}, map[string]stmt.Shape{}
	case stmt.Set:
		d.values[st.Name] = st.Value
	case stmt.Prepare:
		d.prepared[st.Name] = st.Shape
	case stmt.Begin, stmt.BeginRead:
		if d.phase != stmt.Idle {
			return flow.Malformed
		}
		d.phase, d.owner = stmt.Open, q.ID
	case stmt.Commit, stmt.Rollback:
		if d.phase == stmt.Idle {
			return flow.Malformed
		}
		d.note(q)
		d.phase, d.owner = stmt.Idle, ""
	case stmt.Execute:
		if _, found := d.prepared[q.Prepared]; !found {
			return flow.NotPrepared
		}
		d.note(q)
	default:
		d.note(q)
	}
	return flow.Accepted
}

func (d *greyDatabase) note(q flow.Query) {
	if q.ID != "" {
		d.ran = append(d.ran, greyRun{q.ID, maps.Clone(d.values), d.prepared[q.Prepared], d.phase, d.owner})
	}
}

// applied returns a session after statements that the proxy answers itself.
func applied(s stmt.Session, statements ...stmt.Statement) stmt.Session {
	for _, st := range statements {
		s, _ = s.ApplyLocally(st)
	}
	return s
}

var (
	setZone  = stmt.Statement{Kind: stmt.Set, Name: "zone", Value: "north"}
	setOther = stmt.Statement{Kind: stmt.Set, Name: "other", Value: "x"}
	prepareW = stmt.Statement{Kind: stmt.Prepare, Name: "p", Shape: stmt.Shape{Writes: true, Text: "q2c"}}
	executeP = stmt.Statement{Kind: stmt.Execute, Name: "p", Value: "1 x"}
	begin    = stmt.Statement{Kind: stmt.Begin, Text: "BEGIN"}
)

// TestNoStatementRunsBehindARefusedSetup guards against statements that run with other values than
// their callers set: a member refuses a part of the setup and runs what follows it.
func TestNoStatementRunsBehindARefusedSetup(t *testing.T) {
	// The connection has a value of an earlier session, so that it has to be reset.
	earlier := applied(stmt.Session{}, setOther)
	plain := applied(stmt.Session{}, setZone, prepareW)
	for name, c := range map[string]struct {
		session   stmt.Session
		statement stmt.Statement
		options   chain.RunOptions
	}{
		"a single write":                     {plain, write, chain.RunOptions{Write: true}},
		"a prepared write":                   {plain, executeP, chain.RunOptions{Write: true}},
		"a read":                             {plain, read, chain.RunOptions{}},
		"a read that proves leadership":      {plain, read, chain.RunOptions{ProveLeadership: true}},
		"the first statement":                {applied(plain, begin), executeP, chain.RunOptions{Write: true}},
		"the first of a reading transaction": {applied(plain, stmt.Statement{Kind: stmt.BeginRead}), read, chain.RunOptions{}},
		"the first that proves leadership":   {applied(plain, stmt.Statement{Kind: stmt.BeginRead}), read, chain.RunOptions{ProveLeadership: true}},
		"a commit as the first statement":    {applied(plain, begin), commit, chain.RunOptions{Write: true}},
		"the first behind a later value":     {applied(plain, begin, setOther), write, chain.RunOptions{Write: true}},
	} {
		for _, kind := range []stmt.Kind{stmt.Reset, stmt.Set, stmt.Prepare} {
			for _, refusal := range []flow.Refusal{flow.Busy, flow.Malformed, flow.Failed, flow.TimedOut} {
				t.Run(fmt.Sprintf("%s, statement %d %s", name, kind, refusal), func(t *testing.T) {
					g := NewWithT(t)
					refuses, refused := false, false
					d := newGreyDatabase(func(q flow.Query) flow.Refusal {
						if refuses && q.Statement.Kind == kind {
							refused = true
							return refusal
						}
						return flow.Accepted
					})
					conn := flow.NewMemberConn(d)
					_, err := flow.NewExchange(flow.Query{ID: "earlier", Statement: read}, earlier).Run(conn, chain.RunOptions{})
					g.Expect(err).NotTo(HaveOccurred())
					d.ran, refuses = nil, true
					answer, err := flow.NewExchange(flow.Query{ID: "q", Statement: c.statement}, c.session).Run(conn, c.options)
					g.Expect(err).NotTo(HaveOccurred())
					if !refused {
						g.Expect(answer.Rejection).To(BeNil())
						return
					}
					g.Expect(d.ran).To(BeEmpty())
					g.Expect(answer.Rejection.Kind.Outcome()).To(Equal(fault.NotRun))
					g.Expect(answer.Dirty).To(Equal(refusal != flow.Busy), "the state of the connection is known only if the refused statement did not run")
					g.Expect(d.phase).To(Equal(stmt.Idle))
				})
			}
		}
	}
}

// TestRefusedSetupEndsAnOpenTransaction guards against a statement of a transaction that runs with
// a value that the caller has changed since the transaction began.
func TestRefusedSetupEndsAnOpenTransaction(t *testing.T) {
	g := NewWithT(t)
	refuses := false
	d := newGreyDatabase(func(q flow.Query) flow.Refusal {
		if refuses && q.Statement.Kind == stmt.Set {
			return flow.Busy
		}
		return flow.Accepted
	})
	conn := flow.NewMemberConn(d)
	first := flow.NewExchange(flow.Query{ID: "first", Statement: read}, applied(stmt.Session{}, setZone, begin))
	_, err := first.Run(conn, chain.RunOptions{Write: true})
	g.Expect(err).NotTo(HaveOccurred())
	refuses = true
	for _, st := range []stmt.Statement{write, commit} {
		x := flow.NewExchange(flow.Query{ID: "second", Statement: st}, applied(first.Session(), setOther))
		answer, err := x.Run(conn, chain.RunOptions{Write: true, Pinned: true})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.ran).To(HaveLen(1))
		g.Expect(d.phase).To(Equal(stmt.Idle), "the transaction is rolled back")
		g.Expect(answer.Dirty).To(BeFalse())
		reply, session := x.Fail(answer.Rejection)
		g.Expect(reply.Refusal).To(BeElementOf(flow.Aborted, flow.Busy), "a promise that nothing is kept")
		g.Expect(session.Phase).To(BeElementOf(stmt.Failed, stmt.Idle))
		d.phase, d.owner = stmt.Open, "first"
	}
}

// TestStatementWhoseSetupWasCutOffHasNotRun guards against an unknown outcome that is reported for a
// statement that was never sent.
func TestStatementWhoseSetupWasCutOffHasNotRun(t *testing.T) {
	g := NewWithT(t)
	d := newDatabase(true)
	d.repliesLeft = 0
	x := flow.NewExchange(flow.Query{ID: "w", Statement: write}, applied(stmt.Session{}, setZone))
	answer, err := x.Run(flow.NewMemberConn(d), chain.RunOptions{Write: true})
	g.Expect(err).To(MatchError(errConnectionReset))
	g.Expect(fault.FromError(err).Kind.Outcome()).To(Equal(fault.NotRun))
	g.Expect(answer.Unsent).To(BeTrue())
	g.Expect(d.ran).To(BeEmpty())
}

// TestReadWhoseProofDoesNotEndClosesItsConnection guards against statements that run inside the
// transaction of a proof of leadership: the member refuses to end it.
func TestReadWhoseProofDoesNotEndClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	d := newGreyDatabase(func(q flow.Query) flow.Refusal {
		if q.Statement.Kind == stmt.Rollback {
			return flow.Busy
		}
		return flow.Accepted
	})
	x := flow.NewExchange(flow.Query{ID: "r", Statement: read}, stmt.Session{})
	answer, err := x.Run(flow.NewMemberConn(d), chain.RunOptions{ProveLeadership: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Idle).To(BeTrue())
	g.Expect(answer.Dirty).To(BeTrue())
	g.Expect(x.Reply().Phase).To(Equal(stmt.Idle), "the caller has begun no transaction")
	g.Expect(x.Session().Phase).To(Equal(stmt.Idle))
}

// TestSetupTakesNoRoundTripIfNothingIsMissing guards against a round trip on every statement.
func TestSetupTakesNoRoundTripIfNothingIsMissing(t *testing.T) {
	g := NewWithT(t)
	d := newGreyDatabase(func(flow.Query) flow.Refusal { return flow.Accepted })
	conn := flow.NewMemberConn(d)
	flights := func(s stmt.Session, st stmt.Statement) int {
		before := d.flights
		_, err := flow.NewExchange(flow.Query{ID: "q", Statement: st}, s).Run(conn, chain.RunOptions{Write: true})
		g.Expect(err).NotTo(HaveOccurred())
		return d.flights - before
	}
	s := applied(stmt.Session{}, setZone, prepareW)
	g.Expect(flights(s, executeP)).To(Equal(2))
	g.Expect(flights(s, executeP)).To(Equal(1))
	g.Expect(flights(s, write)).To(Equal(1))
	d = newGreyDatabase(func(flow.Query) flow.Refusal { return flow.Accepted })
	conn = flow.NewMemberConn(d)
	g.Expect(flights(applied(s, begin), executeP)).To(Equal(2), "a transaction is opened in the round trip of the setup")
}

// greySession is a caller's session, and its transaction's connection if one is open.
type greySession struct {
	stmt.Session
	values map[string]string
	shapes map[string]stmt.Shape
	conn   *greyConn
	began  string
}

type greyConn struct {
	*flow.MemberConn
	database *greyDatabase
}

// TestStatementsOfAGreyMemberRunAsTheirCallersSetThemUp lets sessions that share connections set
// values, prepare statements and run transactions at a member that refuses any query at random.
// Each statement that runs must find the state that its caller set up, in its own transaction.
func TestStatementsOfAGreyMemberRunAsTheirCallersSetThemUp(t *testing.T) {
	refusals := []flow.Refusal{flow.Accepted, flow.Accepted, flow.Accepted, flow.Busy, flow.Malformed, flow.Failed}
	rapid.Check(t, func(t *rapid.T) {
		sessions := make([]greySession, 3)
		for i := range sessions {
			sessions[i].values, sessions[i].shapes = map[string]string{}, map[string]stmt.Shape{}
		}
		var idle []*greyConn
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := &sessions[rapid.IntRange(0, len(sessions)-1).Draw(t, "session")]
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			text := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "text")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				s.Session, s.values[name] = applied(s.Session, stmt.Statement{Kind: stmt.Set, Name: name, Value: text}), text
			case 1:
				shape := stmt.Shape{Writes: true, Text: text}
				s.Session, s.shapes[name] = applied(s.Session, stmt.Statement{Kind: stmt.Prepare, Name: name, Shape: shape}), shape
			case 2:
				if s.Phase == stmt.Idle {
					s.Session = applied(s.Session, begin)
				}
			default:
				statement := rapid.SampledFrom([]stmt.Statement{read, write, commit, {Kind: stmt.Execute, Name: name, Value: "1 x"}}).Draw(t, "statement")
				if statement.Kind == stmt.Execute && s.shapes[name].Text == "" || statement.Kind == stmt.Commit && s.Phase != stmt.Open || s.Phase == stmt.Failed {
					if s.Phase == stmt.Failed {
						s.Session = s.WithPhase(stmt.Idle)
					}
					continue
				}
				idle = s.run(t, fmt.Sprint("q", step), statement, idle, refusals)
			}
		}
	})
}

// check checks a statement that ran, inside a transaction of the session or not.
func (s *greySession) check(t *rapid.T, r greyRun, statement stmt.Statement, in, proves bool) {
	if !maps.Equal(r.values, s.values) || statement.Kind == stmt.Execute && r.shape != s.shapes[statement.Name] {
		t.Fatalf("%s ran with %v and %+v, want %v and %+v", r.id, r.values, r.shape, s.values, s.shapes[statement.Name])
	}
	if in && (r.phase != stmt.Open || r.owner != s.began) || !in && !proves && r.phase != stmt.Idle {
		t.Fatalf("%s ran in phase %d of transaction %q, its own is %q", r.id, r.phase, r.owner, s.began)
	}
}

// take returns the connection of the session's transaction, an idle one or a new one, and the
// connections that are idle then.
func (s *greySession) take(t *rapid.T, idle []*greyConn, refusals []flow.Refusal) (conn *greyConn, rest []*greyConn) {
	if s.conn != nil {
		return s.conn, idle
	}
	if n := len(idle); n > 0 {
		return idle[n-1], idle[:n-1]
	}
	d := newGreyDatabase(func(flow.Query) flow.Refusal { return rapid.SampledFrom(refusals).Draw(t, "refusal") })
	return &greyConn{flow.NewMemberConn(d), d}, idle
}

// run runs a statement on the session's connection or an idle one, checks what ran, and returns the
// idle connections after it.
func (s *greySession) run(t *rapid.T, id string, statement stmt.Statement, idle []*greyConn, refusals []flow.Refusal) []*greyConn {
	conn, idle := s.take(t, idle, refusals)
	if s.Phase == stmt.Pending {
		s.began = id
	}
	in, d := s.Phase != stmt.Idle, conn.database
	d.ran = nil
	proves := statement.Kind == stmt.Read && !in
	x := flow.NewExchange(flow.Query{ID: id, Statement: statement}, s.Session)
	answer, err := x.Run(conn.MemberConn, chain.RunOptions{Write: !proves, ProveLeadership: proves})
	if err != nil {
		t.Fatal(err)
	}
	if answer.Rejection != nil && len(d.ran) > 0 && !proves {
		t.Fatalf("%s was rejected and ran: %+v", id, d.ran)
	}
	for _, r := range d.ran {
		s.check(t, r, statement, in, proves)
	}
	s.Session = x.Session()
	if answer.Rejection != nil {
		_, s.Session = x.Fail(answer.Rejection)
	}
	if s.conn = nil; !answer.Idle {
		s.conn = conn
		return idle
	}
	if answer.Dirty {
		return idle
	}
	if d.phase != stmt.Idle {
		t.Fatalf("%s leaves a transaction open on a connection that is used again", id)
	}
	return append(slices.Clone(idle), conn)
}
