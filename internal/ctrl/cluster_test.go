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

// The sizes and delays of Perecpont's hosts.
const (
	proxyCount  = 9
	memberCount = 3
	nearDelay   = 500 * time.Microsecond
	farDelay    = 30 * time.Millisecond
	shipPeriod  = 2 * time.Millisecond
	// fetchTime stands for a replica that gives up a silent primary, or one that
	// it no longer follows.
	fetchTime   = 150 * time.Millisecond
	writePeriod = 25 * time.Millisecond
	writeWait   = 2 * time.Second
	confirmWait = 5 * time.Second
	databaseKey = "stock"
)

// way is a rule for when a write is acknowledged.
type way string

const (
	// production waits until a majority holds the write in its own term.
	production way = "production"
	// immediate passes the primary's answer on at once.
	immediate way = "immediate"
	// lease passes the primary's answer on if the term was proven not longer ago
	// than leaseTime, and lets a promotion wait that long.
	lease way = "lease"
)

const leaseTime = time.Second

// world is a set of real controllers over fake members, peers and a store.
type world struct {
	way     way
	rng     *rand.Rand
	store   *labkv.Memory
	members []*fakeMember
	proxies []*fakeProxy

	mu       sync.Mutex
	cuts     map[[2]string]bool
	lastWork map[string]time.Time
	acks     []ack
	falsely  int
	handover atomic.Bool
	doubled  atomic.Bool
	// quiet keeps the writers from writing.
	quiet   atomic.Bool
	running sync.WaitGroup
}

type ack struct {
	id   string
	at   time.Time
	took time.Duration
}

type fakeMember struct {
	world  *world
	name   string
	region string

	mu     sync.Mutex
	log    lablog.Log
	up     bool
	resume chan struct{}
	lag    time.Duration
}

type fakeProxy struct {
	world  *world
	name   string
	region string
	base   *ctrl.Controller
	stop   func()
	stall  atomic.Int64
}

func (p *fakeProxy) setStall(d time.Duration) { p.stall.Store(int64(d)) }

func (x *world) setDoubled(is bool) { x.doubled.Store(is) }

func regionOf(i, of int) string {
	if i < of*2/3 {
		return "Budapest"
	}
	return "Debrecen"
}

func newWorld(w way, seed uint64) (*world, func()) {
	x := &world{way: w, rng: rand.New(rand.NewPCG(seed, 1)), store: labkv.New(), cuts: make(map[[2]string]bool), lastWork: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range memberCount {
		role, leader := group.Replica, "m0"
		if i == 0 {
			role, leader = group.Primary, ""
		}
		m := &fakeMember{world: x, name: fmt.Sprintf("m%d", i), region: regionOf(i, memberCount), log: lablog.New(role, leader), up: true}
		x.members = append(x.members, m)
	}
	log, stopLog := event.New(io.Discard)
	var hosts []string
	for i := range proxyCount {
		hosts = append(hosts, fmt.Sprintf("p%d", i))
	}
	for i, name := range hosts {
		p := &fakeProxy{world: x, name: name, region: regionOf(i, proxyCount)}
		p.base, p.stop = ctrl.NewController(ctrl.ControllerOptions{
			Host: name, Region: p.region, Rules: elect.RulesFor(time.Second), Poll: 250 * time.Millisecond, Timeout: 500 * time.Millisecond,
			Voters: p, Store: &cutStore{proxy: p}, Log: log,
			Dial: func(m view.Member) member.Control { return &fakeControl{proxy: p, target: x.member(m.Name)} },
		}, databaseKey, x.list())
		p.base.SetVoters(pick.Order(databaseKey, hosts))
		x.proxies = append(x.proxies, p)
	}
	for _, m := range x.members {
		x.running.Go(func() { m.ship(ctx) })
	}
	for _, p := range x.proxies {
		x.running.Go(func() { p.write(ctx) })
	}
	return x, func() {
		cancel()
		for _, m := range x.members {
			m.unfreeze()
		}
		for _, p := range x.proxies {
			p.stop()
		}
		x.running.Wait()
		stopLog()
	}
}

func (x *world) list() []view.Member {
	var list []view.Member
	for _, m := range x.members {
		list = append(list, view.Member{Name: m.name, Address: m.name, Region: m.region})
	}
	return list
}

func (x *world) member(name string) *fakeMember {
	i := slices.IndexFunc(x.members, func(m *fakeMember) bool { return m.name == name })
	return x.members[i]
}

// cut drops what is sent from one node to another, or ends that.
func (x *world) cut(from, to string, is bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cuts[[2]string{from, to}] = is
}

func (x *world) cutBoth(a, b string, is bool) {
	x.cut(a, b, is)
	x.cut(b, a, is)
}

func (x *world) isCut(from, to string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cuts[[2]string{from, to}]
}

// travel takes the time from one node to another, or waits for the context's
// end if what is sent gets lost.
func (x *world) travel(ctx context.Context, from, fromRegion, to, toRegion string) error {
	delay := nearDelay
	if fromRegion != toRegion {
		delay = farDelay
	}
	if x.isCut(from, to) {
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

// deadError reports a call to a member that has ended.
type deadError struct{}

func (deadError) Error() string { return "connection refused" }

func (deadError) Unwrap() error { return syscall.ECONNREFUSED }

// do runs an operation on the member: at once, or when it is resumed, whether
// the caller still waits or not.
func (m *fakeMember) do(ctx context.Context, operation func(*lablog.Log) error) (group.State, error) {
	type result struct {
		state group.State
		err   error
	}
	done := make(chan result, 1)
	m.world.running.Go(func() {
		m.mu.Lock()
		resume := m.resume
		m.mu.Unlock()
		if resume != nil {
			<-resume
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.up {
			done <- result{err: deadError{}}
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

// catchUp applies the entries that are older than the member's lag. The lock
// must be held.
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

// ship copies entries from the primary that the member follows.
func (m *fakeMember) ship(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		name, term, follows := m.log.Following()
		from := len(m.log.Entries)
		m.mu.Unlock()
		if follows && m.runs() {
			m.fetch(ctx, m.world.member(name), term, from)
		}
		pause(ctx, shipPeriod)
	}
}

func (m *fakeMember) fetch(ctx context.Context, leader *fakeMember, term group.Term, from int) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	if m.world.travel(ctx, m.name, m.region, leader.name, leader.region) != nil {
		return
	}
	var entries []lablog.Entry
	_, err := leader.do(ctx, func(l *lablog.Log) error {
		tail, err := l.Tail(term, from)
		entries = slices.Clone(tail)
		return err
	})
	if err != nil || m.world.travel(ctx, leader.name, leader.region, m.name, m.region) != nil {
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

// fakeControl is a member as one proxy reaches it.
type fakeControl struct {
	proxy  *fakeProxy
	target *fakeMember
}

var _ member.Control = (*fakeControl)(nil)

func (c *fakeControl) Close() {}

func (c *fakeControl) Busy(context.Context, string) (int, error) { return 0, nil }

func (c *fakeControl) Running(context.Context, []uint32) ([]uint32, error) { return nil, nil }

func (c *fakeControl) call(ctx context.Context, operation func(*lablog.Log) error) (group.State, error) {
	x, p, m := c.proxy.world, c.proxy, c.target
	if err := x.travel(ctx, p.name, p.region, m.name, m.region); err != nil {
		return group.State{}, err
	}
	state, err := m.do(ctx, operation)
	if back := x.travel(ctx, m.name, m.region, p.name, p.region); back != nil {
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

// order calls the member with an order that may come late or twice.
func (c *fakeControl) order(ctx context.Context, operation func(*lablog.Log) error) (group.State, error) {
	if stall := time.Duration(c.proxy.stall.Load()); stall > 0 {
		late := context.WithoutCancel(ctx)
		c.proxy.world.running.Go(func() {
			pause(late, stall)
			_, _ = c.target.do(late, operation)
		})
		<-ctx.Done()
		return group.State{}, ctx.Err()
	}
	if c.proxy.world.doubled.Load() {
		late := context.WithoutCancel(ctx)
		c.proxy.world.running.Go(func() {
			pause(late, 700*time.Millisecond)
			_, _ = c.target.do(late, operation)
		})
	}
	return c.call(ctx, operation)
}

func (c *fakeControl) Ask(ctx context.Context, _ bool) (group.State, error) {
	return c.call(ctx, func(*lablog.Log) error { return nil })
}

func (c *fakeControl) Fence(ctx context.Context, w member.Warrant) (group.State, error) {
	return c.order(ctx, func(l *lablog.Log) error { return l.Promise(w.Term, w.Promoter) })
}

func (c *fakeControl) Promote(ctx context.Context, w member.Warrant) (group.State, error) {
	if c.proxy.world.way == lease {
		pause(ctx, leaseTime)
		ctx = context.WithoutCancel(ctx)
	}
	served := c.proxy.world.primaryServes()
	return c.order(ctx, func(l *lablog.Log) error {
		was := l.State().Term
		err := l.Promote(w.Term, w.Promoter)
		if err == nil && l.State().Term > was && served {
			c.proxy.world.countFalse()
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

// primaryServes tells whether the primary of the latest term runs, has promised
// nothing later, and reaches most proxies and a majority of members.
func (x *world) primaryServes() bool {
	best := x.latest()
	if best == nil || !best.runs() {
		return false
	}
	reached, peers := 0, 1
	for _, p := range x.proxies {
		if !x.isCut(p.name, best.name) && !x.isCut(best.name, p.name) {
			reached++
		}
	}
	for _, m := range x.members {
		if m != best && m.runs() && !x.isCut(m.name, best.name) && !x.isCut(best.name, m.name) {
			peers++
		}
	}
	return reached >= group.Majority(proxyCount) && peers >= group.Majority(memberCount) && !x.handover.Load()
}

func (x *world) countFalse() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.falsely++
}

func (x *world) countedFalse() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.falsely
}

// latest returns the primary of the highest term.
func (x *world) latest() *fakeMember {
	var best *fakeMember
	for _, m := range x.members {
		if s := m.state(); s.Role == group.Primary && (best == nil || s.Term > best.state().Term) {
			best = m
		}
	}
	return best
}

// cutStore is the store as one proxy reaches it.
type cutStore struct{ proxy *fakeProxy }

var _ store.Store = (*cutStore)(nil)

func (c *cutStore) reach(ctx context.Context) error {
	return c.proxy.world.travel(ctx, c.proxy.name, c.proxy.region, "store", "Budapest")
}

func (c *cutStore) back(ctx context.Context) error {
	return c.proxy.world.travel(ctx, "store", "Budapest", c.proxy.name, c.proxy.region)
}

func (c *cutStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := c.reach(ctx); err != nil {
		return store.Object{}, err
	}
	o, err := c.proxy.world.store.Get(ctx, key)
	if back := c.back(ctx); back != nil {
		return store.Object{}, back
	}
	return o, err
}

func (c *cutStore) Put(ctx context.Context, key string, value []byte, was store.Version) (store.Version, error) {
	if err := c.reach(ctx); err != nil {
		return "", err
	}
	v, err := c.proxy.world.store.Put(ctx, key, value, was)
	if back := c.back(ctx); back != nil {
		return "", back
	}
	return v, err
}

func (c *cutStore) Watch(ctx context.Context, key string, _ store.Version) (store.Object, error) {
	return c.Get(ctx, key)
}

// AskWatchers implements ctrl.Watchers.
func (*fakeProxy) TellClaim(string, elect.Claim, []string) {}

func (p *fakeProxy) AskWatchers(_ string, term group.Term, hosts []string) {
	for _, q := range p.world.proxies {
		if q == p || !slices.Contains(hosts, q.name) {
			continue
		}
		p.world.running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if p.world.travel(ctx, p.name, p.region, q.name, q.region) != nil {
				return
			}
			down := q.base.PrimaryDown(term)
			if p.world.travel(ctx, q.name, q.region, p.name, p.region) == nil {
				p.base.ReceiveVote(elect.Vote{From: q.name, Term: term, Down: down})
			}
		})
	}
}

// write sends writes through the proxy at a steady rate, from many callers.
func (p *fakeProxy) write(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if p.world.quiet.Load() {
			pause(ctx, writePeriod)
			continue
		}
		p.world.running.Go(func() { p.writeOne(ctx, fmt.Sprintf("%s/%d", p.name, n)) })
		pause(ctx, writePeriod)
	}
}

func (p *fakeProxy) writeOne(ctx context.Context, id string) {
	began := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, writeWait)
	defer cancel()
	v, found := p.base.Await(waitCtx, func(v view.View) bool { _, ok := v.Writable(); return ok })
	if !found {
		return
	}
	// The dispatch of slots notes each request so.
	p.base.Touch()
	target, _ := v.Writable()
	p.world.mu.Lock()
	p.world.lastWork[target.Name] = time.Now()
	p.world.mu.Unlock()
	c := &fakeControl{proxy: p, target: p.world.member(target.Name)}
	state, err := c.call(waitCtx, func(l *lablog.Log) error { return l.Append([]lablog.Statement{{SQL: id}}) })
	if err != nil {
		return
	}
	if p.confirm(ctx, target.Name, group.Floor{Term: state.Term, Position: state.Received}) {
		now := time.Now()
		p.world.mu.Lock()
		p.world.acks = append(p.world.acks, ack{id: id, at: now, took: now.Sub(began)})
		p.world.mu.Unlock()
	}
}

func (p *fakeProxy) confirm(ctx context.Context, primary string, f group.Floor) bool {
	switch p.world.way {
	case immediate:
		return true
	case lease:
		_, proven := p.base.View().Barrier(time.Now().Add(-leaseTime))
		return proven
	default:
		ctx, cancel := context.WithTimeout(ctx, confirmWait)
		defer cancel()
		v, judged := p.base.Await(ctx, func(v view.View) bool { return v.Confirm(primary, f) != view.Waiting })
		return judged && v.Confirm(primary, f) == view.Held
	}
}

// ackTimes returns how long each acknowledged write took so far.
func (x *world) ackTimes() []time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	times := make([]time.Duration, 0, len(x.acks))
	for _, a := range x.acks {
		times = append(times, a.took)
	}
	return times
}

// gap returns the longest time without an acknowledgement after the given time.
func (x *world) gap(from, to time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, longest := from, time.Duration(0)
	for _, a := range x.acks {
		if a.at.Before(from) {
			continue
		}
		longest = max(longest, a.at.Sub(last))
		last = a.at
	}
	return max(longest, to.Sub(last))
}

// missing counts acknowledged writes that the latest primary does not hold
// exactly once.
func (x *world) missing() int {
	held := make(map[string]int)
	best := x.latest()
	best.mu.Lock()
	for _, e := range best.log.Entries {
		for _, s := range e.Statements {
			held[s.SQL]++
		}
	}
	best.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	missing := 0
	for _, a := range x.acks {
		if held[a.id] != 1 {
			missing++
		}
	}
	return missing
}
