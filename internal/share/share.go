// Package share bounds how much work this proxy has at a member where the members
// know no dispatcher.
//
// A member takes a limited number of connections from all proxies together, and
// queues by itself what exceeds its slots. Each proxy that is known to live has an
// equal share of the connections, and one piece of work of its own on each. What
// exceeds the share waits here, in the order of ranks.
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

// Size returns how many connections to each member one of so many proxies may have.
func Size(connections, hosts int) int {
	return max((connections-reserve)/max(hosts, 1), 1)
}

// Options are what Shares depend on.
type Options struct {
	// Queue is how much work of each rank may wait for each member.
	Queue int
	// Connections returns how many connections a member of a database takes from
	// this proxy.
	Connections func(database string) int
}

// Shares bound the work at all members.
type Shares struct {
	options Options

	mu    sync.Mutex
	gates map[string]*sized
}

type sized struct {
	*gate.Gate
	size int
}

var _ chain.Slots = (*Shares)(nil)

// New returns shares of which none is in use.
func New(options Options) *Shares {
	return &Shares{options: options, gates: make(map[string]*sized)}
}

// never is how far ahead the end lies of slots that do not lapse.
const never = 24 * 365 * time.Hour

// Acquire implements chain.Slots.
func (s *Shares) Acquire(ctx context.Context, database string, m view.Member, r *chain.Request) (chain.Slot, error) {
	work := slots.Work{Caller: r.Caller.Name, Rank: r.Work.Rank, Arrived: r.Arrived, Deadline: r.Arrived.Add(r.Work.Patience())}
	slot, err := s.gate(database, m).Acquire(ctx, work)
	slot.Until = time.Now().Add(never)
	return slot, err
}

// Room implements chain.Slots.
func (s *Shares) Room(database string, m view.Member) int {
	free, _, waiting := s.gate(database, m).Counts()
	return free - waiting
}

// gate returns the gate of a member, brought to its present size.
func (s *Shares) gate(database string, m view.Member) *gate.Gate {
	size := s.options.Connections(database)
	s.mu.Lock()
	defer s.mu.Unlock()
	g, found := s.gates[m.Name]
	if !found {
		rules := slots.DefaultRules(s.options.Queue)
		// A transaction holds its place through the caller's pauses, so that the time
		// that work has held one tells nothing of the time that other work needs.
		rules.Early = false
		g = &sized{Gate: gate.New(rules, size, time.Now().Add(never)), size: size}
		s.gates[m.Name] = g
	}
	if size != g.size {
		g.Add(size - g.size)
		g.size = size
	}
	return g.Gate
}

// Keep drops the gates of members that are no longer listed.
func (s *Shares) Keep(listed func(member string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, g := range s.gates {
		if !listed(name) {
			g.Close()
			delete(s.gates, name)
		}
	}
}

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
