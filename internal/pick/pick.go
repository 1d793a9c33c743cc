// Package pick chooses hosts for a duty by rendezvous hashing: every proxy that
// knows the same hosts comes to the same order for a key, and the loss of a
// host moves only the keys that it held.
package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the hosts in the order of their claim on a key. It does not
// change the list it is given.
func Order(key string, hosts []string) []string {
	list := slices.Clone(hosts)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return list
}

// Index returns the place of a host in the order of claims on a key, from 0,
// or -1 if the list does not hold it.
func Index(key, host string, hosts []string) int {
	return slices.Index(Order(key, hosts), host)
}

// First returns at most n hosts with the strongest claim on a key.
func First(key string, hosts []string, n int) []string {
	list := Order(key, hosts)
	return list[:min(n, len(list))]
}

func weight(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}
