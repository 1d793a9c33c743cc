// Package fault defines the errors that the proxy reports to its callers.
//
// Every fault has a Kind, which determines its SQLSTATE and its Outcome: whether the
// work was certainly not executed, or whether it may have been. Callers can base their
// retries on the outcome. Work that failed as NotRun may be sent again. If the outcome
// is Unknown, a caller must first find out whether the work was executed, for example by
// a read.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome is what is known about the execution of work that failed.
type Outcome uint8

// The outcomes of failed work.
const (
	// NotRun means that no part of the work was or will be executed.
	NotRun Outcome = iota
	// Unknown means that the work may have been executed.
	Unknown
)

// String returns the outcome as error messages show it.
func (o Outcome) String() string {
	if o == NotRun {
		return "not run"
	}
	return "unknown"
}

// Kind is the reason of a fault. Kinds are sent between proxies as numbers, so that their
// order must not change.
type Kind uint8

// The kinds of faults. Table classes lists the SQLSTATE, outcome and name of each.
const (
	// Protocol reports a message that the proxy cannot decode or does not support.
	Protocol Kind = iota
	// Oversize reports a request message that is longer than the protocol allows.
	Oversize
	// Denied reports a failed authentication, or a caller without access to the service.
	Denied
	// Unlisted reports a kind of work that the sheet does not list for the caller.
	Unlisted
	// Leaving reports work refused because the proxy or the database is draining.
	Leaving
	// Unready reports work refused because the proxy has only just started and
	// has no sheet yet.
	Unready
	// Overloaded reports work refused because a queue is full or a limit is reached.
	Overloaded
	// Late reports work that can no longer meet its deadline.
	Late
	// NoPrimary reports a write for which no serving primary is known.
	NoPrimary
	// NoReader reports a read for which no member is proven fresh enough.
	NoReader
	// FloorLost reports a read whose floor lies in a truncated log tail.
	FloorLost
	// Unreachable reports work for which no connection to a member could be made.
	Unreachable
	// Undispatched reports work for a member for which no reachable proxy holds the slot
	// lease, so that nothing can grant a slot.
	Undispatched
	// Behind reports a read that a member refused because it has not reached a log
	// position that the read must see.
	Behind
	// Unproven reports work at a primary that could not be proven to lead still. The work
	// wrote nothing.
	Unproven
	// Severed reports work whose connection was lost before its answer was complete.
	Severed
	// Unconfirmed reports a write that no majority confirmed within its own term.
	Unconfirmed
	// Oversized reports an answer that is too large to be buffered until it is confirmed.
	Oversized
	// UnknownKey reports work of a caller whose key belongs to no customer, or to another
	// one than when the caller connected.
	UnknownKey
	// StaleKeys reports work of a caller with a key at a proxy that cannot prove that its
	// list of keys is recent enough.
	StaleKeys
	// OverCap reports work beyond the usage cap of its customer.
	OverCap
	kinds
)

// class holds the properties of a kind.
type class struct {
	sqlState string
	outcome  Outcome
	name     string
}

var classes = [kinds]class{
	Protocol:     {"08P01", NotRun, "protocol"},
	Oversize:     {"54000", NotRun, "oversize"},
	Denied:       {"28000", NotRun, "denied"},
	Unlisted:     {"PN001", NotRun, "unlisted"},
	Leaving:      {"PN002", NotRun, "leaving"},
	Unready:      {"PN012", NotRun, "unready"},
	Overloaded:   {"PN003", NotRun, "overloaded"},
	Late:         {"PN004", NotRun, "late"},
	NoPrimary:    {"PN005", NotRun, "no-primary"},
	NoReader:     {"PN006", NotRun, "no-reader"},
	FloorLost:    {"PN007", NotRun, "floor-lost"},
	Unreachable:  {"PN008", NotRun, "unreachable"},
	Undispatched: {"PN009", NotRun, "undispatched"},
	Behind:       {"PN010", NotRun, "behind"},
	Unproven:     {"PN011", NotRun, "unproven"},
	Severed:      {"PU001", Unknown, "severed"},
	Unconfirmed:  {"PU002", Unknown, "unconfirmed"},
	Oversized:    {"PU003", Unknown, "oversized"},
	UnknownKey:   {"PN013", NotRun, "unknown-key"},
	StaleKeys:    {"PN014", NotRun, "stale-keys"},
	OverCap:      {"PN015", NotRun, "over-cap"},
}

// Kinds returns all kinds in the order of their numbers.
func Kinds() []Kind {
	list := make([]Kind, 0, kinds)
	for k := range kinds {
		list = append(list, k)
	}
	return list
}

// Known reports whether the kind is one of Kinds. Another host may send a different one. The
// other methods of a kind that is not known panic.
func (k Kind) Known() bool { return k < kinds }

// SQLState returns the five-character SQLSTATE code that callers receive.
func (k Kind) SQLState() string { return classes[k].sqlState }

// Outcome reports whether work that failed with this kind may have been executed.
func (k Kind) Outcome() Outcome { return classes[k].outcome }

// String returns the kind's name as logs and metrics show it.
func (k Kind) String() string { return classes[k].name }

// Error is a fault that is reported to a caller.
type Error struct {
	// Kind determines the SQLSTATE and the outcome.
	Kind Kind
	// Op is the operation that failed, such as "route read".
	Op string
	// Detail says what was wanted and what was got.
	Detail string
	// cause is logged but not reported to the caller.
	cause error
}

// New returns a fault of the given kind. Its detail is formatted as by fmt.Sprintf.
func New(kind Kind, op, format string, args ...any) *Error {
	return &Error{Kind: kind, Op: op, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a fault of the given kind with a cause. The cause is part of the error
// text for logs, but not of the message for the caller.
func Wrap(cause error, kind Kind, op, format string, args ...any) *Error {
	err := New(kind, op, format, args...)
	err.cause = cause
	return err
}

// Error returns the text for logs, which includes the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Detail)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Message returns the text for the caller: the operation, the detail and the outcome,
// without the cause.
func (e *Error) Message() string {
	return fmt.Sprintf("%s: %s (outcome: %s)", e.Op, e.Detail, e.Kind.Outcome())
}

// FromError returns the first fault in err's chain. An error without a fault becomes a
// Severed fault, because the outcome of the work is then unknown.
func FromError(err error) *Error {
	var fault *Error
	if errors.As(err, &fault) {
		return fault
	}
	return Wrap(err, Severed, "run", "the work ended with an unclassified error")
}
