package relay_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// TestLongestStatementIsRelayedWithItsSession guards against a caller that is told that its request
// is too large, depending on the host that it is connected to: the longest statement, and the
// largest state of a session, are each served by an owner.
func TestLongestStatementIsRelayedWithItsSession(t *testing.T) {
	g := NewWithT(t)
	const message, state = 1 << 20, 2 << 20
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	texts := make(chan string, 1)
	go func() {
		var job relay.Job
		if err := peer.DecodeInto(ownerEnd, peer.MaxFrame, &job); err != nil {
			t.Error(err)
		}
		raw, err := peer.EncodeArray(relay.Outcome{Number: job.Number})
		if err != nil {
			t.Error(err)
		}
		_, _ = ownerEnd.Write(raw)
		texts <- job.Payload.Query.Statement.Text + job.Payload.Session.Values["a"] + job.Payload.Session.Values["b"]
	}()
	var session stmt.Session
	for _, name := range []string{"a", "b"} {
		session, _ = session.ApplyLocally(stmt.Statement{Kind: stmt.Set, Name: name, Value: strings.Repeat(name, state/2-1000)})
	}
	text := "WRITE k " + strings.Repeat("x", message-100)
	r := &chain.Request{
		Name: "q1", Exchange: flow.NewExchange(flow.Query{ID: "q1", Statement: stmt.Statement{Kind: stmt.Write, Text: text}}, session), Arrived: time.Now(),
		Work: sheet.Row{Service: "orders", Database: "stock", Rank: 1, Deadline: time.Second},
	}
	g.Expect(conn.Run(t.Context(), r)).To(Succeed())
	g.Expect(len(<-texts)).To(Equal(len(text) + state - 2000))
}
