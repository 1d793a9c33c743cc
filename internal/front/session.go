package front

import (
	"context"
	"crypto/subtle"
	"net"
	"strconv"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Key is what a caller must present to cancel a session's request.
type Key struct {
	ProcessID uint32
	Secret    []byte
}

// Session is one caller's connection, whatever its protocol.
type Session struct {
	net.Conn
	// Caller is who is connected. The protocol fills its names in.
	Caller chain.Caller

	front *Front
	// relayed tells that another proxy sends requests over the connection, and notice
	// tells that proxy that this one is about to leave.
	relayed bool
	notice  func()
	// rank is that of the place that the connection has taken, or 0.
	rank sheet.Rank

	mu      sync.Mutex
	key     Key
	active  bool
	lease   *chain.Lease
	running *chain.Lease
	ending  bool
}

func newSession(f *Front, conn net.Conn, id uint64) *Session {
	return &Session{Conn: conn, front: f, Caller: chain.Caller{ID: id}}
}

// Options returns the options of the session's front.
func (s *Session) Options() Options { return s.front.options }

// Cancel passes a cancel request on to the session that has the key, here or at
// another proxy.
func (s *Session) Cancel(processID uint32, secretKey []byte) {
	if !s.front.Cancel(processID, secretKey) {
		s.front.options.Forward(processID, secretKey)
	}
}

// SetKey sets the key by which the session's requests can be cancelled.
func (s *Session) SetKey(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key = key
}

// Greeted logs that the caller was let in.
func (s *Session) Greeted(kind string) {
	s.front.options.Log.Emit(event.CallerAccepted, event.Fields{
		"CallerID": s.Caller.ID, "Caller": s.Caller.Name, "Service": s.Caller.Service, "Kind": kind,
	})
}

// Denied logs that the caller was not let in.
func (s *Session) Denied(err error) {
	s.front.options.Log.Emit(event.CallerDenied, event.Fields{
		"CallerID": s.Caller.ID, "Caller": s.Caller.Name, "Service": s.Caller.Service, "Address": s.RemoteAddr().String(), "Cause": err.Error(),
	})
}

// TakePlace takes one of the places for callers whose work has a rank.
func (s *Session) TakePlace(rank sheet.Rank) error {
	if !s.front.options.Places.TryAcquire(rank) {
		return fault.New(fault.Overloaded, "log in", "all connections for rank %d are taken", rank)
	}
	s.rank = rank
	return nil
}

// Pinned tells whether a transaction is open.
func (s *Session) Pinned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != nil
}

// Do sends a request through the chain, on the connection of the open transaction
// if there is one. The fault of a request that failed has been logged.
func (s *Session) Do(ctx context.Context, r *chain.Request) *fault.Error {
	r.Caller, r.Track, r.Lease = s.Caller, s.track, s.leased()
	err := s.front.options.Handler(ctx, r)
	s.setLease(r.Lease)
	s.count(r, err)
	if err == nil {
		return nil
	}
	known := fault.Of(err)
	chain.LogFault(s.front.options.Log, r, known)
	honest := known.Kind.Outcome() == fault.Unknown || !r.Sent()
	s.front.options.Guard.Assert(guard.HonestRefusal, honest, event.Fields{"CallerID": s.Caller.ID, "Fault": known.Kind.String()})
	return known
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

// Begin marks the session as having a request in flight, unless it is ending.
func (s *Session) Begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return false
	}
	s.active = true
	return true
}

// End marks the end of a request.
func (s *Session) End() {
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

func (s *Session) leased() *chain.Lease {
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
// transaction is open. A request that has just been read is still answered: the
// connection is closed by the duty that reads it.
func (s *Session) endIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active || s.lease != nil || s.ending || s.relayed {
		return
	}
	s.ending = true
	_ = s.SetReadDeadline(time.Now())
}

// endIfWaiting ends the wait for the next request of an open transaction, which is
// rolled back.
func (s *Session) endIfWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active || s.ending {
		return
	}
	s.ending = true
	_ = s.SetReadDeadline(time.Now())
}

// WaitUntil bounds the wait for the next request, without end for the zero time. It
// returns false, and changes nothing, once the wait was ended.
func (s *Session) WaitUntil(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ending {
		_ = s.SetReadDeadline(t)
	}
	return !s.ending
}

// Expired logs that the open transaction rested for too long.
func (s *Session) Expired(limit time.Duration) {
	s.front.options.Log.Emit(event.TransactionExpired, event.Fields{
		"CallerID": s.Caller.ID, "Caller": s.Caller.Name, "Service": s.Caller.Service, "LimitMs": limit.Milliseconds(),
	})
}

// OnLeave sets what tells the other side that the proxy is about to leave. It is called
// once, and at once if the proxy is leaving already.
func (s *Session) OnLeave(notice func()) {
	s.mu.Lock()
	s.notice = notice
	s.mu.Unlock()
	if s.front.Leaving() {
		s.announce()
	}
}

// announce tells the other side that the proxy is about to leave, unless it was told.
func (s *Session) announce() {
	s.mu.Lock()
	notice := s.notice
	s.notice = nil
	s.mu.Unlock()
	if notice != nil {
		notice()
	}
}

// Leaving tells whether the proxy is about to leave.
func (s *Session) Leaving() bool { return s.front.Leaving() }

// Ending tells whether the wait for requests was ended.
func (s *Session) Ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// Rollback ends the open transaction, if there is one: its connection is closed,
// on which the member rolls it back.
func (s *Session) Rollback() {
	if l := s.leased(); l != nil {
		s.setLease(nil)
		l.Release(false)
	}
}

func (s *Session) holdsKey(processID uint32, secretKey []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.key.Secret) > 0 && s.key.ProcessID == processID && subtle.ConstantTimeCompare(s.key.Secret, secretKey) == 1
}

const cancelTimeout = 2 * time.Second

// cancel asks the member to cancel what the session's request runs. The
// connection is marked while the request still holds it, so that it is not lent
// to another request that a late cancel would hit.
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
