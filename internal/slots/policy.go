package slots

import (
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// FIFO serves work in order of arrival.
type FIFO struct{}

// StrictPriority serves the most urgent rank first, and each rank in order of
// arrival.
type StrictPriority struct{}

// MinimumShares serves the most urgent rank first, except that a rank with waiting
// work that has received less than its guaranteed share of the recent grants
// takes precedence. Within a rank the caller with the fewest recent grants goes
// first.
type MinimumShares struct {
	// Share is the fraction of the slots guaranteed to each rank; index 0 is unused.
	Share [sheet.MaxRank + 1]float64
}

var (
	_ Policy = FIFO{}
	_ Policy = StrictPriority{}
	_ Policy = MinimumShares{}
)

// DefaultMinimumShares returns the policy that the proxy uses: an eighth of the
// slots for the middle rank, a sixteenth for the least urgent one, and a quarter
// for the most urgent one, which needs it only while another rank causes the
// overload.
func DefaultMinimumShares() MinimumShares {
	const urgent, middle, least = 0.25, 0.125, 0.0625
	return MinimumShares{Share: [sheet.MaxRank + 1]float64{0, urgent, middle, least}}
}

// Pick implements Policy.
func (FIFO) Pick(waiting []Work, _ Served) int {
	return first(waiting, func(a, b Work) bool { return a.before(b) })
}

// Pick implements Policy.
func (StrictPriority) Pick(waiting []Work, _ Served) int {
	return first(waiting, func(a, b Work) bool {
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.before(b)
	})
}

// Pick implements Policy.
func (m MinimumShares) Pick(waiting []Work, served Served) int {
	starved := m.mostStarved(waiting, served)
	return first(waiting, func(a, b Work) bool {
		if a.Rank != b.Rank {
			return a.Rank == starved || (b.Rank != starved && a.Rank < b.Rank)
		}
		if x, y := served.Callers[a.key()], served.Callers[b.key()]; x != y {
			return x < y
		}
		return a.before(b)
	})
}

// mostStarved returns the rank with waiting work that is furthest below its
// guaranteed share, or 0 if none is below it.
func (m MinimumShares) mostStarved(waiting []Work, served Served) sheet.Rank {
	total := 0.0
	for _, n := range served.Ranks {
		total += n
	}
	var starved sheet.Rank
	var largest float64
	for _, w := range waiting {
		deficit := m.Share[w.Rank]*(total+1) - served.Ranks[w.Rank]
		if deficit > largest {
			starved, largest = w.Rank, deficit
		}
	}
	return starved
}

// first returns the index of the first work in the order of before, or -1 if none
// waits.
func first(waiting []Work, before func(a, b Work) bool) int {
	best := -1
	for i := range waiting {
		if best < 0 || before(waiting[i], waiting[best]) {
			best = i
		}
	}
	return best
}
