package flow

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// present determines who the caller is from its first message, and returns the sheet row of
// its work. It returns a fault if the service is not listed, or requires a key and the caller
// presented none of a customer.
func (s *session) present(start Start, documents book.DocumentSet) (sheet.Row, error) {
	current := documents.Sheet()
	if start.Name != "" {
		s.digest = sheet.KeyDigest(start.Name)
	}
	rows, listed := current.RowsFor(start.Service, start.Name)
	work, _ := sheet.RowForLabel(rows, "")
	if !current.HasCustomers() && !work.KeyRequired {
		s.Caller.Name = start.Name
	} else {
		s.identify(current)
	}
	if _, isKey := current.CustomerOfKey(sheet.KeyDigest(start.Service)); isKey && !listed {
		// The caller has exchanged the fields. The key must not be logged as a service.
		s.Caller.Service = ""
	}
	if !listed {
		return work, fault.New(fault.Denied, "connect", "no service %q is listed", s.Caller.Service)
	}
	if work.KeyRequired && s.Caller.Customer == "" {
		return work, unknownKey("connect")
	}
	s.checkedSerial = documents.Serial(book.Sheet)
	return work, nil
}

// identify sets the caller's customer to the one that holds its key in a sheet. The name of a
// caller without a customer is empty, since what it presented may be a key.
func (s *session) identify(current sheet.Sheet) {
	c, found := current.CustomerOfKey(s.digest)
	if !found {
		s.Caller.Customer, s.Caller.KeyDigest, s.Caller.Name = "", "", ""
		return
	}
	s.Caller.Customer, s.Caller.KeyDigest, s.Caller.Name = c.Name, s.digest, c.Name
}

// checkKey identifies the caller again before a statement if the sheet has changed. It returns
// a fault if the key was removed or belongs to another customer, and either the service
// requires a key or a transaction is open on a connection of the former customer. The
// statements after that are served as those of the customer that holds the key by then, so
// that a key that is restored works again.
func (s *session) checkKey(q Query) *fault.Error {
	documents := s.Options().Documents.Book()
	current, serial := documents.Sheet(), documents.Serial(book.Sheet)
	before, pinned := s.Caller.Customer, s.Pinned()
	switch {
	case serial == s.checkedSerial:
		return nil
	case s.state.Phase == stmt.Failed && endsTransaction(q.Statement):
		// The transaction is rolled back whoever holds the key.
		return nil
	case before == "" && pinned:
		// The transaction began without the need for a key. A change of the sheet applies
		// only to later transactions.
		return nil
	}
	required := s.requiresKey(current)
	if before != "" || required || current.HasCustomers() {
		s.identify(current)
	}
	switch {
	case before != "" && s.Caller.Customer != before && (pinned || required):
		return fault.New(fault.UnknownKey, "check key", "the caller's key no longer belongs to customer %q", before)
	case s.Caller.Customer == "" && required:
		return unknownKey("check key")
	}
	s.checkedSerial = serial
	return nil
}

func unknownKey(op string) *fault.Error {
	return fault.New(fault.UnknownKey, op, "the key belongs to no customer")
}

// requiresKey reports whether the caller's service requires a key.
func (s *session) requiresKey(current sheet.Sheet) bool {
	rows, _ := current.RowsFor(s.Caller.Service, s.Caller.Name)
	work, _ := sheet.RowForLabel(rows, "")
	return work.KeyRequired
}

// refuse rolls back the open transaction and returns the reply to a statement that does not
// run because of the caller's key.
func (s *session) refuse(q Query, err *fault.Error) Reply {
	s.Rollback()
	x := NewExchange(q, s.state)
	s.Reject(&chain.Request{Name: q.ID, Exchange: x, Arrived: time.Now(), Caller: s.Caller}, err)
	reply, state := x.Fail(err)
	s.state, s.expired = state, false
	return reply
}

func endsTransaction(st stmt.Statement) bool {
	return st.Kind == stmt.Commit || st.Kind == stmt.Rollback
}

// phaseAfterRollback returns the phase of a session whose transaction, if one was open, was
// rolled back at a statement.
func phaseAfterRollback(p stmt.Phase, st stmt.Statement) stmt.Phase {
	if p == stmt.Idle || endsTransaction(st) {
		return stmt.Idle
	}
	return stmt.Failed
}
