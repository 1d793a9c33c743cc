// Package pgrun runs callers' requests on members over the PostgreSQL protocol.
//
// A request is a batch. If it may write, a query for the member's position follows it, and the end
// of the answer is buffered until the position is confirmed.
package pgrun

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Exchange is a batch of a caller together with the answer to it.
type Exchange struct {
	*wire.Writer
	batch  *wire.Batch
	answer wire.Answer
}

var _ chain.Exchange = (*Exchange)(nil)

// New returns the exchange of a batch. The answer is written to the given writer.
func New(batch *wire.Batch, to *wire.Writer) *Exchange { return &Exchange{Writer: to, batch: batch} }

// Status returns the transaction state after the batch.
func (x *Exchange) Status() byte { return x.answer.Status }

// Access implements chain.Exchange.
func (x *Exchange) Access(listed sheet.Access) sheet.Access {
	if x.batch.BeginsReadOnly() {
		return sheet.Read
	}
	return listed
}

// ProvesLeadership implements chain.Exchange. It returns false, since a replaced primary may still
// answer.
func (*Exchange) ProvesLeadership() bool { return false }

// Run implements chain.Exchange.
func (x *Exchange) Run(protocolConn member.ProtocolConn, o chain.RunOptions) (chain.Answer, error) {
	conn := protocolConn.(*pgmem.Conn) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	raw, plan := x.batch.Encode(conn.Prepared)
	if o.Write {
		raw = appendStatus(raw)
	}
	if _, err := conn.Write(raw); err != nil {
		return chain.Answer{}, fault.Wrap(err, fault.Severed, "send", "the connection to the member ended while the request was sent")
	}
	return x.receive(conn, plan, o)
}

// maxPrepared is the number of prepared statements on a connection to a member above which the
// connection is closed after use, so that callers cannot prepare statements there without end.
const maxPrepared = 2000

func appendStatus(raw []byte) []byte {
	raw, _ = (&pgproto3.Query{String: pgmem.StatusQuery}).Encode(raw)
	return raw
}

func (x *Exchange) receive(conn *pgmem.Conn, plan *wire.Plan, o chain.RunOptions) (chain.Answer, error) {
	limit := 0
	if o.Write {
		limit = o.BufferBytes
	}
	x.Begin()
	x.SetDeadline(o.Deadline)
	defer x.SetDeadline(time.Time{})
	answer, err := wire.Relay(conn.Frontend, x.Writer, plan, conn.Prepared, limit)
	x.answer = answer
	conn.Dirty = conn.Dirty || answer.Dirty
	result := chain.Answer{Idle: answer.Status == wire.Idle, Whole: answer.Whole, Dirty: conn.Dirty || len(conn.Prepared) > maxPrepared}
	if err != nil {
		return result, err
	}
	result.NotPrimary = o.Write && !o.Pinned && !x.Sent() && refusedAsReplica(x.batch, answer)
	if o.Write {
		result.Committed, err = x.readPosition(conn, result)
	}
	return result, err
}

// readOnlyState is the SQLSTATE with which a member refuses a write because it is a replica or has
// promised a later term.
const readOnlyState = "25006"

// refusedAsReplica reports whether a write was refused because the member is not the primary, and
// nothing of it took effect: either no statement completed, or the only statement completed but the
// commit after it was refused.
func refusedAsReplica(b *wire.Batch, a wire.Answer) bool {
	noEffect := a.Completed == 0 || (a.Completed == 1 && b.IsSingleExecution())
	return a.ErrorCode == readOnlyState && noEffect && a.Status == wire.Idle
}

// readPosition reads the member's position after the batch. Outside a transaction, the position
// covers everything that the batch committed. A refused batch committed nothing and has no position
// to confirm.
func (x *Exchange) readPosition(conn *pgmem.Conn, result chain.Answer) (group.Floor, error) {
	row, err := wire.ReadRow(conn.Frontend)
	if err != nil {
		return group.Floor{}, err
	}
	if result.NotPrimary || !result.Idle || x.answer.Completed == 0 {
		return group.Floor{}, nil
	}
	if len(row) != 1 {
		return group.Floor{}, fault.New(fault.Unconfirmed, "confirm", "the member returned no position after the write")
	}
	state, err := pgmem.ParseState(string(row[0]))
	if err != nil || state.Role != group.Primary {
		return group.Floor{}, fault.Wrap(err, fault.Unconfirmed, "confirm", "the member returned no position after the write")
	}
	return group.Floor{Term: state.Term, Position: state.Received}, nil
}
