package wire_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// runs returns the texts that a member runs for a batch, one for each Execute message, when it
// has the given statements, which it may add to.
func runs(g *WithT, b *wire.Batch, statements map[string]string) []string {
	known := make(map[string]struct{})
	for name := range statements {
		known[name] = struct{}{}
	}
	raw, _ := b.Encode(known)
	portals := make(map[string]string)
	var texts []string
	for _, m := range decoded(g, raw) {
		switch msg := m.(type) {
		case *pgproto3.Parse:
			statements[msg.Name] = msg.Query
		case *pgproto3.Bind:
			g.Expect(statements).To(HaveKey(msg.PreparedStatement))
			portals[msg.DestinationPortal] = statements[msg.PreparedStatement]
		case *pgproto3.Close:
			if msg.ObjectType == 'P' {
				delete(portals, msg.Name)
			}
		case *pgproto3.Execute:
			g.Expect(portals).To(HaveKey(msg.Portal))
			texts = append(texts, portals[msg.Portal])
		}
	}
	return texts
}

// decoded returns the messages that a batch sends.
func decoded(g *WithT, raw []byte) []pgproto3.FrontendMessage {
	var messages []pgproto3.FrontendMessage
	for len(raw) > 0 {
		size := int(raw[1])<<24 | int(raw[2])<<16 | int(raw[3])<<8 | int(raw[4])
		var m pgproto3.FrontendMessage
		switch raw[0] {
		case 'P':
			m = &pgproto3.Parse{}
		case 'B':
			m = &pgproto3.Bind{}
		case 'C':
			m = &pgproto3.Close{}
		case 'E':
			m = &pgproto3.Execute{}
		case 'D':
			m = &pgproto3.Describe{}
		default:
			m = &pgproto3.Sync{}
		}
		g.Expect(m.Decode(raw[5 : 1+size])).To(Succeed())
		messages = append(messages, m)
		raw = raw[1+size:]
	}
	return messages
}

// TestStatementReplacedInABatchRunsBeforeAsItWas guards against running a caller's earlier unnamed
// statement with the text of the one that replaces it later in the same batch.
func TestStatementReplacedInABatchRunsBeforeAsItWas(t *testing.T) {
	g := NewWithT(t)
	c := wire.NewCollector(limit)
	collect(g, c, &pgproto3.Parse{Query: "DELETE FROM drafts WHERE id = $1"}, &pgproto3.Sync{})
	batch := collect(g, c, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Parse{Query: "DELETE FROM orders WHERE id = $1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	g.Expect(runs(g, batch, map[string]string{})).To(Equal([]string{"DELETE FROM drafts WHERE id = $1", "DELETE FROM orders WHERE id = $1"}))
}

// TestSameTextUnderTwoNamesIsPreparedOnce guards against preparing a statement twice under the one
// name that its text has at members, which a member refuses.
func TestSameTextUnderTwoNamesIsPreparedOnce(t *testing.T) {
	g := NewWithT(t)
	c := wire.NewCollector(limit)
	both := collect(g, c, parse("a"), parse("b"), &pgproto3.Sync{})
	g.Expect(sent(both, nil)).To(Equal("PCS"))
	again := collect(g, c, parse("a"), &pgproto3.Close{ObjectType: 'S', Name: "a"}, parse("a"), &pgproto3.Sync{})
	g.Expect(sent(again, nil)).To(Equal("PCCS"))
	g.Expect(sent(collect(g, c, parse(""), parse(""), &pgproto3.Sync{}), nil)).To(Equal("PPS"), "the unnamed statement may be replaced")
}

// TestReplacedMessageLeavesPortalsOfCallers guards against closing a portal to which a caller gave
// the name that the proxy uses for a message that replaces another.
func TestReplacedMessageLeavesPortalsOfCallers(t *testing.T) {
	g := NewWithT(t)
	c := wire.NewCollector(limit)
	statements := map[string]string{}
	runs(g, collect(g, c, parse("own"), &pgproto3.Sync{}), statements)
	batch := collect(g, c, &pgproto3.Bind{PreparedStatement: "own", DestinationPortal: "poplar_absent"},
		parse("other"), &pgproto3.Close{ObjectType: 'S', Name: "other"}, &pgproto3.Execute{Portal: "poplar_absent"}, &pgproto3.Sync{})
	g.Expect(runs(g, batch, statements)).To(Equal([]string{"SELECT $1"}))
}

// TestProxyAnswersForNoStatementOfMembers guards against answering a statement that a member has to
// run because a setting of the proxy is in the same request.
func TestProxyAnswersForNoStatementOfMembers(t *testing.T) {
	g := NewWithT(t)
	set := &pgproto3.Parse{Name: "set", Query: "SET poplarrouter.kind = 'own-orders'"}
	show := &pgproto3.Parse{Name: "show", Query: "SHOW poplarrouter.kind"}
	write := &pgproto3.Parse{Name: "write", Query: "INSERT INTO orders VALUES (1)"}
	execute := func(names ...string) []pgproto3.FrontendMessage {
		var messages []pgproto3.FrontendMessage
		for _, name := range names {
			messages = append(messages, &pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{})
		}
		return messages
	}
	for name, messages := range map[string][]pgproto3.FrontendMessage{
		"setting before a write":          execute("set", "write"),
		"setting after a write":           execute("write", "set"),
		"two settings":                    execute("set", "show"),
		"setting as a query after others": append(execute("write"), &pgproto3.Query{String: set.Query}),
		"query after a setting":           append(execute("set"), &pgproto3.Query{String: write.Query}),
		"setting after an empty text":     append([]pgproto3.FrontendMessage{&pgproto3.Parse{}}, execute("", "set")...),
		"new statement after a setting":   append(execute("set"), &pgproto3.Parse{Query: write.Query}),
	} {
		c := wire.NewCollector(limit)
		for _, p := range []*pgproto3.Parse{set, show, write} {
			collect(g, c, p, &pgproto3.Sync{})
		}
		var err error
		for _, m := range messages {
			if err == nil {
				_, err = c.Add(m)
			}
		}
		g.Expect(err).To(HaveOccurred(), name)
		g.Expect(fault.FromError(err).Kind).To(Equal(fault.Protocol), name)
	}
	c := wire.NewCollector(limit)
	g.Expect(collect(g, c, append([]pgproto3.FrontendMessage{set}, append(execute("set", "set"), &pgproto3.Sync{})...)...).Local).NotTo(BeNil())
	closed := collect(g, c, &pgproto3.Close{ObjectType: 'S', Name: "set"}, &pgproto3.Query{String: set.Query})
	out := &sink{}
	w := wire.NewWriter(out)
	closed.AnswerLocal(w, "", wire.Idle)
	g.Expect(w.Flush()).To(Succeed())
	g.Expect(types(out.Bytes())).To(Equal("3CZ"), "each message is answered")
}

// TestSettingsOfTheProxyReachNoMember guards against a setting of the proxy that it does not
// understand and a member takes for one of its own, so that it has no effect.
func TestSettingsOfTheProxyReachNoMember(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		"SET poplarrouter.kind = 'a'; DROP TABLE t", "SET LOCAL poplarrouter.kind = 'a'", "SET poplarrouter.kind = 'a' -- why",
		"SET poplarrouter.kind = 'a''b'", "SET poplarrouter.kind = 'a", "SET poplarrouter.kind = a'", "SET poplarrouter.kind = a b",
		"SET poplarrouter.floor", "SET poplarrouter.kind =", "SET poplarrouter.kind E'a'", "SHOW poplarrouter.kind; SELECT 1", "set poplarrouter.FLOOR = 1:2, x",
		"/* app */ SET poplarrouter.kind = 'a'; SELECT 1",
	} {
		_, err := wire.NewCollector(limit).Add(&pgproto3.Query{String: text})
		g.Expect(err).To(HaveOccurred(), text)
		g.Expect(fault.FromError(err).Kind).To(Equal(fault.Protocol), text)
		_, err = wire.NewCollector(limit).Add(&pgproto3.Parse{Query: text})
		g.Expect(err).To(HaveOccurred(), text)
	}
	for text, value := range map[string]string{
		"SET poplarrouter.kind = a": "a", "SET poplarrouter.kind='a b'": "a b", "SET poplarrouter.kind TO ''": "", "SET poplarrouter.floor = 1:2;": "1:2",
		"\vset\tSESSION poplarrouter.kind to 'a' ; ": "a", "-- why\n/* app */SET poplarrouter.kind = 'a'": "a",
	} {
		local := collect(g, wire.NewCollector(limit), &pgproto3.Query{String: text}).Local
		g.Expect(local).NotTo(BeNil(), text)
		g.Expect(local.Value).To(Equal(value), text)
	}
	for _, text := range []string{"SET poplarrouterkind = a", "SET search_path = 'poplarrouter.kind'", "SETTING", "SELECT 'SET poplarrouter.kind = x'", "SET poplarrouter.kinds = a", "SHOW ALL", "-- SET poplarrouter.kind = 'a'", "/* SET poplarrouter.kind = 'a'", "/", ""} {
		g.Expect(collect(g, wire.NewCollector(limit), &pgproto3.Query{String: text}).Local).To(BeNil(), text)
	}
}

// TestCommentsOpenNoReadOnlyTransaction guards against a transaction that writes and is routed as a
// read because of a comment or a literal in its first statement.
func TestCommentsOpenNoReadOnlyTransaction(t *testing.T) {
	g := NewWithT(t)
	for text, readOnly := range map[string]bool{
		"BEGIN /* not READ ONLY */": false, "BEGIN -- READ ONLY": false, "START TRANSACTION /* READ ONLY */ READ WRITE": false,
		"BEGIN 'READ ONLY'": false, "BEGIN READ ONLYX": false,
		"BEGIN READ  ONLY": true, "BEGIN /* app */ READ ONLY": true, "BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY;": true, "begin work not deferrable\n, read only": true,
	} {
		g.Expect(collect(g, wire.NewCollector(limit), &pgproto3.Query{String: text}).BeginsReadOnly()).To(Equal(readOnly), text)
	}
}
