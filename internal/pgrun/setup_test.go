package pgrun_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/internal/pgrun"
	"poplarrouter.example/poplarrouter/internal/wire"
)

// refusingMember answers extended-query messages. After an error it skips those up to a Sync.
type refusingMember struct {
	*pgproto3.Backend
	refusesParse bool
	executed     int
}

func (m *refusingMember) serve() {
	skips := false
	for {
		message, err := m.Receive()
		if err != nil {
			return
		}
		switch message.(type) {
		case *pgproto3.Sync:
			skips = false
			m.Send(&pgproto3.ReadyForQuery{TxStatus: wire.Idle})
			if m.Flush() != nil {
				return
			}
		case *pgproto3.Parse:
			if skips = skips || m.refusesParse; skips {
				m.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "53000", Message: "refused"})
				continue
			}
			m.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			if !skips {
				m.Send(&pgproto3.BindComplete{})
			}
		case *pgproto3.Execute:
			if !skips {
				m.executed++
				m.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
			}
		}
	}
}

// TestStatementBehindARefusedParseDoesNotRun guards against a statement that runs although the
// member refused to prepare it on this connection, and against a connection that is used again as if
// it knew the statement.
func TestStatementBehindARefusedParseDoesNotRun(t *testing.T) {
	g := NewWithT(t)
	proxySide, memberSide := net.Pipe()
	m := &refusingMember{Backend: pgproto3.NewBackend(memberSide, memberSide), refusesParse: true}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.serve()
	}()
	conn := &pgmem.Conn{Frontend: pgproto3.NewFrontend(proxySide, proxySide), Conn: proxySide, Prepared: make(map[string]struct{})}
	collector := wire.NewCollector(1 << 16)
	collect := func(messages ...pgproto3.FrontendMessage) *wire.Batch {
		var batch *wire.Batch
		for _, message := range messages {
			var err error
			batch, err = collector.Add(message)
			g.Expect(err).NotTo(HaveOccurred())
		}
		return batch
	}
	collect(&pgproto3.Parse{Name: "p", Query: "INSERT INTO t VALUES (1)"}, &pgproto3.Sync{})
	run := func() chain.Answer {
		batch := collect(&pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		answer, err := pgrun.New(batch, wire.NewWriter(discarded{})).Run(conn, chain.RunOptions{})
		g.Expect(err).NotTo(HaveOccurred())
		return answer
	}
	g.Expect(run().Idle).To(BeTrue())
	g.Expect(m.executed).To(BeZero())
	g.Expect(conn.Prepared).To(BeEmpty())
	m.refusesParse = false
	g.Expect(run().Whole).To(BeTrue())
	g.Expect(m.executed).To(Equal(1))
	g.Expect(conn.Prepared).To(HaveLen(1))
	g.Expect(proxySide.Close()).To(Succeed())
	<-ended
}
