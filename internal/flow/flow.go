// Package flow serves callers and connects to members over protocols that carry typed
// statements, each with one reply. The settings and prepared statements of a caller's
// session are restored on each pooled connection that the session uses, and a transaction
// is opened at a member only when its first statement runs.
//
// Two interfaces hide the protocol itself: Caller is a connection from a caller, Member
// one to a member. A member of such a protocol reports its position with every reply,
// checks itself whether it has reached a floor, and refuses a transaction that may write
// unless it believes that it is the primary. A primary that is partitioned from its
// replicas may still believe so. A lease that a majority of members confirms proves that
// no other member has been promoted meanwhile.
package flow

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Query is a statement that is sent to a member. It is encoded as an array between proxies,
// so the order and the types of its fields are part of the protocol.
type Query struct {
	// ID is the caller's identifier of its request. It is empty for statements that the
	// proxy itself adds.
	ID        string
	Statement stmt.Statement
	// Floor is the position that the member must have applied; zero requires none.
	Floor group.Floor
	// Prepared is the name under which the executed statement is prepared on the
	// connection.
	Prepared string
}

// Refusal is the reason for which a statement failed.
type Refusal uint8

// The refusals. Up to NotPrepared, the statement did not run. Their order must not change,
// because proxies send them to each other as numbers.
const (
	// Accepted means that the statement was not refused.
	Accepted Refusal = iota
	// Busy means that the member has no free slot for the statement.
	Busy
	// Behind means that the member has not reached the floor.
	Behind
	// NotPrimary means that the member is not the primary.
	NotPrimary
	// WrongMember means that the address belongs to another member or to none.
	WrongMember
	// TooManyConnections means that the member accepts no more connections.
	TooManyConnections
	// Aborted means that the transaction was rolled back.
	Aborted
	// NotPrepared means that no statement is prepared under the name.
	NotPrepared
	// UnknownService means that the service does not exist.
	UnknownService
	// Malformed means that the statement could not be decoded or is invalid in its context.
	Malformed
	// TooLarge means that the message is longer than the protocol allows.
	TooLarge
	// Failed means that the statement ran and failed.
	Failed
	// TimedOut means that the statement ran for too long.
	TimedOut
	// InDoubt means that the statement may have run.
	InDoubt
	// Unauthorized means that the caller's key belongs to no customer. The statement did
	// not run.
	Unauthorized
)

// notRun reports whether a refused statement certainly did not run.
func (r Refusal) notRun() bool { return r <= NotPrepared }

// Known reports whether the refusal is one of this release. Another host may send a different one.
func (r Refusal) Known() bool { return r <= Unauthorized }

// String returns a description of the refusal.
func (r Refusal) String() string {
	return [...]string{
		"accepted", "busy", "behind", "not primary", "elsewhere", "full", "aborted", "unprepared", "unlisted", "malformed",
		"too large", "failed", "timed out", "in doubt", "unauthorized",
	}[r]
}

// refusals maps a kind of fault to the refusal that is reported to the caller. A fault
// with an unknown outcome is reported as InDoubt, any other that is not listed as Busy.
var refusals = map[fault.Kind]Refusal{
	fault.Protocol:   Malformed,
	fault.Oversize:   TooLarge,
	fault.Denied:     UnknownService,
	fault.Unlisted:   UnknownService,
	fault.NoReader:   Behind,
	fault.Behind:     Behind,
	fault.UnknownKey: Unauthorized,
}

// refusalOf returns the refusal that is reported to the caller for a fault.
func refusalOf(err *fault.Error) Refusal {
	if err.Kind.Outcome() == fault.Unknown {
		return InDoubt
	}
	if r, found := refusals[err.Kind]; found {
		return r
	}
	return Busy
}

// Reply is the answer to one statement. It is encoded as an array between proxies, so the
// order and the types of its fields are part of the protocol.
type Reply struct {
	Rows    []string
	Receipt string
	// Refusal and Text describe how the statement failed.
	Refusal Refusal
	Text    string
	// Phase is the phase of the transaction after the statement.
	Phase stmt.Phase
	// Position is the member's position, or zero if it is unknown.
	Position group.Floor
}

// proxyReceipt is the receipt of statements that the proxy answers itself.
const proxyReceipt = "-"

// Member is a connection to a member.
type Member interface {
	// SetDeadline sets the deadline of all reads and writes; the zero time removes it.
	SetDeadline(t time.Time) error
	// Close closes the connection at once.
	Close() error
	// Send sends a pipeline of queries. It returns an *UnsentError if it has sent no part of it.
	Send(queries []Query) error
	// Receive returns the reply to the next query that was sent.
	Receive() (Reply, error)
}

// UnsentError reports a pipeline of which nothing was sent. The outcome of its fault is NotRun.
type UnsentError struct{ Fault *fault.Error }

// Error implements error.
func (e *UnsentError) Error() string { return e.Fault.Error() }

// Unwrap returns the fault.
func (e *UnsentError) Unwrap() error { return e.Fault }

func isUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// Start names the service that a caller connects to, and the key or the name that the caller
// presented. It must not be logged: whether it is a key follows from the sheet.
type Start struct {
	Service string
	Name    string
}

// Caller is a connection from a caller.
type Caller interface {
	// Start reads the caller's first message.
	Start() (Start, error)
	// Accept reports to the caller that it is admitted.
	Accept() error
	// Deny reports to the caller that it is not admitted, and why.
	Deny(r Refusal, text string) error
	// OnGrow sets a function that is called before the buffer of a message grows, with its new
	// size in bytes. It may wait. Its error ends the message.
	OnGrow(reserve func(arrived int) error)
	// Await waits until the first byte of the next query arrives.
	Await() error
	// Next reads the next query. It returns io.EOF when the caller ends the
	// session, and a Protocol fault for a message that cannot be decoded.
	Next() (Query, error)
	// Answer sends the reply to the last query.
	Answer(r Reply) error
}

// stateOf returns the member state that a reply implies. The member checks floors itself,
// so every earlier floor counts as contained in its term.
func stateOf(role group.Role, at group.Floor) group.State {
	return group.State{
		Role: role, Term: at.Term, EntryTerm: at.Term, Received: at.Position, Applied: at.Position,
		Leading: role == group.Primary, Partial: true,
		Starts: []group.Start{{}, {Term: at.Term, Position: math.MaxInt64}},
	}
}
