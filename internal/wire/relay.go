package wire

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/pkg/fault"
)

type parseStep struct {
	name    string
	swallow bool
}

type closeStep struct {
	asParse bool
}

// Plan tells which answers of a member belong to messages that the proxy added
// or replaced.
type Plan struct {
	parses []parseStep
	closes []closeStep
}

// The transaction states that end an answer.
const (
	// Idle means outside a transaction.
	Idle byte = 'I'
	// InTransaction means inside a transaction block.
	InTransaction byte = 'T'
	// Failed means inside a transaction block that can only be rolled back.
	Failed byte = 'E'
)

// Answer sums up what a member answered to a batch.
type Answer struct {
	// Status is the transaction state after the batch.
	Status byte
	// Completed counts the statements that completed.
	Completed int
	// ErrorCode is the SQLSTATE of an error, or empty.
	ErrorCode string
	// Whole tells that the member answered every message of the batch, or an
	// error after which it skips the rest.
	Whole bool
	// Dirty tells that the batch changed settings of the session.
	Dirty bool
}

// Receiver is the member's side of a relay.
type Receiver interface {
	// Receive returns the next message; it is valid until the next call.
	Receive() (pgproto3.BackendMessage, error)
	// Send adds a message to the next flush.
	Send(message pgproto3.FrontendMessage)
	// Flush writes what was added.
	Flush() error
}

var _ Receiver = (*pgproto3.Frontend)(nil)

// Relay passes a member's answer on until it is complete. If limit is above 0,
// everything from the first completed statement on is held back in the writer,
// up to so many bytes; the caller of Relay releases it with Flush or Drop.
// Statements found prepared are added to the given set.
func Relay(from Receiver, to *Writer, p *Plan, prepared map[string]struct{}, limit int) (Answer, error) {
	r := relay{to: to, plan: p, prepared: prepared, limit: limit}
	for {
		message, err := from.Receive()
		if err != nil {
			return r.answer, fault.Wrap(err, fault.Severed, "read answer", "the member's connection ended before the answer was complete")
		}
		if _, copies := message.(*pgproto3.CopyInResponse); copies {
			from.Send(&pgproto3.CopyFail{Message: "copy from the caller is not served"})
			if err := from.Flush(); err != nil {
				return r.answer, fault.Wrap(err, fault.Severed, "read answer", "the copy could not be refused")
			}
			continue
		}
		if r.pass(message) {
			return r.answer, nil
		}
		if to.HeldBytes() > max(limit, 0) && limit > 0 {
			return r.answer, fault.New(fault.Oversized, "hold answer", "got more than %d bytes after a completed statement", limit)
		}
	}
}

type relay struct {
	to       *Writer
	plan     *Plan
	prepared map[string]struct{}
	limit    int
	answer   Answer
}

// pass handles one message and tells whether it ended the answer.
func (r *relay) pass(message pgproto3.BackendMessage) bool {
	switch msg := message.(type) {
	case *pgproto3.ParseComplete:
		r.parsed(msg)
		return false
	case *pgproto3.CloseComplete:
		r.closed(msg)
		return false
	case *pgproto3.CommandComplete:
		r.answer.Completed++
		r.answer.Dirty = r.answer.Dirty || bytes.Equal(msg.CommandTag, []byte("SET"))
		if r.limit > 0 {
			r.to.StartHolding()
		}
	case *pgproto3.ErrorResponse:
		r.answer.ErrorCode = msg.Code
	case *pgproto3.ReadyForQuery:
		r.answer.Status = msg.TxStatus
		r.answer.Whole = r.answer.ErrorCode != "" || len(r.plan.parses)+len(r.plan.closes) == 0
		r.to.Put(msg)
		return true
	}
	r.to.Put(message)
	return false
}

func (r *relay) parsed(msg *pgproto3.ParseComplete) {
	if len(r.plan.parses) == 0 {
		r.to.Put(msg)
		return
	}
	step := r.plan.parses[0]
	r.plan.parses = r.plan.parses[1:]
	if step.name != "" {
		r.prepared[step.name] = struct{}{}
	}
	if !step.swallow {
		r.to.Put(msg)
	}
}

func (r *relay) closed(msg *pgproto3.CloseComplete) {
	if len(r.plan.closes) == 0 {
		r.to.Put(msg)
		return
	}
	step := r.plan.closes[0]
	r.plan.closes = r.plan.closes[1:]
	if step.asParse {
		r.to.Put(&pgproto3.ParseComplete{})
		return
	}
	r.to.Put(msg)
}

// ReadRow reads the answer to a simple query of one row that the proxy itself
// sent behind a batch. It returns no row if the member answered an error.
func ReadRow(from Receiver) ([][]byte, error) {
	var row [][]byte
	for {
		message, err := from.Receive()
		if err != nil {
			return nil, fault.Wrap(err, fault.Severed, "read position", "the member's connection ended before it told the position")
		}
		switch msg := message.(type) {
		case *pgproto3.DataRow:
			for _, cell := range msg.Values {
				row = append(row, bytes.Clone(cell))
			}
		case *pgproto3.ErrorResponse:
			row = nil
		case *pgproto3.ReadyForQuery:
			return row, nil
		}
	}
}
