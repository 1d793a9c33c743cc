package even

import (
	"sync"
	"time"
)

// Balances holds the state of a host for several sets of candidates, such as the members of
// each database. It is safe for concurrent use.
type Balances struct {
	mu     sync.Mutex
	states map[string]Balance
	counts map[Reason]int
}

// NewBalances returns the state of a host without information.
func NewBalances() *Balances {
	return &Balances{states: make(map[string]Balance), counts: make(map[Reason]int)}
}

// Choose chooses a candidate of the set with the given name. See Balance.Choose.
func (b *Balances) Choose(set string, list []Candidate, turn, draw uint64, light float64, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, next := b.states[set].Choose(list, turn, draw, light, now)
	b.states[set] = next
	b.counts[choice.Reason]++
	return choice
}

// Peek returns the choice that Choose would make, and changes nothing.
func (b *Balances) Peek(set string, list []Candidate, turn, draw uint64, light float64, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, _ := b.states[set].Choose(list, turn, draw, light, now)
	return choice
}

// Count returns how many choices a rule has decided.
func (b *Balances) Count(r Reason) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[r]
}

// Reasons returns all rules that decide a choice.
func Reasons() []Reason { return []Reason{Turn, OwnWork, Reported} }
