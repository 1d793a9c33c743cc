// Package member keeps the connections to the members of databases: a Control
// for a member's state and for orders to it, and a Pool of connections for
// callers' work. The protocol is that of the packages that implement Line and
// Control.
//
// A pooled connection is in one of three states: idle in its pool, lent to one
// request or transaction, or closed. It returns to the pool only outside a
// transaction and with no answer outstanding; a connection in doubt is closed.
package member

import (
	"context"
	"time"
)

// Mode tells what a pooled connection may be used for.
type Mode uint8

// The modes of a pooled connection.
const (
	// ReadWrite connections run anything.
	ReadWrite Mode = iota
	// ReadOnly connections have every transaction read-only by default, so that
	// work labelled as a read cannot write.
	ReadOnly
)

// ProtocolConn is a logged-in connection to a member, in one protocol.
type ProtocolConn interface {
	// SetDeadline bounds all reads and writes; the zero time lifts the bound.
	SetDeadline(t time.Time) error
	// Close ends the connection at once.
	Close() error
	// Ping makes an empty round trip.
	Ping() error
	// AwaitsAnswer tells whether an answer has been awaited for at least a time.
	AwaitsAnswer(now time.Time, atLeast time.Duration) bool
	// ID tells the connection from others at the member.
	ID() uint32
	// Cancel asks the member to cancel what the connection runs. The caller marks
	// the connection as in doubt before, since the cancel may arrive late.
	Cancel(ctx context.Context) error
}

// Conn is a connection of a pool.
type Conn struct {
	ProtocolConn

	mode  Mode
	era   int
	idled time.Time
	doubt bool
	// quiet counts the looks in a row at which the member ran nothing for the
	// connection while an answer was awaited. The pool's watch owns it.
	quiet int
}

// MarkUnusable marks the connection as one that must not be reused: it is closed when
// it returns to its pool.
func (c *Conn) MarkUnusable() { c.doubt = true }
