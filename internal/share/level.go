package share

import (
	"cmp"
	"maps"
	"slices"
)

// FairShare returns how much of a total one proxy may use, given how much each proxy wants.
// It is the max-min fair share: a proxy that wants little gets it, and those that want
// more share the rest alike. What nobody wants is spread over all, so that a proxy that
// suddenly wants more has it at hand. What cannot be shared alike goes to those that come
// first by name. Every proxy gets at least 1.
func FairShare(total int, self string, wants map[string]int) int {
	order := slices.SortedFunc(maps.Keys(wants), func(a, b string) int {
		return cmp.Or(cmp.Compare(wants[a], wants[b]), cmp.Compare(a, b))
	})
	left := total
	for i, host := range order {
		alike := order[i:]
		if fair := left / len(alike); wants[host] > fair {
			// From here on all want more than an equal share of what is left.
			return max(part(left, self, alike, wants[self]), 1)
		}
		left -= wants[host]
	}
	return max(wants[self]+part(left, self, order, 0), 1)
}

// part returns a proxy's part of what is shared alike, or what it has if it is not one of
// those that share.
func part(total int, self string, hosts []string, has int) int {
	place := slices.Index(slices.Sorted(slices.Values(hosts)), self)
	if place < 0 {
		return has
	}
	fair, rest := total/len(hosts), total%len(hosts)
	if place < rest {
		fair++
	}
	return fair
}
