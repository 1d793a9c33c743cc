package gate

import (
	"context"
	"sync"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/view"
)

// Local gives each member's slots out within this proxy alone.
type Local struct {
	count int
	limit int

	mu    sync.Mutex
	gates map[string]*Gate
}

var _ chain.Slots = (*Local)(nil)

// NewLocal returns gates of count slots for each member, with room for limit
// waiting requests each.
func NewLocal(count, limit int) *Local {
	return &Local{count: count, limit: limit, gates: make(map[string]*Gate)}
}

// Acquire implements chain.Slots.
func (l *Local) Acquire(ctx context.Context, database string, m view.Member, r *chain.Request) (func(), error) {
	return l.gate(database+"/"+m.Name).Acquire(ctx, slots.Work{
		Caller: r.Caller.Name, Rank: r.Work.Rank, Arrived: r.Arrived, Deadline: r.Deadline,
	})
}

// Gates returns the gates by database and member.
func (l *Local) Gates() map[string]*Gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]*Gate, len(l.gates))
	for key, g := range l.gates {
		list[key] = g
	}
	return list
}

func (l *Local) gate(key string) *Gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, found := l.gates[key]
	if !found {
		g = New(slots.DefaultFloors(), l.count, l.limit)
		l.gates[key] = g
	}
	return g
}
