// Package place decides which hosts serve a database.
//
// A database has a few home hosts: they watch it, replace its primary, and hold the
// connections to its members. Other hosts send their callers' requests to one of them.
// Every host works the homes out by itself from the list of hosts, so that hosts that
// know the same list agree. Homes need not agree for safety: a host that is asked for a
// database serves it, whoever thinks that it should.
package place

import (
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/pick"
)

// Homes is how many hosts serve a database. It is odd, so that a cut leaves a majority
// of them on one side, and large enough that each of two sites of today's size (8 and 9
// hosts) serves all its databases from every host.
const Homes = 9

// Order returns all hosts that are not leaving in the order of their claim on a
// database: the first Homes of them are its homes, and those behind take over when
// none of these can be reached. Regions take turns, so that each has homes.
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
	var turns []string
	for _, name := range pick.Weighed(database, weights) {
		h := byName[name]
		if len(regions[h.Region]) == 0 {
			turns = append(turns, h.Region)
		}
		regions[h.Region] = append(regions[h.Region], h)
	}
	order := make([]book.Host, 0, len(byName))
	for len(order) < len(byName) {
		for _, region := range turns {
			if list := regions[region]; len(list) > 0 {
				order = append(order, list[0])
				regions[region] = list[1:]
			}
		}
	}
	return order
}

// Of returns the names of a database's homes, and of its deputies: as many hosts, which
// serve it while no home can be reached.
func Of(database string, hosts []book.Host) (homes, deputies []string) {
	for i, h := range Order(database, hosts) {
		switch {
		case i < Homes:
			homes = append(homes, h.Name)
		case i < 2*Homes:
			deputies = append(deputies, h.Name)
		default:
			return homes, deputies
		}
	}
	return homes, deputies
}
