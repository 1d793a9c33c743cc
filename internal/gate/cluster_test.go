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

// The number of hosts and the delays correspond to Perecpont's deployment.
const (
	hostCount       = 9
	slotCount       = 5
	oneWayLatency   = 500 * time.Microsecond
	heartbeatPeriod = time.Second
	failureTimeout  = heartbeatPeriod * 3 / 2
	requestTimeout  = 500 * time.Millisecond
	serviceTime     = 20 * time.Millisecond
	workDeadline    = 10 * time.Second
	// requestsPerHost is how many concurrent requests each host keeps up.
	requestsPerHost = 4
	targetName      = "m0"
)

// cluster simulates hosts that run the real LeaseManager for one fake member. The
// hosts send more work than the member has slots for.
type cluster struct {
	log      *event.Log
	target   *fakeMember
	dbMember view.Member
	running  sync.WaitGroup
	// service is how long each statement runs at the member.
	service time.Duration
	// late counts the requests that got no slot within their deadline.
	late atomic.Int64

	mu           sync.Mutex
	hosts        map[string]*fakeHost
	blockedLinks map[[2]string]bool
	// messagesToLose is how many of the next messages are lost.
	messagesToLose int
}

// fakeHost is one process of a proxy.
type fakeHost struct {
	cluster *cluster
	name    string
	leases  *gate.LeaseManager
	ctx     context.Context //nolint:containedctx // ends with the process
	kill    func()

	mu        sync.Mutex
	lastHeard map[string]time.Time
	links     map[string]chan message
	resume    chan struct{}
}

type message struct {
	at    time.Time
	frame peer.Frame
}

func newCluster(service time.Duration) (*cluster, func()) {
	log, stopLog := event.New(io.Discard)
	cl := &cluster{log: log, service: service, target: &fakeMember{busy: make(map[string]int)}, dbMember: view.Member{Name: targetName, Address: targetName}, hosts: make(map[string]*fakeHost), blockedLinks: make(map[[2]string]bool)}
	for _, name := range hostNames() {
		cl.start(name)
	}
	return cl, func() {
		for _, h := range cl.hosts {
			h.thaw()
			h.kill()
		}
		cl.running.Wait()
		stopLog()
	}
}

// Book lists all hosts, including dead ones, since the platform's list lags behind.
func (cl *cluster) Book() book.DocumentSet {
	doc := book.HostsDoc{Serial: 1}
	for _, name := range hostNames() {
		doc.Hosts = append(doc.Hosts, book.Host{Name: name})
	}
	body, _ := json.Marshal(doc)
	docs, _, _ := book.DocumentSet{}.With(book.Doc{Kind: book.Hosts, Serial: 1, Body: body})
	return docs
}

func hostNames() []string {
	var names []string
	for i := range hostCount {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	return names
}

// start starts a process for a host. It replaces an earlier process of the same name.
func (cl *cluster) start(name string) {
	h := &fakeHost{cluster: cl, name: name, lastHeard: make(map[string]time.Time), links: make(map[string]chan message)}
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx = ctx
	dial := func(view.Member) member.SlotControl { return &fakeControl{host: h} }
	base, stopBase := ctrl.NewController(ctrl.ControllerOptions{
		Host: name, Rules: elect.RulesFor(time.Hour), Voters: h, Poll: 250 * time.Millisecond, Timeout: requestTimeout, Log: cl.log, Dial: func(m view.Member) member.Control { return dial(m) },
	}, "stock", []view.Member{cl.dbMember})
	database := book.Database{Name: "stock", Slots: slotCount, Members: []view.Member{cl.dbMember}}
	leases, stopLeases := gate.NewLeaseManager(gate.Options{
		Host: name, QueueLimit: 1000, FailureTimeout: failureTimeout, Timeout: requestTimeout, Peers: h, Documents: cl,
		Databases: databaseList{duty.NewCell([]ctrl.Watched{{Database: database, Controller: base}})}, Dial: dial, Log: cl.log,
	})
	h.leases = leases
	h.kill = sync.OnceFunc(func() {
		cancel()
		cl.target.dropLease(h)
		stopLeases()
		stopBase()
		cl.running.Go(func() { cl.reportLoss(name) })
	})
	cl.mu.Lock()
	cl.hosts[name] = h
	cl.mu.Unlock()
	cl.running.Go(h.sendHeartbeats)
	for i := range requestsPerHost {
		cl.running.Go(func() { h.work(fmt.Sprintf("caller-%d", i)) })
	}
}

// reportLoss notifies the other hosts that the connections of a process have ended.
func (cl *cluster) reportLoss(name string) {
	time.Sleep(oneWayLatency)
	for _, other := range allExcept(name) {
		if !cl.isBlocked(name, other) {
			cl.host(other).leases.HandleDisconnect(name)
		}
	}
}

// setBlocked sets whether all messages between two nodes are dropped.
func (cl *cluster) setBlocked(a, b string, blocked bool) {
	cl.setBlockedOneWay(a, b, blocked)
	cl.setBlockedOneWay(b, a, blocked)
}

// setBlockedOneWay sets whether the messages from one node to another are dropped.
func (cl *cluster) setBlockedOneWay(from, to string, blocked bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.blockedLinks[[2]string{from, to}] = blocked
}

func (cl *cluster) isBlocked(a, b string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.blockedLinks[[2]string{a, b}]
}

// losesMessage reports whether the next message is lost.
func (cl *cluster) losesMessage() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.messagesToLose--
	return cl.messagesToLose >= 0
}

func (cl *cluster) loseNext(count int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.messagesToLose = count
}

func (cl *cluster) host(name string) *fakeHost {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.hosts[name]
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

// waitWhileFrozen blocks while the process is frozen.
func (h *fakeHost) waitWhileFrozen() {
	h.mu.Lock()
	resume := h.resume
	h.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// TellClaim implements ctrl.Watchers. The simulation does not elect primaries.
func (*fakeHost) TellClaim(string, elect.Claim, []string) {}

// MemberList implements ctrl.Voters.
func (*fakeHost) MemberList(string) (serial uint64, at time.Time) { return 0, time.Now() }

func (h *fakeHost) AskWatchers(string, group.Term, []string) {}

// Heard implements gate.Peers.
func (h *fakeHost) Heard(host string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastHeard[host]
}

// Send implements gate.Peers. Messages to one host arrive in order.
func (h *fakeHost) Send(to string, f peer.Frame) bool {
	h.mu.Lock()
	link, found := h.links[to]
	if !found {
		link = make(chan message, 1000)
		h.links[to] = link
		h.cluster.running.Go(func() { h.deliver(to, link) })
	}
	h.mu.Unlock()
	link <- message{at: time.Now().Add(oneWayLatency), frame: f}
	return true
}

func (h *fakeHost) deliver(to string, link <-chan message) {
	for {
		select {
		case m := <-link:
			duty.Pause(h.ctx, time.Until(m.at))
			h.waitWhileFrozen()
			if target := h.cluster.host(to); !h.cluster.isBlocked(h.name, to) && target.ctx.Err() == nil && !h.cluster.losesMessage() {
				target.waitWhileFrozen()
				target.take(h.name, m.frame)
			}
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *fakeHost) take(from string, f peer.Frame) {
	h.mu.Lock()
	h.lastHeard[from] = time.Now()
	h.mu.Unlock()
	switch {
	case f.PermitRequest != nil:
		h.leases.HandlePermitRequest(from, *f.PermitRequest, func(g peer.Grant) { h.Send(from, peer.Frame{Grant: &g}) })
	case f.Grant != nil:
		h.leases.HandleGrant(from, *f.Grant)
	case f.Release != nil:
		h.leases.HandleRelease(from, *f.Release)
	case f.SuspicionQuery != nil:
		o := h.leases.HandleSuspicionQuery(*f.SuspicionQuery)
		h.Send(from, peer.Frame{SuspicionVote: &o})
	case f.SuspicionVote != nil:
		h.leases.TakeOpinion(from, *f.SuspicionVote)
	}
}

func (h *fakeHost) sendHeartbeats() {
	for h.ctx.Err() == nil {
		for _, to := range allExcept(h.name) {
			h.Send(to, peer.Frame{Heartbeat: &peer.Heartbeat{}})
		}
		duty.Pause(h.ctx, heartbeatPeriod)
	}
}

// work sends one request after the other.
func (h *fakeHost) work(caller string) {
	for h.ctx.Err() == nil {
		h.waitWhileFrozen()
		now := time.Now()
		r := &chain.Request{Caller: chain.Caller{Name: caller}, Arrived: now, Deadline: now.Add(workDeadline)}
		r.Work.Rank = sheet.Rank(1)
		ctx, cancel := context.WithDeadline(h.ctx, r.Deadline)
		slot, err := h.leases.Acquire(ctx, "stock", h.cluster.dbMember, r)
		cancel()
		if err != nil {
			if h.ctx.Err() == nil && fault.FromError(err).Kind == fault.Late {
				h.cluster.late.Add(1)
			}
			duty.Pause(h.ctx, serviceTime)
			continue
		}
		h.waitWhileFrozen()
		if slot.Expired(time.Now()) {
			slot.Release()
			continue
		}
		duty.Pause(h.ctx, oneWayLatency)
		h.cluster.target.run(h)
		duty.Pause(h.ctx, oneWayLatency)
		h.waitWhileFrozen()
		slot.Release()
	}
}

// fakeMember runs statements, and ends the statements and the lease connection of a
// process that dies.
type fakeMember struct {
	mu     sync.Mutex
	active int
	busy   map[string]int
	peak   int
	done   atomic.Int64
	holder *fakeHost
}

func (m *fakeMember) run(h *fakeHost) {
	m.mu.Lock()
	m.active++
	m.busy[h.name]++
	m.peak = max(m.peak, m.active)
	m.mu.Unlock()
	duty.Pause(h.ctx, h.cluster.service)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active--
	m.busy[h.name]--
	m.done.Add(1)
}

// peakStatements returns the largest number of statements that ran at a time.
func (m *fakeMember) peakStatements() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// busiestExcept returns the host with the most statements, other than the excluded
// one.
func (m *fakeMember) busiestExcept(excluded string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.MaxFunc(allExcept(excluded), func(a, b string) int { return m.busy[a] - m.busy[b] })
}

func (m *fakeMember) dropLease(h *fakeHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == h {
		m.holder = nil
	}
}

func (m *fakeMember) state() group.State {
	s := group.State{Role: group.Primary, Term: 1, Active: m.active}
	if m.holder != nil {
		s.LeaseHolder = m.holder.name
	}
	return s
}

// leaseHolder returns the host that holds the slot lease, or "".
func (m *fakeMember) leaseHolder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state().LeaseHolder
}

// fakeControl is a connection of one host to the member.
type fakeControl struct {
	member.SlotControl
	host     *fakeHost
	hasLease bool
}

// call runs a request at the member, with the latency of both ways.
func (c *fakeControl) call(ctx context.Context, request func(*fakeMember) error) (group.State, error) {
	h, m := c.host, c.host.cluster.target
	h.waitWhileFrozen()
	duty.Pause(ctx, oneWayLatency)
	if h.cluster.isBlocked(h.name, targetName) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return group.State{}, ctx.Err()
	}
	m.mu.Lock()
	err := request(m)
	state := m.state()
	m.mu.Unlock()
	duty.Pause(ctx, oneWayLatency)
	h.waitWhileFrozen()
	return state, err
}

func (c *fakeControl) Ask(ctx context.Context, _ bool) (group.State, error) {
	return c.call(ctx, func(m *fakeMember) error {
		if c.hasLease && m.holder != c.host {
			return &member.RefusedError{Member: targetName, Text: "the connection was ended"}
		}
		return nil
	})
}

func (c *fakeControl) AcquireSlotLease(ctx context.Context, host string) (group.State, error) {
	return c.call(ctx, func(m *fakeMember) error {
		if m.holder != nil {
			return &member.RefusedError{Member: targetName, Text: host + " is not the dispatcher"}
		}
		m.holder, c.hasLease = c.host, true
		return nil
	})
}

func (c *fakeControl) Evict(ctx context.Context, host string) (group.State, error) {
	return c.call(ctx, func(m *fakeMember) error {
		if m.holder != nil && m.holder.name == host {
			m.holder = nil
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

// Close ends the connection. The member notices that even if messages are blocked.
func (c *fakeControl) Close() {
	if c.hasLease {
		c.host.cluster.target.dropLease(c.host)
	}
}
