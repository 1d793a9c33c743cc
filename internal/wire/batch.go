// Package wire handles the PostgreSQL protocol between a caller and a member.
//
// A Collector gathers what a caller sends up to the next point at which an
// answer is due: one simple query, or extended messages up to a Sync. The result
// is a Batch. Since a session's batches may run on different connections,
// prepared statements are renamed by their content, and a batch brings along the
// statements that its connection lacks.
//
// A Relay passes the member's answer on. A Writer collects what goes to the
// caller, and can hold back the end of an answer until a write is confirmed.
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

// item is one message of a batch, encoded.
type item struct {
	kind itemKind
	// statement is the name of the statement that a parseItem or useItem is
	// about; the unnamed statement has an empty name.
	statement string
	raw       []byte
}

// Batch is what a caller sent up to the point at which an answer is due.
type Batch struct {
	// Simple tells that the batch is one simple query.
	Simple bool
	// FirstStatement is the text of the first statement that the batch holds or uses.
	FirstStatement string
	// Local is a statement for the proxy itself, or nil.
	Local *LocalStatement

	items      []item
	bytes      int
	executions int
	parses     map[string][]byte
}

// statement is what a session remembers of a prepared statement.
type statement struct {
	name string
	text string
	raw  []byte
}

// Collector gathers a session's messages into batches.
type Collector struct {
	limit      int
	statements map[string]statement
	batch      *Batch
}

// NewCollector returns a collector of batches of at most limit bytes.
func NewCollector(limit int) *Collector {
	return &Collector{limit: limit, statements: make(map[string]statement)}
}

// Add takes a message. It returns a batch once one is complete, or a Protocol
// fault for a message that is not served.
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
		// The copy that these belong to was refused; they end with it.
		return nil, nil
	default:
		return nil, fault.New(fault.Protocol, "read request", "got message %T, want a query or extended messages", message)
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
	b.FirstStatement = msg.String
	b.Local = parseLocal(msg.String)
	return c.finish(msg)
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
	c.batch.items = append(c.batch.items, item{kind: kind, statement: name, raw: raw})
	return nil
}

// contentName returns the name under which members know a statement: the same
// for the same text and parameter types, whoever prepared it.
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
	callers := msg.Name
	renamed := &pgproto3.Parse{Name: contentName(msg), Query: msg.Query, ParameterOIDs: msg.ParameterOIDs}
	raw, err := renamed.Encode(nil)
	if err != nil {
		return fault.Wrap(err, fault.Protocol, "read request", "the statement cannot be encoded")
	}
	c.statements[callers] = statement{name: renamed.Name, text: msg.Query, raw: raw}
	c.noteText(msg.Query)
	return c.add(parseItem, renamed.Name, renamed)
}

// noteText remembers the first statement of the batch.
func (c *Collector) noteText(text string) {
	if c.batch.FirstStatement == "" {
		c.batch.FirstStatement = text
		c.batch.Local = parseLocal(text)
	}
}

// use looks a statement up and notes that the batch needs it.
func (c *Collector) use(callers string) (string, error) {
	st, found := c.statements[callers]
	if !found {
		return "", fault.New(fault.Protocol, "read request", "got statement %q, want one that was prepared", callers)
	}
	c.batch.parses[st.name] = st.raw
	c.noteText(st.text)
	return st.name, nil
}

func (c *Collector) bind(msg *pgproto3.Bind) error {
	name, err := c.use(msg.PreparedStatement)
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
	name, err := c.use(msg.Name)
	if err != nil {
		return err
	}
	return c.add(useItem, name, &pgproto3.Describe{ObjectType: 'S', Name: name})
}

// absentPortal is the name of a portal that no one opens. Closing it makes the
// member answer at the right place of the batch.
const absentPortal = "poplar_absent"

func (c *Collector) close(msg *pgproto3.Close) error {
	if msg.ObjectType != 'S' {
		return c.add(closeItem, "", msg)
	}
	delete(c.statements, msg.Name)
	return c.add(closeItem, "", &pgproto3.Close{ObjectType: 'P', Name: absentPortal})
}

// Reset drops a batch that was begun. After a fault the session skips messages
// until the next Sync, and calls this.
func (c *Collector) Reset() { c.batch = nil }

// Encode returns the messages to send over a connection on which the given
// statements are prepared, and the plan by which the answer is relayed.
func (b *Batch) Encode(prepared map[string]struct{}) ([]byte, *Plan) {
	p := &Plan{}
	raw := make([]byte, 0, b.bytes)
	own := b.firstParses()
	brought := make(map[string]bool)
	for name, parse := range b.parses {
		_, has := prepared[name]
		if own[name] || (has && name != "") {
			continue
		}
		raw = append(raw, parse...)
		p.parses = append(p.parses, parseStep{name: name, swallow: true})
		brought[name] = true
	}
	absent, _ := (&pgproto3.Close{ObjectType: 'P', Name: absentPortal}).Encode(nil)
	for _, it := range b.items {
		switch it.kind {
		case parseItem:
			if _, has := prepared[it.statement]; it.statement != "" && (has || brought[it.statement]) {
				raw = append(raw, absent...)
				p.closes = append(p.closes, closeStep{asParse: true})
				continue
			}
			p.parses = append(p.parses, parseStep{name: it.statement})
		case closeItem:
			p.closes = append(p.closes, closeStep{})
		case plainItem, useItem:
		}
		raw = append(raw, it.raw...)
	}
	return raw, p
}

// firstParses returns the statements that the batch itself prepares before it
// uses them.
func (b *Batch) firstParses() map[string]bool {
	first := make(map[string]bool)
	used := make(map[string]bool)
	for _, it := range b.items {
		if it.kind == parseItem && !used[it.statement] {
			first[it.statement] = true
		}
		if it.kind == useItem {
			used[it.statement] = true
		}
	}
	return first
}
