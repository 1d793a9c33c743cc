package front

import (
	"context"
	"crypto/subtle"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Key is the key that a caller must present to cancel a session's request.
type Key struct {
	ProcessID uint32
	Secret    []byte
}

// Session is one caller's connection, independent of its protocol.
type Session struct {
	net.Conn
	// Caller identifies the caller. The protocol sets its names.
	Caller chain.Caller
	// Memory accounts for the data that the session holds. It is nil if memory is not
	// limited.
	Memory *budget.Hold

	front *Front
	// opened is when the connection was accepted.
	opened time.Time
	// relayed is set if another proxy relays requests over the connection, and
	// sendDrainNotice then notifies it that this proxy is draining.
	relayed         bool
	sendDrainNotice func()
	// sendCloseNotice notifies the other proxy that this one runs no further request.
	sendCloseNotice func()
	// rank is that of the admission slot that the connection has taken, or 0.
	rank sheet.Rank

	mu      sync.Mutex
	key     Key
	active  bool
	lease   *chain.Lease
	running *chain.Lease
	ending  bool
	// accepted is set once the caller has logged in.
	accepted bool
	// cut is set once only a part of a write was sent.
	cut atomic.Bool
}

func newSession(f *Front, conn net.Conn, id uint64) *Session {
	s := &Session{Conn: conn, front: f, Caller: chain.Caller{ID: id}, opened: time.Now()}
	s.Memory = f.options.Memory.Open(s.evict)
	return s
}

// Write implements net.Conn.
func (s *Session) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if err != nil && n > 0 {
		s.cut.Store(true)
	}
	return n, err
}

// Options returns the options of the session's front.
func (s *Session) Options() Options { return s.front.options }

// Cancel forwards a cancel request to the session that has the key, at this proxy or
// another one.
func (s *Session) Cancel(processID uint32, secretKey []byte) {
	if !s.front.Cancel(processID, secretKey) {
		s.front.options.ForwardCancel(processID, secretKey)
	}
}

// SetKey sets the key with which the session's requests can be cancelled.
func (s *Session) SetKey(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key = key
}

// LogAccepted logs that the caller was admitted.
func (s *Session) LogAccepted(kind string) {
	s.mu.Lock()
	s.accepted = true
	s.mu.Unlock()
	s.front.options.Log.Emit(event.CallerAccepted, event.Fields{
		"CallerID": s.Caller.ID, "Caller": s.Caller.Name, "Service": s.Caller.Service, "Kind": kind,
	})
}

// LogDenied logs that the caller was not admitted.
func (s *Session) LogDenied(err error) {
	s.front.options.Log.Emit(event.CallerDenied, event.Fields{
		"CallerID": s.Caller.ID, "Caller": s.Caller.Name, "Service": s.Caller.Service, "Address": s.RemoteAddr().String(), "Cause": err.Error(),
	})
}

// TakeAdmissionSlot takes an admission slot for a caller whose work has the given rank.
func (s *Session) TakeAdmissionSlot(rank sheet.Rank) error {
	if !s.front.options.CallerQuota.TryAcquire(rank) {
		return fault.New(fault.Overloaded, "log in", "all connections for rank %d are taken", rank)
	}
	s.rank = rank
	return nil
}

// Pinned reports whether the session holds a member's connection for an open transaction.
func (s *Session) Pinned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != nil
}

// Do sends a request through the filter chain, on the connection of the open transaction
// if there is one. If the request fails, Do logs the fault and returns it.
func (s *Session) Do(ctx context.Context, r *chain.Request) *fault.Error {
	r.Caller, r.Track, r.Lease = s.Caller, s.track, s.currentLease()
	err := s.front.options.Handler(ctx, r)
	s.setLease(r.Lease)
	s.count(r, err)
	if err == nil {
		return nil
	}
	known := fault.FromError(err)
	chain.LogFault(s.front.options.Log, r, known)
	truthful := known.Kind.Outcome() == fault.Unknown || !r.Sent()
	s.front.options.Guard.Assert(guard.RejectedNotSent, truthful, event.Fields{"CallerID": s.Caller.ID, "Fault": known.Kind.String()})
	return known
}

func (s *Session) count(r *chain.Request, err error) {
	end := "done"
	if err != nil {
		end = fault.FromError(err).Kind.String()
	}
	rank := strconv.Itoa(int(r.Work.Rank))
	s.front.counts.requests.WithLabelValues(rank, end).Inc()
	s.front.counts.seconds.WithLabelValues(rank).Observe(time.Since(r.Arrived).Seconds())
}

// BeginRequest marks the session as having a request in flight. It returns false if the
// session is ending.
func (s *Session) BeginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return false
	}
	s.active = true
	return true
}

// EndRequest marks the session as having no request in flight.
func (s *Session) EndRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = false
}

// track records the connection on which the session's request runs, so that a cancel
// request can find it.
func (s *Session) track(l *chain.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = l
}

func (s *Session) currentLease() *chain.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
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

// endIfIdle ends the wait for the next request if none is in flight and no
// transaction is open. A request that has just been read is still answered, because the
// task that reads the connection also closes it.
func (s *Session) endIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active || s.lease != nil || s.ending || s.relayed {
		return
	}
	s.ending = true
	_ = s.SetReadDeadline(time.Now())
}

// endIfWaiting ends the wait for the next request also if a transaction is open, which is
// then rolled back.
func (s *Session) endIfWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active || s.ending {
		return
	}
	s.ending = true
	_ = s.SetReadDeadline(time.Now())
}

// SetWaitDeadline limits the wait for the next request; the zero time removes the limit. It
// returns false, and changes nothing, if the session is ending.
func (s *Session) SetWaitDeadline(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ending {
		_ = s.SetReadDeadline(t)
	}
	return !s.ending
}

// LogExpired logs that the open transaction was idle for too long.
func (s *Session) LogExpired(limit time.Duration) {
	s.front.options.Log.Emit(event.TransactionExpired, event.Fields{
		"CallerID": s.Caller.ID, "Caller": s.Caller.Name, "Service": s.Caller.Service, "LimitMs": limit.Milliseconds(),
	})
}

// OnDrain sets the function that notifies the other proxy of a drain. It is called once:
// when a drain starts, or at once if one has started already.
func (s *Session) OnDrain(notice func()) {
	s.mu.Lock()
	s.sendDrainNotice = notice
	s.mu.Unlock()
	if s.front.DrainStarted() {
		s.notifyDrain()
	}
}

// OnClose sets the function that notifies the other proxy that no further request of this
// session runs. It is called once, when the proxy stops, unless a request is in flight, or
// at once if the proxy is stopping.
func (s *Session) OnClose(notice func()) {
	s.mu.Lock()
	s.sendCloseNotice = notice
	s.mu.Unlock()
	if s.front.relaysClosed.Load() {
		s.announceClose()
	}
}

// CloseWrite closes the writing side of the session's connection.
func (s *Session) CloseWrite() {
	if conn, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite()
	}
}

// announceClose notifies the other proxy that this session runs no further request, and
// reports whether it did.
func (s *Session) announceClose() bool {
	s.mu.Lock()
	notice := s.sendCloseNotice
	announce := s.relayed && !s.active && s.lease == nil && notice != nil
	s.ending = s.ending || announce
	s.sendCloseNotice = nil
	s.mu.Unlock()
	if announce {
		notice()
	}
	return announce
}

// notifyDrain notifies the other proxy of a drain, unless it has been notified.
func (s *Session) notifyDrain() {
	s.mu.Lock()
	notice := s.sendDrainNotice
	s.sendDrainNotice = nil
	s.mu.Unlock()
	if notice != nil {
		notice()
	}
}

// DrainStarted reports whether a drain has started.
func (s *Session) DrainStarted() bool { return s.front.DrainStarted() }

// Ending reports whether a drain has ended the wait for requests.
func (s *Session) Ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// Rollback ends the open transaction, if there is one: it closes the member's connection,
// whereupon the member rolls the transaction back.
func (s *Session) Rollback() {
	if l := s.currentLease(); l != nil {
		s.setLease(nil)
		l.Release(false)
	}
}

func (s *Session) holdsKey(processID uint32, secretKey []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.key.Secret) > 0 && s.key.ProcessID == processID && subtle.ConstantTimeCompare(s.key.Secret, secretKey) == 1
}

// cancelTimeout is the time limit for sending a cancel request to a member.
const cancelTimeout = 2 * time.Second

// cancel asks the member to cancel the statement that the session's request runs. It marks
// the connection while the request still holds it, so that the connection is not reused
// for another request, which a late cancel could hit.
func (s *Session) cancel() {
	s.mu.Lock()
	l := s.running
	if l != nil {
		l.MarkUnusable()
	}
	s.mu.Unlock()
	if l == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	err := l.Cancel(ctx)
	s.front.options.Log.Emit(event.CancelSent, event.Fields{"CallerID": s.Caller.ID, "Member": l.Member.Name, "Done": err == nil})
}
