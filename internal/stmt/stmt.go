// Package stmt holds typed statements, and what a session of a caller has set up
// that must be in place on whatever connection its statements run.
//
// A Session remembers the values that its caller set, the statements that it
// prepared and the transaction that it began. A Setup is what a connection holds
// of these. Lacking tells what a connection needs before a session's statement may
// run on it. Sessions and setups are immutable.
package stmt

import (
	"maps"
)

// Kind tells what a statement does.
type Kind uint8

// The kinds of statements.
const (
	// Begin opens a transaction that may write.
	Begin Kind = iota
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends the open transaction and keeps what it wrote.
	Commit
	// Rollback ends the open transaction and keeps nothing.
	Rollback
	// Read reads.
	Read
	// Write writes.
	Write
	// Set sets a value of the session.
	Set
	// Prepare prepares a statement under a name.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// Reset drops all values and prepared statements of a connection.
	Reset
)

// Shape is what a prepared statement does, whatever its name.
type Shape struct {
	// Writes tells that the statement writes.
	Writes bool
	// Text is the form that the caller gave.
	Text string
}

// Statement is one statement.
type Statement struct {
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is that of a value or of a prepared statement.
	Name string
	// Value is what a Set sets, and the arguments of an Execute.
	Value string
	// Shape is what a Prepare prepares.
	Shape Shape
}

// Phase is how far a session's transaction has come.
type Phase uint8

// The phases of a transaction.
const (
	// Idle means that no transaction is open.
	Idle Phase = iota
	// Pending means that the caller has begun one of which no member knows yet.
	Pending
	// Open means that one is open at a member.
	Open
	// Failed means that the open one can only be rolled back.
	Failed
)

// Session is what a caller has set up.
type Session struct {
	values   map[string]string
	prepared map[string]Shape
	// Phase is that of the transaction, and Start the statement that began it.
	Phase Phase
	Start Statement
	// Wrote tells that the transaction has written.
	Wrote bool
}

// ApplyLocally tells whether the proxy answers a statement itself, and returns the
// session behind it.
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

// Shape returns what the caller prepared under a name.
func (s Session) Shape(name string) (Shape, bool) {
	shape, found := s.prepared[name]
	return shape, found
}

// Writes tells whether a statement writes.
func (s Session) Writes(st Statement) bool {
	if st.Kind == Execute {
		shape, found := s.prepared[st.Name]
		return found && shape.Writes
	}
	return st.Kind == Write
}

// WithRun returns the session after a statement has run, with the transaction in a
// phase.
func (s Session) WithRun(st Statement, p Phase) Session {
	s.Wrote = s.Wrote || s.Writes(st)
	s.Phase = p
	return s
}

// WithPhase returns the session with its transaction in a phase.
func (s Session) WithPhase(p Phase) Session {
	s.Phase = p
	return s
}

func with[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}

// Setup is what a connection holds. Statements are prepared on it under names
// that follow from their shape, so that callers' names never meet.
type Setup struct {
	values   map[string]string
	prepared map[Shape]string
}

// Missing returns what has to run on a connection before a session's statement,
// the name under which the connection knows the prepared statement that it
// executes, and what the connection then holds.
func (c Setup) Missing(s Session, st Statement) (before []Statement, name string, then Setup) {
	then = c
	if !subset(c.values, s.values) {
		// A value cannot be taken back singly.
		before = append(before, Statement{Kind: Reset})
		then = Setup{}
	}
	for name, value := range s.values {
		if held, found := then.values[name]; found && held == value {
			continue
		}
		before = append(before, Statement{Kind: Set, Name: name, Value: value})
		then.values = with(then.values, name, value)
	}
	if st.Kind != Execute {
		return before, "", then
	}
	shape := s.prepared[st.Name]
	name, found := then.prepared[shape]
	if !found {
		name = nameOf(shape)
		before = append(before, Statement{Kind: Prepare, Name: name, Shape: shape})
		prepared := make(map[Shape]string, len(then.prepared)+1)
		maps.Copy(prepared, then.prepared)
		prepared[shape] = name
		then.prepared = prepared
	}
	return before, name, then
}

// subset tells whether every name of a has a value in b, so that setting those of
// b makes the two alike.
func subset(a, b map[string]string) bool {
	for name := range a {
		if _, found := b[name]; !found {
			return false
		}
	}
	return true
}

func nameOf(shape Shape) string {
	if shape.Writes {
		return "w_" + shape.Text
	}
	return "r_" + shape.Text
}
