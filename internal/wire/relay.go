package wire

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/pkg/fault"
)

type parseStep struct {
	name     string
	suppress bool
}

type closeStep struct {
	answerAsParse bool
}

// Plan records which messages of a member's answer belong to messages that the proxy added to the
// batch or replaced in it.
type Plan struct {
	parses []parseStep
	closes []closeStep
}

// The transaction states in the ReadyForQuery message at the end of an answer.
const (
	// Idle is the state outside a transaction.
	Idle byte = 'I'
	// InTransaction is the state inside a transaction block.
	InTransaction byte = 'T'
	// Failed is the state inside a transaction block that can only be rolled back.
	Failed byte = 'E'
)

// Answer summarises a member's answer to a batch.
type Answer struct {
	// Status is the transaction state after the batch.
	Status byte
	// Completed is the number of statements that completed.
	Completed int
	// ErrorCode is the SQLSTATE of an error, or empty.
	ErrorCode string
	// Whole is set if the member answered every message of the batch, or answered with an
	// error after which it skips the remainder.
	Whole bool
	// Dirty is set if the batch changed session settings of the connection, or left names there
	// that a caller chose.
	Dirty bool
}

// Receiver is the connection to the member whose answer is relayed.
type Receiver interface {
	// Receive returns the next message; it is valid until the next call.
	Receive() (pgproto3.BackendMessage, error)
	// Send adds a message to the next flush.
	Send(message pgproto3.FrontendMessage)
	// Flush writes the messages that were added.
	Flush() error
}

var _ Receiver = (*pgproto3.Frontend)(nil)

// Relay forwards a member's answer to the writer until it is complete. If limit is above 0, the
// writer holds back everything from the completion of the first statement on, at most limit bytes;
// the caller of Relay then calls Flush or Drop. Relay adds the statements that the member prepared
// to the given set.
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
				return r.answer, fault.Wrap(err, fault.Severed, "read answer", "the rejection of a copy could not be sent to the member")
			}
			continue
		}
		if r.forward(message) {
			return r.answer, nil
		}
		if to.HeldBytes() > max(limit, 0) && limit > 0 {
			return r.answer, fault.New(fault.Oversized, "hold answer", "got more than %d bytes after a completed statement", limit)
		}
		if err := to.Reserve(); err != nil {
			return r.answer, fault.Wrap(err, fault.Oversized, "hold answer", "the memory for answers is used up")
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

// forward forwards one message and reports whether it ends the answer.
func (r *relay) forward(message pgproto3.BackendMessage) bool {
	switch msg := message.(type) {
	case *pgproto3.ParseComplete:
		r.parseComplete(msg)
		return false
	case *pgproto3.CloseComplete:
		r.closeComplete(msg)
		return false
	case *pgproto3.CommandComplete:
		r.answer.Completed++
		r.noteState(msg.CommandTag)
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

// noteState records what a completed command did to the state of the connection.
func (r *relay) noteState(tag []byte) {
	switch string(tag) {
	case "SET", "PREPARE", "DEALLOCATE", "LISTEN":
		r.answer.Dirty = true
	case "DEALLOCATE ALL", "DISCARD ALL":
		clear(r.prepared)
	default:
		// The tag does not say whether the object is temporary.
		r.answer.Dirty = r.answer.Dirty || bytes.HasPrefix(tag, []byte("CREATE "))
	}
}

func (r *relay) parseComplete(msg *pgproto3.ParseComplete) {
	if len(r.plan.parses) == 0 {
		r.to.Put(msg)
		return
	}
	step := r.plan.parses[0]
	r.plan.parses = r.plan.parses[1:]
	if step.name != "" {
		r.prepared[step.name] = struct{}{}
	}
	if !step.suppress {
		r.to.Put(msg)
	}
}

func (r *relay) closeComplete(msg *pgproto3.CloseComplete) {
	if len(r.plan.closes) == 0 {
		r.to.Put(msg)
		return
	}
	step := r.plan.closes[0]
	r.plan.closes = r.plan.closes[1:]
	if step.answerAsParse {
		r.to.Put(&pgproto3.ParseComplete{})
		return
	}
	r.to.Put(msg)
}

// ReadRow reads the answer to a simple query that the proxy itself sent after a batch and that
// returns one row. It returns no row if the member answered with an error.
func ReadRow(from Receiver) ([][]byte, error) {
	var row [][]byte
	for {
		message, err := from.Receive()
		if err != nil {
			return nil, fault.Wrap(err, fault.Severed, "read position", "the member's connection ended before it returned the position")
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
