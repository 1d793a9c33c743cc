// Package app assembles a proxy from its components.
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
	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/limit"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/store"
)

// Proxy is a running proxy.
type Proxy struct {
	app      *fx.App
	settings config.Settings
	front    *front.Front
	log      *event.Log
	drainer  *drainer
	mesh     *peer.Connections
	operator *operator
}

// StartError reports that a component of the proxy failed to start.
type StartError struct{ Cause error }

// Error implements error.
func (e *StartError) Error() string { return "start proxy: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

const startTimeout = 15 * time.Second

// New starts a proxy that logs to w, and returns it with a clean-up function that
// stops it without a drain.
func New(settings config.Settings, w io.Writer) (*Proxy, func(), error) {
	p := &Proxy{settings: settings}
	p.app = fx.New(
		fx.NopLogger,
		fx.Supply(settings, fx.Annotate(w, fx.As(new(io.Writer)))),
		fx.Provide(
			newLog, newRegistry, newGuard, newMemory, newMeter, newStore, newMesh, newProtocolParts, newDocuments, newKeyRecency, newControllers, newLeaseManager, newLimiter, newHandler, newDrainer, newFront, newOperator,
		),
		fx.Populate(&p.front, &p.log, &p.drainer, &p.mesh, &p.operator),
		fx.Invoke(startMesh),
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

// OperatorAddress returns the address that serves health, metrics and operators'
// commands.
func (p *Proxy) OperatorAddress() string { return p.operator.address }

// DrainRequested returns a channel that is closed when an operator requests a drain.
func (p *Proxy) DrainRequested() <-chan struct{} { return p.drainer.requested }

// Reload logs whether the settings file has changed. No setting takes effect while the
// proxy runs; a changed one takes effect at the next start.
func (p *Proxy) Reload(settings config.Settings, err error) {
	fields := event.Fields{"Host": p.settings.Host, "Changed": err == nil && !reflect.DeepEqual(settings, p.settings)}
	if err != nil {
		fields["Cause"] = err.Error()
	}
	p.log.Emit(event.SettingsReloaded, fields)
}

// Drain waits for requests in flight and open transactions to end, for at most DrainMs.
// It returns how many callers were disconnected before their work had ended.
func (p *Proxy) Drain() int {
	p.log.Emit(event.Stopping, event.Fields{"Host": p.settings.Host, "Callers": p.front.Callers()})
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Timing.DrainMs.Duration())
	defer cancel()
	interrupted := p.front.Drain(ctx)
	p.log.Emit(event.Stopped, event.Fields{"Host": p.settings.Host, "Cut": interrupted})
	return interrupted
}

func (p *Proxy) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_ = p.app.Stop(ctx)
}

// onStop registers a clean-up function that runs when the application stops.
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
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "poplarrouter_log_lines_suppressed_total", Help: "Log lines that exceeded the rate of their event.",
	}, func() float64 { return float64(log.Suppressed()) }))
	return registry
}

func newGuard(log *event.Log, registry *prometheus.Registry) *guard.Guard {
	return guard.New(log, registry, nil)
}

func newMeter(registry *prometheus.Registry) *meter.Meter { return meter.New(registry) }

func newMesh(lc fx.Lifecycle, s config.Settings, log *event.Log, bytes *meter.Meter) (*peer.Connections, error) {
	mesh, cleanUp, err := peer.New(peer.Options{
		Host:              s.Host,
		Region:            s.Region,
		Secret:            s.PeerSecret,
		Seeds:             s.Seeds,
		HeartbeatInterval: s.Timing.BeatMs.Duration(),
		Timeout:           s.Timing.AskTimeoutMs.Duration(),
		Log:               log,
		Meter:             bytes,
	}, s.PeerAddress)
	if err != nil {
		return nil, err
	}
	onStop(lc, cleanUp)
	return mesh, nil
}

// storeRetry is the pause after a failed request to the store.
const storeRetry = 500 * time.Millisecond

func newDocuments(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, registry *prometheus.Registry, g *guard.Guard, mesh *peer.Connections, p *protocolParts) *ctrl.Documents {
	documents, cleanUp := ctrl.NewDocuments(ctrl.DocumentsOptions{
		Host: s.Host, Region: s.Region, Store: st, Log: log, Guard: g, Broadcaster: mesh, LastHeard: mesh.LastReceived, Retry: storeRetry, ChangePause: p.changePause,
		WatchersPerRegion: p.storeWatchers, FirstWait: p.firstWait, MaxStoreAge: p.maxStoreAge,
	})
	onStop(lc, cleanUp)
	registerDocumentMetrics(registry, documents)
	return documents
}

// registerDocumentMetrics registers gauges that show which documents are in force and how
// long ago the store answered.
func registerDocumentMetrics(registry *prometheus.Registry, documents *ctrl.Documents) {
	for _, kind := range book.Kinds() {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "poplarrouter_document_serial", Help: "Serial of the document in force, by kind.", ConstLabels: prometheus.Labels{"kind": string(kind)},
		}, func() float64 { return float64(documents.Book().Serial(kind)) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "poplarrouter_store_answer_age_seconds", Help: "Time since the store's last answer that this proxy knows of.",
	}, func() float64 { return documents.StoreAge().Seconds() }))
}

func newControllers(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, documents *ctrl.Documents, mesh *peer.Connections, p *protocolParts) *ctrl.Controllers {
	controllers, cleanUp := ctrl.NewControllers(ctrl.ControllersOptions{
		Controller: ctrl.ControllerOptions{
			Host:         s.Host,
			Region:       s.Region,
			Rules:        p.rules,
			Poll:         s.Timing.PollMs.Duration(),
			Timeout:      s.Timing.AskTimeoutMs.Duration(),
			Voters:       mesh,
			VoterTimeout: failureTimeout(s),
			Store:        st,
			Dial:         p.control,
			ActivePoll:   p.activePoll,
			MaxProofAge:  p.maxProofAge,
			FenceBelow:   p.fenceBelow,
			Tokens:       p.tokens,
			Log:          log,
			Trace:        s.TraceElections,
		},
		Documents:    documents,
		Open:         p.open,
		OnHosts:      mesh.SetHosts,
		RemovalDelay: p.removalDelay,
		Owners:       p.owners,
		SettleDelay:  p.settleDelay,
	})
	p.bind(controllers, documents)
	onStop(lc, cleanUp)
	return controllers
}

// failureTimeout returns how long a peer may send nothing before it counts as
// unresponsive: one missed heartbeat plus half of a period.
func failureTimeout(s config.Settings) time.Duration { return s.Timing.BeatMs.Duration() * 3 / 2 }

// newQuota returns a quota with the minimum share that each rank also has of the slots.
func newQuota(size int) *quota.Quota {
	return quota.New(size, quota.MinimumShares(slots.DefaultMinimumShares().Share))
}

func newHandler(s config.Settings, registry *prometheus.Registry, controllers *ctrl.Controllers, documents *ctrl.Documents, log *event.Log, g *guard.Guard, p *protocolParts, leases *gate.LeaseManager, d *drainer, k keyRecency, limiter *limit.Limiter) (chain.Handler, *chain.Explainer) {
	options := chain.Options{
		Controllers:     controllers,
		Documents:       documents,
		Log:             log,
		Guard:           g,
		Region:          s.Region,
		DataCentre:      s.DataCentre,
		InFlight:        newQuota(s.Limits.InFlight),
		BufferBytes:     s.Limits.HeldAnswerBytes,
		AnswerGrace:     p.answerGrace,
		ReplicaWait:     p.replicaWait,
		LeadershipLease: p.leadershipLease,
		Suspended:       suspended,
		ConfirmTimeout:  s.Timing.ConfirmMs.Duration(),
		Draining:        d.draining,
		Permits:         p.permits(leases),
		Balances:        newMemberBalances(registry, p),
		Relay:           p.relay,
		Caps:            limiter,
		Keys:            k.keys(),
	}
	return chain.New(options), chain.NewExplainer(options)
}

// drainer reports to the chain whether the front is draining, because the front is
// built after the chain, and passes on an operator's request to drain.
type drainer struct {
	front     *front.Front
	requested chan struct{}
	once      sync.Once
}

func newDrainer() *drainer { return &drainer{requested: make(chan struct{})} }

func (d *drainer) request() { d.once.Do(func() { close(d.requested) }) }

func (d *drainer) draining() bool { return d.front != nil && d.front.Draining() }

func newFront(lc fx.Lifecycle, s config.Settings, h chain.Handler, documents *ctrl.Documents, log *event.Log, g *guard.Guard, registry *prometheus.Registry, mesh *peer.Connections, d *drainer, p *protocolParts, memory *budget.Budget) (*front.Front, error) {
	f, cleanUp, err := front.New(front.Options{
		Address:                 s.CallerAddress,
		Protocol:                p.protocol,
		RelayProtocol:           p.relayed,
		MaxConnections:          callerConnections(s.Limits),
		MaxSessions:             maxSessions(s.Limits),
		Memory:                  memory,
		CallerQuota:             newQuota(callerConnections(s.Limits)),
		RequestBytes:            s.Limits.RequestBytes,
		Linger:                  s.Timing.LingerMs.Duration(),
		DrainTransactionTimeout: s.Timing.OpenMs.Duration(),
		Handler:                 h,
		Documents:               documents,
		Log:                     log,
		Guard:                   g,
		Registry:                registry,
		ForwardCancel:           mesh.Cancel,
	})
	if err != nil {
		return nil, err
	}
	d.front = f
	onStop(lc, cleanUp)
	return f, nil
}

// startMesh starts to receive frames from peers.
func startMesh(lc fx.Lifecycle, mesh *peer.Connections, documents *ctrl.Documents, controllers *ctrl.Controllers, leases *gate.LeaseManager, f *front.Front, p *protocolParts, k keyRecency, limiter *limit.Limiter) {
	onStop(lc, mesh.Start(&handler{keyRecency: k, Documents: documents, Controllers: controllers, LeaseManager: leases, connectionDemand: p.demand, caps: limiter, front: f}))
	onStop(lc, f.CloseRelays)
}

// handler processes the frames of peers.
type handler struct {
	*ctrl.Documents
	*ctrl.Controllers
	*gate.LeaseManager
	connectionDemand
	keyRecency
	caps
	front *front.Front
}

var _ peer.Handler = (*handler)(nil)

// HandleDoc implements peer.Handler.
func (h *handler) HandleDoc(host string, doc book.Doc) { h.Receive(doc, host) }

// Cancel implements peer.Handler.
func (h *handler) Cancel(processID uint32, secretKey []byte) { h.front.Cancel(processID, secretKey) }

// ServeRelay implements peer.Handler.
func (h *handler) ServeRelay(ctx context.Context, conn net.Conn, host string) error {
	return h.front.ServeRelay(ctx, conn, host)
}

// DocumentSet implements peer.Handler.
func (h *handler) DocumentSet() book.DocumentSet { return h.Book() }
