package share

import (
	"maps"
	"slices"
)

// Level returns how much of a total one proxy may use, given how much each proxy wants.
// It is the max-min fair share: a proxy that wants little gets it, and those that want
// more share the rest alike. What nobody wants is spread over all, so that a proxy that
// suddenly wants more has it at hand. Every proxy gets at least 1.
func Level(total int, self string, wants map[string]int) int {
	left, hosts := total, len(wants)
	mine := wants[self]
	order := slices.SortedFunc(maps.Keys(wants), func(a, b string) int { return wants[a] - wants[b] })
	for i, host := range order {
		fair := left / (hosts - i)
		if wants[host] > fair {
			// From here on all want more than an equal share of what is left.
			if mine > fair {
				return max(fair, 1)
			}
			return max(mine, 1)
		}
		left -= wants[host]
	}
	return max(mine+left/max(hosts, 1), 1)
}
