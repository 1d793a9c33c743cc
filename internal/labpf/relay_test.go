package labpf_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labpf"
	"poplarrouter.example/poplarrouter/internal/place"
)

// fleetSize is so many proxies that some are no homes of the database.
const fleetSize = place.OwnerCount + 2

// newFleet starts the proxies of a fleet, and returns the numbers of the database's homes
// and of the other proxies.
func newFleet(t *testing.T) (s *site, homes, others []int) {
	return newFleetWith(t, func(*config.Settings) {})
}

// newFleetWith starts a fleet whose proxies have changed settings.
func newFleetWith(t *testing.T, change func(*config.Settings)) (s *site, homes, others []int) {
	s = newSiteWith(t, fleetSize, change)
	hosts := make([]book.Host, 0, fleetSize)
	for i := range fleetSize {
		settings := s.settingsOf(i)
		hosts = append(hosts, book.Host{Name: settings.Host, Region: settings.Region})
	}
	names, _ := place.Owners(labpf.Database, hosts)
	for i, h := range hosts {
		if slices.Contains(names, h.Name) {
			homes = append(homes, i)
			continue
		}
		others = append(others, i)
	}
	for _, other := range others {
		s.relays(other)
	}
	return s, homes, others
}

// relays waits until a proxy knows the other hosts, and sends requests on to the homes.
func (s *site) relays(proxy int) {
	c := s.enter(proxy, labpf.Session)
	s.Eventually(func() bool {
		before := len(s.log.with(relayed))
		s.comes(c, "READ k")
		return len(s.log.with(relayed)) > before
	}, patience, 50*time.Millisecond).Should(BeTrue())
}

const relayed = `"Event":307`

func TestARelayedSessionKeepsWhatItSetUp(t *testing.T) {
	s, _, others := newFleet(t)
	a, b := s.enter(others[0], labpf.Session), s.enter(others[1], labpf.Latest)
	s.comes(a, "WRITE k before")
	s.does(a, "SET zone north")
	s.does(a, "PREPARE p READ q2c")
	s.does(b, "PREPARE p WRITE q2c")
	s.does(a, "BEGIN")
	s.does(a, "WRITE k inside")
	s.Expect(s.does(a, "READ k")).To(Equal("inside"))
	s.comes(b, "READ k")
	s.Expect(s.does(b, "READ k")).To(Equal("before"), "another session sees no open transaction")
	s.does(b, "EXECUTE p other value")
	s.does(a, "ROLLBACK")
	s.Expect(s.does(a, "EXECUTE p k")).To(Equal("before"))
	s.does(a, "BEGIN READ")
	_, code, state, err := a.ask("WRITE k not-here")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect([]string{code, state}).To(Equal([]string{"READONLY", "E"}))
	s.does(a, "ROLLBACK")
	for i := range 20 {
		value := fmt.Sprint("v", i)
		s.does(a, "WRITE own "+value)
		s.Expect(s.does(a, "READ own")).To(Equal(value))
		s.Expect(s.platform.Count(value)).To(Equal(1))
	}
}

// TestALeavingHomeTurnsNothingAway drains the homes one after the other while a caller of
// another proxy writes: each write succeeds at its first try.
func TestALeavingHomeTurnsNothingAway(t *testing.T) {
	s, homes, others := newFleet(t)
	c := s.enter(others[0], labpf.Session)
	s.comes(c, "WRITE k before")
	written := 0
	for _, home := range homes[:3] {
		cut := make(chan int, 1)
		go func() { cut <- s.proxies[home].Drain() }()
		for drained, n := false, 0; !drained || n < 5; n++ {
			written++
			value := fmt.Sprint("w", written)
			s.does(c, "WRITE k "+value)
			s.Expect(s.platform.Count(value)).To(Equal(1))
			select {
			case n := <-cut:
				s.Expect(n).To(BeZero())
				drained = true
			case <-time.After(time.Millisecond):
			}
		}
		s.stops[home]()
		s.stops[home] = func() {}
	}
	s.Expect(written).To(BeNumerically(">", 3))
}

// TestAnotherProxyServesWhenAllHomesAreGone ends every home at once, and then the primary:
// a proxy that is left serves the database itself and replaces the primary.
func TestAnotherProxyServesWhenAllHomesAreGone(t *testing.T) {
	s, homes, others := newFleet(t)
	c := s.enter(others[0], labpf.Session)
	s.comes(c, "WRITE k before")
	for _, home := range homes {
		s.stops[home]()
		s.stops[home] = func() {}
	}
	s.comes(c, "WRITE k alone")
	s.Expect(s.does(c, "READ k")).To(Equal("alone"))
	s.platform.Primary().Crash()
	began := time.Now()
	s.comes(c, "WRITE k replaced")
	s.Expect(time.Since(began)).To(BeNumerically("<", target))
	// Another proxy may be asked that has not heard of the new primary yet, and refuses.
	s.comes(c, "READ k")
	s.Expect(s.does(c, "READ k")).To(Equal("replaced"))
	s.Expect(s.platform.Count("replaced")).To(Equal(1))
}

// TestATransactionEndsWithItsHome ends the home that holds an open transaction: the caller
// is told that nothing is kept, and its session goes on.
func TestATransactionEndsWithItsHome(t *testing.T) {
	s, homes, others := newFleet(t)
	c := s.enter(others[0], labpf.Session)
	s.comes(c, "WRITE k before")
	s.does(c, "BEGIN")
	s.does(c, "WRITE k inside")
	for _, home := range homes {
		s.stops[home]()
		s.stops[home] = func() {}
	}
	_, code, state, err := c.ask("WRITE k more")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect([]string{code, state}).To(Equal([]string{"ABORTED", "E"}))
	s.does(c, "ROLLBACK")
	s.comes(c, "WRITE k after")
	s.Expect(s.does(c, "READ k")).To(Equal("after"))
	s.Expect(s.platform.Count("inside")).To(BeZero())
}

// TestLongStatementsOfASessionWithStateAreRelayed guards against a caller that is told that its
// statement is too large at one host and not at another: a job contains the statement, its arguments
// and the state of the session, which together are longer than the longest message.
func TestLongStatementsOfASessionWithStateAreRelayed(t *testing.T) {
	s, _, others := newFleet(t)
	c := s.enter(others[0], labpf.Session)
	s.comes(c, "WRITE k before")
	s.does(c, "PREPARE p WRITE q2c")
	for _, name := range []string{"a", "b"} {
		s.does(c, "SET "+name+" "+strings.Repeat(name, 1000<<10))
	}
	long := strings.Repeat("x", 1<<20-1000)
	s.comes(c, "EXECUTE p k "+long)
	s.Expect(s.does(c, "READ k") == long).To(BeTrue())
}

// TestAStatementTooLargeToRelayEndsItsTransaction guards against a write that runs inside the
// transaction of another caller: the relay connection was used again although its owner
// still held the transaction, and the write was acknowledged and rolled back.
func TestAStatementTooLargeToRelayEndsItsTransaction(t *testing.T) {
	s, _, others := newFleet(t)
	a := s.enter(others[0], labpf.Session)
	s.comes(a, "WRITE k before")
	// A relayed EXECUTE carries the prepared text and the arguments.
	s.does(a, "PREPARE p WRITE "+strings.Repeat("q", 600<<10))
	s.does(a, "BEGIN")
	s.does(a, "WRITE k inside")
	_, code, state, err := a.ask("EXECUTE p k " + strings.Repeat("x", 600<<10))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect([]string{code, state}).To(Equal([]string{"ABORTED", "E"}))
	s.does(a, "ROLLBACK")
	// Callers take turns at the homes.
	for i := range 3 * place.OwnerCount {
		value := fmt.Sprint("alone", i)
		s.comes(s.enter(others[0], labpf.Session), "WRITE k "+value)
		s.Expect(s.platform.Count(value)).To(Equal(1), "the write is committed, not part of a transaction")
	}
	s.Expect(s.platform.Count("inside")).To(BeZero())
}
