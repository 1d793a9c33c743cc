package soak

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
