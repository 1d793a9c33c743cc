package share

import (
	"cmp"
	"maps"
	"slices"
)

// FairShare returns how much of total the proxy self may use, given the demand of each
// proxy. It is the max-min fair share: a proxy whose demand is small is granted all of it,
// and the others divide the remainder equally. Capacity beyond the total demand is divided
// equally among all proxies, so that a proxy whose demand rises suddenly has some available.
// The remainder of an integer division goes to the proxies that are first by name. Every
// proxy gets at least 1.
func FairShare(total int, self string, demand map[string]int) int {
	order := slices.SortedFunc(maps.Keys(demand), func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[a], demand[b]), cmp.Compare(a, b))
	})
	remaining := total
	for i, host := range order {
		unmet := order[i:]
		if fair := remaining / len(unmet); demand[host] > fair {
			// The demand of each remaining proxy exceeds an equal part of the remainder.
			return max(equalPart(remaining, self, unmet, demand[self]), 1)
		}
		remaining -= demand[host]
	}
	return max(demand[self]+equalPart(remaining, self, order, 0), 1)
}

// equalPart returns the part of self when total is divided equally among hosts, or
// fallback if self is not one of them.
func equalPart(total int, self string, hosts []string, fallback int) int {
	index := slices.Index(slices.Sorted(slices.Values(hosts)), self)
	if index < 0 {
		return fallback
	}
	fair, remainder := total/len(hosts), total%len(hosts)
	if index < remainder {
		fair++
	}
	return fair
}
