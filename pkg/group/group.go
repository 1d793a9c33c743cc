// Package group holds the vocabulary of a replicated database: its members,
// the terms of its primaries and the positions of its log.
//
// A database is a set of members that replicate one log. A term numbers the
// reign of one primary; terms only grow. A position counts log entries from
// the start of the log; within one term it only grows. A position is meaningful
// only together with its term, because a change of primary may cut off the tail
// of the log of the term before.
package group

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Term numbers the reign of one primary. Zero means that no term is known.
type Term uint64

// Position counts log entries from the start of the log.
type Position uint64

// Role tells what a member does in its database.
type Role uint8

// The roles of a member.
const (
	// Replica applies the log of a primary and serves reads only.
	Replica Role = iota
	// Primary accepts writes.
	Primary
)

// String returns the role's name in lower case.
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}

// Floor is the least state of a database that a read must see.
// The zero Floor asks for nothing.
type Floor struct {
	Term     Term
	Position Position
}

// IsZero tells whether the floor asks for nothing.
func (f Floor) IsZero() bool {
	return f == Floor{}
}

// Less tells whether f lies before g in the order of terms, then positions.
func (f Floor) Less(g Floor) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Position < g.Position
}

// String writes the floor as term:position, the form ParseFloor reads.
func (f Floor) String() string {
	return fmt.Sprintf("%d:%d", f.Term, f.Position)
}

// SyntaxError reports text that is not a floor or a term history.
type SyntaxError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("parse position: got %q, want %s", e.Got, e.Want)
}

// ParseFloor reads the form term:position. It returns a *SyntaxError for
// anything else.
func ParseFloor(text string) (Floor, error) {
	before, after, found := strings.Cut(text, ":")
	if !found {
		return Floor{}, &SyntaxError{Got: text, Want: "term:position"}
	}
	term, err := strconv.ParseUint(before, 10, 64)
	if err != nil {
		return Floor{}, &SyntaxError{Got: text, Want: "a decimal term"}
	}
	position, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return Floor{}, &SyntaxError{Got: text, Want: "a decimal position"}
	}
	return Floor{Term: Term(term), Position: Position(position)}, nil
}

// State is what a member reports of itself at one moment.
type State struct {
	// Role is what the member believes it is.
	Role Role
	// Term is the term of the last log entry or primary the member accepted.
	Term Term
	// Fence is the highest term the member promised a promoter. A member whose
	// Fence exceeds its Term accepts neither writes nor log entries.
	Fence Term
	// EntryTerm is the term in which the last stored log entry was written.
	EntryTerm Term
	// Received is the position of the last log entry stored by the member.
	Received Position
	// Applied is the position that the member's reads see.
	Applied Position
	// Leading tells that the member has just acted as one that leads, which a primary that
	// was replaced without knowing it does too.
	Leading bool `json:"Led" msgpack:"Led"`
	// Confirmed tells that the member has just had its last entry acknowledged by a
	// replica, after it was asked.
	Confirmed bool
	// Partial tells that the answer leaves out what the member has promised.
	Partial bool
	// LeaseHolder is the host that gives out the member's slots, or empty.
	LeaseHolder string `json:"Dispatcher" msgpack:"Dispatcher"`
	// Active counts the connections that run a statement or have a transaction
	// open.
	Active int
	// Starts lists the latest terms and the position after which the entries of
	// each began, oldest first.
	Starts []Start
}

// Start is the position after which a term's own entries begin.
type Start struct {
	Term     Term
	Position Position
}

// Fenced tells whether the member has promised a later term than its own.
func (s State) Fenced() bool {
	return s.Fence > s.Term
}

// LastEntry returns the member's place in the order of logs. Of the members of a
// majority, the one with the greatest value holds every entry that a majority
// held. The order goes by the term of the last entry, not by the member's term:
// a member that has just begun to follow a new primary may still lack entries.
func (s State) LastEntry() Floor {
	return Floor{Term: s.EntryTerm, Position: s.Received}
}

// FloorStatus tells what became of a floor, as seen in a member's state.
type FloorStatus uint8

// The fates of a floor.
const (
	// NotReached means that the member has not reached the floor yet.
	NotReached FloorStatus = iota
	// Covered means that the member holds the floor.
	Covered
	// Lost means that a later term began before the floor: the entries between
	// are gone.
	Lost
)

// FloorStatus tells what became of f at position at of s. A floor of an earlier term
// is Covered only if the term that followed it began at or past the floor, and
// Lost if that start is unknown, since nothing then proves that it survived.
func (s State) FloorStatus(f Floor, at Position) FloorStatus {
	switch {
	case f.IsZero():
		return Covered
	case f.Term > s.Term:
		return NotReached
	case f.Term < s.Term && !s.survives(f):
		return Lost
	case f.Position <= at:
		return Covered
	default:
		return NotReached
	}
}

// survives tells whether every term after the floor's began at or past it. The
// list must hold an entry at or before the floor's term: an older one that was
// dropped from the list could have cut the log below the floor.
func (s State) survives(f Floor) bool {
	next := slices.IndexFunc(s.Starts, func(st Start) bool { return st.Term > f.Term })
	if next <= 0 {
		return false
	}
	for _, st := range s.Starts[next:] {
		if st.Position < f.Position {
			return false
		}
	}
	return true
}

// Majority returns how many of n members make a majority.
func Majority(n int) int {
	return n/2 + 1
}
