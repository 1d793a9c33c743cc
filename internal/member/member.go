// Package member manages the connections to the members of databases: a Control queries a
// member's state and sends orders to it, and a Pool holds the connections for callers' requests.
// The package is independent of the protocol; other packages implement ProtocolConn and Control
// for each protocol.
//
// A pooled connection is idle in its pool, in use by one request or transaction, or closed. It is
// returned to the pool only outside a transaction and with no answer outstanding. A connection
// whose state is uncertain is closed.
//
// A member learns from the connection for which customer its statements run, so the connections of
// a pool are divided by customer. There are far fewer connections than customers: an idle connection
// of another customer is closed when a customer needs one and the pool holds its share.
package member

import (
	"context"
	"time"
)

// Mode is the kind of access for which a pooled connection may be used.
type Mode uint8

// The modes of a pooled connection.
const (
	// ReadWrite connections run any statement.
	ReadWrite Mode = iota
	// ReadOnly connections have every transaction read-only by default, so that
	// work labelled as a read cannot write.
	ReadOnly
)

// ProtocolConn is a logged-in connection to a member, in one protocol.
type ProtocolConn interface {
	// SetDeadline sets the deadline of all reads and writes. The zero time removes it.
	SetDeadline(t time.Time) error
	// Close closes the connection immediately.
	Close() error
	// Ping makes a round trip that runs no statement.
	Ping() error
	// AwaitsAnswer reports whether an answer has been outstanding for at least the given time.
	AwaitsAnswer(now time.Time, atLeast time.Duration) bool
	// ID identifies the connection at the member.
	ID() uint32
	// Cancel asks the member to cancel the statement that the connection runs. The request may
	// arrive late and cancel a later statement, so mark the connection unusable first.
	Cancel(ctx context.Context) error
}

// Conn is a connection of a pool.
type Conn struct {
	ProtocolConn

	mode       Mode
	customer   string
	generation int
	idleSince  time.Time
	// lastUsed is when the connection was last returned after a request, as opposed to a state
	// query of the proxy. forStateQuery is set while a state query uses it.
	lastUsed      time.Time
	forStateQuery bool
	unusable      bool
	// notRunningChecks counts the consecutive checks at which the member ran nothing for the
	// connection while an answer was outstanding. Pool.mu guards it.
	notRunningChecks int
}

// Customer returns the name of the customer for which the connection was opened, or "" if it was
// opened in the name of the proxy.
func (c *Conn) Customer() string { return c.customer }

// MarkUnusable prevents reuse of the connection: it is closed when it is returned to its pool.
func (c *Conn) MarkUnusable() { c.unusable = true }
