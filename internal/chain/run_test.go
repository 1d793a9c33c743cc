package chain_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/internal/pgrun"
	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// scriptedMember starts a member that accepts one login, and answers the first batch and the
// state query that follows it with the given messages.
func scriptedMember(t *testing.T, answer ...pgproto3.BackendMessage) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b := pgproto3.NewBackend(conn, conn)
		_, _ = b.ReceiveStartupMessage()
		b.Send(&pgproto3.AuthenticationOk{})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: wire.Idle})
		_ = b.Flush()
		for {
			message, err := b.Receive()
			if err != nil {
				return
			}
			if _, status := message.(*pgproto3.Query); status {
				break
			}
		}
		for _, m := range answer {
			b.Send(m)
		}
		_ = b.Flush()
		_, _ = io.Copy(io.Discard, conn)
	}()
	return listener.Addr().String()
}

// callerConn is a caller connection that records what the proxy writes to it.
type callerConn struct {
	net.Conn
	written bytes.Buffer
}

func (s *callerConn) Write(p []byte) (int, error)      { return s.written.Write(p) }
func (s *callerConn) SetWriteDeadline(time.Time) error { return nil }

// runOn runs one extended-protocol statement that may write on a scripted member.
func runOn(t *testing.T, address string) (*chain.Request, error) {
	return runWithPermit(t, address, time.Now().Add(time.Minute))
}

// runWithPermit does the same with a permit that expires at the given time.
func runWithPermit(t *testing.T, address string, expires time.Time) (*chain.Request, error) {
	g := NewWithT(t)
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	violated := func(p guard.Invariant) { t.Errorf("invariant %s was violated", p) }
	options := chain.Options{Log: log, Guard: guard.New(log, prometheus.NewRegistry(), violated), BufferBytes: 1 << 10}
	pool, closePool := pgmem.NewPool(address, pgmem.Login{User: "u"}, 1, time.Minute)
	t.Cleanup(closePool)
	conn, err := pool.Get(context.Background(), member.ReadWrite, "")
	g.Expect(err).NotTo(HaveOccurred())
	c := wire.NewCollector(1 << 10)
	var batch *wire.Batch
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "INSERT"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}} {
		batch, err = c.Add(m)
		g.Expect(err).NotTo(HaveOccurred())
	}
	r := &chain.Request{
		Exchange: pgrun.New(batch, wire.NewWriter(&callerConn{})), Track: func(*chain.Lease) {}, Deadline: time.Now().Add(time.Minute),
	}
	return r, chain.RunLeased(context.Background(), options, r, pool, conn, chain.Permit{ExpiresAt: expires, Release: func() {}})
}

func stateRow(s group.State) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(pgmem.FormatState(s))}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: wire.Idle},
	}
}

var (
	accepted  = []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}}
	refusal   = &pgproto3.ErrorResponse{Code: "25006"}
	idle      = &pgproto3.ReadyForQuery{TxStatus: wire.Idle}
	committed = group.State{Role: group.Primary, Term: 3, EntryTerm: 3, Received: 12}
)

func script(parts ...[]pgproto3.BackendMessage) []pgproto3.BackendMessage {
	var all []pgproto3.BackendMessage
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

func TestWriteReportsCommitPosition(t *testing.T) {
	g := NewWithT(t)
	r, err := runOn(t, scriptedMember(t, script(accepted, []pgproto3.BackendMessage{idle}, stateRow(committed))...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Committed).To(Equal(group.Floor{Term: 3, Position: 12}))
	g.Expect(r.Sent()).To(BeTrue())
	g.Expect(r.Answer.NotPrimary).To(BeFalse())
}

// A primary that is fenced between the statement and its commit refuses the commit. Nothing
// took effect, so the work must count as not sent.
func TestRefusedCommitMayBeResent(t *testing.T) {
	g := NewWithT(t)
	fenced := committed
	fenced.Fence = 4
	r, err := runOn(t, scriptedMember(t, script(accepted, []pgproto3.BackendMessage{refusal, idle}, stateRow(fenced))...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Answer.NotPrimary).To(BeTrue())
	g.Expect(r.Committed.IsZero()).To(BeTrue(), "nothing was committed that could be confirmed")
	g.Expect(r.Sent()).To(BeFalse())
}

func TestMissingCommitPositionLeavesOutcomeUnknown(t *testing.T) {
	g := NewWithT(t)
	r, err := runOn(t, scriptedMember(t, script(accepted, []pgproto3.BackendMessage{idle}, []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: "57014"}, idle})...))
	g.Expect(err).To(HaveOccurred(), "the commit position is unknown")
	g.Expect(err.Error()).To(ContainSubstring("unconfirmed"))
	g.Expect(r.Committed.IsZero()).To(BeTrue())
}

func TestExpiredPermitIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	r, err := runWithPermit(t, scriptedMember(t), time.Now().Add(-time.Nanosecond))
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Undispatched))
	g.Expect(fault.FromError(err).Kind.Outcome()).To(Equal(fault.NotRun))
	g.Expect(r.Sent()).To(BeFalse())
}
