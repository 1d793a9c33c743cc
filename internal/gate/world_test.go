package gate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// The sizes and delays of Perecpont's hosts.
const (
	hostCount    = 9
	slotCount    = 5
	oneWay       = 500 * time.Microsecond
	beatPeriod   = time.Second
	silence      = beatPeriod * 3 / 2
	askTimeout   = 500 * time.Millisecond
	serviceTime  = 20 * time.Millisecond
	workDeadline = 10 * time.Second
	// askers is how many requests each host has at a time.
	askers     = 4
	targetName = "m0"
)

// world is a set of hosts with real dispatches before one fake member, under
// more work than the member has slots for.
type world struct {
	log     *event.Log
	target  *fakeMember
	only    view.Member
	running sync.WaitGroup
	// service is how long each statement runs at the member.
	service time.Duration
	// late counts the requests that got no slot within their deadline.
	late atomic.Int64

	mu    sync.Mutex
	hosts map[string]*fakeHost
	cuts  map[[2]string]bool
	// lose holds how many of the next messages are lost.
	lose int
}

// fakeHost is one process of a proxy.
type fakeHost struct {
	world    *world
	name     string
	dispatch *gate.Dispatch
	ctx      context.Context //nolint:containedctx // ends with the process
	kill     func()

	mu     sync.Mutex
	heard  map[string]time.Time
	lines  map[string]chan message
	resume chan struct{}
}

type message struct {
	at    time.Time
	frame peer.Frame
}

func newWorld(service time.Duration) (*world, func()) {
	log, stopLog := event.New(io.Discard)
	w := &world{log: log, service: service, target: &fakeMember{busy: make(map[string]int)}, only: view.Member{Name: targetName, Address: targetName}, hosts: make(map[string]*fakeHost), cuts: make(map[[2]string]bool)}
	for _, name := range hostNames() {
		w.start(name)
	}
	return w, func() {
		for _, h := range w.hosts {
			h.thaw()
			h.kill()
		}
		w.running.Wait()
		stopLog()
	}
}

// Book lists all hosts, dead ones too: the platform's list lags.
func (w *world) Book() book.Book {
	doc := book.HostsDoc{Serial: 1}
	for _, name := range hostNames() {
		doc.Hosts = append(doc.Hosts, book.Host{Name: name})
	}
	body, _ := json.Marshal(doc)
	held, _, _ := book.Book{}.With(book.Doc{Kind: book.Hosts, Serial: 1, Body: body})
	return held
}

func hostNames() []string {
	var names []string
	for i := range hostCount {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	return names
}

// start starts a process for a host, over an earlier one of the same name.
func (w *world) start(name string) {
	h := &fakeHost{world: w, name: name, heard: make(map[string]time.Time), lines: make(map[string]chan message)}
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx = ctx
	dial := func(view.Member) member.Dispatcher { return &fakeControl{host: h} }
	base, stopBase := ctrl.NewBase(ctrl.BaseOptions{
		Host: name, Rules: elect.RulesFor(time.Hour), Watchers: h, Poll: 250 * time.Millisecond, Timeout: askTimeout, Log: w.log, Dial: func(m view.Member) member.Control { return dial(m) },
	}, "stock", []view.Member{w.only})
	listed := book.Database{Name: "stock", Slots: slotCount, Members: []view.Member{w.only}}
	dispatch, stopDispatch := gate.NewDispatch(gate.Options{
		Host: name, Queue: 1000, Silence: silence, Timeout: askTimeout, Peers: h, Books: w,
		Bases: listing{duty.NewCell([]ctrl.Watched{{Database: listed, Base: base}})}, Dial: dial, Log: w.log,
	})
	h.dispatch = dispatch
	h.kill = sync.OnceFunc(func() {
		cancel()
		w.target.forget(h)
		stopDispatch()
		stopBase()
		w.running.Go(func() { w.noticeEnd(name) })
	})
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	w.running.Go(h.beat)
	for i := range askers {
		w.running.Go(func() { h.work(fmt.Sprintf("caller-%d", i)) })
	}
}

// noticeEnd tells the other hosts that the connections of a process have ended.
func (w *world) noticeEnd(name string) {
	time.Sleep(oneWay)
	for _, other := range othersThan(name) {
		if !w.isCut(name, other) {
			w.host(other).dispatch.HandleDisconnect(name)
		}
	}
}

// cut drops all messages between two nodes, or ends that.
func (w *world) cut(a, b string, is bool) {
	w.cutWay(a, b, is)
	w.cutWay(b, a, is)
}

// cutWay drops the messages from one node to another, or ends that.
func (w *world) cutWay(from, to string, is bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = is
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{a, b}]
}

// losesNext tells whether the next message is lost.
func (w *world) losesNext() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose--
	return w.lose >= 0
}

func (w *world) loseNext(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose = count
}

func (w *world) host(name string) *fakeHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[name]
}

func (h *fakeHost) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resume = make(chan struct{})
}

func (h *fakeHost) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resume != nil {
		close(h.resume)
		h.resume = nil
	}
}

// awaitThaw holds what a frozen process does.
func (h *fakeHost) awaitThaw() {
	h.mu.Lock()
	resume := h.resume
	h.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// AskWatchers implements ctrl.Watchers. The primary is not watched here.
func (*fakeHost) TellClaim(string, elect.Claim, []string) {}

func (h *fakeHost) AskWatchers(string, group.Term, []string) {}

// Heard implements gate.Peers.
func (h *fakeHost) Heard(host string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard[host]
}

// Send implements gate.Peers. Messages to one host arrive in order.
func (h *fakeHost) Send(to string, f peer.Frame) bool {
	h.mu.Lock()
	line, found := h.lines[to]
	if !found {
		line = make(chan message, 1000)
		h.lines[to] = line
		h.world.running.Go(func() { h.deliver(to, line) })
	}
	h.mu.Unlock()
	line <- message{at: time.Now().Add(oneWay), frame: f}
	return true
}

func (h *fakeHost) deliver(to string, line <-chan message) {
	for {
		select {
		case m := <-line:
			duty.Pause(h.ctx, time.Until(m.at))
			h.awaitThaw()
			if target := h.world.host(to); !h.world.isCut(h.name, to) && target.ctx.Err() == nil && !h.world.losesNext() {
				target.awaitThaw()
				target.take(h.name, m.frame)
			}
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *fakeHost) take(from string, f peer.Frame) {
	h.mu.Lock()
	h.heard[from] = time.Now()
	h.mu.Unlock()
	switch {
	case f.PermitRequest != nil:
		h.dispatch.HandlePermitRequest(from, *f.PermitRequest, func(g peer.Grant) { h.Send(from, peer.Frame{Grant: &g}) })
	case f.Grant != nil:
		h.dispatch.HandleGrant(from, *f.Grant)
	case f.Release != nil:
		h.dispatch.HandleRelease(from, *f.Release)
	case f.SuspicionQuery != nil:
		o := h.dispatch.HandleSuspicionQuery(*f.SuspicionQuery)
		h.Send(from, peer.Frame{SuspicionVote: &o})
	case f.SuspicionVote != nil:
		h.dispatch.TakeOpinion(from, *f.SuspicionVote)
	}
}

func (h *fakeHost) beat() {
	for h.ctx.Err() == nil {
		for _, to := range othersThan(h.name) {
			h.Send(to, peer.Frame{Heartbeat: &peer.Heartbeat{}})
		}
		duty.Pause(h.ctx, beatPeriod)
	}
}

// work sends one request after the other.
func (h *fakeHost) work(caller string) {
	for h.ctx.Err() == nil {
		h.awaitThaw()
		now := time.Now()
		r := &chain.Request{Caller: chain.Caller{Name: caller}, Arrived: now, Deadline: now.Add(workDeadline)}
		r.Work.Rank = sheet.Rank(1)
		ctx, cancel := context.WithDeadline(h.ctx, r.Deadline)
		slot, err := h.dispatch.Acquire(ctx, "stock", h.world.only, r)
		cancel()
		if err != nil {
			if h.ctx.Err() == nil && fault.Of(err).Kind == fault.Late {
				h.world.late.Add(1)
			}
			duty.Pause(h.ctx, serviceTime)
			continue
		}
		h.awaitThaw()
		if slot.Expired(time.Now()) {
			slot.Release()
			continue
		}
		duty.Pause(h.ctx, oneWay)
		h.world.target.run(h)
		duty.Pause(h.ctx, oneWay)
		h.awaitThaw()
		slot.Release()
	}
}

// fakeMember runs work, and ends the work and the leading connection of a
// process that dies.
type fakeMember struct {
	mu     sync.Mutex
	active int
	busy   map[string]int
	peak   int
	done   atomic.Int64
	leader *fakeHost
}

func (m *fakeMember) run(h *fakeHost) {
	m.mu.Lock()
	m.active++
	m.busy[h.name]++
	m.peak = max(m.peak, m.active)
	m.mu.Unlock()
	duty.Pause(h.ctx, h.world.service)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active--
	m.busy[h.name]--
	m.done.Add(1)
}

// highest returns the most statements that ran at a time.
func (m *fakeMember) highest() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// busiest returns the host with the most statements, other than one.
func (m *fakeMember) busiest(than string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.MaxFunc(othersThan(than), func(a, b string) int { return m.busy[a] - m.busy[b] })
}

func (m *fakeMember) forget(h *fakeHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader == h {
		m.leader = nil
	}
}

func (m *fakeMember) state() group.State {
	s := group.State{Role: group.Primary, Term: 1, Active: m.active}
	if m.leader != nil {
		s.Dispatcher = m.leader.name
	}
	return s
}

// dispatcher returns the host that gives out the slots, or "".
func (m *fakeMember) dispatcher() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state().Dispatcher
}

// fakeControl is the member as one host reaches it.
type fakeControl struct {
	member.Dispatcher
	host  *fakeHost
	leads bool
}

// call runs a question at the member, after the way there and back.
func (c *fakeControl) call(ctx context.Context, question func(*fakeMember) error) (group.State, error) {
	h, m := c.host, c.host.world.target
	h.awaitThaw()
	duty.Pause(ctx, oneWay)
	if h.world.isCut(h.name, targetName) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return group.State{}, ctx.Err()
	}
	m.mu.Lock()
	err := question(m)
	state := m.state()
	m.mu.Unlock()
	duty.Pause(ctx, oneWay)
	h.awaitThaw()
	return state, err
}

func (c *fakeControl) Ask(ctx context.Context, _ bool) (group.State, error) {
	return c.call(ctx, func(m *fakeMember) error {
		if c.leads && m.leader != c.host {
			return &member.RefusedError{Member: targetName, Text: "the connection was ended"}
		}
		return nil
	})
}

func (c *fakeControl) Lead(ctx context.Context, host string) (group.State, error) {
	return c.call(ctx, func(m *fakeMember) error {
		if m.leader != nil {
			return &member.RefusedError{Member: targetName, Text: host + " is not the dispatcher"}
		}
		m.leader, c.leads = c.host, true
		return nil
	})
}

func (c *fakeControl) Evict(ctx context.Context, host string) (group.State, error) {
	return c.call(ctx, func(m *fakeMember) error {
		if m.leader != nil && m.leader.name == host {
			m.leader = nil
		}
		return nil
	})
}

func (c *fakeControl) Busy(ctx context.Context, host string) (int, error) {
	busy := 0
	_, err := c.call(ctx, func(m *fakeMember) error {
		busy = m.busy[host]
		return nil
	})
	return busy, err
}

// Close ends the connection, which the member notices even over a cut.
func (c *fakeControl) Close() {
	if c.leads {
		c.host.world.target.forget(c.host)
	}
}
