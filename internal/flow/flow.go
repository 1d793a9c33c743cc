// Package flow serves callers and reaches members over protocols that carry typed
// statements, one answer for each. What a session of a caller has set up is carried
// over pooled connections, and a transaction that a caller begins reaches a member
// with its first statement.
//
// The protocol itself is behind two interfaces: Caller is a connection from a
// caller, Member one to a member. A member of such a protocol tells its position
// with every answer, checks by itself whether it has reached a floor, and refuses a
// transaction that may write unless it leads as far as it knows. A primary that was
// cut off may lead on in its own eyes; a lease that a majority of members proves tells
// that none has been promoted meanwhile.
package flow

import (
	"math"
	"time"

	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Query is a statement on its way.
type Query struct {
	// ID is the caller's name for its request; it is empty for statements of the
	// proxy's own.
	ID        string
	Statement stmt.Statement
	// Floor is what the member must have applied; zero asks for nothing.
	Floor group.Floor
	// Prepared is the name under which the connection knows the statement that is
	// executed.
	Prepared string
}

// Refusal tells how a statement failed.
type Refusal uint8

// The refusals. Up to Unprepared, the statement did not run.
const (
	// Accepted stands for no refusal.
	Accepted Refusal = iota
	// Busy means that the member has no room for the statement.
	Busy
	// Behind means that the member lacks the floor.
	Behind
	// NotPrimary means that the member does not lead.
	NotPrimary
	// WrongMember means that another member, or none, is at the address.
	WrongMember
	// TooManyConnections means that the member takes no more connections.
	TooManyConnections
	// Aborted means that the transaction was rolled back.
	Aborted
	// NotPrepared means that no statement is prepared under the name.
	NotPrepared
	// UnknownService means that there is no such service.
	UnknownService
	// Malformed means that the statement could not be read or does not fit.
	Malformed
	// TooLarge means that the message is longer than the protocol allows.
	TooLarge
	// Failed means that the statement ran and failed.
	Failed
	// TimedOut means that the statement ran for too long.
	TimedOut
	// InDoubt means that the statement may have run.
	InDoubt
)

// String returns the refusal in words.
func (r Refusal) String() string {
	return [...]string{
		"accepted", "busy", "behind", "not primary", "elsewhere", "full", "aborted", "unprepared", "unlisted", "malformed",
		"too large", "failed", "timed out", "in doubt",
	}[r]
}

// refusals give the refusal that a caller is told for each fault.
var refusals = map[fault.Kind]Refusal{
	fault.Protocol: Malformed,
	fault.Oversize: TooLarge,
	fault.Denied:   UnknownService,
	fault.Unlisted: UnknownService,
	fault.NoReader: Behind,
	fault.Behind:   Behind,
}

// refusalOf returns what a caller is told of a fault.
func refusalOf(err *fault.Error) Refusal {
	if err.Kind.Outcome() == fault.Unknown {
		return InDoubt
	}
	if r, found := refusals[err.Kind]; found {
		return r
	}
	return Busy
}

// Reply is the answer to one statement.
type Reply struct {
	Rows    []string
	Receipt string
	// Refusal and Text tell how the statement failed.
	Refusal Refusal
	Text    string
	// Phase is that of the transaction behind the statement.
	Phase stmt.Phase
	// Position is the member's, or zero.
	Position group.Floor
}

// ownReceipt marks what the proxy answered itself.
const ownReceipt = "-"

// Member is a connection to a member.
type Member interface {
	// SetDeadline bounds all reads and writes; the zero time lifts the bound.
	SetDeadline(t time.Time) error
	// Close ends the connection at once.
	Close() error
	// Send sends queries in one flight.
	Send(queries []Query) error
	// Receive returns the reply to the next query that was sent.
	Receive() (Reply, error)
}

// Start is what a caller asks for when it connects.
type Start struct {
	Service string
	Name    string
}

// Caller is a connection from a caller.
type Caller interface {
	// Start reads what the caller asks for.
	Start() (Start, error)
	// Accept tells the caller that it is let in.
	Accept() error
	// Deny tells the caller that it is not.
	Deny(r Refusal, text string) error
	// Await waits until the first byte of the next query has come.
	Await() error
	// Next reads the next query. It returns io.EOF when the caller ends the
	// session, and a Protocol fault for a message that cannot be read.
	Next() (Query, error)
	// Answer sends the reply to the last query.
	Answer(r Reply) error
}

// stateOf returns the state that an answer of a member shows. The member checks
// floors itself, so that every earlier floor counts as kept by its term.
func stateOf(role group.Role, at group.Floor) group.State {
	return group.State{
		Role: role, Term: at.Term, EntryTerm: at.Term, Received: at.Position, Applied: at.Position,
		Led: role == group.Primary, Partial: true,
		Starts: []group.Start{{}, {Term: at.Term, Position: math.MaxInt64}},
	}
}
