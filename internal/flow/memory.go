package flow

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// reserve accounts for a message of which the given number of bytes has arrived.
func (s *session) reserve(arrived int) error {
	if err := s.Memory.Reserve(arrived); err != nil {
		return fault.Wrap(err, fault.Overloaded, "read message", "the memory for messages is used up")
	}
	return nil
}

// stateLimits is the size of the state of a session, in multiples of the size of the largest
// request.
const stateLimits = 2

// reserveState accounts for the state of the session after a statement. It returns an
// Overloaded fault if the state would take too much memory.
func (s *session) reserveState(st stmt.Statement, next stmt.Session) *fault.Error {
	switch st.Kind {
	case stmt.Set, stmt.Prepare, stmt.Deallocate:
	default:
		return nil
	}
	size, limit := next.Bytes(), stateLimits*s.Options().RequestBytes
	if size > limit && st.Kind != stmt.Deallocate {
		return fault.New(fault.Overloaded, "keep state", "the values and prepared statements of the session take more than %d bytes", limit)
	}
	if err := s.Memory.SetState(size); err != nil {
		return fault.Wrap(err, fault.Overloaded, "keep state", "the memory for values and prepared statements is used up")
	}
	return nil
}

// reply sends the answer to a query.
func (s *session) reply(r Reply) error {
	s.BeginAnswer(r.Bytes(), time.Time{})
	defer s.Memory.Sent()
	return s.caller.Answer(r)
}

// Bytes returns the size of the rows and texts of the reply.
func (r Reply) Bytes() int {
	size := len(r.Text) + len(r.Receipt)
	for _, row := range r.Rows {
		size += len(row)
	}
	return size
}
