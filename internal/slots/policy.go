package slots

import (
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// FIFO serves work first come, first served.
type FIFO struct{}

// StrictPriority serves the most urgent rank first, within it first come, first served.
type StrictPriority struct{}

// MinimumShares serves the most urgent rank first, but a rank that has work waiting
// and has had less than its floor of the recent slots goes before. Within a
// rank the caller that has had the fewest recent slots goes first.
type MinimumShares struct {
	// Share is the guaranteed part of the slots of each rank; index 0 is unused.
	Share [sheet.MaxRank + 1]float64
}

var (
	_ Policy = FIFO{}
	_ Policy = StrictPriority{}
	_ Policy = MinimumShares{}
)

// DefaultMinimumShares returns the policy that the proxy runs: an eighth of the slots
// for the middle rank, a sixteenth for the least urgent one, and a quarter for
// the most urgent one, which needs it only if its own flood is not the cause.
func DefaultMinimumShares() MinimumShares {
	const most, middle, least = 0.25, 0.125, 0.0625
	return MinimumShares{Share: [sheet.MaxRank + 1]float64{0, most, middle, least}}
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
func (p MinimumShares) Pick(waiting []Work, served Served) int {
	owed := p.owed(waiting, served)
	return first(waiting, func(a, b Work) bool {
		if a.Rank != b.Rank {
			return a.Rank == owed || (b.Rank != owed && a.Rank < b.Rank)
		}
		if x, y := served.Callers[a.turn()], served.Callers[b.turn()]; x != y {
			return x < y
		}
		return a.before(b)
	})
}

// owed returns the rank that has work waiting and lies furthest below its floor,
// or 0 if none does.
func (p MinimumShares) owed(waiting []Work, served Served) sheet.Rank {
	total := 0.0
	for _, n := range served.Ranks {
		total += n
	}
	var owed sheet.Rank
	var most float64
	for _, w := range waiting {
		lack := p.Share[w.Rank]*(total+1) - served.Ranks[w.Rank]
		if lack > most {
			owed, most = w.Rank, lack
		}
	}
	return owed
}

func first(waiting []Work, before func(a, b Work) bool) int {
	best := -1
	for i := range waiting {
		if best < 0 || before(waiting[i], waiting[best]) {
			best = i
		}
	}
	return best
}
