package soak

import (
	"fmt"
	"hash/maphash"
	"strings"
	"sync"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// digest stands for a text of any size. Texts that differ have different digests.
type digest struct {
	head  string
	bytes int
	sum   uint64
}

var hashSeed = maphash.MakeSeed()

// headBytes is how much of a text is kept for the report.
const headBytes = 64

func digestOf(text string) digest {
	return digest{head: strings.Clone(text[:min(len(text), headBytes)]), bytes: len(text), sum: maphash.String(hashSeed, text)}
}

// String implements fmt.Stringer.
func (d digest) String() string { return fmt.Sprintf("%q (%d bytes)", d.head, d.bytes) }

// statement is what a caller sent, or what a member received.
type statement struct {
	// text is that of the statement, without the name of a prepared statement.
	text digest
	// shape is the access and the text of the prepared statement that is executed.
	shape digest
	// values are those of the session.
	values digest
	// inside tells that the caller has begun a transaction. The member receives the BEGIN under
	// the ID of the transaction's first statement.
	inside bool
}

func newStatement(text, access, shape string, values map[string]string) statement {
	if rest, executes := strings.CutPrefix(text, "EXECUTE "); executes {
		_, arguments, _ := strings.Cut(rest, " ")
		text = "EXECUTE * " + arguments
	}
	return statement{text: digestOf(text), shape: digestOf(access + " " + shape), values: digestOf(fmt.Sprint(values))}
}

// sentLimit is how many statements are remembered: those of more than a minute.
const sentLimit = 1 << 18

// sent holds the latest statements that callers sent, by their IDs, and the order of these.
type sent struct {
	mu       sync.Mutex
	byID     map[string]statement
	ids      []string
	received int
}

func newSent() *sent { return &sent{byID: make(map[string]statement)} }

// note takes a statement that a caller is about to send.
func (s *sent) note(id string, st statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = st
	s.ids = append(s.ids, id)
	if len(s.ids) > sentLimit {
		delete(s.byID, s.ids[0])
		s.ids = s.ids[1:]
	}
}

// differs compares a statement that a member received with what the caller sent. It returns
// what differs, or an empty text.
func (s *sent) differs(got labpf.Statement) string {
	s.mu.Lock()
	s.received++
	want, found := s.byID[got.ID]
	s.mu.Unlock()
	have := newStatement(got.Request(), got.Access, got.Shape, got.Values)
	begins := want.inside && got.Request() == "BEGIN"
	switch {
	case !found:
		return fmt.Sprintf("got %s, sent by nobody", have.text)
	case have.text != want.text && !begins:
		return fmt.Sprintf("got %s, want %s", have.text, want.text)
	case have.shape != want.shape && !begins:
		return fmt.Sprintf("%s: got the prepared statement %s, want %s", have.text, have.shape, want.shape)
	case have.values != want.values:
		return fmt.Sprintf("%s: got the session values %s, want %s", have.text, have.values, want.values)
	default:
		return ""
	}
}

// count returns how many statements members received.
func (s *sent) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// received checks a statement that a member received.
func (r *run) received(st labpf.Statement) {
	if differs := r.sent.differs(st); differs != "" {
		r.broken("a member runs only what a caller sent", "%s, request %s: %s", st.Member, st.ID, differs)
	}
}
