// Package quota shares a fixed number of places among the ranks.
//
// Each rank has a floor: places that no other rank may take. The rest of the
// places goes to whoever comes first. So a flood of any rank, the most urgent
// included, leaves every other rank its floor, and the places that are taken never
// exceed the size.
package quota

import (
	"sync"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// MinimumShares are the guaranteed parts of the places of each rank, between 0 and 1;
// index 0 is unused. Their sum is at most 1.
type MinimumShares [sheet.MaxRank + 1]float64

// Quota counts the places that each rank has taken. It is for concurrent use.
type Quota struct {
	floors [sheet.MaxRank + 1]int
	// shared is how many places belong to no rank's floor.
	shared int

	mu    sync.Mutex
	taken [sheet.MaxRank + 1]int
}

// New returns a quota of so many places. Floors are rounded down.
func New(size int, shares MinimumShares) *Quota {
	q := &Quota{shared: size}
	for r, share := range shares {
		q.floors[r] = int(share * float64(size))
		q.shared -= q.floors[r]
	}
	return q
}

// TryAcquire takes a place for a rank, and tells whether there was one.
func (q *Quota) TryAcquire(r sheet.Rank) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.taken[r] >= q.floors[r] && q.sharedTaken() >= q.shared {
		return false
	}
	q.taken[r]++
	return true
}

// sharedTaken returns how many places are taken beyond the floors. The lock must
// be held.
func (q *Quota) sharedTaken() int {
	count := 0
	for r, n := range q.taken {
		count += max(n-q.floors[r], 0)
	}
	return count
}

// Release gives a place of a rank back.
func (q *Quota) Release(r sheet.Rank) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken[r]--
}

// Available returns how many more places a rank could take now.
func (q *Quota) Available(r sheet.Rank) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.floors[r]-q.taken[r], 0) + q.shared - q.sharedTaken()
}
