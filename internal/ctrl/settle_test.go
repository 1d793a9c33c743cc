package ctrl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/place"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// settleDelay is that of the controllers in these tests.
const settleDelay = 2 * time.Second

// noVoters has no other proxies to ask.
type noVoters struct{}

func (noVoters) AskWatchers(string, group.Term, []string) {}
func (noVoters) TellClaim(string, elect.Claim, []string)  {}

func (noVoters) MemberList(string) (serial uint64, at time.Time) { return 0, time.Now() }

// leadingControl is the control of a primary that always answers.
type leadingControl struct{ member.Control }

func (leadingControl) Close() {}

func (leadingControl) Ask(context.Context, bool) (group.State, error) {
	return group.State{Role: group.Primary, Term: 1}, nil
}

// startedFleet runs a test with the controllers of a proxy that starts with a fleet: put
// writes the entries of so many hosts to the store.
func startedFleet(t *testing.T, host string, test func(g *WithT, c *ctrl.Controllers, put func(count int))) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log, stopLog := event.New(io.Discard)
		defer stopLog()
		documents, kv := newDocuments(t, log)
		controllers, stop := ctrl.NewControllers(ctrl.ControllersOptions{
			Controller: ctrl.ControllerOptions{Host: host, Log: log, Voters: noVoters{}, Rules: elect.RulesFor(time.Second), Timeout: time.Second, Poll: time.Second, Dial: func(view.Member) member.Control { return leadingControl{} }}, Documents: documents, OnHosts: func([]book.Host) {}, Owners: place.Owners, SettleDelay: settleDelay,
		})
		defer stop()
		var version store.Version
		test(g, controllers, func(count int) {
			doc := book.HostsDoc{Serial: uint64(count) + 1} //nolint:gosec // a small count
			for i := range count {
				doc.Hosts = append(doc.Hosts, book.Host{Name: fmt.Sprint("h", i), Region: "r"})
			}
			raw, err := json.Marshal(doc)
			g.Expect(err).NotTo(HaveOccurred())
			version, err = kv.Put(t.Context(), string(book.Hosts), raw, version)
			g.Expect(err).NotTo(HaveOccurred())
		})
	})
}

// TestFleetThatStartsTogetherServesOnceItsListIsComplete starts a fleet of which a host
// registers every 100 ms. A host that computed the owners of databases from the first
// entries would take itself for an owner of most of them, and open connections to members
// that other hosts serve.
func TestFleetThatStartsTogetherServesOnceItsListIsComplete(t *testing.T) {
	startedFleet(t, "h0", func(g *WithT, c *ctrl.Controllers, put func(int)) {
		put(0)
		for count := 1; count <= 40; count++ {
			time.Sleep(100 * time.Millisecond)
			put(count)
			synctest.Wait()
			g.Expect(c.Names()).To(BeEmpty(), "with %d of 40 hosts", count)
		}
		time.Sleep(settleDelay + time.Second)
		owners, _ := c.Owners("d")
		g.Expect(owners).To(HaveLen(place.OwnerCount))
	})
}

// TestHostThatRestartsServesAtOnce starts a host whose entry has been in the list since
// before. It must not wait for changes of the list.
func TestHostThatRestartsServesAtOnce(t *testing.T) {
	startedFleet(t, "h0", func(g *WithT, c *ctrl.Controllers, put func(int)) {
		put(9)
		synctest.Wait()
		g.Expect(c.OwnersKnown()).To(BeTrue())
		g.Expect(c.Names()).To(ConsistOf("d"))
	})
}

// TestRequestIsServedBeforeTheListIsComplete has a request arrive while the fleet starts. It
// must not wait until the list of hosts is stable.
func TestRequestIsServedBeforeTheListIsComplete(t *testing.T) {
	startedFleet(t, "h0", func(g *WithT, c *ctrl.Controllers, put func(int)) {
		put(0)
		synctest.Wait()
		put(1)
		synctest.Wait()
		_, found := c.GetOrStart("d")
		g.Expect(found).To(BeTrue())
		put(2)
		synctest.Wait()
		g.Expect(c.Names()).To(ConsistOf("d"), "the database must stay in service")
	})
}
