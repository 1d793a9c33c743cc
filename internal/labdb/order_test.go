package labdb_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labdb"
)

// connect returns a connection to a new member.
func connect(t *testing.T) *pgconn.PgConn {
	m, cleanUp, err := labdb.New(labdb.Options{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanUp)
	conn, err := pgconn.Connect(t.Context(), "postgres://u@"+m.Address()+"/d?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(t.Context()) })
	return conn
}

// TestOrdersReadQuotedArguments guards against a stand-in that cuts arguments inside quotes, or
// leaves quotes in them.
func TestOrdersReadQuotedArguments(t *testing.T) {
	g := NewWithT(t)
	conn := connect(t)
	for literal, text := range map[string]string{
		"'host-1'": "host-1", "'a, b'": "a, b", "'o''brien'": "o'brien", "''''": "'", "'a'', ''b'": "a', 'b", "'two\nlines'": "two\nlines", "' x '": " x ",
	} {
		_, err := conn.Exec(t.Context(), "SELECT poplar_lead("+literal+")").ReadAll()
		g.Expect(err).NotTo(HaveOccurred(), literal)
		_, err = conn.Exec(t.Context(), "SELECT poplar_promote(7, "+literal+")").ReadAll()
		g.Expect(err).To(MatchError(ContainSubstring("got term 7 by "+text+",")), literal)
	}
	for _, list := range []string{"'x", "'x' 'y'", "'x'y", "'x',", "x'y'"} {
		_, err := conn.Exec(t.Context(), "SELECT poplar_lead("+list+")").ReadAll()
		g.Expect(err).To(HaveOccurred(), list)
	}
}
