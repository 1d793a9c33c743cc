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

// fleet returns perRegion hosts for each of two regions. One host in six has four times
// the capacity of the others.
func fleet(perRegion int) []book.Host {
	var hosts []book.Host
	for _, region := range []string{"north", "south"} {
		for i := range perRegion {
			h := book.Host{Name: fmt.Sprint(region, i), Region: region, Capacity: 0.2}
			if i%6 == 0 {
				h.Capacity = 0.8
			}
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func ownersOf(hosts []book.Host) []string {
	owners, _ := place.Owners("stock", hosts)
	return owners
}

// With no more hosts than OwnerCount, every host is an owner of every database.
func TestEveryHostOfASmallSiteServesAllDatabases(t *testing.T) {
	g := NewWithT(t)
	for _, h := range fleet(4) {
		g.Expect(ownersOf(fleet(4))).To(ContainElement(h.Name))
	}
}

// A member that accepts 49 connections cannot give one to each of 66 hosts, but it can give
// five to each of nine owners.
func TestConnectionsOfAMemberSufficeForItsOwners(t *testing.T) {
	g := NewWithT(t)
	owners := ownersOf(fleet(33))
	g.Expect(owners).To(HaveLen(place.OwnerCount))
	g.Expect(49 / len(owners)).To(BeNumerically(">=", 5))
}

// Reads stay in their region only if the region has owners.
func TestEachRegionHasOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		database := rapid.String().Draw(t, "database")
		counts := make(map[string]int)
		for _, h := range place.Order(database, fleet(33))[:place.OwnerCount] {
			counts[h.Region]++
		}
		if counts["north"] < place.OwnerCount/2 || counts["south"] < place.OwnerCount/2 {
			t.Fatalf("got %v, want at least %d owners in each region", counts, place.OwnerCount/2)
		}
	})
}

func TestDrainingHostIsReplacedAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(12)
		before := ownersOf(hosts)
		drained := rapid.IntRange(0, len(hosts)-1).Draw(t, "drained")
		hosts[drained].Draining = true
		after := ownersOf(hosts)
		if slices.Contains(after, hosts[drained].Name) {
			t.Fatalf("got %v, want it without %s", after, hosts[drained].Name)
		}
		kept := 0
		for _, h := range before {
			if slices.Contains(after, h) {
				kept++
			}
		}
		// The order alternates between regions, so a vacated place may pass to the other region.
		if kept < len(before)-2 {
			t.Fatalf("got %v after %v, want at most two owners changed", after, before)
		}
	})
}
