package wire_test

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

const limit = 1 << 16

// collect adds messages and returns the batch that the last of them completes.
func collect(g *WithT, c *wire.Collector, messages ...pgproto3.FrontendMessage) *wire.Batch {
	var batch *wire.Batch
	for _, m := range messages {
		var err error
		batch, err = c.Add(m)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(batch).NotTo(BeNil())
	return batch
}

// types returns the type bytes of encoded messages.
func types(raw []byte) string {
	var out strings.Builder
	for len(raw) > 0 {
		out.WriteByte(raw[0])
		size := int(raw[1])<<24 | int(raw[2])<<16 | int(raw[3])<<8 | int(raw[4])
		raw = raw[1+size:]
	}
	return out.String()
}

// sent returns the types of the messages that a batch sends over a connection with the given
// prepared statements.
func sent(b *wire.Batch, prepared map[string]struct{}) string {
	raw, _ := b.Encode(prepared)
	return types(raw)
}

func parse(name string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: "SELECT $1"} }

func bind(name string) *pgproto3.Bind { return &pgproto3.Bind{PreparedStatement: name} }

func TestPreparedStatementsOnOtherConnections(t *testing.T) {
	g := NewWithT(t)
	c := wire.NewCollector(limit)
	first := collect(g, c, parse("own"), &pgproto3.Describe{ObjectType: 'S', Name: "own"}, &pgproto3.Sync{})
	g.Expect(sent(first, nil)).To(Equal("PDS"))
	second := collect(g, c, bind("own"), &pgproto3.Execute{}, &pgproto3.Sync{})
	g.Expect(sent(second, nil)).To(Equal("PBES"), "a connection that lacks the statement: the batch includes it")
	prepared := relayed(g, second)
	g.Expect(prepared).To(HaveLen(1))
	g.Expect(sent(second, prepared)).To(Equal("BES"), "a connection that has the statement: the batch does not include it")
	g.Expect(sent(first, prepared)).To(Equal("CDS"), "the statement is not prepared twice")
	// A statement with the same text in another session has the same name at the member.
	other := wire.NewCollector(limit)
	collect(g, other, parse("other"), &pgproto3.Sync{})
	g.Expect(sent(collect(g, other, bind("other"), &pgproto3.Execute{}, &pgproto3.Sync{}), prepared)).To(Equal("BES"))
}

func TestUnnamedStatementRemainsAfterItsBatch(t *testing.T) {
	g := NewWithT(t)
	c := wire.NewCollector(limit)
	collect(g, c, parse(""), &pgproto3.Sync{})
	g.Expect(sent(collect(g, c, bind(""), &pgproto3.Execute{}, &pgproto3.Sync{}), nil)).To(Equal("PBES"))
	g.Expect(sent(collect(g, c, parse(""), bind(""), &pgproto3.Execute{}, &pgproto3.Sync{}), nil)).To(Equal("PBES"))
}

func TestClosedStatementIsUnknown(t *testing.T) {
	g := NewWithT(t)
	c := wire.NewCollector(limit)
	collect(g, c, parse("own"), &pgproto3.Sync{})
	collect(g, c, &pgproto3.Close{ObjectType: 'S', Name: "own"}, &pgproto3.Sync{})
	_, err := c.Add(bind("own"))
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Protocol))
}

func TestUnsupportedMessagesAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Flush{}, &pgproto3.FunctionCall{}, &pgproto3.Query{String: strings.Repeat("x", limit+1)},
	} {
		_, err := wire.NewCollector(limit).Add(m)
		g.Expect(fault.FromError(err).Kind).To(Equal(fault.Protocol))
	}
}

func TestLocalStatements(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]*wire.LocalStatement{
		"SET poplarrouter.kind = 'own-orders'":       {Setting: wire.KindSetting, Value: "own-orders"},
		"set session poplarrouter.floor to '3:12' ;": {Setting: wire.FloorSetting, Value: "3:12"},
		"SHOW poplarrouter.floor":                    {Setting: wire.FloorSetting, Show: true},
		"SET search_path = x":                        nil,
		"SELECT 'SET poplarrouter.kind = x'":         nil,
	} {
		b := collect(g, wire.NewCollector(limit), &pgproto3.Query{String: text})
		g.Expect(b.Local).To(Equal(want), text)
	}
	for text, readOnly := range map[string]bool{
		"BEGIN READ ONLY": true, "start transaction isolation level serializable, read only": true,
		"BEGIN": false, "BEGIN; SET TRANSACTION READ ONLY": false, "SELECT 'BEGIN READ ONLY'": false,
	} {
		g.Expect(collect(g, wire.NewCollector(limit), &pgproto3.Query{String: text}).BeginsReadOnly()).To(Equal(readOnly), text)
	}
}

// scripted is a fake member that answers with the given messages.
type scripted struct{ messages []pgproto3.BackendMessage }

func (s *scripted) Receive() (pgproto3.BackendMessage, error) {
	if len(s.messages) == 0 {
		return nil, net.ErrClosed
	}
	m := s.messages[0]
	s.messages = s.messages[1:]
	return m, nil
}

func (s *scripted) Send(pgproto3.FrontendMessage) {}
func (s *scripted) Flush() error                  { return nil }

var _ wire.Receiver = (*scripted)(nil)

// sink is a connection to a caller that records what is written.
type sink struct {
	net.Conn
	bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) { return s.Buffer.Write(p) }
func (s *sink) Read(p []byte) (int, error)  { return s.Buffer.Read(p) }

// relayed relays the answer to a batch that includes the statement it uses, and returns the
// statements that are prepared afterwards.
func relayed(g *WithT, b *wire.Batch) map[string]struct{} {
	prepared := make(map[string]struct{})
	_, plan := b.Encode(prepared)
	out := &sink{}
	w := wire.NewWriter(out)
	answer, err := wire.Relay(&scripted{messages: []pgproto3.BackendMessage{
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: wire.Idle},
	}}, w, plan, prepared, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Whole).To(BeTrue())
	g.Expect(w.Flush()).To(Succeed())
	g.Expect(types(out.Bytes())).To(Equal("2CZ"), "the answer to the added Parse message is suppressed")
	return prepared
}

func TestEndOfAnswerIsHeldBack(t *testing.T) {
	g := NewWithT(t)
	out := &sink{}
	w := wire.NewWriter(out)
	messages := []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), 1<<15)}},
		&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}, &pgproto3.ReadyForQuery{TxStatus: wire.Idle},
	}
	_, err := wire.Relay(&scripted{messages: messages}, w, &wire.Plan{}, nil, 100)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(types(out.Bytes())).To(Equal("D"), "rows are forwarded, the completion is held back")
	w.PutBeforeHeld(&pgproto3.ParameterStatus{Name: "n", Value: "v"})
	g.Expect(w.Flush()).To(Succeed())
	g.Expect(types(out.Bytes())).To(Equal("DSCZ"))
	out.Reset()
	_, err = wire.Relay(&scripted{messages: messages[1:]}, w, &wire.Plan{}, nil, 100)
	g.Expect(err).NotTo(HaveOccurred())
	w.Drop()
	g.Expect(w.Flush()).To(Succeed())
	g.Expect(out.Len()).To(BeZero(), "a dropped answer does not reach the caller")
}

func TestTruncatedOrOversizedAnswerFails(t *testing.T) {
	g := NewWithT(t)
	w := wire.NewWriter(&sink{})
	_, err := wire.Relay(&scripted{}, w, &wire.Plan{}, nil, 0)
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Severed))
	complete := &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}
	row := &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), 200)}}
	_, err = wire.Relay(&scripted{messages: []pgproto3.BackendMessage{complete, row}}, w, &wire.Plan{}, nil, 100)
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Oversized))
}

// TestNamesOfCallersDoNotOutliveTheirConnection guards against a connection that is used again with
// statements that one caller named and another runs, or with notifications that one caller asked for.
func TestNamesOfCallersDoNotOutliveTheirConnection(t *testing.T) {
	g := NewWithT(t)
	for tag, want := range map[string]struct{ dirty, empty bool }{
		"SET": {dirty: true}, "PREPARE": {dirty: true}, "DEALLOCATE": {dirty: true}, "LISTEN": {dirty: true},
		"DEALLOCATE ALL": {empty: true}, "DISCARD ALL": {empty: true},
		"SELECT 1": {}, "INSERT 0 1": {}, "BEGIN": {}, "COMMIT": {}, "": {}, "SETTLE": {}, "DISCARD PLANS": {},
	} {
		prepared := map[string]struct{}{"poplar_1": {}}
		answer, err := wire.Relay(&scripted{messages: []pgproto3.BackendMessage{
			&pgproto3.CommandComplete{CommandTag: []byte(tag)}, &pgproto3.ReadyForQuery{TxStatus: wire.Idle},
		}}, wire.NewWriter(&sink{}), &wire.Plan{}, prepared, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Dirty).To(Equal(want.dirty), tag)
		g.Expect(prepared).To(HaveLen(map[bool]int{true: 0, false: 1}[want.empty]), tag)
	}
}

// TestTemporaryObjectsDoNotOutliveTheirConnection guards against a temporary table of one caller that
// takes the place of the table of the same name in statements of another.
func TestTemporaryObjectsDoNotOutliveTheirConnection(t *testing.T) {
	g := NewWithT(t)
	for tag, dirty := range map[string]bool{
		"CREATE TABLE": true, "CREATE VIEW": true, "CREATE SEQUENCE": true, "CREATE FUNCTION": true, "CREATE": false, "SELECT 1": false, "DROP TABLE": false,
	} {
		answer, err := wire.Relay(&scripted{messages: []pgproto3.BackendMessage{
			&pgproto3.CommandComplete{CommandTag: []byte(tag)}, &pgproto3.ReadyForQuery{TxStatus: wire.Idle},
		}}, wire.NewWriter(&sink{}), &wire.Plan{}, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Dirty).To(Equal(dirty), tag)
	}
}
