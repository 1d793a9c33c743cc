// Package front serves callers: it accepts their connections, limits their number by
// rank, passes their requests to the filter chain, and drains them when the proxy shuts
// down.
//
// Each connection is a Session. A session is idle, has one request in the chain, or
// holds a member's connection for its open transaction. A Protocol reads and writes the
// messages on the connection.
package front

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Protocol is the wire protocol of a connection.
type Protocol interface {
	// Serve serves a caller until its session ends.
	Serve(ctx context.Context, s *Session) error
	// Refuse reports to a caller why its connection is rejected or closed.
	Refuse(conn net.Conn, err *fault.Error)
}

// Options are the dependencies and limits of a Front.
type Options struct {
	Address  string
	Protocol Protocol
	// RelayProtocol serves the requests that other proxies relay. It is nil if requests
	// are not relayed.
	RelayProtocol Protocol
	// MaxConnections is the maximum number of callers connected at a time. Half as many
	// again may be connected without having sent their start-up message: their rank is
	// not known yet.
	MaxConnections int
	// CallerQuota divides the connections among the ranks.
	CallerQuota *quota.Quota
	// MaxSessions is the maximum number of connections of callers and of proxies that relay
	// requests, as the file descriptors of the process allow. 0 means that they are not limited.
	MaxSessions int
	// Memory is the memory budget. Nil means that memory is not limited.
	Memory *budget.Budget
	// Linger is how long a front still admits callers after a drain has started, and
	// DrainTransactionTimeout how long after that start open transactions may continue.
	Linger                  time.Duration
	DrainTransactionTimeout time.Duration
	// RequestBytes is the maximum size of a request.
	RequestBytes int
	Handler      chain.Handler
	Documents    *ctrl.Documents
	Log          *event.Log
	Guard        *guard.Guard
	Registry     prometheus.Registerer
	// ForwardCancel forwards a cancel request whose session is not at this proxy.
	ForwardCancel func(processID uint32, secretKey []byte)
}

// Front accepts callers' connections and serves their sessions.
type Front struct {
	options  Options
	listener net.Listener
	counts   counts
	// drainStarted is set when the load balancer is to stop sending callers here, and
	// draining when the front admits no further callers.
	drainStarted atomic.Bool
	draining     atomic.Bool
	// relaysClosed is set when no further requests of other proxies run.
	relaysClosed atomic.Bool

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

// New starts to listen and returns the front with its clean-up function, which closes
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

// Address returns the address on which the front listens for callers.
func (f *Front) Address() string { return f.listener.Addr().String() }

// DrainStarted reports whether a drain has started. New callers are still admitted until
// Draining reports true as well.
func (f *Front) DrainStarted() bool { return f.drainStarted.Load() }

// Draining reports whether the linger time of a drain is over, so that the proxy rejects new
// work.
func (f *Front) Draining() bool { return f.draining.Load() }

func (f *Front) accept(ctx context.Context) error {
	return duty.Accept(ctx, f.listener, func(conn net.Conn) {
		// Connections over the limit are refused here, so that those that are being refused do
		// not add up to many descriptors.
		s, err := f.admit(conn)
		if err != nil {
			f.refuse(conn, fault.FromError(err))
			_ = conn.Close()
			return
		}
		f.ended.Go(ctx, func(ctx context.Context) error { return f.serve(ctx, s) })
	})
}

// serve is the background task of one caller's connection.
func (f *Front) serve(ctx context.Context, s *Session) error {
	defer func() { _ = s.Close() }()
	defer f.remove(s)
	err := f.options.Protocol.Serve(ctx, s)
	if s.Ending() && !s.cut.Load() {
		f.refuse(s.Conn, fault.New(fault.Leaving, "wait for request", "this proxy is draining"))
	}
	s.Rollback()
	f.options.Log.Emit(event.CallerClosed, event.Fields{"CallerID": s.Caller.ID, "Caller": s.Caller.Name})
	return err
}

// ServeRelay serves the requests that another proxy relays over a connection, until the
// connection ends. The connection is also accepted during a drain, because each request
// on it is answered whether or not it runs.
func (f *Front) ServeRelay(ctx context.Context, conn net.Conn, host string) error {
	f.mu.Lock()
	f.nextID++
	s := newSession(f, conn, f.nextID)
	s.relayed = true
	s.Caller.Name = host
	f.sessions[s.Caller.ID] = s
	f.mu.Unlock()
	defer f.remove(s)
	err := f.options.RelayProtocol.Serve(ctx, s)
	s.Rollback()
	return err
}

// refuse reports to a caller why its connection is rejected or closed.
func (f *Front) refuse(conn net.Conn, err *fault.Error) { f.options.Protocol.Refuse(conn, err) }

func (f *Front) admit(conn net.Conn) (*Session, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining.Load() {
		return nil, fault.New(fault.Leaving, "connect", "this proxy is draining")
	}
	if limit := f.maxSessions(); len(f.sessions) >= limit && !f.evictStarting(time.Now()) {
		return nil, fault.New(fault.Overloaded, "connect", "all %d connections are taken", limit)
	}
	f.nextID++
	s := newSession(f, conn, f.nextID)
	f.sessions[s.Caller.ID] = s
	f.counts.callers.Set(float64(len(f.sessions)))
	return s, nil
}

// maxSessions returns the maximum number of sessions, including those of callers that have not
// logged in yet.
func (f *Front) maxSessions() int {
	limit := f.options.MaxConnections + f.options.MaxConnections/2
	if f.options.MaxSessions > 0 {
		return min(limit, f.options.MaxSessions)
	}
	return limit
}

func (f *Front) remove(s *Session) {
	s.Memory.Close()
	if s.rank != 0 {
		f.options.CallerQuota.Release(s.rank)
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

// relayCloseTimeout is how long a proxy that stops waits for the others to close the
// connections on which it has announced that it runs no further request.
const relayCloseTimeout = 200 * time.Millisecond

// CloseRelays ends the idle connections of other proxies. Each is told first that no
// request which it has sent in the meantime runs, so that it can send that one elsewhere.
// It must be called before the connections are closed in another way.
func (f *Front) CloseRelays() {
	f.relaysClosed.Store(true)
	announced := make(map[*Session]bool)
	for _, s := range f.list() {
		if s.announceClose() {
			announced[s] = true
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayCloseTimeout)
	defer cancel()
	for ctx.Err() == nil && slices.ContainsFunc(f.list(), func(s *Session) bool { return announced[s] }) {
		duty.Pause(ctx, drainPollInterval)
	}
}

func (f *Front) closeAll() {
	for _, s := range f.list() {
		_ = s.Close()
	}
}

// Callers returns the number of open sessions.
func (f *Front) Callers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

// SpareCapacity returns how many more callers of a rank can connect.
func (f *Front) SpareCapacity(r sheet.Rank) int { return f.options.CallerQuota.Available(r) }

// drainPollInterval is the time between checks of the sessions during a drain.
const drainPollInterval = 5 * time.Millisecond

// Drain first waits for the linger time, in which the load balancer notices that the proxy
// is draining. Then it stops listening, ends idle sessions, and waits until requests in
// flight and open transactions have ended, or the context ends. It returns the number of
// sessions that it closed while they were busy. Open transactions that are idle are rolled
// back once DrainTransactionTimeout has passed.
func (f *Front) Drain(ctx context.Context) int {
	f.drainStarted.Store(true)
	start := time.Now()
	for _, s := range f.list() {
		s.notifyDrain()
	}
	duty.Pause(ctx, f.options.Linger)
	f.draining.Store(true)
	_ = f.listener.Close()
	for {
		remaining := 0
		for _, s := range f.list() {
			if s.relayed && !s.busy() {
				// It stays open, so that requests that do not run are still answered.
				continue
			}
			remaining++
			s.endIfIdle()
			if time.Since(start) > f.options.DrainTransactionTimeout {
				s.endIfWaiting()
			}
		}
		if remaining == 0 {
			return 0
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			interrupted := f.countBusy()
			f.options.Guard.Assert(guard.NoInterruptedRequest, interrupted == 0, event.Fields{"Cut": interrupted})
			f.closeAll()
			return interrupted
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

// Cancel cancels the request of the session that has the given key, and reports whether
// there is such a session.
func (f *Front) Cancel(processID uint32, secretKey []byte) bool {
	for _, s := range f.list() {
		if s.holdsKey(processID, secretKey) {
			s.cancel()
			return true
		}
	}
	return false
}
