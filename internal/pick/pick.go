// Package pick assigns keys to hosts by rendezvous hashing. Proxies that know the
// same hosts compute the same order for a key, and the loss of a host moves only
// the keys that were assigned to it.
package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns a copy of hosts, sorted by descending hash for the key.
func Order(key string, hosts []string) []string {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(key, b), hash(key, a)), cmp.Compare(a, b))
	})
	return ordered
}

// Index returns the index of a host in the order for a key, or -1 if hosts does
// not contain it.
func Index(key, host string, hosts []string) int {
	return slices.Index(Order(key, hosts), host)
}

// First returns the first n hosts in the order for a key, or all if there are
// fewer.
func First(key string, hosts []string, n int) []string {
	ordered := Order(key, hosts)
	return ordered[:min(n, len(ordered))]
}

func hash(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}
