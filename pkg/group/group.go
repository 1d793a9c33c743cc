// Package group defines the basic types of a replicated database: the state of its
// members, the terms of its primaries and the positions in its log.
//
// A database is a set of members that replicate one log. A term is the epoch of one
// primary; terms only increase. A position counts log entries from the start of the
// log; within one term it only increases. A position is meaningful only together with
// its term, because a change of primary may truncate the tail of the log that the
// previous primary wrote.
package group

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Term is the number of a primary's epoch. Zero means that no term is known.
type Term uint64

// Position is a log position: the number of entries from the start of the log.
type Position uint64

// Role is the function of a member in its database.
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

// Floor is the lowest log position that a read must see, with its term. The zero Floor
// requires nothing.
type Floor struct {
	Term     Term
	Position Position
}

// IsZero reports whether the floor is zero, so that it requires nothing.
func (f Floor) IsZero() bool {
	return f == Floor{}
}

// Less reports whether f is lower than g, by term first and then by position.
func (f Floor) Less(g Floor) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Position < g.Position
}

// String returns the floor in the form term:position, which ParseFloor parses.
func (f Floor) String() string {
	return fmt.Sprintf("%d:%d", f.Term, f.Position)
}

// SyntaxError reports a text that is not a valid floor or term history.
type SyntaxError struct {
	// Got is the text.
	Got string
	// Want describes what was expected in its place.
	Want string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("parse position: got %q, want %s", e.Got, e.Want)
}

// ParseFloor parses a floor in the form term:position, with both numbers in decimal. It
// returns a *SyntaxError for any other text.
func ParseFloor(text string) (Floor, error) {
	termText, positionText, found := strings.Cut(text, ":")
	if !found {
		return Floor{}, &SyntaxError{Got: text, Want: "term:position"}
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Floor{}, &SyntaxError{Got: text, Want: "a decimal term"}
	}
	position, err := strconv.ParseUint(positionText, 10, 64)
	if err != nil {
		return Floor{}, &SyntaxError{Got: text, Want: "a decimal position"}
	}
	return Floor{Term: Term(term), Position: Position(position)}, nil
}

// State is the state that a member reports of itself.
type State struct {
	// Role is the member's role as it knows it. A primary that was replaced may still
	// report Primary.
	Role Role
	// Term is the term of the last log entry or primary that the member accepted.
	Term Term
	// Fence is the highest term that the member has promised to a promoter. A member
	// whose Fence exceeds its Term accepts neither writes nor log entries.
	Fence Term
	// EntryTerm is the term in which the last stored log entry was written.
	EntryTerm Term
	// Received is the position of the last log entry that the member has stored.
	Received Position
	// Applied is the position up to which reads at the member see the log.
	Applied Position
	// Leading reports whether the member has just acted as the primary. A primary that was
	// replaced without knowing it does so too.
	Leading bool `json:"Led" msgpack:"Led"`
	// Confirmed reports whether a replica acknowledged the member's last entry after the
	// member received the request.
	Confirmed bool
	// Partial reports whether the state omits what the member has promised, such as its
	// Fence.
	Partial bool
	// LeaseHolder is the host that holds the lease for the member's slots, or empty.
	LeaseHolder string `json:"Dispatcher" msgpack:"Dispatcher"`
	// Active is the number of connections that run a statement or have an open
	// transaction.
	Active int
	// Starts lists the latest terms, oldest first, each with the position after which its
	// entries begin.
	Starts []Start
}

// Start is a term and the position after which its own entries begin.
type Start struct {
	Term     Term
	Position Position
}

// Fenced reports whether the member has promised a later term than its own.
func (s State) Fenced() bool {
	return s.Fence > s.Term
}

// LastEntry returns the term and position of the member's last stored entry, by which
// logs are compared. Of the members of a majority, the one with the greatest value holds
// every entry that a majority held. The order uses the term of the last entry and not
// the member's term, because a member that has just begun to follow a new primary may
// still lack entries.
func (s State) LastEntry() Floor {
	return Floor{Term: s.EntryTerm, Position: s.Received}
}

// FloorStatus is the relation of a floor to the log of a member.
type FloorStatus uint8

// The statuses of a floor.
const (
	// NotReached means that the member has not reached the floor yet.
	NotReached FloorStatus = iota
	// Covered means that the member has reached the floor.
	Covered
	// Lost means that a later term began before the floor, so that the entries in
	// between were truncated, or that this cannot be ruled out.
	Lost
)

// FloorStatus returns the status of floor f at the member whose log is valid up to the
// given position, such as s.Applied. A floor of an earlier term is Covered only if every
// later term began at or past the floor. It is Lost if the start of the next term is
// unknown, because nothing then proves that the floor's entries were kept.
func (s State) FloorStatus(f Floor, position Position) FloorStatus {
	switch {
	case f.IsZero():
		return Covered
	case f.Term > s.Term:
		return NotReached
	case f.Term < s.Term && !s.keeps(f):
		return Lost
	case f.Position <= position:
		return Covered
	default:
		return NotReached
	}
}

// keeps reports whether every term after the floor's began at or past it, so that no
// change of primary truncated the floor's entries. The list must have an entry at or
// before the floor's term: otherwise an entry that was dropped from the list could have
// truncated the log below the floor.
func (s State) keeps(f Floor) bool {
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

// Majority returns the least number of members that is a majority of n.
func Majority(n int) int {
	return n/2 + 1
}
