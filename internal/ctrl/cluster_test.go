package ctrl_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/lablog"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pick"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// The number of Perecpont's hosts and the delays between them.
const (
	proxyCount      = 9
	memberCount     = 3
	nearDelay       = 500 * time.Microsecond
	farDelay        = 30 * time.Millisecond
	replicatePeriod = 2 * time.Millisecond
	// fetchTimeout is the time after which a replica stops waiting for an unresponsive
	// primary, or for one that it no longer follows.
	fetchTimeout = 150 * time.Millisecond
	writePeriod  = 25 * time.Millisecond
	writeWait    = 2 * time.Second
	confirmWait  = 5 * time.Second
	databaseKey  = "stock"
)

// ackRule decides when a write is acknowledged.
type ackRule string

const (
	// production waits until a majority has stored the write in its own term.
	production ackRule = "production"
	// immediate forwards the primary's answer at once.
	immediate ackRule = "immediate"
	// lease forwards the primary's answer if the term was proven within the last
	// leaseTime, and delays a promotion by that time.
	lease ackRule = "lease"
)

const leaseTime = time.Second

// cluster is a simulated cluster: real controllers with simulated members, peers and
// store.
type cluster struct {
	ackRule ackRule
	rng     *rand.Rand
	store   *labkv.Memory
	members []*fakeMember
	proxies []*fakeProxy

	mu              sync.Mutex
	cuts            map[[2]string]bool
	lastWork        map[string]time.Time
	acks            []ack
	falsePromotions int
	handover        atomic.Bool
	doubled         atomic.Bool
	// quiet pauses the writers.
	quiet   atomic.Bool
	running sync.WaitGroup
}

type ack struct {
	id   string
	at   time.Time
	took time.Duration
}

type fakeMember struct {
	cluster *cluster
	name    string
	region  string

	mu     sync.Mutex
	log    lablog.Log
	up     bool
	resume chan struct{}
	lag    time.Duration
}

type fakeProxy struct {
	cluster    *cluster
	name       string
	region     string
	controller *ctrl.Controller
	stop       func()
	stall      atomic.Int64
}

func (p *fakeProxy) setStall(d time.Duration) { p.stall.Store(int64(d)) }

func (cl *cluster) setDoubled(active bool) { cl.doubled.Store(active) }

func regionOf(i, of int) string {
	if i < of*2/3 {
		return "Budapest"
	}
	return "Debrecen"
}

func newCluster(w ackRule, seed uint64) (*cluster, func()) {
	cl := &cluster{ackRule: w, rng: rand.New(rand.NewPCG(seed, 1)), store: labkv.New(), cuts: make(map[[2]string]bool), lastWork: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range memberCount {
		role, leader := group.Replica, "m0"
		if i == 0 {
			role, leader = group.Primary, ""
		}
		m := &fakeMember{cluster: cl, name: fmt.Sprintf("m%d", i), region: regionOf(i, memberCount), log: lablog.New(role, leader), up: true}
		cl.members = append(cl.members, m)
	}
	log, stopLog := event.New(io.Discard)
	var hosts []string
	for i := range proxyCount {
		hosts = append(hosts, fmt.Sprintf("p%d", i))
	}
	for i, name := range hosts {
		p := &fakeProxy{cluster: cl, name: name, region: regionOf(i, proxyCount)}
		p.controller, p.stop = ctrl.NewController(ctrl.ControllerOptions{
			Host: name, Region: p.region, Rules: elect.RulesFor(time.Second), Poll: 250 * time.Millisecond, Timeout: 500 * time.Millisecond,
			Voters: p, Store: &remoteStore{proxy: p}, Log: log,
			Dial: func(m view.Member) member.Control { return &fakeControl{proxy: p, target: cl.member(m.Name)} },
		}, databaseKey, cl.list())
		p.controller.SetVoters(pick.Order(databaseKey, hosts))
		cl.proxies = append(cl.proxies, p)
	}
	for _, m := range cl.members {
		cl.running.Go(func() { m.replicate(ctx) })
	}
	for _, p := range cl.proxies {
		cl.running.Go(func() { p.write(ctx) })
	}
	return cl, func() {
		cancel()
		for _, m := range cl.members {
			m.unfreeze()
		}
		for _, p := range cl.proxies {
			p.stop()
		}
		cl.running.Wait()
		stopLog()
	}
}

func (cl *cluster) list() []view.Member {
	var list []view.Member
	for _, m := range cl.members {
		list = append(list, view.Member{Name: m.name, Address: m.name, Region: m.region})
	}
	return list
}

func (cl *cluster) member(name string) *fakeMember {
	i := slices.IndexFunc(cl.members, func(m *fakeMember) bool { return m.name == name })
	return cl.members[i]
}

// cut starts or stops dropping messages from one node to another.
func (cl *cluster) cut(from, to string, active bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cuts[[2]string{from, to}] = active
}

func (cl *cluster) cutBoth(a, b string, active bool) {
	cl.cut(a, b, active)
	cl.cut(b, a, active)
}

func (cl *cluster) isCut(from, to string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.cuts[[2]string{from, to}]
}

// travel waits for the network delay from one node to another. If the message is dropped,
// it waits for the end of the context.
func (cl *cluster) travel(ctx context.Context, from, fromRegion, to, toRegion string) error {
	delay := nearDelay
	if fromRegion != toRegion {
		delay = farDelay
	}
	if cl.isCut(from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connectionRefusedError is the error of a call to a member that is down.
type connectionRefusedError struct{}

func (connectionRefusedError) Error() string { return "connection refused" }

func (connectionRefusedError) Unwrap() error { return syscall.ECONNREFUSED }

// do runs an operation on the member. A frozen member runs it when it resumes, even if the
// caller has stopped waiting.
func (m *fakeMember) do(ctx context.Context, operation func(*lablog.Log) error) (group.State, error) {
	type result struct {
		state group.State
		err   error
	}
	done := make(chan result, 1)
	m.cluster.running.Go(func() {
		m.mu.Lock()
		resume := m.resume
		m.mu.Unlock()
		if resume != nil {
			<-resume
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.up {
			done <- result{err: connectionRefusedError{}}
			return
		}
		m.catchUp(time.Now())
		err := operation(&m.log)
		done <- result{state: m.log.State(), err: err}
	})
	select {
	case r := <-done:
		return r.state, r.err
	case <-ctx.Done():
		return group.State{}, ctx.Err()
	}
}

// catchUp applies the entries that are older than the member's lag. The lock must be held.
func (m *fakeMember) catchUp(now time.Time) {
	entries := m.log.Entries
	for m.log.Applied < len(entries) && (m.lag == 0 || !now.Before(entries[m.log.Applied].Arrived.Add(m.lag))) {
		m.log.Applied++
	}
	m.log.Applied = min(m.log.Applied, len(entries))
	if m.log.State().Role == group.Primary {
		m.log.Applied = len(entries)
	}
}

func (m *fakeMember) setLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

func (m *fakeMember) freeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.resume == nil {
		m.resume = make(chan struct{})
	}
}

func (m *fakeMember) unfreeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.resume != nil {
		close(m.resume)
		m.resume = nil
	}
}

func (m *fakeMember) setUp(up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = up
}

func (m *fakeMember) runs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up && m.resume == nil
}

func (m *fakeMember) state() group.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.catchUp(time.Now())
	return m.log.State()
}

// replicate copies entries from the primary that the member follows.
func (m *fakeMember) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		name, term, follows := m.log.Following()
		from := len(m.log.Entries)
		m.mu.Unlock()
		if follows && m.runs() {
			m.fetch(ctx, m.cluster.member(name), term, from)
		}
		pause(ctx, replicatePeriod)
	}
}

func (m *fakeMember) fetch(ctx context.Context, leader *fakeMember, term group.Term, from int) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if m.cluster.travel(ctx, m.name, m.region, leader.name, leader.region) != nil {
		return
	}
	var entries []lablog.Entry
	_, err := leader.do(ctx, func(l *lablog.Log) error {
		tail, err := l.Tail(term, from)
		entries = slices.Clone(tail)
		return err
	})
	if err != nil || m.cluster.travel(ctx, leader.name, leader.region, m.name, m.region) != nil {
		return
	}
	_, _ = m.do(ctx, func(l *lablog.Log) error {
		return l.Store(leader.name, term, from, entries, time.Now())
	})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// fakeControl is the control connection of one proxy to a member.
type fakeControl struct {
	proxy  *fakeProxy
	target *fakeMember
}

var _ member.Control = (*fakeControl)(nil)

func (c *fakeControl) Close() {}

func (c *fakeControl) Busy(context.Context, string) (int, error) { return 0, nil }

func (c *fakeControl) Running(context.Context, []uint32) ([]uint32, error) { return nil, nil }

func (c *fakeControl) call(ctx context.Context, operation func(*lablog.Log) error) (group.State, error) {
	cl, p, m := c.proxy.cluster, c.proxy, c.target
	if err := cl.travel(ctx, p.name, p.region, m.name, m.region); err != nil {
		return group.State{}, err
	}
	state, err := m.do(ctx, operation)
	if back := cl.travel(ctx, m.name, m.region, p.name, p.region); back != nil {
		return group.State{}, back
	}
	return state, refusal(m.name, err)
}

func refusal(name string, err error) error {
	var refused *lablog.OrderError
	if errors.As(err, &refused) {
		return &member.RefusedError{Member: name, Text: err.Error()}
	}
	return err
}

// order sends an order to the member. The order may arrive late or twice.
func (c *fakeControl) order(ctx context.Context, operation func(*lablog.Log) error) (group.State, error) {
	if stall := time.Duration(c.proxy.stall.Load()); stall > 0 {
		late := context.WithoutCancel(ctx)
		c.proxy.cluster.running.Go(func() {
			pause(late, stall)
			_, _ = c.target.do(late, operation)
		})
		<-ctx.Done()
		return group.State{}, ctx.Err()
	}
	if c.proxy.cluster.doubled.Load() {
		late := context.WithoutCancel(ctx)
		c.proxy.cluster.running.Go(func() {
			pause(late, 700*time.Millisecond)
			_, _ = c.target.do(late, operation)
		})
	}
	return c.call(ctx, operation)
}

func (c *fakeControl) Ask(ctx context.Context, _ bool) (group.State, error) {
	return c.call(ctx, func(*lablog.Log) error { return nil })
}

func (c *fakeControl) Fence(ctx context.Context, w member.PromotionAttempt) (group.State, error) {
	return c.order(ctx, func(l *lablog.Log) error { return l.Promise(w.Term, w.Promoter) })
}

func (c *fakeControl) Promote(ctx context.Context, w member.PromotionAttempt) (group.State, error) {
	if c.proxy.cluster.ackRule == lease {
		pause(ctx, leaseTime)
		ctx = context.WithoutCancel(ctx)
	}
	primaryServed := c.proxy.cluster.primaryServes()
	return c.order(ctx, func(l *lablog.Log) error {
		previous := l.State().Term
		err := l.Promote(w.Term, w.Promoter)
		if err == nil && l.State().Term > previous && primaryServed {
			c.proxy.cluster.countFalsePromotion()
		}
		return err
	})
}

func (c *fakeControl) Follow(ctx context.Context, term group.Term, leader string, starts []group.Start) (group.State, error) {
	return c.order(ctx, func(l *lablog.Log) error { return l.Follow(term, leader, starts) })
}

func (c *fakeControl) Lead(ctx context.Context, _ string) (group.State, error) {
	return c.Ask(ctx, true)
}

func (c *fakeControl) Evict(ctx context.Context, _ string) (group.State, error) {
	return c.Ask(ctx, true)
}

// primaryServes reports whether the primary of the latest term runs and is connected to
// most proxies and to a majority of members, and no planned change is under way.
func (cl *cluster) primaryServes() bool {
	best := cl.latest()
	if best == nil || !best.runs() {
		return false
	}
	reached, peers := 0, 1
	for _, p := range cl.proxies {
		if !cl.isCut(p.name, best.name) && !cl.isCut(best.name, p.name) {
			reached++
		}
	}
	for _, m := range cl.members {
		if m != best && m.runs() && !cl.isCut(m.name, best.name) && !cl.isCut(best.name, m.name) {
			peers++
		}
	}
	return reached >= group.Majority(proxyCount) && peers >= group.Majority(memberCount) && !cl.handover.Load()
}

func (cl *cluster) countFalsePromotion() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.falsePromotions++
}

func (cl *cluster) falsePromotionCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.falsePromotions
}

// latest returns the primary of the highest term.
func (cl *cluster) latest() *fakeMember {
	var best *fakeMember
	for _, m := range cl.members {
		if s := m.state(); s.Role == group.Primary && (best == nil || s.Term > best.state().Term) {
			best = m
		}
	}
	return best
}

// remoteStore is the store as one proxy reaches it over the network.
type remoteStore struct{ proxy *fakeProxy }

var _ store.Store = (*remoteStore)(nil)

func (c *remoteStore) reach(ctx context.Context) error {
	return c.proxy.cluster.travel(ctx, c.proxy.name, c.proxy.region, "store", "Budapest")
}

func (c *remoteStore) back(ctx context.Context) error {
	return c.proxy.cluster.travel(ctx, "store", "Budapest", c.proxy.name, c.proxy.region)
}

func (c *remoteStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := c.reach(ctx); err != nil {
		return store.Object{}, err
	}
	o, err := c.proxy.cluster.store.Get(ctx, key)
	if back := c.back(ctx); back != nil {
		return store.Object{}, back
	}
	return o, err
}

func (c *remoteStore) Put(ctx context.Context, key string, value []byte, previous store.Version) (store.Version, error) {
	if err := c.reach(ctx); err != nil {
		return "", err
	}
	v, err := c.proxy.cluster.store.Put(ctx, key, value, previous)
	if back := c.back(ctx); back != nil {
		return "", back
	}
	return v, err
}

func (c *remoteStore) Watch(ctx context.Context, key string, _ store.Version) (store.Object, error) {
	return c.Get(ctx, key)
}

// TellClaim implements ctrl.Voters.
func (*fakeProxy) TellClaim(string, elect.Claim, []string) {}

// MemberList implements ctrl.Voters.
func (*fakeProxy) MemberList(string) (serial uint64, at time.Time) { return 0, time.Now() }

func (p *fakeProxy) AskWatchers(_ string, term group.Term, hosts []string) {
	for _, q := range p.cluster.proxies {
		if q == p || !slices.Contains(hosts, q.name) {
			continue
		}
		p.cluster.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if p.cluster.travel(ctx, p.name, p.region, q.name, q.region) != nil {
				return
			}
			vote := q.controller.VoteOn(term)
			vote.From = q.name
			if p.cluster.travel(ctx, q.name, q.region, p.name, p.region) == nil {
				p.controller.ReceiveVote(vote)
			}
		})
	}
}

// write sends writes from many callers through the proxy at a steady rate.
func (p *fakeProxy) write(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if p.cluster.quiet.Load() {
			pause(ctx, writePeriod)
			continue
		}
		p.cluster.running.Go(func() { p.writeOne(ctx, fmt.Sprintf("%s/%d", p.name, n)) })
		pause(ctx, writePeriod)
	}
}

func (p *fakeProxy) writeOne(ctx context.Context, id string) {
	start := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, writeWait)
	defer cancel()
	v, found := p.controller.Await(waitCtx, func(v view.View) bool { _, ok := v.Writable(); return ok })
	if !found {
		return
	}
	// The slot lease calls Touch for each request in the same way.
	p.controller.Touch()
	target, _ := v.Writable()
	p.cluster.mu.Lock()
	p.cluster.lastWork[target.Name] = time.Now()
	p.cluster.mu.Unlock()
	c := &fakeControl{proxy: p, target: p.cluster.member(target.Name)}
	state, err := c.call(waitCtx, func(l *lablog.Log) error { return l.Append([]lablog.Statement{{SQL: id}}) })
	if err != nil {
		return
	}
	if p.confirm(ctx, target.Name, group.Floor{Term: state.Term, Position: state.Received}) {
		now := time.Now()
		p.cluster.mu.Lock()
		p.cluster.acks = append(p.cluster.acks, ack{id: id, at: now, took: now.Sub(start)})
		p.cluster.mu.Unlock()
	}
}

func (p *fakeProxy) confirm(ctx context.Context, primary string, f group.Floor) bool {
	switch p.cluster.ackRule {
	case immediate:
		return true
	case lease:
		_, proven := p.controller.View().ReadIndex(time.Now().Add(-leaseTime))
		return proven
	default:
		ctx, cancel := context.WithTimeout(ctx, confirmWait)
		defer cancel()
		v, decided := p.controller.Await(ctx, func(v view.View) bool { return v.ConfirmationOf(primary, f) != view.Pending })
		return decided && v.ConfirmationOf(primary, f) == view.Confirmed
	}
}

// ackTimes returns how long each write acknowledged so far took.
func (cl *cluster) ackTimes() []time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	times := make([]time.Duration, 0, len(cl.acks))
	for _, a := range cl.acks {
		times = append(times, a.took)
	}
	return times
}

// gap returns the longest time without an acknowledgement between two times.
func (cl *cluster) gap(from, to time.Time) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	last, longest := from, time.Duration(0)
	for _, a := range cl.acks {
		if a.at.Before(from) {
			continue
		}
		longest = max(longest, a.at.Sub(last))
		last = a.at
	}
	return max(longest, to.Sub(last))
}

// missing counts acknowledged writes that the latest primary does not contain exactly
// once.
func (cl *cluster) missing() int {
	count := make(map[string]int)
	best := cl.latest()
	best.mu.Lock()
	for _, e := range best.log.Entries {
		for _, s := range e.Statements {
			count[s.SQL]++
		}
	}
	best.mu.Unlock()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	missing := 0
	for _, a := range cl.acks {
		if count[a.id] != 1 {
			missing++
		}
	}
	return missing
}
