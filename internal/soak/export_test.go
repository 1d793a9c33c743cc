package soak

import "poplarrouter.example/poplarrouter/internal/labpf"

// Link is exported for tests.
type Link struct{ *link }

// NewLink returns a link to an address.
func NewLink(target string) (Link, error) {
	l, err := newLink(target)
	return Link{l}, err
}

// Address returns the link's own address.
func (l Link) Address() string { return l.address() }

// Set makes the link pass bytes forth and back, or not.
func (l Link) Set(forth, back bool) { l.set(mode{forth: forth, back: back}) }

// Reset ends all connections.
func (l Link) Reset() { l.reset() }

// Close ends the link.
func (l Link) Close() { l.close() }

// Sent is exported for tests.
type Sent struct{ *sent }

// NewSent returns a Sent without statements.
func NewSent() Sent { return Sent{newSent()} }

// Note takes a statement that a caller is about to send.
func (s Sent) Note(id, text, access, shape string, values map[string]string, inside bool) {
	st := newStatement(text, access, shape, values)
	st.inside = inside
	s.note(id, st)
}

// Differs returns what differs between a statement that a member received and what was sent.
func (s Sent) Differs(got labpf.Statement) string { return s.differs(got) }
