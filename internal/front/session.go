package front

import (
	"context"
	"crypto/subtle"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Session is one caller's connection.
type Session struct {
	front   *Front
	id      uint64
	conn    net.Conn
	backend *pgproto3.Backend
	out     *wire.Writer
	collect *wire.Collector
	key     *pgproto3.BackendKeyData
	caller  chain.Caller

	// rank is that of the place that the connection has taken, or 0.
	rank     sheet.Rank
	label    string
	floor    group.Floor
	token    bool
	status   byte
	skipping bool

	mu      sync.Mutex
	active  bool
	lease   *chain.Lease
	running *chain.Lease
	ending  bool
}

func newSession(f *Front, conn net.Conn, id uint64) *Session {
	return &Session{
		front:   f,
		id:      id,
		conn:    conn,
		backend: pgproto3.NewBackend(conn, conn),
		out:     wire.NewWriter(conn),
		collect: wire.NewCollector(f.options.RequestBytes),
		key:     newKey(),
		caller:  chain.Caller{ID: id},
		status:  wire.Idle,
	}
}

// serve logs the caller in and answers its requests until it goes.
func (s *Session) serve(ctx context.Context) error {
	s.backend.SetMaxBodyLen(s.front.options.RequestBytes)
	// The log-in needs a deep stack, which an idle session should not keep: it
	// runs as a duty of its own.
	if err := <-duty.Start(ctx, func(context.Context) error { return s.login() }); err != nil {
		return s.denied(err)
	}
	log := s.front.options.Log
	log.Emit(event.CallerAccepted, event.Fields{"CallerID": s.id, "Caller": s.caller.Name, "Service": s.caller.Service, "Kind": s.label})
	err := s.loop(ctx)
	s.rollback()
	log.Emit(event.CallerClosed, event.Fields{"CallerID": s.id, "Caller": s.caller.Name})
	return err
}

func (s *Session) denied(err error) error {
	var cancelOnly cancelOnlyError
	if errors.As(err, &cancelOnly) {
		return nil
	}
	s.front.options.Log.Emit(event.CallerDenied, event.Fields{
		"CallerID": s.id, "Caller": s.caller.Name, "Service": s.caller.Service, "Address": s.conn.RemoteAddr().String(), "Cause": err.Error(),
	})
	var known *fault.Error
	if errors.As(err, &known) {
		s.backend.Send(fatal(known))
		_ = s.backend.Flush()
	}
	return err
}

func (s *Session) loop(ctx context.Context) error {
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return s.broken(err)
		}
		if _, ends := message.(*pgproto3.Terminate); ends {
			return nil
		}
		batch, err := s.collectMessage(message)
		if err != nil {
			return err
		}
		if batch == nil {
			continue
		}
		if err := s.answer(ctx, batch); err != nil {
			return err
		}
	}
}

// broken tells a caller whose message could not be read why its connection ends.
func (s *Session) broken(err error) error {
	var oversized *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &oversized) {
		s.out.Put(fatal(fault.Wrap(err, fault.Protocol, "read request", "got more than %d bytes in one message", s.front.options.RequestBytes)))
		_ = s.out.Flush()
	}
	return err
}

// collectMessage adds a message to the batch. After a fault, messages are
// skipped until the caller's next Sync, as the protocol asks.
func (s *Session) collectMessage(message pgproto3.FrontendMessage) (*wire.Batch, error) {
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
	if s.lease != nil {
		return nil, s.abort(fault.Of(err))
	}
	s.out.Put(errorResponse(fault.Of(err)))
	if _, simple := message.(*pgproto3.Query); simple {
		s.out.Put(&pgproto3.ReadyForQuery{TxStatus: s.status})
		return nil, s.out.Flush()
	}
	s.skipping = true
	return nil, s.out.Flush()
}

// abort ends a connection whose open transaction cannot go on: the member rolls
// it back when its connection closes.
func (s *Session) abort(err *fault.Error) error {
	s.out.Discard()
	s.out.Put(fatal(err))
	_ = s.out.Flush()
	return err
}

func (s *Session) answer(ctx context.Context, batch *wire.Batch) error {
	if batch.Local != nil {
		return s.answerLocal(batch)
	}
	if !s.begin() {
		return s.abort(fault.New(fault.Leaving, "read request", "this proxy is leaving"))
	}
	defer s.end()
	r := &chain.Request{
		Caller:  s.caller,
		Batch:   batch,
		Out:     s.out,
		Label:   s.label,
		Floor:   s.floor,
		Token:   s.token,
		Arrived: time.Now(),
		Lease:   s.lease,
		Track:   s.track,
	}
	pinned := r.Lease != nil
	err := s.front.options.Handler(ctx, r)
	s.setLease(r.Lease)
	s.count(r, err)
	if err != nil {
		return s.answerFault(r, fault.Of(err), pinned)
	}
	s.status = r.Answer.Status
	s.raiseFloor(r.Committed)
	return s.out.Flush()
}

// raiseFloor remembers the position of a confirmed write, and tells it to the
// caller ahead of the answer's end that is still held back.
func (s *Session) raiseFloor(committed group.Floor) {
	if committed.IsZero() {
		return
	}
	s.floor = committed
	s.out.PutFirst(&pgproto3.ParameterStatus{Name: wire.FloorSetting, Value: committed.String()})
}

func (s *Session) answerFault(r *chain.Request, err *fault.Error, pinned bool) error {
	chain.LogFault(s.front.options.Log, r, err)
	honest := err.Kind.Outcome() == fault.Unknown || !r.Sent()
	s.front.options.Guard.Assert(guard.HonestRefusal, honest, event.Fields{"CallerID": s.id, "Fault": err.Kind.String()})
	if pinned && (err.Kind != fault.Unconfirmed || r.Lease != nil) {
		return s.abort(err)
	}
	s.status = wire.Idle
	s.out.Put(errorResponse(err))
	s.out.Put(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.out.Flush()
}

func (s *Session) count(r *chain.Request, err error) {
	end := "done"
	if err != nil {
		end = fault.Of(err).Kind.String()
	}
	rank := strconv.Itoa(int(r.Work.Rank))
	s.front.counts.requests.WithLabelValues(rank, end).Inc()
	s.front.counts.seconds.WithLabelValues(rank).Observe(time.Since(r.Arrived).Seconds())
}

func (s *Session) answerLocal(batch *wire.Batch) error {
	local := batch.Local
	if batch.Executes() && !local.Show {
		if err := s.set(local.Setting, local.Value); err != nil {
			s.out.Put(errorResponse(fault.Of(err)))
			s.out.Put(&pgproto3.ReadyForQuery{TxStatus: s.status})
			return s.out.Flush()
		}
	}
	value := s.label
	if local.Setting == wire.FloorSetting {
		value = s.floor.String()
	}
	batch.AnswerLocal(s.out, value, s.status)
	return s.out.Flush()
}

// begin marks the session as having a request in flight, unless it is ending.
func (s *Session) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return false
	}
	s.active = true
	return true
}

func (s *Session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = false
}

// track remembers the connection on which the session's request runs, so that a
// cancel request can find it.
func (s *Session) track(l *chain.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = l
}

func (s *Session) setLease(l *chain.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = l
}

func (s *Session) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active || s.lease != nil
}

// endIfIdle closes the connection if no request is in flight and no transaction
// is open, after telling the caller that the proxy is leaving.
func (s *Session) endIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active || s.lease != nil || s.ending {
		return
	}
	s.ending = true
	refuse(s.conn, fault.New(fault.Leaving, "wait for request", "this proxy is leaving"))
	_ = s.conn.Close()
}

// rollback closes the member's connection of a transaction that was left open.
func (s *Session) rollback() {
	if l := s.lease; l != nil {
		s.setLease(nil)
		l.Release(false)
	}
}

func (s *Session) holdsKey(processID uint32, secretKey []byte) bool {
	return s.key.ProcessID == processID && subtle.ConstantTimeCompare(s.key.SecretKey, secretKey) == 1
}

const cancelTimeout = 2 * time.Second

// cancel asks the member to cancel what the session's request runs. The
// connection is marked while the request still holds it, so that it is not lent
// to another request that a late cancel would hit.
func (s *Session) cancel() {
	s.mu.Lock()
	l := s.running
	if l != nil {
		l.Doubt()
	}
	s.mu.Unlock()
	if l == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	err := l.Cancel(ctx)
	s.front.options.Log.Emit(event.CancelSent, event.Fields{"CallerID": s.id, "Member": l.Member.Name, "Done": err == nil})
}
