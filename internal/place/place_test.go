package place_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/place"
)

// fleet returns so many hosts of each of two regions, one in six of them strong.
func fleet(each int) []book.Host {
	var hosts []book.Host
	for _, region := range []string{"north", "south"} {
		for i := range each {
			h := book.Host{Name: fmt.Sprint(region, i), Region: region, Capacity: 0.2}
			if i%6 == 0 {
				h.Capacity = 0.8
			}
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func homesOf(hosts []book.Host) []string {
	homes, _ := place.Of("stock", hosts)
	return homes
}

// TestEveryHostOfASmallSiteServesAllDatabases is today's size.
func TestEveryHostOfASmallSiteServesAllDatabases(t *testing.T) {
	g := NewWithT(t)
	for _, h := range fleet(4) {
		g.Expect(homesOf(fleet(4))).To(ContainElement(h.Name))
	}
}

// TestConnectionsOfAMemberSufficeForItsHomes is the load of 66 hosts before members that
// take 49 connections: nine homes have five each, where 66 could not have one.
func TestConnectionsOfAMemberSufficeForItsHomes(t *testing.T) {
	g := NewWithT(t)
	homes := homesOf(fleet(33))
	g.Expect(homes).To(HaveLen(place.Homes))
	g.Expect(49 / len(homes)).To(BeNumerically(">=", 5))
}

// TestEachRegionHasHomes keeps reads in their region while both are well.
func TestEachRegionHasHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		database := rapid.String().Draw(t, "database")
		counts := make(map[string]int)
		for _, h := range place.Order(database, fleet(33))[:place.Homes] {
			counts[h.Region]++
		}
		if counts["north"] < place.Homes/2 || counts["south"] < place.Homes/2 {
			t.Fatalf("got %v, want at least %d homes in each region", counts, place.Homes/2)
		}
	})
}

func TestAHostThatLeavesIsReplacedAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(12)
		was := homesOf(hosts)
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		hosts[gone].Draining = true
		now := homesOf(hosts)
		if slices.Contains(now, hosts[gone].Name) {
			t.Fatalf("got %v, want it without %s", now, hosts[gone].Name)
		}
		kept := 0
		for _, h := range was {
			if slices.Contains(now, h) {
				kept++
			}
		}
		// Regions take turns, so that the place of a host may pass to the other region.
		if kept < len(was)-2 {
			t.Fatalf("got %v after %v, want at most two homes changed", now, was)
		}
	})
}
