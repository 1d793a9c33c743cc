// Package pgfrt serves callers over the PostgreSQL protocol. It authenticates them against the
// sheet, reads their requests and passes them to the filter chain.
package pgfrt

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/pgrun"
	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Protocol implements the PostgreSQL protocol for callers.
type Protocol struct{}

var _ front.Protocol = Protocol{}

// Refuse implements front.Protocol.
func (Protocol) Refuse(conn net.Conn, err *fault.Error) {
	_ = conn.SetDeadline(time.Now().Add(loginTimeout))
	raw, _ := fatalResponse(err).Encode(nil)
	_, _ = conn.Write(raw)
}

// Serve implements front.Protocol.
func (Protocol) Serve(ctx context.Context, base *front.Session) error {
	s := &session{
		Session: base,
		out:     wire.NewWriter(base),
		collect: wire.NewCollector(base.Options().RequestBytes),
		key:     newKey(),
		status:  wire.Idle,
	}
	s.in = wire.NewReader(base.Conn, base.Options().RequestBytes, s.reserve)
	s.collect.OnState(s.Memory.SetState)
	s.out.OnFlush(s.BeginAnswer, s.Memory.Sent)
	s.out.OnHold(s.Memory.Receive)
	base.SetKey(front.Key{ProcessID: s.key.ProcessID, Secret: s.key.SecretKey})
	return s.serve(ctx)
}

const secretBytes = 4

func newKey() *pgproto3.BackendKeyData {
	raw := make([]byte, 2*secretBytes)
	_, _ = rand.Read(raw)
	return &pgproto3.BackendKeyData{ProcessID: binary.BigEndian.Uint32(raw), SecretKey: raw[secretBytes:]}
}

// session is the connection of one caller.
type session struct {
	*front.Session
	in      *wire.Reader
	out     *wire.Writer
	collect *wire.Collector
	key     *pgproto3.BackendKeyData

	kind     string
	floor    group.Floor
	hasToken bool
	status   byte
	skipping bool
}

// reserve accounts for the messages of the current batch, including the one that is being read.
func (s *session) reserve(arrived int) error {
	if err := s.Memory.Reserve(s.collect.PendingBytes() + arrived); err != nil {
		return fault.Wrap(err, fault.Overloaded, "read request", "the memory for messages is used up")
	}
	return nil
}

// serve logs the caller in and answers its requests until the connection ends.
func (s *session) serve(ctx context.Context) error {
	// The log-in needs a deep stack, which an idle session should not retain, so it runs as a
	// separate background task.
	if err := <-duty.Start(ctx, func(context.Context) error { return s.login() }); err != nil {
		return s.denied(err)
	}
	s.LogAccepted(s.kind)
	return s.loop(ctx)
}

func (s *session) denied(err error) error {
	var cancelOnly cancelOnlyError
	if errors.As(err, &cancelOnly) {
		return nil
	}
	s.LogDenied(err)
	var rejection *fault.Error
	if errors.As(err, &rejection) {
		s.out.Put(fatalResponse(rejection))
		_ = s.out.Flush()
	}
	return err
}

func (s *session) loop(ctx context.Context) error {
	for {
		if s.collect.PendingBytes() == 0 {
			// Everything that was accounted for has been answered.
			s.in.Release()
			s.out.Release()
			s.Memory.Done()
		}
		message, err := s.in.Receive()
		if err != nil {
			return s.readFailed(err)
		}
		if _, terminate := message.(*pgproto3.Terminate); terminate {
			return nil
		}
		batch, err := s.collectMessage(message)
		if err != nil {
			return err
		}
		if batch == nil {
			if err := s.reserve(0); err != nil {
				return s.readFailed(err)
			}
			continue
		}
		if err := s.answer(ctx, batch); err != nil {
			return err
		}
	}
}

// readFailed handles a failure to read a message. It reports a fault to the caller before the
// connection ends.
func (s *session) readFailed(err error) error {
	var oversized *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &oversized):
		err = fault.Wrap(err, fault.Protocol, "read request", "got more than %d bytes in one message", s.Options().RequestBytes)
	case s.Memory.Evicted():
		err = fault.Wrap(err, fault.Overloaded, "read request", "the message took too long while the memory for messages was used up")
	}
	var known *fault.Error
	if errors.As(err, &known) {
		s.out.Put(fatalResponse(known))
		_ = s.out.Flush()
	}
	return err
}

// collectMessage adds a message to the batch. After a fault, it skips messages until the caller's
// next Sync, as the protocol requires.
func (s *session) collectMessage(message pgproto3.FrontendMessage) (*wire.Batch, error) {
	if _, sync := message.(*pgproto3.Sync); s.skipping {
		if !sync {
			return nil, nil
		}
		s.skipping = false
		s.out.Put(&pgproto3.ReadyForQuery{TxStatus: s.status})
		return nil, s.out.Flush()
	}
	batch, err := s.collect.Add(message)
	if err == nil {
		return batch, nil
	}
	s.collect.Reset()
	if s.Pinned() {
		return nil, s.abort(fault.FromError(err))
	}
	s.out.Put(errorResponse(fault.FromError(err)))
	if _, simple := message.(*pgproto3.Query); simple {
		s.out.Put(&pgproto3.ReadyForQuery{TxStatus: s.status})
		return nil, s.out.Flush()
	}
	s.skipping = true
	return nil, s.out.Flush()
}

// abort ends a connection whose open transaction cannot continue. The member rolls the transaction
// back when the connection to it closes.
func (s *session) abort(err *fault.Error) error {
	s.out.Discard()
	s.out.Put(fatalResponse(err))
	_ = s.out.Flush()
	return err
}

func (s *session) answer(ctx context.Context, batch *wire.Batch) error {
	if batch.Local != nil {
		return s.answerLocal(batch)
	}
	if !s.BeginRequest() {
		return fault.New(fault.Leaving, "read request", "this proxy is draining")
	}
	defer s.EndRequest()
	s.Memory.Complete()
	x := pgrun.New(batch, s.out)
	r := &chain.Request{Exchange: x, Label: s.kind, Floor: s.floor, HasToken: s.hasToken, Arrived: time.Now()}
	pinned := s.Pinned()
	if err := s.Do(ctx, r); err != nil {
		return s.answerFault(r, err, pinned)
	}
	s.status = x.Status()
	s.raiseFloor(r.Committed)
	return s.out.Flush()
}

// raiseFloor sets the floor to the position of a confirmed write. It reports the position to the
// caller before the end of the answer, which is still held back.
func (s *session) raiseFloor(committed group.Floor) {
	if committed.IsZero() {
		return
	}
	s.floor = committed
	s.out.PutBeforeHeld(&pgproto3.ParameterStatus{Name: wire.FloorSetting, Value: committed.String()})
}

func (s *session) answerFault(r *chain.Request, err *fault.Error, pinned bool) error {
	if pinned && (err.Kind != fault.Unconfirmed || r.Lease != nil) {
		return s.abort(err)
	}
	s.status = wire.Idle
	s.out.Put(errorResponse(err))
	s.out.Put(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.out.Flush()
}

func (s *session) answerLocal(batch *wire.Batch) error {
	local := batch.Local
	if batch.RunsStatement() && !local.Show {
		if err := s.set(local.Setting, local.Value); err != nil {
			s.out.Put(errorResponse(fault.FromError(err)))
			s.out.Put(&pgproto3.ReadyForQuery{TxStatus: s.status})
			return s.out.Flush()
		}
	}
	value := s.kind
	if local.Setting == wire.FloorSetting {
		value = s.floor.String()
	}
	batch.AnswerLocal(s.out, value, s.status)
	return s.out.Flush()
}
