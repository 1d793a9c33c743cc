package pick

import (
	"cmp"
	"math"
	"slices"
)

// Host is a host and its weight. The share of keys for which a host comes first is
// proportional to its weight.
type Host struct {
	Name   string
	Weight float64
}

// WeightedOrder returns the host names in their order for a key by weighted
// rendezvous hashing: a host of twice the weight comes first for twice as many keys.
// With equal weights the order is that of Order. A weight that is not above 0 counts
// as 1.
func WeightedOrder(key string, hosts []Host) []string {
	scores := make(map[string]float64, len(hosts))
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		scores[h.Name] = score(hash(key, h.Name), h.Weight)
		names = append(names, h.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return names
}

// score maps a hash to a number that grows with the hash and with the weight. The
// hash is scaled to a number between 0 and 1, both excluded.
func score(hash uint64, weight float64) float64 {
	if !(weight > 0) {
		weight = 1
	}
	const steps = 1 << 53
	unit := (float64(hash>>11) + 0.5) / steps
	return -weight / math.Log(unit)
}
