// Package quota divides a fixed capacity among the ranks.
//
// Each rank has a minimum: capacity that no other rank may use. The remaining
// capacity is shared, and granted in order of arrival. Therefore a flood of any
// rank, including the most urgent, leaves every other rank its minimum, and the
// capacity in use never exceeds the size.
package quota

import (
	"sync"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// MinimumShares holds the fraction of the capacity guaranteed to each rank, between 0
// and 1; index 0 is unused. The sum is at most 1.
type MinimumShares [sheet.MaxRank + 1]float64

// Quota counts the admission slots that each rank uses. It is safe for concurrent
// use.
type Quota struct {
	minimums [sheet.MaxRank + 1]int
	// shared is the number of admission slots beyond the minimums.
	shared int

	mu   sync.Mutex
	used [sheet.MaxRank + 1]int
}

// New returns a quota of size admission slots. Minimums are rounded down.
func New(size int, shares MinimumShares) *Quota {
	q := &Quota{shared: size}
	for r, share := range shares {
		q.minimums[r] = int(share * float64(size))
		q.shared -= q.minimums[r]
	}
	return q
}

// TryAcquire acquires an admission slot for a rank, and reports whether one was
// available.
func (q *Quota) TryAcquire(r sheet.Rank) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used[r] >= q.minimums[r] && q.sharedUsed() >= q.shared {
		return false
	}
	q.used[r]++
	return true
}

// sharedUsed returns how many admission slots are in use beyond the minimums. The
// lock must be held.
func (q *Quota) sharedUsed() int {
	count := 0
	for r, n := range q.used {
		count += max(n-q.minimums[r], 0)
	}
	return count
}

// Release releases an admission slot of a rank.
func (q *Quota) Release(r sheet.Rank) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used[r]--
}

// Available returns how many more admission slots a rank could acquire now.
func (q *Quota) Available(r sheet.Rank) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.minimums[r]-q.used[r], 0) + q.shared - q.sharedUsed()
}
