// Package limit enforces the usage caps of customers: it runs the state machines of package
// usage with the clock, the connections to peers and the documents of a proxy.
package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/usage"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Documents provides the sheet and the list of hosts.
type Documents interface {
	Watch() (book.DocumentSet, <-chan struct{})
}

// Sender sends frames to peers. It does not block.
type Sender interface {
	Send(host string, f peer.Frame) bool
}

// Options are the settings and dependencies of a Limiter.
type Options struct {
	Host   string
	Region string
	Policy usage.Policy
	// Suspended returns the total time for which the host has been suspended, which its
	// monotonic clock does not count. Nil means never.
	Suspended func() time.Duration
	Documents Documents
	Sender    Sender
	Log       *event.Log
	Registry  *prometheus.Registry
}

// Limiter limits the operations of each customer over all hosts together. It implements
// chain.CapLimiter and the part of peer.Handler that concerns caps.
type Limiter struct {
	options Options
	metrics metrics
	wake    chan struct{}

	mu          sync.Mutex
	clock       clock
	host        *usage.Host
	coordinator *usage.Coordinator
	// waiting holds the operations that wait for a token, by their ID.
	waiting map[uint64]chan bool
	serials [2]uint64
	reports reports
}

// New returns a limiter and its clean-up function.
func New(o Options) (*Limiter, func()) {
	if o.Suspended == nil {
		o.Suspended = func() time.Duration { return 0 }
	}
	l := &Limiter{
		options: o,
		metrics: newMetrics(o.Registry),
		wake:    make(chan struct{}, 1),
		clock:   newClock(o.Suspended),
		waiting: make(map[uint64]chan bool),
		reports: newReports(o.Log),
	}
	now := l.clock.now()
	l.host = usage.NewHost(o.Policy, usage.Peer{Name: o.Host, Region: o.Region}, rand.Uint32(), now) //nolint:gosec // distinguishes processes
	l.coordinator = usage.NewCoordinator(o.Policy)
	return l, duty.Run(l.run)
}

// run is the background task that applies new documents and sends the asks that are due.
// It sleeps while no customer has a cap.
func (l *Limiter) run(ctx context.Context) error {
	for ctx.Err() == nil {
		documents, changed := l.options.Documents.Watch()
		pause, active := l.step(documents)
		var timer <-chan time.Time
		if active {
			timer = time.After(pause)
		}
		select {
		case <-timer:
		case <-l.wake:
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// step applies the documents, sends the asks that are due, and returns when to do so again,
// if there are customers with caps.
func (l *Limiter) step(documents book.DocumentSet) (pause time.Duration, active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.now()
	l.apply(now, documents)
	l.send(now)
	return l.host.Next(now) - now, l.host.Active()
}

// apply passes on the documents if they have changed.
func (l *Limiter) apply(now time.Duration, documents book.DocumentSet) {
	serials := [2]uint64{documents.Serial(book.Sheet), documents.Serial(book.Hosts)}
	if serials == l.serials {
		return
	}
	l.serials = serials
	customers := documents.Sheet().Customers()
	l.host.SetCustomers(customers)
	l.coordinator.SetCustomers(now, customers)
	hosts := documents.Hosts()
	peers := make([]usage.Peer, 0, len(hosts))
	for _, h := range hosts {
		peers = append(peers, usage.Peer{Name: h.Name, Region: h.Region, Capacity: h.Capacity, Draining: h.Draining})
	}
	l.host.SetHosts(now, peers)
}

// send sends the asks that are due. Those to this host itself are answered at once, which
// may make others due.
func (l *Limiter) send(now time.Duration) {
	for answered := true; answered; {
		answered = false
		for _, s := range l.host.Step(now) {
			if s.To != l.options.Host {
				l.ask(s)
				continue
			}
			l.deliver(l.host.Take(now, s.To, "", l.coordinator.Handle(now, s.To, s.Ask)))
			answered = true
		}
	}
	for i := range uint32(usage.Partitions) {
		l.reports.coordinator(i, l.host.Coordinator(i))
	}
}

// ask sends an ask to a coordinator, or to the host that passes it on.
func (l *Limiter) ask(s usage.Send) {
	a := peer.CapAsk{Ask: s.Ask}
	to := s.To
	if s.Via != "" {
		a.Target, to = s.To, s.Via
	}
	l.options.Sender.Send(to, peer.Frame{CapAsk: &a})
}

// deliver passes outcomes to the operations that wait for them.
func (l *Limiter) deliver(outcomes []usage.Outcome) {
	for _, o := range outcomes {
		if done, found := l.waiting[o.ID]; found {
			delete(l.waiting, o.ID)
			done <- o.Run
		}
	}
}

// Acquire implements chain.CapLimiter.
func (l *Limiter) Acquire(ctx context.Context, c sheet.Customer) error {
	decision, id, done := l.arrive(c.Name)
	switch decision {
	case usage.Run:
		l.metrics.granted.Inc()
		return nil
	case usage.Refuse:
		return l.refuse(c)
	case usage.Wait:
	}
	began := time.Now()
	defer func() { l.metrics.waited.Observe(time.Since(began).Seconds()) }()
	select {
	case run := <-done:
		return l.settle(c, run)
	case <-ctx.Done():
	}
	l.abandon(c.Name, id)
	select {
	case run := <-done:
		return l.settle(c, run)
	default:
	}
	l.metrics.unanswered.Inc()
	l.reports.refused(c.Name, time.Now())
	return fault.New(fault.OverCap, "limit usage", "customer %q got no token from a coordinator in time", c.Name)
}

// arrive decides about an operation. If it waits, done receives whether it may run.
func (l *Limiter) arrive(customer string) (d usage.Decision, id uint64, done chan bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.now()
	d, id = l.host.Arrive(now, customer)
	if d == usage.Wait {
		done = make(chan bool, 1)
		l.waiting[id] = done
		l.send(now)
	}
	l.signal()
	return d, id, done
}

// signal makes the background task compute anew when it has to act next.
func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Limiter) abandon(customer string, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	l.host.Abandon(customer, id)
}

func (l *Limiter) settle(c sheet.Customer, run bool) error {
	if !run {
		return l.refuse(c)
	}
	l.metrics.granted.Inc()
	return nil
}

func (l *Limiter) refuse(c sheet.Customer) error {
	l.metrics.refused.Inc()
	l.reports.refused(c.Name, time.Now())
	return fault.New(fault.OverCap, "limit usage", "customer %q has reached its cap of %g operations a second", c.Name, c.Rate)
}

// HandleCapAsk implements peer.Handler. An ask for another host is passed on once.
func (l *Limiter) HandleCapAsk(host string, a peer.CapAsk) (peer.CapGrant, bool) {
	if a.Target != "" && a.Target != l.options.Host {
		if a.Origin == "" {
			target := a.Target
			a.Target, a.Origin = "", host
			l.options.Sender.Send(target, peer.Frame{CapAsk: &a})
		}
		return peer.CapGrant{}, false
	}
	if a.Origin != "" {
		host = a.Origin
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return peer.CapGrant{Grant: l.coordinator.Handle(l.clock.now(), host, a.Ask), Target: a.Origin}, true
}

// TakeCapGrant implements peer.Handler. A grant for another host is passed on once.
func (l *Limiter) TakeCapGrant(host string, g peer.CapGrant) {
	if g.Target != "" && g.Target != l.options.Host {
		if g.Origin == "" {
			target := g.Target
			g.Target, g.Origin = "", host
			l.options.Sender.Send(target, peer.Frame{CapGrant: &g})
		}
		return
	}
	via := ""
	if g.Origin != "" {
		host, via = g.Origin, host
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.now()
	l.deliver(l.host.Take(now, host, via, g.Grant))
	l.send(now)
	l.signal()
}
