// Package stmt defines typed statements, and the session state that must be in place on
// any connection before a statement of the session runs there.
//
// A Session records the values that its caller set, the statements that the caller
// prepared and the transaction that it began. A Setup records the values and prepared
// statements of a connection to a member. Setup.Missing returns what has to run on a
// connection before a session's statement. Sessions and setups are immutable.
package stmt

import (
	"maps"
	"strconv"
)

// Kind is the type of a statement.
type Kind uint8

// The kinds of statements.
const (
	// Begin opens a transaction that may write.
	Begin Kind = iota
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit commits the open transaction.
	Commit
	// Rollback rolls the open transaction back.
	Rollback
	// Read is a statement that only reads.
	Read
	// Write is a statement that writes.
	Write
	// Set sets a value of the session.
	Set
	// Prepare prepares a statement under a name.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// Reset drops all session values and prepared statements of a connection.
	Reset
)

// Shape is the definition of a prepared statement, without its name.
type Shape struct {
	// Writes reports whether the statement writes.
	Writes bool
	// Text is the statement's text as the caller prepared it.
	Text string
}

// Statement is a statement of a session.
type Statement struct {
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the new value of a Set, or the arguments of an Execute.
	Value string
	// Shape is the definition of the statement that a Prepare prepares.
	Shape Shape
}

// Phase is the state of a session's transaction.
type Phase uint8

// The phases of a transaction.
const (
	// Idle means that no transaction is open.
	Idle Phase = iota
	// Pending means that the caller has begun a transaction that is not yet begun at a
	// member.
	Pending
	// Open means that a transaction is open at a member.
	Open
	// Failed means that the open transaction can only be rolled back.
	Failed
)

// Known reports whether the phase is one of this release. Another host may send a different one.
func (p Phase) Known() bool { return p <= Failed }

// Session is the state that a caller has set up. The zero Session is empty.
type Session struct {
	values   map[string]string
	prepared map[string]Shape
	// Phase is the state of the transaction.
	Phase Phase
	// Start is the statement that began the transaction.
	Start Statement
	// Wrote reports whether the transaction has written.
	Wrote bool
}

// ApplyLocally returns the session after a statement that the proxy answers itself, and
// true. It returns the session unchanged and false if the statement has to run at a
// member.
func (s Session) ApplyLocally(st Statement) (Session, bool) {
	switch st.Kind {
	case Set:
		s.values = with(s.values, st.Name, st.Value)
	case Prepare:
		s.prepared = with(s.prepared, st.Name, st.Shape)
	case Deallocate:
		s.prepared = maps.Clone(s.prepared)
		delete(s.prepared, st.Name)
	case Begin, BeginRead:
		s.Phase, s.Start, s.Wrote = Pending, st, false
	case Rollback:
		if s.Phase == Open {
			return s, false
		}
		s.Phase = Idle
	default:
		return s, false
	}
	return s, true
}

// Shape returns the statement that the caller prepared under a name, and whether there
// is one.
func (s Session) Shape(name string) (Shape, bool) {
	shape, found := s.prepared[name]
	return shape, found
}

// Writes reports whether a statement of the session writes.
func (s Session) Writes(st Statement) bool {
	if st.Kind == Execute {
		shape, found := s.prepared[st.Name]
		return found && shape.Writes
	}
	return st.Kind == Write
}

// WithRun returns the session after a statement has run at a member and left the
// transaction in phase p.
func (s Session) WithRun(st Statement, p Phase) Session {
	s.Wrote = s.Wrote || s.Writes(st)
	s.Phase = p
	return s
}

// WithPhase returns the session with its transaction in phase p.
func (s Session) WithPhase(p Phase) Session {
	s.Phase = p
	return s
}

// with returns a copy of m in which key has the given value.
func with[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}

// Setup is the set of values and prepared statements of a connection to a member.
// Statements are prepared there under names that count the connection's prepared statements. No
// text of a caller is part of a name, and no name is given twice on a connection.
type Setup struct {
	values   map[string]string
	prepared map[Shape]string
	// named is the number of names that were given on the connection.
	named int
	bytes int
}

// Bytes returns the memory that the setup takes, roughly and from above.
func (c Setup) Bytes() int { return c.bytes }

// entryBytes is the memory that a value or a prepared statement takes besides its texts.
const entryBytes = 128

// Bytes returns the memory that the values and prepared statements take.
func (s Session) Bytes() int {
	size := 0
	for name, value := range s.values {
		size += len(name) + len(value) + entryBytes
	}
	for name, shape := range s.prepared {
		size += len(name) + len(shape.Text) + entryBytes
	}
	return size
}

// Missing returns the statements that have to run on a connection before a session's
// statement, the name under which the connection knows the prepared statement that an
// Execute refers to, and the setup of the connection after these statements.
func (c Setup) Missing(s Session, st Statement) (before []Statement, name string, after Setup) {
	after = c
	require := func(b Statement) {
		before = append(before, b)
		after = after.With(b)
	}
	if !subset(c.values, s.values) {
		// A single value cannot be unset, so that all have to be reset.
		require(Statement{Kind: Reset})
	}
	for name, value := range s.values {
		if current, found := after.values[name]; !found || current != value {
			require(Statement{Kind: Set, Name: name, Value: value})
		}
	}
	if st.Kind != Execute {
		return before, "", after
	}
	shape := s.prepared[st.Name]
	name, found := after.prepared[shape]
	if !found {
		name = "s" + strconv.Itoa(after.named+1)
		require(Statement{Kind: Prepare, Name: name, Shape: shape})
	}
	return before, name, after
}

// With returns the setup of the connection after one of the statements that Missing returned
// has run there.
func (c Setup) With(st Statement) Setup {
	switch st.Kind {
	case Reset:
		return Setup{named: c.named}
	case Set:
		c.values = with(c.values, st.Name, st.Value)
		// The size of the earlier value remains counted until the connection is reset.
		c.bytes += len(st.Name) + len(st.Value) + entryBytes
	case Prepare:
		prepared := make(map[Shape]string, len(c.prepared)+1)
		maps.Copy(prepared, c.prepared)
		prepared[st.Shape] = st.Name
		c.prepared = prepared
		c.named++
		c.bytes += len(st.Shape.Text) + entryBytes
	default:
	}
	return c
}

// subset reports whether every name in a is also in b, so that setting the values of b
// makes a equal to b.
func subset(a, b map[string]string) bool {
	for name := range a {
		if _, found := b[name]; !found {
			return false
		}
	}
	return true
}
