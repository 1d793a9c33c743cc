package stmt

// Extract is the part of a session that one of its statements needs.
type Extract struct {
	Values map[string]string
	// Shape is that of the prepared statement that is executed, if one is.
	Shape *Shape
	Phase Phase
	Start Statement
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

// Session returns a session of which no more is known than the extract for a statement.
func (e Extract) Session(st Statement) Session {
	s := Session{values: e.Values, Phase: e.Phase, Start: e.Start, Wrote: e.Wrote}
	if e.Shape != nil {
		s.prepared = map[string]Shape{st.Name: *e.Shape}
	}
	return s
}
