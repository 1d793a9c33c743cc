// Package wire handles the messages of the PostgreSQL protocol between a caller and a member.
//
// A Collector gathers the messages of a caller up to the next point at which an answer is due: one
// simple query, or extended-query messages up to a Sync. The result is a Batch. The batches of a
// session may run on different connections, so prepared statements are renamed by their content,
// and a batch includes the statements that its connection lacks.
//
// Relay forwards the member's answer. A Writer buffers messages to the caller and can hold back
// the end of an answer until a write is confirmed.
package wire

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/pkg/fault"
)

type itemKind uint8

const (
	plainItem itemKind = iota
	parseItem
	useItem
	closeItem
)

// item is one encoded message of a batch.
type item struct {
	kind itemKind
	// statement is the name of the statement that a parseItem prepares or a useItem uses. It
	// is empty for the unnamed statement.
	statement string
	raw       []byte
}

// Batch holds the messages of a caller up to the point at which an answer is due.
type Batch struct {
	// Simple is set if the batch is one simple query.
	Simple bool
	// FirstStatement is the text of the first statement that the batch prepares or uses.
	FirstStatement string
	// Local is the statement that the proxy answers itself, or nil. The batch then prepares and
	// uses no other statement.
	Local *LocalStatement

	// recorded is set once FirstStatement and Local are.
	recorded   bool
	items      []item
	bytes      int
	executions int
	// parses holds the encoded Parse message of each statement that the batch uses, by the name
	// at members. Of the unnamed statement it is the one that the batch uses first.
	parses map[string][]byte
}

// statement is a prepared statement of a session.
type statement struct {
	// name is the name at members, derived from the content.
	name string
	text string
	// raw is the encoded Parse message.
	raw []byte
}

// Collector gathers a session's messages into batches.
type Collector struct {
	limit      int
	statements map[string]statement
	// stateBytes is the size of the statements, and reserve is called before it grows.
	stateBytes int
	reserve    func(stateBytes int) error
	batch      *Batch
}

// NewCollector returns a collector of batches of at most limit bytes.
func NewCollector(limit int) *Collector {
	return &Collector{limit: limit, statements: make(map[string]statement), reserve: func(int) error { return nil }}
}

// Add adds a message. It returns a batch once one is complete, or a Protocol fault for a message
// that is not supported.
func (c *Collector) Add(message pgproto3.FrontendMessage) (*Batch, error) {
	if c.batch == nil {
		c.batch = &Batch{parses: make(map[string][]byte)}
	}
	switch msg := message.(type) {
	case *pgproto3.Query:
		return c.query(msg)
	case *pgproto3.Sync:
		return c.finish(msg)
	case *pgproto3.Parse:
		return nil, c.parse(msg)
	case *pgproto3.Bind:
		return nil, c.bind(msg)
	case *pgproto3.Describe:
		return nil, c.describe(msg)
	case *pgproto3.Execute:
		c.batch.executions++
		return nil, c.add(plainItem, "", msg)
	case *pgproto3.Close:
		return nil, c.close(msg)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// The copy that these messages belong to has been rejected, so they are ignored.
		return nil, nil
	default:
		return nil, fault.New(fault.Protocol, "read request", "got message %T, want a simple query or extended-query messages", message)
	}
}

func (c *Collector) finish(message pgproto3.FrontendMessage) (*Batch, error) {
	err := c.add(plainItem, "", message)
	b := c.batch
	c.batch = nil
	return b, err
}

func (c *Collector) query(msg *pgproto3.Query) (*Batch, error) {
	b := c.batch
	b.Simple = true
	if err := c.recordText(msg.String); err != nil {
		return nil, err
	}
	return c.finish(msg)
}

// maxItems limits the messages of one batch, each of which costs more memory than its own size.
// It is far above what drivers send: four messages for each of thousands of statements.
const maxItems = 1 << 14

// PendingBytes returns the size of the batch that is not complete yet.
func (c *Collector) PendingBytes() int {
	if c.batch == nil {
		return 0
	}
	return c.batch.bytes
}

// StateBytes returns the size of the session's prepared statements.
func (c *Collector) StateBytes() int { return c.stateBytes }

// OnState sets a function that is called with the size of the prepared statements before it
// grows. A statement for which it returns an error is not prepared.
func (c *Collector) OnState(reserve func(stateBytes int) error) { c.reserve = reserve }

const (
	// entryBytes is the memory that a prepared statement takes besides its texts.
	entryBytes = 256
	// stateLimits is the size of a session's prepared statements, in multiples of the size of
	// the largest request. A statement is held as text and as a message, so that the largest
	// one takes two of them.
	stateLimits = 3
)

// bytes returns the memory that a statement takes under a name.
func (s statement) bytes(callerName string) int {
	return len(callerName) + len(s.name) + len(s.text) + len(s.raw) + entryBytes
}

// setStatement records a prepared statement of the session. It returns an Overloaded fault if the
// session's statements take too much memory.
func (c *Collector) setStatement(callerName string, st statement) error {
	c.dropStatement(callerName)
	size := c.stateBytes + st.bytes(callerName)
	if size > stateLimits*c.limit+entryBytes {
		return fault.New(fault.Overloaded, "prepare", "the session's prepared statements take more than %d bytes", stateLimits*c.limit)
	}
	if err := c.reserve(size); err != nil {
		return fault.Wrap(err, fault.Overloaded, "prepare", "the memory for prepared statements is used up")
	}
	c.stateBytes = size
	c.statements[callerName] = st
	return nil
}

func (c *Collector) dropStatement(callerName string) {
	if st, found := c.statements[callerName]; found {
		c.stateBytes -= st.bytes(callerName)
		delete(c.statements, callerName)
	}
}

func (c *Collector) add(kind itemKind, name string, message pgproto3.FrontendMessage) error {
	raw, err := message.Encode(nil)
	if err != nil {
		return fault.Wrap(err, fault.Protocol, "read request", "the message cannot be encoded")
	}
	c.batch.bytes += len(raw)
	if c.batch.bytes > c.limit {
		return fault.New(fault.Protocol, "read request", "got more than %d bytes in one request", c.limit)
	}
	if len(c.batch.items) >= maxItems {
		return fault.New(fault.Protocol, "read request", "got more than %d messages in one request", maxItems)
	}
	c.batch.items = append(c.batch.items, item{kind: kind, statement: name, raw: raw})
	return nil
}

// contentName returns the name of a statement at members. Statements with the same text and
// parameter types have the same name, whichever session prepared them.
func contentName(msg *pgproto3.Parse) string {
	if msg.Name == "" {
		return ""
	}
	h := sha256.New()
	h.Write([]byte(msg.Query))
	for _, oid := range msg.ParameterOIDs {
		h.Write(binary.BigEndian.AppendUint32([]byte{0}, oid))
	}
	const nameBytes = 16
	return "poplar_" + hex.EncodeToString(h.Sum(nil)[:nameBytes])
}

func (c *Collector) parse(msg *pgproto3.Parse) error {
	callerName := msg.Name
	renamed := &pgproto3.Parse{Name: contentName(msg), Query: msg.Query, ParameterOIDs: msg.ParameterOIDs}
	raw, err := renamed.Encode(nil)
	if err != nil {
		return fault.Wrap(err, fault.Protocol, "read request", "the statement cannot be encoded")
	}
	if err := c.setStatement(callerName, statement{name: renamed.Name, text: msg.Query, raw: raw}); err != nil {
		return err
	}
	if err := c.recordText(msg.Query); err != nil {
		return err
	}
	return c.add(parseItem, renamed.Name, renamed)
}

// recordText records the text of a statement of the batch. It returns a Protocol fault for a
// statement that the proxy answers itself in a batch with another one, or that it cannot read.
func (c *Collector) recordText(text string) error {
	local, err := parseLocal(text)
	if err != nil {
		return err
	}
	b := c.batch
	if !b.recorded {
		b.recorded, b.FirstStatement, b.Local = true, text, local
		return nil
	}
	if (b.Local == nil && local == nil) || (b.Local != nil && local != nil && *b.Local == *local) {
		return nil
	}
	return fault.New(fault.Protocol, "read request", "got a setting of the proxy and another statement in one request, want a request for each")
}

// useStatement looks up a statement and records that the batch needs it.
func (c *Collector) useStatement(callerName string) (string, error) {
	st, found := c.statements[callerName]
	if !found {
		return "", fault.New(fault.Protocol, "read request", "got statement %q, want a prepared statement", callerName)
	}
	if _, used := c.batch.parses[st.name]; !used {
		c.batch.parses[st.name] = st.raw
	}
	return st.name, c.recordText(st.text)
}

func (c *Collector) bind(msg *pgproto3.Bind) error {
	name, err := c.useStatement(msg.PreparedStatement)
	if err != nil {
		return err
	}
	renamed := *msg
	renamed.PreparedStatement = name
	return c.add(useItem, name, &renamed)
}

func (c *Collector) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType != 'S' {
		return c.add(plainItem, "", msg)
	}
	name, err := c.useStatement(msg.Name)
	if err != nil {
		return err
	}
	return c.add(useItem, name, &pgproto3.Describe{ObjectType: 'S', Name: name})
}

// absentStatement is a name that no statement has at members. A Close message for it replaces a
// message that is not forwarded, so that the member answers at that place of the batch. It is not
// the name of a portal, because callers choose those.
const absentStatement = "poplar_absent"

func closeAbsent() *pgproto3.Close {
	return &pgproto3.Close{ObjectType: 'S', Name: absentStatement}
}

func (c *Collector) close(msg *pgproto3.Close) error {
	if msg.ObjectType != 'S' {
		return c.add(closeItem, "", msg)
	}
	c.dropStatement(msg.Name)
	return c.add(closeItem, "", closeAbsent())
}

// Reset discards an incomplete batch. The session calls it after a fault, and skips messages until
// the next Sync.
func (c *Collector) Reset() { c.batch = nil }

// Encode returns the messages to send over a connection that has the given prepared statements,
// and the plan for relaying the answer.
func (b *Batch) Encode(prepared map[string]struct{}) ([]byte, *Plan) {
	p := &Plan{}
	raw := make([]byte, 0, b.bytes)
	preparedHere := b.firstParses()
	added := make(map[string]bool)
	for name, parse := range b.parses {
		_, known := prepared[name]
		if preparedHere[name] || (known && name != "") {
			continue
		}
		raw = append(raw, parse...)
		p.parses = append(p.parses, parseStep{name: name, suppress: true})
		added[name] = true
	}
	absent, _ := closeAbsent().Encode(nil)
	for _, it := range b.items {
		switch it.kind {
		case parseItem:
			if _, known := prepared[it.statement]; it.statement != "" && (known || added[it.statement]) {
				raw = append(raw, absent...)
				p.closes = append(p.closes, closeStep{answerAsParse: true})
				continue
			}
			p.parses = append(p.parses, parseStep{name: it.statement})
			added[it.statement] = true
		case closeItem:
			p.closes = append(p.closes, closeStep{})
		case plainItem, useItem:
		}
		raw = append(raw, it.raw...)
	}
	return raw, p
}

// firstParses returns the statements that the batch itself prepares before it uses them.
func (b *Batch) firstParses() map[string]bool {
	preparedFirst := make(map[string]bool)
	used := make(map[string]bool)
	for _, it := range b.items {
		if it.kind == parseItem && !used[it.statement] {
			preparedFirst[it.statement] = true
		}
		if it.kind == useItem {
			used[it.statement] = true
		}
	}
	return preparedFirst
}
