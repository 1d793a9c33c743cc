package labdb_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
)

// TestNamesOfStatementsAndPortalsAreKept guards against a stand-in that runs a portal of an earlier
// caller of the connection, answers for one that does not exist, or replaces a named statement.
func TestNamesOfStatementsAndPortalsAreKept(t *testing.T) {
	g := NewWithT(t)
	raw, err := connect(t).Hijack()
	g.Expect(err).NotTo(HaveOccurred())
	// answer returns the first column of the rows and the SQLSTATE of the error in an answer.
	answer := func(messages ...pgproto3.FrontendMessage) string {
		for _, m := range messages {
			raw.Frontend.Send(m)
		}
		g.Expect(raw.Frontend.Flush()).To(Succeed())
		told := ""
		for {
			m, err := raw.Frontend.Receive()
			g.Expect(err).NotTo(HaveOccurred())
			switch msg := m.(type) {
			case *pgproto3.DataRow:
				told += string(msg.Values[0])
			case *pgproto3.ErrorResponse:
				told += msg.Code
			case *pgproto3.ReadyForQuery:
				return told
			}
		}
	}
	parse, bind, execute := &pgproto3.Parse{Name: "s", Query: "SELECT 7"}, &pgproto3.Bind{PreparedStatement: "s", DestinationPortal: "p"}, &pgproto3.Execute{Portal: "p"}
	g.Expect(answer(parse, bind, execute, &pgproto3.Sync{})).To(Equal("7"))
	g.Expect(answer(execute, &pgproto3.Sync{})).To(Equal("34000"), "a portal ends with its transaction")
	g.Expect(answer(&pgproto3.Describe{ObjectType: 'P', Name: "p"}, &pgproto3.Sync{})).To(Equal("34000"))
	g.Expect(answer(bind, &pgproto3.Close{ObjectType: 'P', Name: "p"}, execute, &pgproto3.Sync{})).To(Equal("34000"))
	g.Expect(answer(&pgproto3.Query{String: "BEGIN"})).To(BeEmpty())
	g.Expect(answer(bind, &pgproto3.Sync{})).To(BeEmpty())
	g.Expect(answer(execute, &pgproto3.Sync{})).To(Equal("7"))
	g.Expect(answer(&pgproto3.Query{String: "COMMIT"})).To(BeEmpty())
	g.Expect(answer(execute, &pgproto3.Sync{})).To(Equal("34000"))
	g.Expect(answer(&pgproto3.Parse{Name: "s", Query: "SELECT 8"}, &pgproto3.Sync{})).To(Equal("42P05"))
	g.Expect(answer(&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Parse{Name: "s", Query: "SELECT 8"}, bind, execute, &pgproto3.Sync{})).To(Equal("8"))
	_ = raw.Conn.Close()
}
