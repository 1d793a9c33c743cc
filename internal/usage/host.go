package usage

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"poplarrouter.example/poplarrouter/internal/pick"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Peer is a host that can be a coordinator.
type Peer struct {
	Name   string
	Region string
	// Capacity is its processor capacity. Hosts with much capacity are preferred.
	Capacity float64
	Draining bool
}

// Send is an ask and the host that it is for, which may be the sender itself. It is sent to the
// host Via, which passes it on, unless Via is empty.
type Send struct {
	To  string
	Via string
	Ask Ask
}

// Decision is what becomes of an operation on its arrival.
type Decision int

// Decisions.
const (
	// Run means that the operation may run now.
	Run Decision = iota + 1
	// Refuse means that the customer is beyond its cap.
	Refuse
	// Wait means that the outcome follows, unless the operation is abandoned.
	Wait
)

// Outcome is what becomes of a waiting operation: it may run, or is refused.
type Outcome struct {
	ID  uint64
	Run bool
}

const (
	// listHoldTime is how long a host that is removed from the list still counts among the
	// hosts that share the caps. It may be cut off, know an earlier list, and delegate its
	// part for some time.
	listHoldTime = time.Minute
	// maxCandidates is the number of hosts that are tried as coordinators of a partition
	// before a host acts as its own. With half of the hosts out of reach, one partition in
	// 256 has no reachable candidate.
	maxCandidates = 8
	// probeTime is the pause between asks to a host that did not answer.
	probeTime = time.Second
	// The answer to an ask is missed after localTimeout, or remoteTimeout between regions.
	localTimeout  = 150 * time.Millisecond
	remoteTimeout = 300 * time.Millisecond
	// longRoundTrip is a little longer than a round trip between distant regions.
	longRoundTrip = 70 * time.Millisecond
	// minAskGap is the minimum time between two asks to a coordinator, within which operations
	// that arrive share an ask. Waiting for the answer of the ask in flight instead saves 2 to
	// 5% of the bytes, but makes the waits of 99 in 100 operations last up to 118 ms and not 68 ms.
	minAskGap = 10 * time.Millisecond
)

// Host is a host's side: it decides which operations may run, requests tokens and delegates
// the host's part of the caps.
type Host struct {
	policy Policy
	self   Peer
	boot   uint32

	peers map[string]Peer
	// counts are the numbers of listed hosts, now and within listHoldTime, in descending order.
	counts []hostCount
	listed bool
	// capped marks the partitions that have customers with caps.
	capped   [Partitions]bool
	parts    [Partitions]*partition
	counters [Partitions]map[string]*counter
	// down holds the hosts that did not answer, and when to probe them next.
	down   map[string]time.Duration
	lastID uint64
	swept  time.Duration
}

// hostCount is a number of listed hosts and the time until which it counts.
type hostCount struct {
	hosts int
	until time.Duration
}

// NewHost returns the side of a host whose process has just started, and whose earlier process
// may have delegated its part until now.
func NewHost(policy Policy, self Peer, boot uint32, now time.Duration) *Host {
	h := &Host{policy: policy, self: self, boot: boot, down: make(map[string]time.Duration), swept: now}
	for i := range h.parts {
		h.parts[i] = newPartition(uint32(i), now) //nolint:gosec // less than Partitions
		h.counters[i] = make(map[string]*counter)
	}
	return h
}

// SetHosts replaces the list of hosts.
func (h *Host) SetHosts(now time.Duration, hosts []Peer) {
	h.peers = make(map[string]Peer, len(hosts))
	weights := make([]pick.Host, 0, len(hosts))
	for _, p := range hosts {
		h.peers[p.Name] = p
		if !p.Draining {
			weights = append(weights, pick.Host{Name: p.Name, Weight: p.Capacity})
		}
	}
	_, h.listed = h.peers[h.self.Name]
	maps.DeleteFunc(h.down, func(name string, _ time.Duration) bool { _, found := h.peers[name]; return !found })
	h.count(now, len(h.peers))
	for i, p := range h.parts {
		p.order = pick.WeightedOrder(orderKey(i), weights)
		p.order = p.order[:min(len(p.order), maxCandidates)]
	}
}

func orderKey(partition int) string { return "usage-caps-" + strconv.Itoa(partition) }

// count records the number of listed hosts. A larger one counts from now on, a smaller one
// after listHoldTime.
func (h *Host) count(now time.Duration, hosts int) {
	for i := range h.counts {
		h.counts[i].until = min(h.counts[i].until, now+listHoldTime)
	}
	h.counts = slices.DeleteFunc(h.counts, func(c hostCount) bool { return c.hosts <= hosts || c.until <= now })
	h.counts = append(h.counts, hostCount{hosts: hosts, until: math.MaxInt64})
}

// hosts returns the number of hosts that share the caps, or 0 if this host is not one of them.
func (h *Host) hosts(now time.Duration) uint32 {
	if !h.listed {
		return 0
	}
	h.counts = slices.DeleteFunc(h.counts, func(c hostCount) bool { return c.until <= now })
	return uint32(h.counts[0].hosts) //nolint:gosec // a number of hosts
}

// SetCustomers replaces the list of customers.
func (h *Host) SetCustomers(customers []sheet.Customer) {
	h.capped = [Partitions]bool{}
	for _, c := range customers {
		if c.Capped() {
			h.capped[PartitionOf(c.Name)] = true
		}
	}
}

// Arrive decides about an operation of a customer with a cap. If it has to wait, id names it.
func (h *Host) Arrive(now time.Duration, customer string) (d Decision, id uint64) {
	i := PartitionOf(customer)
	h.capped[i] = true
	c, found := h.counters[i][customer]
	if !found {
		c = &counter{}
		h.counters[i][customer] = c
	}
	c.arrivals.add(now, ratePeriod, 1)
	if len(c.waiting) == 0 && c.take(now) {
		return Run, 0
	}
	if c.refusesAtOnce(now) {
		c.unserved++
		return Refuse, 0
	}
	h.lastID++
	c.waiting = append(c.waiting, waiter{id: h.lastID})
	return Wait, h.lastID
}

// Abandon removes a waiting operation.
func (h *Host) Abandon(customer string, id uint64) {
	if c, found := h.counters[PartitionOf(customer)][customer]; found {
		c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool { return w.id == id })
	}
}

// Take handles a grant of a host, which the host via has passed on unless it is empty.
func (h *Host) Take(now time.Duration, from, via string, g Grant) []Outcome {
	delete(h.down, from)
	if g.Partition >= Partitions || g.Ticket == 0 {
		return nil
	}
	p := h.parts[g.Partition]
	asked, found := p.answered(now, from, via, g)
	if !found {
		return nil
	}
	var outcomes []Outcome
	for _, name := range asked.customers {
		c, known := h.counters[g.Partition][name]
		if !known {
			continue
		}
		beyond := slices.Contains(g.Beyond, name)
		c.beyondUntil = now
		if beyond {
			c.beyondUntil = now + beyondTime
		}
		// Tokens that arrive too late have expired.
		c.add(g.Tokens[name], asked.sent+h.policy.TokenLife())
		c.retryAt = now + retryTime
		outcomes = append(outcomes, c.settle(now, g.ID, beyond)...)
	}
	return outcomes
}

// Step returns the asks that are due.
func (h *Host) Step(now time.Duration) []Send {
	var sends []Send
	h.sweep(now)
	for i, p := range h.parts {
		if !h.capped[i] {
			continue
		}
		h.checkAnswer(now, p)
		h.chooseCoordinator(now, p)
		sends = append(sends, h.probe(now, p)...)
		if p.coordinator != "" && h.dueAt(now, p) <= now {
			sends = append(sends, h.route(now, p, h.ask(now, p))...)
		}
	}
	return sends
}

// Next returns when Step has to be called next, unless an operation or a grant arrives first.
func (h *Host) Next(now time.Duration) time.Duration {
	next := now + RenewInterval
	for i, p := range h.parts {
		if !h.capped[i] || p.coordinator == "" {
			continue
		}
		if p.inFlight != 0 {
			next = min(next, p.awaitedSince+h.timeout(p))
		}
		next = min(next, h.dueAt(now, p))
	}
	return max(next, now+time.Millisecond)
}

// Active reports whether there are caps, so that Step has anything to do.
func (h *Host) Active() bool { return slices.Contains(h.capped[:], true) }

// sweep drops counters that have been idle.
func (h *Host) sweep(now time.Duration) {
	if now < h.swept+idleTime/2 {
		return
	}
	h.swept = now
	for _, counters := range h.counters {
		maps.DeleteFunc(counters, func(_ string, c *counter) bool { return c.idle(now) })
	}
}

func (h *Host) newID() uint64 {
	h.lastID++
	return h.lastID
}

func (h *Host) timeout(p *partition) time.Duration {
	if p.via == "" && h.peers[p.coordinator].Region == h.self.Region {
		return localTimeout
	}
	return remoteTimeout
}

// checkAnswer records that the answer to the ask in flight is missing, and that the
// coordinator is down if several are.
func (h *Host) checkAnswer(now time.Duration, p *partition) {
	if p.inFlight == 0 || now < p.awaitedSince+h.timeout(p) {
		return
	}
	if p.miss() {
		h.down[p.coordinator] = now + probeTime
	}
}

// target returns the host that should coordinate a partition.
func (h *Host) target(p *partition) string {
	for _, name := range p.order {
		if _, down := h.down[name]; !down {
			return name
		}
	}
	if h.listed {
		return h.self.Name
	}
	return ""
}

// chooseCoordinator moves a partition to the coordinator that it should have. A coordinator
// that answers first returns the delegation, so that the next one need not wait until it has
// expired.
func (h *Host) chooseCoordinator(now time.Duration, p *partition) {
	target := h.target(p)
	if target == p.coordinator {
		p.withdrawing = false
		return
	}
	_, listed := h.peers[p.coordinator]
	_, down := h.down[p.coordinator]
	switch {
	case p.coordinator == "", !listed, down, !p.delegates(now):
		p.moveTo(now, target)
	case now >= p.movedAt+minStay:
		p.withdrawing = true
	}
}

// dueAt returns when the next ask of a partition is due. While one is in flight, that is only
// for operations that arrived since.
func (h *Host) dueAt(now time.Duration, p *partition) time.Duration {
	if p.inFlight != 0 {
		for _, c := range h.counters[p.number] {
			if c.unasked() > 0 && p.misses == 0 {
				return p.sent + minAskGap
			}
		}
		return math.MaxInt64
	}
	if p.misses > 0 || p.withdrawing {
		return p.sent + h.gap(p)
	}
	due := p.sent + RenewInterval
	if h.listed && p.ticket != 0 && !p.delegates(now) {
		due = min(due, max(p.freeAt, p.sent+h.gap(p)))
	}
	for _, c := range h.counters[p.number] {
		if at, wanted := c.dueAt(now, p.sent); wanted {
			due = min(due, max(at, p.sent+h.gap(p)))
		}
	}
	return due
}

// gap returns the minimum time between two asks to the coordinator. One that is this host
// itself costs no message.
func (h *Host) gap(p *partition) time.Duration {
	if p.coordinator == h.self.Name {
		return 0
	}
	return minAskGap
}

// ask returns the next ask of a partition and records it.
func (h *Host) ask(now time.Duration, p *partition) Ask {
	a := Ask{ID: h.newID(), Boot: h.boot, Partition: p.number}
	record := request{to: p.coordinator, sent: now}
	for _, name := range slices.Sorted(maps.Keys(h.counters[p.number])) {
		c := h.counters[p.number][name]
		n, again := c.wanted(now)
		if p.inFlight != 0 {
			n, again = c.unasked(), 0
		}
		if n == 0 {
			continue
		}
		if a.Tokens == nil {
			a.Tokens = make(map[string]uint32)
		}
		a.Tokens[name] = n
		if again > 0 {
			if a.Again == nil {
				a.Again = make(map[string]uint32)
			}
			a.Again[name] = again
		}
		c.asked(a.ID)
		record.customers = append(record.customers, name)
	}
	// An ask that follows a missed or overdue answer does not renew the delegation, so that it
	// expires early if the coordinator is lost.
	overdue := p.misses > 0 || p.inFlight != 0 && now > p.awaitedSince+longRoundTrip
	if p.ticket != 0 && !overdue && now >= p.freeAt {
		a.Ticket, a.Hosts = p.ticket, h.hosts(now)
		if p.withdrawing {
			a.Hosts = 0
		}
	}
	p.asked(now, a, record)
	return a
}
