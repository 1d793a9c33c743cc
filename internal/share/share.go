// Package share limits the work of this proxy at members that have no slot lease.
//
// A member accepts a limited number of connections from all proxies together, and runs a
// limited number of statements at a time. It queues statements beyond its slots in order of
// arrival, and refuses them when that queue is full. The proxies exchange their demand at
// each member with their heartbeats, and each computes its own share of the connections and
// of the statements in flight. A transaction needs a connection until it ends, but counts as
// in flight only while one of its statements runs. Work beyond the share waits in this
// proxy, in order of rank.
package share

import (
	"context"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/view"
)

// headroom is how many connections of a member are kept free for the requests of voters,
// for control statements, and for connections of a proxy that has just stopped.
const headroom = 2

const (
	// maxConcurrency is the maximum number of statements in flight per slot of a member:
	// one that runs, one on its way to the member, one on its way back, and one in the
	// member's own queue. This keeps the slots busy over a link between regions, and urgent
	// work waits behind at most three other statements per slot.
	maxConcurrency = 4
	// The concurrency limit of a member falls by 1/decreaseDivisor when the member refuses
	// work for lack of capacity, and rises by increase with each heartbeat.
	decreaseDivisor = 4
	increase        = 0.25
	// remoteFactor is how many times as many statements a proxy may have in flight at a
	// member in another region. They spend most of their time on the link, where they take
	// no slot.
	remoteFactor = 3
)

// Options are the dependencies of Shares.
type Options struct {
	// Host is the name of this proxy, and Region its region.
	Host   string
	Region string
	// QueueLimit is the maximum amount of waiting work of each rank for each member.
	QueueLimit int
	// Connections returns how many connections a member of a database accepts from all
	// proxies together.
	Connections func(database string) int
	// Slots returns how many statements a member of a database runs at a time, or 0 if
	// this is unknown.
	Slots func(database string) int
	// Hosts returns the proxies that share the members of a database.
	Hosts func(database string) []string
	// Listed reports whether a member still belongs to its database.
	Listed func(m view.Member) bool
	// OnResize, unless nil, is called with a member's new share of connections.
	OnResize func(m view.Member, size int)
}

// Shares limits the work of this proxy at all members. It implements chain.Slots.
type Shares struct {
	options Options
	demands *demands

	mu    sync.Mutex
	gates map[string]*memberGate
}

// memberGate is the gate of a member with this proxy's share. Shares.mu guards its fields.
type memberGate struct {
	*gate.Gate
	member view.Member
	// connections and statements are this proxy's shares of the member.
	connections int
	statements  int
	// concurrency is the limit of statements in flight per slot, from all proxies.
	concurrency float64
	// idle is how many open transactions have no running statement.
	idle int
	// size is how many permits the gate has.
	size int
}

// capacity returns how many permits the gate should have. An idle transaction keeps its
// connection, but does not count as a statement in flight.
func (g *memberGate) capacity() int { return min(g.connections, g.statements+g.idle) }

var _ chain.PermitPool = (*Shares)(nil)

// New returns Shares without gates. A member's gate is created when it is first used.
func New(options Options) *Shares {
	return &Shares{options: options, demands: newDemands(time.Now()), gates: make(map[string]*memberGate)}
}

// noExpiry is how far in the future permits expire that need no renewal.
const noExpiry = 24 * 365 * time.Hour

// Acquire implements chain.Slots.
func (s *Shares) Acquire(ctx context.Context, database string, m view.Member, r *chain.Request) (chain.Permit, error) {
	g := s.gate(database, m)
	work := slots.Work{Caller: r.Caller.Name, Rank: r.Work.Rank, Arrived: r.Arrived, Deadline: r.Arrived.Add(r.Work.MaxQueueWait())}
	_, inUse, waiting := g.Counts()
	s.demands.observe(m.Name, inUse+waiting)
	slot, err := g.Acquire(ctx, work)
	slot.ExpiresAt = time.Now().Add(noExpiry)
	slot.SetIdle = func(idle bool) { s.setIdle(g, idle) }
	slot.ReportOverload = func() { s.decrease(database, g) }
	return slot, err
}

// setIdle records that a transaction becomes idle or active between two statements.
func (s *Shares) setIdle(g *memberGate, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle {
		g.idle++
	} else {
		g.idle--
	}
	s.fit(g)
}

// decrease lowers the concurrency limit after a member refused work for lack of capacity.
func (s *Shares) decrease(database string, g *memberGate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.concurrency = max(1, g.concurrency-g.concurrency/decreaseDivisor)
	s.resize(database, g, time.Now())
}

// SpareCapacity implements chain.Slots.
func (s *Shares) SpareCapacity(database string, m view.Member) int {
	free, _, waiting := s.gate(database, m).Counts()
	return free - waiting
}

// gate returns the gate of a member, which it creates if needed.
func (s *Shares) gate(database string, m view.Member) *memberGate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, found := s.gates[m.Name]
	if !found {
		rules := slots.DefaultRules(s.options.QueueLimit)
		// A transaction holds its permit while its caller pauses, so that hold times do
		// not predict the time that other work needs.
		rules.RejectEarly = false
		g = &memberGate{Gate: gate.New(rules, 0, time.Now().Add(noExpiry)), member: m, concurrency: maxConcurrency}
		s.gates[m.Name] = g
		s.resize(database, g, time.Now())
	}
	return g
}

// resize recomputes the shares of a gate. The lock must be held.
func (s *Shares) resize(database string, g *memberGate, now time.Time) {
	connections := s.fairShare(database, g, s.options.Connections(database)-headroom, now)
	g.statements = connections
	if slots := s.options.Slots(database); slots > 0 {
		statements := s.fairShare(database, g, int(float64(slots)*g.concurrency), now)
		if g.member.Region != s.options.Region {
			statements *= remoteFactor
		}
		g.statements = min(connections, statements)
	}
	if connections != g.connections && s.options.OnResize != nil {
		s.options.OnResize(g.member, connections)
	}
	g.connections = connections
	s.fit(g)
}

// fairShare returns this proxy's share of a total at a member.
func (s *Shares) fairShare(database string, g *memberGate, total int, now time.Time) int {
	hosts := s.options.Hosts(database)
	return FairShare(total, s.options.Host, s.demands.of(g.member.Name, s.options.Host, hosts, total/max(len(hosts), 1), now))
}

// fit sets the number of permits of a gate to its capacity. The lock must be held.
func (*Shares) fit(g *memberGate) {
	if capacity := g.capacity(); capacity != g.size {
		g.AddSlots(capacity - g.size)
		g.size = capacity
	}
}

// Wants returns the demand of this proxy for its next heartbeat. It also raises the
// concurrency limits, recomputes all shares, and closes the gates of members that are no
// longer listed.
func (s *Shares) Wants() map[string]int {
	demand := s.demands.next()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, g := range s.gates {
		if !s.options.Listed(g.member) {
			g.Close()
			delete(s.gates, name)
			continue
		}
		g.concurrency = min(maxConcurrency, g.concurrency+increase)
		s.resize(g.member.Database, g, now)
	}
	return demand
}

// TakeWants records the demand that another proxy reported.
func (s *Shares) TakeWants(host string, demand map[string]int) {
	s.demands.receive(host, demand, time.Now())
}

// Queues returns the gates by member name.
func (s *Shares) Queues() map[string]*gate.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]*gate.Gate, len(s.gates))
	for name, g := range s.gates {
		list[name] = g.Gate
	}
	return list
}
