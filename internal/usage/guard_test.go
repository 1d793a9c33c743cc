package usage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/usage"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

const start = time.Hour

var acme = sheet.Customer{Name: "acme", Rate: 10, Burst: 100}

// rampRate is the number of tokens a second that a new coordinator may grant to acme: what a
// window of 5.5 s, with the life of tokens and two further slots, permits beyond the burst.
var rampRate = (0.98*((10*5+100)*1.1+0.75*20) - (100 + 20/4)) / 5.5

func newCoordinator() *usage.Coordinator {
	c := usage.NewCoordinator(policy)
	c.SetCustomers(start, []sheet.Customer{acme})
	return c
}

// ask returns an ask with a ticket issued at the given time.
func ask(id uint64, ticket time.Duration, hosts uint32) usage.Ask {
	return usage.Ask{ID: id, Boot: 1, Partition: usage.PartitionOf(acme.Name), Ticket: ticket.Milliseconds(), Hosts: hosts}
}

// pool returns the share of the coordinator, and the tokens in the bucket of acme.
func pool(c *usage.Coordinator, now time.Duration) (share, tokens float64) {
	for _, p := range c.Status(now) {
		return p.Share, p.Buckets[0].Tokens
	}
	return 0, 0
}

// A coordinator that did not run for some time must not count the authority of delegations
// that expired meanwhile.
func TestExpiredDelegationEarnsNothing(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinator()
	c.Handle(start, "one", ask(1, start, 2))
	_, before := pool(c, start)
	c.Handle(start+900*time.Millisecond, "two", ask(1, start+900*time.Millisecond, 2))
	share, tokens := pool(c, start+1700*time.Millisecond)
	g.Expect(share).To(BeNumerically("~", 0.5, 0.001))
	// One host's half counts for 1 s at most, the other's for 0.8 s, and each starts with half
	// of the initial tokens.
	g.Expect(tokens).To(BeNumerically(">", before))
	g.Expect(tokens).To(BeNumerically("<=", 1+0.5*rampRate*1.8))
}

// Hosts that count differing numbers of hosts must not give a coordinator more than the cap.
func TestShareIsAtMostTheCap(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinator()
	for _, host := range []string{"one", "two", "three"} {
		c.Handle(start, host, ask(1, start, 2))
	}
	share, before := pool(c, start)
	g.Expect(share).To(Equal(1.0))
	_, tokens := pool(c, start+500*time.Millisecond)
	g.Expect(tokens).To(BeNumerically("~", before+rampRate/2, 0.01))
}

// Tickets of the future are those of an earlier process of the coordinator, and old ones come
// from asks that were delayed. Neither may delegate.
func TestOnlyRecentTicketDelegates(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinator()
	for id, ticket := range []time.Duration{start - usage.DelegationTime, start + time.Millisecond, 0} {
		c.Handle(start, "one", ask(uint64(id+1), ticket, 1))
		share, _ := pool(c, start)
		g.Expect(share).To(BeZero())
	}
	c.Handle(start, "one", ask(9, start-usage.DelegationTime+time.Millisecond, 1))
	share, _ := pool(c, start)
	g.Expect(share).To(Equal(1.0))
	share, _ = pool(c, start+time.Millisecond)
	g.Expect(share).To(BeZero())
}

// An ask that arrives after the withdrawal that was sent later must not delegate again, and a
// repeated one gets no tokens.
func TestOvertakenAndRepeatedAsksHaveNoEffect(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinator()
	c.Handle(start, "one", ask(1, start, 1))
	c.Handle(start, "one", ask(3, start, 0))
	late := c.Handle(start, "one", ask(2, start, 1))
	g.Expect(late.Ticket).To(BeZero())
	share, _ := pool(c, start)
	g.Expect(share).To(BeZero())

	c.Handle(start, "one", ask(4, start, 1))
	a := ask(5, start+200*time.Millisecond, 1)
	a.Tokens = map[string]uint32{acme.Name: 1}
	g.Expect(c.Handle(start+200*time.Millisecond, "one", a).Tokens).To(HaveLen(1))
	g.Expect(c.Handle(start+200*time.Millisecond, "one", a).Tokens).To(BeEmpty())
}

// A restarted process counts its asks anew. They must not be taken for repeated ones.
func TestRestartedProcessIsServed(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinator()
	c.Handle(start, "one", ask(1000, start, 1))
	a := ask(1, start+100*time.Millisecond, 1)
	a.Boot = 2
	a.Tokens = map[string]uint32{acme.Name: 1}
	g.Expect(c.Handle(start+100*time.Millisecond, "one", a).Tokens).To(HaveLen(1))
}

// Hosts that are gone must not be remembered for ever.
func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinator()
	a := ask(7, start, 1)
	a.Tokens = map[string]uint32{acme.Name: 1}
	c.Handle(start, "one", a)
	g.Expect(c.Handle(start+time.Second, "one", a).Ticket).To(BeZero())
	g.Expect(c.Handle(start+time.Minute, "one", a).Ticket).NotTo(BeZero())
}

// askingHost returns a host that sends an ask for one operation of acme to the
// coordinator "other".
func askingHost(t *testing.T) (*usage.Host, usage.Ask) {
	g := NewWithT(t)
	h := usage.NewHost(policy, usage.Peer{Name: "self"}, 1, start)
	h.SetCustomers([]sheet.Customer{acme})
	h.SetHosts(start, []usage.Peer{{Name: "other"}})
	d, _ := h.Arrive(start, acme.Name)
	g.Expect(d).To(Equal(usage.Wait))
	sends := h.Step(start)
	g.Expect(sends).To(HaveLen(1))
	g.Expect(sends[0].To).To(Equal("other"))
	return h, sends[0].Ask
}

// A repeated grant must not give its tokens twice, nor one of a host that was not asked any.
func TestRepeatedGrantGivesNoTokens(t *testing.T) {
	g := NewWithT(t)
	h, a := askingHost(t)
	grant := usage.Grant{ID: a.ID, Partition: a.Partition, Ticket: 1, Tokens: map[string]uint32{acme.Name: 1}}
	g.Expect(h.Take(start, "stranger", "", grant)).To(BeEmpty())
	// The answer to a repeated ask may overtake the one with the tokens.
	g.Expect(h.Take(start, "other", "", usage.Grant{ID: a.ID, Partition: a.Partition})).To(BeEmpty())
	g.Expect(h.Take(start, "other", "", grant)).To(HaveLen(1))
	g.Expect(h.Take(start, "other", "", grant)).To(BeEmpty())
	d, _ := h.Arrive(start, acme.Name)
	g.Expect(d).To(Equal(usage.Wait))
}

// Tokens that arrive after their expiry, or are left over by then, belong to another window.
func TestExpiredTokensAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	for _, arrival := range []time.Duration{policy.TokenLife() - time.Millisecond, policy.TokenLife()} {
		h, a := askingHost(t)
		grant := usage.Grant{ID: a.ID, Partition: a.Partition, Ticket: 1, Tokens: map[string]uint32{acme.Name: 2}}
		outcomes := h.Take(start+arrival, "other", "", grant)
		if arrival < policy.TokenLife() {
			g.Expect(outcomes).To(HaveLen(1))
		} else {
			g.Expect(outcomes).To(BeEmpty())
		}
		d, _ := h.Arrive(start+policy.TokenLife(), acme.Name)
		g.Expect(d).To(Equal(usage.Wait))
	}
}

// Operations beyond the cap are refused at once, and others wait while a coordinator has not
// enough tokens yet.
func TestOnlyOperationsBeyondTheCapAreRefusedWithoutWaiting(t *testing.T) {
	g := NewWithT(t)
	for _, beyond := range []bool{false, true} {
		h, a := askingHost(t)
		grant := usage.Grant{ID: a.ID, Partition: a.Partition, Ticket: 1}
		if beyond {
			grant.Beyond = []string{acme.Name}
			g.Expect(h.Take(start, "other", "", grant)).To(HaveLen(1))
			continue
		}
		g.Expect(h.Take(start, "other", "", grant)).To(BeEmpty())
		sends := h.Step(start + 100*time.Millisecond)
		g.Expect(sends).To(HaveLen(1))
		g.Expect(sends[0].Ask.Again).To(HaveKeyWithValue(acme.Name, uint32(1)))
	}
}

// Counters of customers that send no more operations must not be kept.
func TestIdleCountersAreDropped(t *testing.T) {
	g := NewWithT(t)
	h, a := askingHost(t)
	h.Take(start, "other", "", usage.Grant{ID: a.ID, Partition: a.Partition, Ticket: 1, Tokens: a.Tokens})
	h.Step(start + time.Second)
	g.Expect(h.Status(start + time.Second)).To(HaveLen(1))
	h.Step(start + time.Minute)
	g.Expect(h.Status(start + time.Minute)).To(BeEmpty())
}

// delegatesAt returns when a host first delegates its part to the coordinator "other", which
// answers each ask at once.
func delegatesAt(h *usage.Host, from time.Duration) time.Duration {
	for now := from; now < from+time.Minute; now += time.Millisecond {
		for _, s := range h.Step(now) {
			if s.To != "other" {
				continue
			}
			if s.Ask.Ticket != 0 && s.Ask.Hosts > 0 {
				return now - from
			}
			h.Take(now, s.To, s.Via, usage.Grant{ID: s.Ask.ID, Partition: s.Ask.Partition, Ticket: now.Milliseconds()})
		}
	}
	return -1
}

// An earlier process of the host may have delegated its part to another coordinator until it
// ended.
func TestNewProcessDelegatesOnceAnEarlierDelegationHasExpired(t *testing.T) {
	g := NewWithT(t)
	h := usage.NewHost(policy, usage.Peer{Name: "self"}, 1, start)
	h.SetCustomers([]sheet.Customer{acme})
	h.SetHosts(start, []usage.Peer{{Name: "self", Draining: true}, {Name: "other"}})
	g.Expect(delegatesAt(h, start)).To(Equal(usage.DelegationTime))
}

// A coordinator that is removed from the list may still use the delegation that it was sent
// last.
func TestRemovedCoordinatorKeepsItsDelegationUntilItExpires(t *testing.T) {
	g := NewWithT(t)
	h := usage.NewHost(policy, usage.Peer{Name: "self"}, 1, start)
	h.SetCustomers([]sheet.Customer{acme})
	h.SetHosts(start, []usage.Peer{{Name: "self", Draining: true}, {Name: "other"}})
	g.Expect(delegatesAt(h, start)).To(Equal(usage.DelegationTime))
	changed := start + usage.DelegationTime
	h.SetHosts(changed, []usage.Peer{{Name: "self"}})
	h.Step(changed)
	h.SetHosts(changed, []usage.Peer{{Name: "self", Draining: true}, {Name: "other"}})
	g.Expect(delegatesAt(h, changed)).To(Equal(usage.DelegationTime))
}

// A customer that is removed and added again must not have its burst once more, nor one whose
// cap is lowered and raised.
func TestChangeOfCapGivesNoTokens(t *testing.T) {
	g := NewWithT(t)
	c := newCoordinator()
	c.Handle(start, "one", ask(1, start, 1))
	_, before := pool(c, start)
	c.SetCustomers(start, nil)
	c.SetCustomers(start, []sheet.Customer{acme})
	_, after := pool(c, start)
	g.Expect(after).To(BeNumerically("<=", before))

	full := start + 900*time.Millisecond
	_, unchanged := pool(c, full)
	c.SetCustomers(full, []sheet.Customer{{Name: acme.Name, Rate: 1, Burst: 0}})
	_, lowered := pool(c, full)
	g.Expect(lowered).To(BeNumerically("<=", policy.Slack/2))
	c.SetCustomers(full, []sheet.Customer{acme})
	_, raised := pool(c, full)
	g.Expect(raised).To(BeNumerically("<=", unchanged), "grants are remembered, so that the cap allows what it allowed before")
}

// Each planned change of a coordinator gives new buckets a few tokens. Lists that alternate
// must not make a host change to and fro with every answer.
func TestPlannedChangesAreRare(t *testing.T) {
	g := NewWithT(t)
	h := usage.NewHost(policy, usage.Peer{Name: "self"}, 1, start)
	h.SetCustomers([]sheet.Customer{acme})
	changes, last := 0, ""
	const seconds = 20
	for now := start; now < start+seconds*time.Second; now += 10 * time.Millisecond {
		odd := now/(50*time.Millisecond)%2 == 1
		h.SetHosts(now, []usage.Peer{{Name: "self", Draining: true}, {Name: "a", Draining: odd}, {Name: "b", Draining: !odd}})
		for _, s := range h.Step(now) {
			h.Take(now, s.To, s.Via, usage.Grant{ID: s.Ask.ID, Partition: s.Ask.Partition, Ticket: now.Milliseconds()})
			if s.Ask.Hosts > 0 && s.To != last {
				changes++
				last = s.To
			}
		}
	}
	g.Expect(changes).To(BeNumerically(">", 1))
	g.Expect(changes).To(BeNumerically("<=", seconds/2))
}
