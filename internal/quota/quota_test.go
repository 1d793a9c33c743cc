package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

var shares = quota.MinimumShares(slots.DefaultMinimumShares().Share)

func Example() {
	q := quota.New(16, shares)
	least := 0
	for q.TryAcquire(3) {
		least++
	}
	fmt.Println("used by the least urgent rank:", least, "available to the most urgent:", q.Available(1))
	// Output: used by the least urgent rank: 10 available to the most urgent: 4
}

// TestMinimumsAndSizeHold checks for random sequences of acquisitions and releases that
// the size is never exceeded, and that a rank below its minimum is always admitted.
func TestMinimumsAndSizeHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		size := rapid.IntRange(1, 200).Draw(t, "size")
		q := quota.New(size, shares)
		var used [sheet.MaxRank + 1]int
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			rank := sheet.Rank(rapid.IntRange(1, int(sheet.MaxRank)).Draw(t, "rank"))
			if used[rank] > 0 && rapid.Bool().Draw(t, "release") {
				q.Release(rank)
				used[rank]--
				continue
			}
			below := used[rank] < int(shares[rank]*float64(size))
			available := q.Available(rank)
			acquired := q.TryAcquire(rank)
			g.Expect(acquired).To(Equal(available > 0))
			g.Expect(acquired || !below).To(BeTrue(), "a rank below its minimum")
			if acquired {
				used[rank]++
			}
			g.Expect(used[1] + used[2] + used[3]).To(BeNumerically("<=", size))
		}
	})
}

// job is a piece of admitted work.
type job struct {
	rank sheet.Rank
	ends int
}

// BenchmarkPlaces offers work of one rank at ten times the capacity, and of each other
// rank at a tenth of it, with the same seeded trace for each configuration. It reports
// how much of each rank's work was admitted.
func BenchmarkPlaces(b *testing.B) {
	for name, minimums := range map[string]quota.MinimumShares{"production": shares, "first-come": {}} {
		for flood := sheet.Rank(1); flood <= sheet.MaxRank; flood++ {
			b.Run(fmt.Sprintf("%s/flood-of-rank-%d", name, flood), func(b *testing.B) {
				for b.Loop() {
					for r, part := range admitted(minimums, flood) {
						b.ReportMetric(100*part, fmt.Sprintf("rank-%d-admitted-%%", r))
					}
				}
			})
		}
	}
}

// admitted returns the fraction of each rank's work that was admitted.
func admitted(minimums quota.MinimumShares, flood sheet.Rank) map[sheet.Rank]float64 {
	const size, steps, duration, seed = 200, 20_000, 100, 7
	rng := rand.New(rand.NewPCG(seed, seed))
	q := quota.New(size, minimums)
	var running []job
	offered, accepted := make(map[sheet.Rank]float64), make(map[sheet.Rank]float64)
	for now := range steps {
		running = slices.DeleteFunc(running, func(j job) bool {
			if j.ends <= now {
				q.Release(j.rank)
			}
			return j.ends <= now
		})
		for _, r := range arrivals(rng, flood, size/duration) {
			offered[r]++
			if q.TryAcquire(r) {
				accepted[r]++
				running = append(running, job{rank: r, ends: now + 1 + int(rng.ExpFloat64()*duration)})
			}
		}
	}
	for r := range offered {
		accepted[r] /= offered[r]
	}
	return accepted
}

// arrivals returns the ranks of the work that arrives in one step, in random order.
// capacity is how many pieces of work end in a step at full use.
func arrivals(rng *rand.Rand, flood sheet.Rank, capacity float64) []sheet.Rank {
	var list []sheet.Rank
	for r := sheet.Rank(1); r <= sheet.MaxRank; r++ {
		mean := capacity / 10
		if r == flood {
			mean = capacity * 10
		}
		for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
			list = append(list, r)
		}
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
