package stmt

// Extract is the part of a session that one statement needs. It is what another proxy
// has to know of the session to run the statement.
type Extract struct {
	// Values are the values that the session has set, by name.
	Values map[string]string
	// Shape is the prepared statement that an Execute refers to, or nil.
	Shape *Shape
	// Phase is the phase of the session's transaction.
	Phase Phase
	// Start is the statement that began the transaction, or zero if none is open.
	Start Statement
	// Wrote reports whether the transaction has written.
	Wrote bool
}

// Extract returns the part of the session that a statement needs.
func (s Session) Extract(st Statement) Extract {
	e := Extract{Values: s.values, Phase: s.Phase, Wrote: s.Wrote}
	if s.Phase != Idle {
		e.Start = s.Start
	}
	if shape, found := s.prepared[st.Name]; found && st.Kind == Execute {
		e.Shape = &shape
	}
	return e
}

// Session returns a session with the contents of an extract that was taken for the
// given statement.
func (e Extract) Session(st Statement) Session {
	s := Session{values: e.Values, Phase: e.Phase, Start: e.Start, Wrote: e.Wrote}
	if e.Shape != nil {
		s.prepared = map[string]Shape{st.Name: *e.Shape}
	}
	return s
}
