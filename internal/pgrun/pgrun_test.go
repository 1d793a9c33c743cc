package pgrun_test

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/internal/pgrun"
	"poplarrouter.example/poplarrouter/internal/wire"
)

// TestSettingOfATransactionDoesNotOutliveIt guards against a connection that is used again with a
// setting that an earlier request of the transaction made, so that the member reads statements of
// other callers by it.
func TestSettingOfATransactionDoesNotOutliveIt(t *testing.T) {
	g := NewWithT(t)
	m, cleanUp, err := labdb.New(labdb.Options{Address: "127.0.0.1:0"})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	conn, err := pgmem.Dial(t.Context(), m.Address(), pgmem.Login{User: "u", Database: "d"}, member.ReadWrite)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	run := func(text string) chain.Answer {
		batch, err := wire.NewCollector(1 << 16).Add(&pgproto3.Query{String: text})
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := pgrun.New(batch, wire.NewWriter(discarded{})).Run(conn, chain.RunOptions{})
		g.Expect(err).NotTo(HaveOccurred())
		return answer
	}
	g.Expect(run("SELECT 1").Dirty).To(BeFalse())
	run("BEGIN")
	run("SET standard_conforming_strings = off")
	end := run("COMMIT")
	g.Expect(end.Idle).To(BeTrue())
	g.Expect(end.Dirty).To(BeTrue(), "the connection is not used again")
}

// discarded is a connection to a caller that drops what is written.
type discarded struct{ net.Conn }

func (discarded) SetWriteDeadline(time.Time) error { return nil }

func (discarded) Write(p []byte) (int, error) { return len(p), nil }
