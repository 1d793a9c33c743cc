// Package place assigns databases to the hosts that serve them.
//
// A database has a few owners: hosts that monitor it, replace its primary, and hold the
// connections to its members. Other hosts relay their callers' requests to one of them.
// Every host computes the owners from the list of hosts, so hosts that know the same
// list agree. Safety does not depend on agreement: a host that receives a relayed
// request for a database serves it, even if it does not consider itself an owner.
package place

import (
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/pick"
)

// OwnerCount is the number of owners of a database. It is odd, so that a partition in two
// leaves a majority of them on one side, and large enough that in each of two sites of
// 8 and 9 hosts every host serves all of the site's databases.
const OwnerCount = 9

// Order returns all hosts that are not draining in their order for a database. The first
// OwnerCount hosts are its owners; the following ones take over when no owner can be
// reached. The order alternates between regions, so that each region has owners.
func Order(database string, hosts []book.Host) []book.Host {
	byName := make(map[string]book.Host, len(hosts))
	weights := make([]pick.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Draining {
			continue
		}
		byName[h.Name] = h
		weights = append(weights, pick.Host{Name: h.Name, Weight: h.Capacity})
	}
	regions := make(map[string][]book.Host)
	var regionOrder []string
	for _, name := range pick.WeightedOrder(database, weights) {
		h := byName[name]
		if len(regions[h.Region]) == 0 {
			regionOrder = append(regionOrder, h.Region)
		}
		regions[h.Region] = append(regions[h.Region], h)
	}
	order := make([]book.Host, 0, len(byName))
	for len(order) < len(byName) {
		for _, region := range regionOrder {
			if remaining := regions[region]; len(remaining) > 0 {
				order = append(order, remaining[0])
				regions[region] = remaining[1:]
			}
		}
	}
	return order
}

// Owners returns the names of a database's owners, and of its standbys: up to OwnerCount
// further hosts, which serve the database while no owner can be reached.
func Owners(database string, hosts []book.Host) (owners, standbys []string) {
	for i, h := range Order(database, hosts) {
		switch {
		case i < OwnerCount:
			owners = append(owners, h.Name)
		case i < 2*OwnerCount:
			standbys = append(standbys, h.Name)
		default:
			return owners, standbys
		}
	}
	return owners, standbys
}
