// Package share bounds how much work this proxy has at a member where the members
// know no dispatcher.
//
// A member takes a limited number of connections from all proxies together, and runs a
// limited number of statements at a time. What exceeds its slots it queues by itself, in
// the order of arrival, and refuses when that queue is full. The proxies tell one another
// with their heartbeats how much work they want to have at each member, and each works
// out its own share: of the connections, and of the statements that may be under way. A
// transaction needs a connection until it ends, but is under way only while one of its
// statements runs. What exceeds the share waits here, in the order of ranks.
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

// reserve is how many connections of a member are left for questions of watchers and
// for orders, and for those of a proxy that has just ended.
const reserve = 2

const (
	// depth is how many statements may be under way at a member for each of its slots:
	// one that runs, and as many again on their way there, on their way back and in the
	// member's own queue. The member keeps its slots busy over a link between regions,
	// and urgent work waits behind three others for each slot at the most.
	depth = 4
	// shallower is by how much the depth of a member falls when it refuses work for want
	// of room, as a divisor, and deeper by how much it rises with each heartbeat.
	shallower = 4
	deeper    = 0.25
)

// Options are what Shares depend on.
type Options struct {
	Host string
	// Queue is how much work of each rank may wait for each member.
	Queue int
	// Connections returns how many connections a member of a database takes from all
	// proxies together.
	Connections func(database string) int
	// Slots returns how many statements a member of a database runs at a time, or 0 if
	// that is not known.
	Slots func(database string) int
	// Hosts returns the proxies that share them.
	Hosts func(database string) []string
	// Listed tells whether a member is still one of its database.
	Listed func(m view.Member) bool
	// Resized is told of the share of a member, unless it is nil.
	Resized func(m view.Member, size int)
}

// Shares bound the work at all members.
type Shares struct {
	options Options
	wants   *wants

	mu    sync.Mutex
	gates map[string]*sized
}

// sized is the gate of a member with its share. The lock of the shares guards it.
type sized struct {
	*gate.Gate
	member view.Member
	// connections and statements are this proxy's shares, and depth is how many statements
	// may be under way for each slot.
	connections int
	statements  int
	depth       float64
	// resting is how many transactions are open of which no statement runs.
	resting int
	// size is how many places the gate has.
	size int
}

// places returns how many places the gate should have: a transaction that rests keeps its
// connection, and gives its place among the statements to other work.
func (g *sized) places() int { return min(g.connections, g.statements+g.resting) }

var _ chain.Slots = (*Shares)(nil)

// New returns shares of which none is in use.
func New(options Options) *Shares {
	return &Shares{options: options, wants: newWants(time.Now()), gates: make(map[string]*sized)}
}

// never is how far ahead the end lies of slots that do not lapse.
const never = 24 * 365 * time.Hour

// Acquire implements chain.Slots.
func (s *Shares) Acquire(ctx context.Context, database string, m view.Member, r *chain.Request) (chain.Slot, error) {
	g := s.gate(database, m)
	work := slots.Work{Caller: r.Caller.Name, Rank: r.Work.Rank, Arrived: r.Arrived, Deadline: r.Arrived.Add(r.Work.Patience())}
	_, lent, waiting := g.Counts()
	s.wants.note(m.Name, lent+waiting+1)
	slot, err := g.Acquire(ctx, work)
	slot.Until = time.Now().Add(never)
	slot.Rest = func(resting bool) { s.rest(g, resting) }
	slot.Crowded = func() { s.crowded(database, g) }
	return slot, err
}

// rest notes that a transaction begins or ceases to rest between two statements.
func (s *Shares) rest(g *sized, resting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resting {
		g.resting++
	} else {
		g.resting--
	}
	s.fit(g)
}

// crowded notes that a member refused work for want of room.
func (s *Shares) crowded(database string, g *sized) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.depth = max(1, g.depth-g.depth/shallower)
	s.resize(database, g, time.Now())
}

// Room implements chain.Slots.
func (s *Shares) Room(database string, m view.Member) int {
	free, _, waiting := s.gate(database, m).Counts()
	return free - waiting
}

// gate returns the gate of a member.
func (s *Shares) gate(database string, m view.Member) *sized {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, found := s.gates[m.Name]
	if !found {
		rules := slots.DefaultRules(s.options.Queue)
		// A transaction holds its place through the caller's pauses, so that the time
		// that work has held one tells nothing of the time that other work needs.
		rules.Early = false
		g = &sized{Gate: gate.New(rules, 0, time.Now().Add(never)), member: m, depth: depth}
		s.gates[m.Name] = g
		s.resize(database, g, time.Now())
	}
	return g
}

// resize works out a gate's present shares. The lock must be held.
func (s *Shares) resize(database string, g *sized, now time.Time) {
	connections := s.level(database, g, s.options.Connections(database)-reserve, now)
	g.statements = connections
	if slots := s.options.Slots(database); slots > 0 {
		g.statements = min(connections, s.level(database, g, int(float64(slots)*g.depth), now))
	}
	if connections != g.connections && s.options.Resized != nil {
		s.options.Resized(g.member, connections)
	}
	g.connections = connections
	s.fit(g)
}

// level returns this proxy's share of a total at a member.
func (s *Shares) level(database string, g *sized, total int, now time.Time) int {
	hosts := s.options.Hosts(database)
	return Level(total, s.options.Host, s.wants.of(g.member.Name, s.options.Host, hosts, total/max(len(hosts), 1), now))
}

// fit gives a gate the places that it should have. The lock must be held.
func (*Shares) fit(g *sized) {
	if places := g.places(); places != g.size {
		g.AddSlots(places - g.size)
		g.size = places
	}
}

// Wants returns what this proxy wants, for its heartbeat, brings all shares up to date,
// and drops those of members that are no longer listed.
func (s *Shares) Wants() map[string]int {
	told := s.wants.tell()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, g := range s.gates {
		if !s.options.Listed(g.member) {
			g.Close()
			delete(s.gates, name)
			continue
		}
		g.depth = min(depth, g.depth+deeper)
		s.resize(g.member.Database, g, now)
	}
	return told
}

// TakeWants takes what another proxy wants.
func (s *Shares) TakeWants(host string, of map[string]int) { s.wants.take(host, of, time.Now()) }

// Queues returns the gates by the names of their members.
func (s *Shares) Queues() map[string]*gate.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]*gate.Gate, len(s.gates))
	for name, g := range s.gates {
		list[name] = g.Gate
	}
	return list
}
