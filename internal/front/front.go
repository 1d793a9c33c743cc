// Package front serves callers: it accepts their connections, bounds them by
// rank, hands their requests to the filter chain, and lets them end when the proxy
// leaves.
//
// A connection is a Session. It is idle, or it has one request in the chain, or
// it holds a member's connection for its open transaction. What is spoken over it
// is up to a Protocol.
package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Protocol is what callers speak.
type Protocol interface {
	// Serve serves a caller until it goes.
	Serve(ctx context.Context, s *Session) error
	// Refuse tells a caller that it is not served, or not any longer.
	Refuse(conn net.Conn, err *fault.Error)
}

// Options are what a Front depends on.
type Options struct {
	Address  string
	Protocol Protocol
	// Relayed serves the requests that other proxies send, or is nil if none do.
	Relayed Protocol
	// Connections bounds the callers connected at a time. Half as many again may
	// be at their start-up message, of whom no rank is known.
	Connections int
	// Places shares the connections among the ranks.
	Places *quota.Quota
	// Linger is how long a leaving front still serves, and Open how long open
	// transactions may go on in it.
	Linger time.Duration
	Open   time.Duration
	// RequestBytes bounds one request.
	RequestBytes int
	Handler      chain.Handler
	Books        *ctrl.Documents
	Log          *event.Log
	Guard        *guard.Guard
	Registry     prometheus.Registerer
	// Forward passes on a cancel request for a caller of another proxy.
	Forward func(processID uint32, secretKey []byte)
}

// Front serves callers.
type Front struct {
	options  Options
	listener net.Listener
	counts   counts
	// leaving tells that the front is to be left out by the balancer, and draining
	// that it serves no further callers.
	leaving  atomic.Bool
	draining atomic.Bool

	mu       sync.Mutex
	sessions map[uint64]*Session
	nextID   uint64
	ended    duty.Group
}

type counts struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	callers  prometheus.Gauge
}

// New listens and returns the front with its clean-up function, which closes
// every connection at once.
func New(options Options) (*Front, func(), error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, nil, err
	}
	f := &Front{options: options, listener: listener, sessions: make(map[uint64]*Session), counts: newCounts(options.Registry)}
	stop := duty.Run(f.accept)
	return f, func() {
		_ = listener.Close()
		f.closeAll()
		stop()
		f.ended.Wait()
	}, nil
}

func newCounts(registry prometheus.Registerer) counts {
	c := counts{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarrouter_requests_total", Help: "Requests of callers, by rank and by how they ended.",
		}, []string{"rank", "end"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "poplarrouter_request_seconds", Help: "Time from a request's arrival to its end, by rank.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"rank"}),
		callers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "poplarrouter_callers", Help: "Callers connected.",
		}),
	}
	registry.MustRegister(c.requests, c.seconds, c.callers)
	return c
}

// Address returns the address on which callers connect.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Leaving tells whether the proxy is about to leave, or no longer serves new work.
func (f *Front) Leaving() bool { return f.leaving.Load() }

// Draining tells whether the proxy serves no new work any more.
func (f *Front) Draining() bool { return f.draining.Load() }

func (f *Front) accept(ctx context.Context) error {
	return duty.Accept(ctx, f.listener, func(conn net.Conn) {
		f.ended.Go(ctx, func(ctx context.Context) error { return f.serve(ctx, conn) })
	})
}

// serve is the duty of one caller's connection.
func (f *Front) serve(ctx context.Context, conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	s, err := f.admit(conn)
	if err != nil {
		f.refuse(conn, fault.Of(err))
		return err
	}
	defer f.forget(s)
	err = f.options.Protocol.Serve(ctx, s)
	if s.Ending() {
		f.refuse(conn, fault.New(fault.Leaving, "wait for request", "this proxy is leaving"))
	}
	s.Rollback()
	f.options.Log.Emit(event.CallerClosed, event.Fields{"CallerID": s.Caller.ID, "Caller": s.Caller.Name})
	return err
}

// ServeRelay serves the requests that another proxy sends over a connection, until the
// connection ends. It is let in while the proxy leaves, too, since each request is
// answered whether it runs or not.
func (f *Front) ServeRelay(ctx context.Context, conn net.Conn, host string) error {
	f.mu.Lock()
	f.nextID++
	s := newSession(f, conn, f.nextID)
	s.relayed = true
	s.Caller.Name = host
	f.sessions[s.Caller.ID] = s
	f.mu.Unlock()
	defer f.forget(s)
	err := f.options.Relayed.Serve(ctx, s)
	s.Rollback()
	return err
}

// refuse tells a caller that is not let in.
func (f *Front) refuse(conn net.Conn, err *fault.Error) { f.options.Protocol.Refuse(conn, err) }

func (f *Front) admit(conn net.Conn) (*Session, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining.Load() {
		return nil, fault.New(fault.Leaving, "connect", "this proxy is leaving")
	}
	if len(f.sessions) >= f.options.Connections+f.options.Connections/2 {
		return nil, fault.New(fault.Overloaded, "connect", "all %d connections are taken", f.options.Connections)
	}
	f.nextID++
	s := newSession(f, conn, f.nextID)
	f.sessions[s.Caller.ID] = s
	f.counts.callers.Set(float64(len(f.sessions)))
	return s, nil
}

func (f *Front) forget(s *Session) {
	if s.rank != 0 {
		f.options.Places.Release(s.rank)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sessions, s.Caller.ID)
	f.counts.callers.Set(float64(len(f.sessions)))
}

func (f *Front) list() []*Session {
	f.mu.Lock()
	defer f.mu.Unlock()
	sessions := make([]*Session, 0, len(f.sessions))
	for _, s := range f.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

func (f *Front) closeAll() {
	for _, s := range f.list() {
		_ = s.Close()
	}
}

// Callers returns how many callers are connected.
func (f *Front) Callers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

// Room returns how many more callers of a rank could connect.
func (f *Front) Room(r sheet.Rank) int { return f.options.Places.Available(r) }

const drainLook = 5 * time.Millisecond

// Drain lingers, so that the balancer learns that the proxy leaves. Then it stops
// listening, ends idle sessions, and waits until those with a request in flight or an
// open transaction have ended theirs, or the context ends. It returns how many were cut
// off. Open transactions that are idle end after a time of their own.
func (f *Front) Drain(ctx context.Context) int {
	f.leaving.Store(true)
	began := time.Now()
	for _, s := range f.list() {
		s.announce()
	}
	duty.Pause(ctx, f.options.Linger)
	f.draining.Store(true)
	_ = f.listener.Close()
	for {
		left := 0
		for _, s := range f.list() {
			if s.relayed && !s.busy() {
				// It stays open, so that the other proxy is told what does not run.
				continue
			}
			left++
			s.endIfIdle()
			if time.Since(began) > f.options.Open {
				s.endIfWaiting()
			}
		}
		if left == 0 {
			return 0
		}
		select {
		case <-time.After(drainLook):
		case <-ctx.Done():
			cut := f.countBusy()
			f.options.Guard.Assert(guard.NoInterruptedRequest, cut == 0, event.Fields{"Cut": cut})
			f.closeAll()
			return cut
		}
	}
}

func (f *Front) countBusy() int {
	busy := 0
	for _, s := range f.list() {
		if s.busy() {
			busy++
		}
	}
	return busy
}

// Cancel cancels the request of the session that has the given key, and tells
// whether there is one.
func (f *Front) Cancel(processID uint32, secretKey []byte) bool {
	for _, s := range f.list() {
		if s.holdsKey(processID, secretKey) {
			s.cancel()
			return true
		}
	}
	return false
}
