// Package fault holds the errors that callers of the proxy are told.
//
// Every fault has a Kind. The kind decides its SQLSTATE and its Outcome: whether
// the work was certainly not run, or whether it may have run. The outcome is the
// promise that callers build their retries on: work refused as NotRun may be
// sent again, work whose outcome is Unknown must be looked up first.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome tells what is known of the work that a fault ended.
type Outcome uint8

// The outcomes of failed work.
const (
	// NotRun means that no part of the work was or will be executed.
	NotRun Outcome = iota
	// Unknown means that the work may have been executed.
	Unknown
)

// String returns the outcome in the words of the error's detail line.
func (o Outcome) String() string {
	if o == NotRun {
		return "not run"
	}
	return "unknown"
}

// Kind numbers the reasons for a fault.
type Kind uint8

// The kinds of faults. The table below gives each its SQLSTATE.
const (
	// Protocol is a message that the proxy could not read or does not serve.
	Protocol Kind = iota
	// Oversize is a message that is longer than the protocol allows.
	Oversize
	// Denied is a caller that may not use the service, or a failed login.
	Denied
	// Unlisted is a kind of work that the sheet does not list.
	Unlisted
	// Leaving is work refused because the proxy or the database is leaving.
	Leaving
	// Unready is work refused because the proxy has only just started.
	Unready
	// Overloaded is work refused because a queue or a limit is full.
	Overloaded
	// Late is work that can no longer meet its deadline.
	Late
	// NoPrimary is a write for which no serving primary is known.
	NoPrimary
	// NoReader is a read for which no member is proven fresh enough.
	NoReader
	// FloorLost is a read whose floor lies in a lost tail of the log.
	FloorLost
	// Unreachable is work for which no connection to a member could be made.
	Unreachable
	// Undispatched is work for a member whose slots no proxy gives out.
	Undispatched
	// Behind is a read that a member refused because it lacks a position that the
	// read must see.
	Behind
	// Unproven is work at a primary that may have been replaced. It wrote nothing.
	Unproven
	// Severed is work whose connection ended before its answer was complete.
	Severed
	// Unconfirmed is a write that no majority confirmed in its own term.
	Unconfirmed
	// Oversized is an answer too large to hold back until it is confirmed.
	Oversized
	kinds
)

type class struct {
	state   string
	outcome Outcome
	name    string
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
}

// Kinds returns all kinds in the order of their numbers.
func Kinds() []Kind {
	list := make([]Kind, 0, kinds)
	for k := range kinds {
		list = append(list, k)
	}
	return list
}

// SQLState returns the five characters that callers read.
func (k Kind) SQLState() string { return classes[k].state }

// Outcome tells whether the work may have run.
func (k Kind) Outcome() Outcome { return classes[k].outcome }

// String returns the kind's name as the logs and metrics show it.
func (k Kind) String() string { return classes[k].name }

// Error is a fault that a caller is told.
type Error struct {
	// Kind decides the SQLSTATE and the outcome.
	Kind Kind
	// Op is the operation that failed, such as "route read".
	Op string
	// Detail names what was got and what was wanted.
	Detail string
	cause  error
}

// New returns a fault of the given kind.
func New(kind Kind, op, format string, args ...any) *Error {
	return &Error{Kind: kind, Op: op, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a fault of the given kind with a cause that stays in the logs
// and is not told to the caller.
func Wrap(cause error, kind Kind, op, format string, args ...any) *Error {
	err := New(kind, op, format, args...)
	err.cause = cause
	return err
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Detail)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Message returns the text for the caller: no cause, and the outcome in words.
func (e *Error) Message() string {
	return fmt.Sprintf("%s: %s (outcome: %s)", e.Op, e.Detail, e.Kind.Outcome())
}

// FromError returns the first fault in err's chain. An error that holds none becomes a
// Severed fault, since nothing is then known of the work's outcome.
func FromError(err error) *Error {
	var f *Error
	if errors.As(err, &f) {
		return f
	}
	return Wrap(err, Severed, "run", "the work ended by an unclassified error")
}
