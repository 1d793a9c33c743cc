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
	fmt.Println("of the least urgent rank:", least, "room for the most urgent:", q.Available(1))
	// Output: of the least urgent rank: 10 room for the most urgent: 4
}

// Whatever comes and goes, the size is never exceeded, and a rank below its floor
// finds a place.
func TestFloorsAndSizeHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		size := rapid.IntRange(1, 200).Draw(t, "size")
		q := quota.New(size, shares)
		var taken [sheet.MaxRank + 1]int
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			rank := sheet.Rank(rapid.IntRange(1, int(sheet.MaxRank)).Draw(t, "rank"))
			if taken[rank] > 0 && rapid.Bool().Draw(t, "goes") {
				q.Release(rank)
				taken[rank]--
				continue
			}
			below := taken[rank] < int(shares[rank]*float64(size))
			room := q.Available(rank)
			got := q.TryAcquire(rank)
			g.Expect(got).To(Equal(room > 0))
			g.Expect(got || !below).To(BeTrue(), "a rank below its floor")
			if got {
				taken[rank]++
			}
			g.Expect(taken[1] + taken[2] + taken[3]).To(BeNumerically("<=", size))
		}
	})
}

// offer is a piece of work that wants a place.
type offer struct {
	rank sheet.Rank
	ends int
}

// BenchmarkPlaces offers ten times as much work of one rank as there are places,
// and of each other rank a tenth of the places, on the same seeded trace for each
// way. It reports how much of each rank found a place.
func BenchmarkPlaces(b *testing.B) {
	for name, way := range map[string]quota.MinimumShares{"production": shares, "first-come": {}} {
		for flood := sheet.Rank(1); flood <= sheet.MaxRank; flood++ {
			b.Run(fmt.Sprintf("%s/flood-of-rank-%d", name, flood), func(b *testing.B) {
				for b.Loop() {
					for r, part := range admitted(way, flood) {
						b.ReportMetric(100*part, fmt.Sprintf("rank-%d-admitted-%%", r))
					}
				}
			})
		}
	}
}

// admitted returns the part of each rank's work that found a place.
func admitted(way quota.MinimumShares, flood sheet.Rank) map[sheet.Rank]float64 {
	const size, steps, takes, seed = 200, 20_000, 100, 7
	draws := rand.New(rand.NewPCG(seed, seed))
	q := quota.New(size, way)
	var running []offer
	offered, found := make(map[sheet.Rank]float64), make(map[sheet.Rank]float64)
	for now := range steps {
		running = slices.DeleteFunc(running, func(o offer) bool {
			if o.ends <= now {
				q.Release(o.rank)
			}
			return o.ends <= now
		})
		for _, r := range arrivals(draws, flood, size/takes) {
			offered[r]++
			if q.TryAcquire(r) {
				found[r]++
				running = append(running, offer{rank: r, ends: now + 1 + int(draws.ExpFloat64()*takes)})
			}
		}
	}
	for r := range offered {
		found[r] /= offered[r]
	}
	return found
}

// arrivals draws the ranks that arrive in one step, in a random order. The capacity
// is how many pieces of work end in a step if all places are taken.
func arrivals(draws *rand.Rand, flood sheet.Rank, capacity float64) []sheet.Rank {
	var list []sheet.Rank
	for r := sheet.Rank(1); r <= sheet.MaxRank; r++ {
		mean := capacity / 10
		if r == flood {
			mean = capacity * 10
		}
		for at := draws.ExpFloat64(); at < mean; at += draws.ExpFloat64() {
			list = append(list, r)
		}
	}
	draws.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
