// Package app builds a proxy out of its parts.
package app

import (
	"context"
	"io"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Proxy is a running proxy.
type Proxy struct {
	app      *fx.App
	settings config.Settings
	front    *front.Front
	log      *event.Log
	leaving  *leaving
	mesh     *peer.Mesh
	operator *operator
}

// StartError reports a part of the proxy that could not be started.
type StartError struct{ Cause error }

// Error implements error.
func (e *StartError) Error() string { return "start proxy: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

const startTimeout = 15 * time.Second

// New starts a proxy that logs to w, and returns it with the clean-up function
// that ends it at once.
func New(settings config.Settings, w io.Writer) (*Proxy, func(), error) {
	p := &Proxy{settings: settings}
	p.app = fx.New(
		fx.NopLogger,
		fx.Supply(settings, fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.Provide(
			newLog, newRegistry, newGuard, newMeter, newStore, newMesh, newPorts, newBooks, newBases, newDispatch, newHandler, newLeaving, newFront, newOperator,
		),
		fx.Populate(&p.front, &p.log, &p.leaving, &p.mesh, &p.operator),
		fx.Invoke(joinMesh),
	)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := p.app.Start(ctx); err != nil {
		return nil, nil, &StartError{Cause: err}
	}
	p.log.Emit(event.Started, event.Fields{
		"Host": settings.Host, "Region": settings.Region, "DataCentre": settings.DataCentre, "Callers": p.front.Address(),
	})
	return p, p.stop, nil
}

// Address returns the address on which callers connect.
func (p *Proxy) Address() string { return p.front.Address() }

// PeerAddress returns the address on which other proxies connect.
func (p *Proxy) PeerAddress() string { return p.mesh.Address() }

// OperatorAddress returns the address of health, metrics and orders.
func (p *Proxy) OperatorAddress() string { return p.operator.address }

// DrainRequested returns a channel that closes when an operator orders the proxy to leave.
func (p *Proxy) DrainRequested() <-chan struct{} { return p.leaving.asked }

// Reload tells the proxy that its settings file may have changed. No setting is taken
// while it runs; one that changed takes effect at the next start.
func (p *Proxy) Reload(settings config.Settings, err error) {
	fields := event.Fields{"Host": p.settings.Host, "Changed": err == nil && !reflect.DeepEqual(settings, p.settings)}
	if err != nil {
		fields["Cause"] = err.Error()
	}
	p.log.Emit(event.SettingsReloaded, fields)
}

// Drain lets requests in flight and open transactions end, for as long as the
// settings allow. It returns how many were cut off.
func (p *Proxy) Drain() int {
	p.log.Emit(event.Stopping, event.Fields{"Host": p.settings.Host, "Callers": p.front.Callers()})
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Timing.DrainMs.Duration())
	defer cancel()
	cut := p.front.Drain(ctx)
	p.log.Emit(event.Stopped, event.Fields{"Host": p.settings.Host, "Cut": cut})
	return cut
}

func (p *Proxy) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = p.app.Stop(ctx)
}

// onStop registers a clean-up function.
func onStop(lc fx.Lifecycle, cleanUp func()) {
	lc.Append(fx.StopHook(cleanUp))
}

func newLog(lc fx.Lifecycle, w io.Writer) *event.Log {
	log, cleanUp := event.New(w)
	onStop(lc, cleanUp)
	return log
}

func newRegistry(log *event.Log) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "poplarrouter_log_lines_dropped_total", Help: "Log lines that found no room in the ring.",
	}, func() float64 { return float64(log.Dropped()) }))
	return registry
}

func newGuard(log *event.Log, registry *prometheus.Registry) *guard.Guard {
	return guard.New(log, registry, nil)
}

func newMeter(registry *prometheus.Registry) *meter.Meter { return meter.New(registry) }

func newMesh(lc fx.Lifecycle, s config.Settings, log *event.Log, bytes *meter.Meter) (*peer.Mesh, error) {
	mesh, cleanUp, err := peer.New(peer.Options{
		Host:    s.Host,
		Region:  s.Region,
		Secret:  s.PeerSecret,
		Seeds:   s.Seeds,
		Beat:    s.Timing.BeatMs.Duration(),
		Timeout: s.Timing.AskTimeoutMs.Duration(),
		Log:     log,
		Meter:   bytes,
	}, s.PeerAddress)
	if err != nil {
		return nil, err
	}
	onStop(lc, cleanUp)
	return mesh, nil
}

const storeRetry = 500 * time.Millisecond

func newBooks(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, g *guard.Guard, mesh *peer.Mesh, p *ports) *ctrl.Documents {
	books, cleanUp := ctrl.NewDocuments(ctrl.DocumentsOptions{
		Host: s.Host, Region: s.Region, Store: st, Log: log, Guard: g, Broadcaster: mesh, LastHeard: mesh.LastHeard, Retry: storeRetry, WatchAlways: p.everyone, ChangePause: p.rest,
	})
	onStop(lc, cleanUp)
	return books
}

func newBases(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, books *ctrl.Documents, mesh *peer.Mesh, p *ports) *ctrl.Controllers {
	bases, cleanUp := ctrl.NewControllers(ctrl.ControllersOptions{
		Controller: ctrl.ControllerOptions{
			Host:        s.Host,
			Region:      s.Region,
			Rules:       p.rules,
			Poll:        s.Timing.PollMs.Duration(),
			Timeout:     s.Timing.AskTimeoutMs.Duration(),
			Voters:      mesh,
			Store:       st,
			Dial:        p.control,
			ActivePoll:  p.spacing,
			MaxProofAge: p.proof,
			FenceBelow:  p.seal,
			Tokens:      ctrl.NewTokens(s.Host),
			Log:         log,
			Trace:       s.TraceElections,
		},
		Documents:    books,
		Open:         p.open,
		OnHosts:      mesh.SetHosts,
		RemovalDelay: p.hold,
		Owners:       p.homes,
	})
	p.bind(bases, books)
	onStop(lc, cleanUp)
	return bases
}

// silence returns how long a peer may go unheard before it counts as silent: a
// heartbeat missed, and half of a period more.
func silence(s config.Settings) time.Duration { return s.Timing.BeatMs.Duration() * 3 / 2 }

// newQuota returns a quota with the floors that ranks have for slots too.
func newQuota(size int) *quota.Quota {
	return quota.New(size, quota.MinimumShares(slots.DefaultMinimumShares().Share))
}

func newHandler(s config.Settings, bases *ctrl.Controllers, books *ctrl.Documents, log *event.Log, g *guard.Guard, p *ports, d *gate.LeaseManager, leaving *leaving) chain.Handler {
	return chain.New(chain.Options{
		Controllers:     bases,
		Documents:       books,
		Log:             log,
		Guard:           g,
		Region:          s.Region,
		DataCentre:      s.DataCentre,
		InFlight:        newQuota(s.Limits.InFlight),
		BufferBytes:     s.Limits.HeldAnswerBytes,
		AnswerGrace:     p.answerGrace,
		ReplicaWait:     p.replicaWait,
		LeadershipLease: p.lease,
		Suspended:       suspended,
		ConfirmTimeout:  s.Timing.ConfirmMs.Duration(),
		Draining:        leaving.draining,
		Permits:         p.slots(d),
		Relay:           p.relay,
	})
}

// leaving tells the chain whether the front drains, since the front is built
// after the chain, and carries an operator's order to leave.
type leaving struct {
	front *front.Front
	asked chan struct{}
	once  sync.Once
}

func newLeaving() *leaving { return &leaving{asked: make(chan struct{})} }

func (l *leaving) ask() { l.once.Do(func() { close(l.asked) }) }

func (l *leaving) draining() bool { return l.front != nil && l.front.Draining() }

func newFront(lc fx.Lifecycle, s config.Settings, h chain.Handler, books *ctrl.Documents, log *event.Log, g *guard.Guard, registry *prometheus.Registry, mesh *peer.Mesh, l *leaving, p *ports) (*front.Front, error) {
	f, cleanUp, err := front.New(front.Options{
		Address:      s.CallerAddress,
		Protocol:     p.protocol,
		Relayed:      p.relayed,
		Connections:  s.Limits.CallerConnections,
		Places:       newQuota(s.Limits.CallerConnections),
		RequestBytes: s.Limits.RequestBytes,
		Linger:       s.Timing.LingerMs.Duration(),
		Open:         s.Timing.OpenMs.Duration(),
		Handler:      h,
		Books:        books,
		Log:          log,
		Guard:        g,
		Registry:     registry,
		Forward:      mesh.Cancel,
	})
	if err != nil {
		return nil, err
	}
	l.front = f
	onStop(lc, cleanUp)
	return f, nil
}

// joinMesh lets the proxy take frames of its peers.
func joinMesh(lc fx.Lifecycle, mesh *peer.Mesh, books *ctrl.Documents, bases *ctrl.Controllers, gates *gate.LeaseManager, f *front.Front, p *ports) {
	onStop(lc, mesh.Start(&handler{Documents: books, Controllers: bases, LeaseManager: gates, wanting: p.wants, front: f}))
}

// handler takes what peers send.
type handler struct {
	*ctrl.Documents
	*ctrl.Controllers
	*gate.LeaseManager
	wanting
	front *front.Front
}

var _ peer.Handler = (*handler)(nil)

// TakeDoc implements peer.Handler.
func (h *handler) TakeDoc(doc book.Doc) { h.Receive(doc) }

// Cancel implements peer.Handler.
func (h *handler) Cancel(processID uint32, secretKey []byte) { h.front.Cancel(processID, secretKey) }

// ServeRelay implements peer.Handler.
func (h *handler) ServeRelay(ctx context.Context, conn net.Conn, host string) error {
	return h.front.ServeRelay(ctx, conn, host)
}

// Judge implements peer.Handler.
func (h *handler) Judge(database string, term group.Term) bool {
	return h.Controllers.PrimaryDown(database, term)
}

// Book implements peer.Handler.
func (h *handler) Book() book.Book { return h.Documents.Book() }
