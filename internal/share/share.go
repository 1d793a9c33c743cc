// Package share bounds how much work this proxy has at a member where the members
// know no dispatcher.
//
// A member takes a limited number of connections from all proxies together, and
// queues by itself what exceeds its slots. The proxies tell one another with their
// heartbeats how many connections they want to each member, and each works out its own
// share of them. It has one piece of work on each of its connections; what exceeds the
// share waits here, in the order of ranks.
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

// Options are what Shares depend on.
type Options struct {
	Host string
	// Queue is how much work of each rank may wait for each member.
	Queue int
	// Connections returns how many connections a member of a database takes from all
	// proxies together.
	Connections func(database string) int
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

// sized is the gate of a member with its share.
type sized struct {
	*gate.Gate
	member view.Member
	size   int
}

var _ chain.Slots = (*Shares)(nil)

// New returns shares of which none is in use.
func New(options Options) *Shares {
	return &Shares{options: options, wants: newWants(), gates: make(map[string]*sized)}
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
	return slot, err
}

// Room implements chain.Slots.
func (s *Shares) Room(database string, m view.Member) int {
	free, _, waiting := s.gate(database, m).Counts()
	return free - waiting
}

// gate returns the gate of a member.
func (s *Shares) gate(database string, m view.Member) *gate.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, found := s.gates[m.Name]
	if !found {
		rules := slots.DefaultRules(s.options.Queue)
		// A transaction holds its place through the caller's pauses, so that the time
		// that work has held one tells nothing of the time that other work needs.
		rules.Early = false
		g = &sized{Gate: gate.New(rules, 0, time.Now().Add(never)), member: m}
		s.gates[m.Name] = g
		s.resize(database, g, time.Now())
	}
	return g.Gate
}

// resize brings a gate to its present share. The lock must be held.
func (s *Shares) resize(database string, g *sized, now time.Time) {
	hosts := s.options.Hosts(database)
	total := s.options.Connections(database) - reserve
	size := Level(total, s.options.Host, s.wants.of(g.member.Name, s.options.Host, hosts, total/max(len(hosts), 1), now))
	if size == g.size {
		return
	}
	g.Add(size - g.size)
	g.size = size
	if s.options.Resized != nil {
		s.options.Resized(g.member, size)
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
