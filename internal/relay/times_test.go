package relay

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// slowSite is a client of two owners, of which the first may answer slowly.
type slowSite struct {
	*Client
}

func newSlowSite(t *testing.T) slowSite {
	hosts := []book.Host{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}}
	c, cleanUp := New(Options{
		Host: "self", Region: "north", Hosts: func() []book.Host { return hosts },
		Owners:      func(string) ([]string, bool) { return []string{"a", "b"}, false },
		Substitutes: func(string) []string { return nil },
	})
	t.Cleanup(cleanUp)
	return slowSite{c}
}

// relay sends ten requests a second for which owner a is preferred, and returns how many of them
// it got. Owner b answers in 20 ms, and a as given.
func (s slowSite) relay(d, took time.Duration, o Outcome) (toA int) {
	r := &chain.Request{Work: sheet.Row{Database: "stock", Kind: "orders"}}
	for range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		if s.Route("stock", 0)[0] == "a" {
			toA++
			s.times.record("a", r, time.Now().Add(-took), o)
		} else {
			s.times.record("b", r, time.Now().Add(-20*time.Millisecond), Outcome{})
		}
	}
	return toA
}

// TestSlowOwnerGetsFewerRequests covers an owner that is overloaded by requests of other hosts,
// of which no report tells. It answers slowly, or refuses requests, and gets fewer. Once
// it answers in time, the turn decides again within half a minute.
func TestSlowOwnerGetsFewerRequests(t *testing.T) {
	for name, c := range map[string]struct {
		took    time.Duration
		outcome Outcome
	}{
		"slow":     {took: 400 * time.Millisecond},
		"refusing": {outcome: Outcome{Failed: true, Fault: fault.Late}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newSlowSite(t)
				g.Expect(s.relay(10*time.Second, 20*time.Millisecond, Outcome{})).To(Equal(100))
				s.relay(20*time.Second, c.took, c.outcome)
				g.Expect(s.relay(10*time.Second, c.took, c.outcome)).To(BeNumerically("<", 70))
				s.relay(30*time.Second, 20*time.Millisecond, Outcome{})
				g.Expect(s.relay(10*time.Second, 20*time.Millisecond, Outcome{})).To(Equal(100))
			})
		})
	}
}

// TestWorkOfDatabasesWithJoinedNamesIsApart guards against an owner that gets fewer requests of one
// database because those of another one, whose name joined with the kind of work reads the same, are
// faster.
func TestWorkOfDatabasesWithJoinedNamesIsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlowSite(t)
		for range 50 {
			now := time.Now()
			s.times.record("a", &chain.Request{Work: sheet.Row{Database: "stock", Kind: "orders/read"}}, now.Add(-400*time.Millisecond), Outcome{})
			s.times.record("b", &chain.Request{Work: sheet.Row{Database: "stock/orders", Kind: "read"}}, now.Add(-20*time.Millisecond), Outcome{})
		}
		g := NewWithT(t)
		for _, owner := range []string{"a", "b"} {
			g.Expect(s.times.slowness(owner, time.Now())).To(BeNumerically("~", 1, 0.01), owner)
		}
	})
}
