package usage_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/usage"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

var policy = usage.Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// fleet simulates hosts, the links between them and the callers of customers in virtual time.
type fleet struct {
	*rand.Rand
	now    time.Duration
	queue  events
	serial int
	nodes  []*node
	byName map[string]*node
	// listed is the true list of hosts, customers the true list of customers.
	listed    []usage.Peer
	customers map[string]sheet.Customer
	// group is the part of the network that a host is in; hosts of different groups do not
	// reach each other. lost, repeated and late are the probabilities of these faults.
	group map[string]int
	// cut reports whether the direct link between two hosts is cut.
	cut                  func(a, b usage.Peer) bool
	lost, repeated, late float64
	// patience is how long operations wait for a token.
	patience time.Duration
	// quiet stops the arrival of operations.
	quiet bool
	// onRun and onRefuse are called for each operation that runs or is refused.
	onRun, onRefuse func(customer string, arrived time.Duration)
	// messages and bytes count what is sent, if measured is set.
	measured        bool
	messages, bytes int
}

// node is a host of the fleet. Its process may be down, or frozen so that its events wait.
type node struct {
	peer        usage.Peer
	host        *usage.Host
	coordinator *usage.Coordinator
	base        time.Duration
	boot        uint32
	down        bool
	frozen      bool
	held        []func()
	waiting     map[uint64]arrival
	// ran is the number of operations that ran.
	ran  int
	wake time.Duration
}

// arrival is an operation of a customer that waits for a token.
type arrival struct {
	customer string
	at       time.Duration
}

type occurrence struct {
	at     time.Duration
	serial int
	run    func()
}

type events []occurrence

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(occurrence)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newFleet(seed uint64, hosts int, customers []sheet.Customer) *fleet {
	f := &fleet{
		Rand: rand.New(rand.NewPCG(seed, 1)), byName: make(map[string]*node), customers: make(map[string]sheet.Customer),
		group: make(map[string]int), cut: func(_, _ usage.Peer) bool { return false }, patience: time.Second, onRun: func(string, time.Duration) {}, onRefuse: func(string, time.Duration) {},
	}
	for _, c := range customers {
		f.customers[c.Name] = c
	}
	for i := range hosts {
		f.listed = append(f.listed, f.newPeer(fmt.Sprintf("host-%d", i)))
	}
	for _, p := range f.listed {
		f.start(p, f.listed)
	}
	return f
}

func (f *fleet) newPeer(name string) usage.Peer {
	return usage.Peer{Name: name, Region: []string{"north", "east", "south"}[f.IntN(3)], Capacity: 0.2 + 0.6*float64(f.IntN(2))}
}

// after schedules run, unless the process of the node has ended by then. It waits while the
// process is frozen.
func (f *fleet) after(d time.Duration, n *node, run func()) {
	f.serial++
	boot := uint32(0)
	if n != nil {
		boot = n.boot
	}
	heap.Push(&f.queue, occurrence{at: f.now + d, serial: f.serial, run: func() {
		switch {
		case n == nil:
			run()
		case n.down || n.boot != boot:
		case n.frozen:
			n.held = append(n.held, run)
		default:
			run()
		}
	}})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(occurrence)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// start starts a process on a host, which may have had another one before.
func (f *fleet) start(p usage.Peer, list []usage.Peer) {
	n, found := f.byName[p.Name]
	if !found {
		n = &node{}
		f.nodes = append(f.nodes, n)
		f.byName[p.Name] = n
	}
	*n = node{peer: p, boot: f.Uint32(), base: time.Duration(f.Uint64N(1 << 60)), waiting: make(map[uint64]arrival), wake: -1}
	n.host = usage.NewHost(policy, p, n.boot, f.clock(n))
	n.coordinator = usage.NewCoordinator(policy)
	f.setCustomers(n)
	n.host.SetHosts(f.clock(n), list)
	f.schedule(n)
}

func (f *fleet) clock(n *node) time.Duration { return n.base + f.now }

func (f *fleet) caps() []sheet.Customer {
	var list []sheet.Customer
	for _, c := range f.customers {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b sheet.Customer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (f *fleet) setCustomers(n *node) {
	n.host.SetCustomers(f.caps())
	n.coordinator.SetCustomers(f.clock(n), f.caps())
}

// stop ends the process of a host.
func (f *fleet) stop(n *node) { n.down, n.held = true, nil }

// freeze stops a process for some time. Its clock goes on.
func (f *fleet) freeze(n *node, d time.Duration) {
	n.frozen = true
	f.after(d, nil, func() {
		held := n.held
		n.frozen, n.held = false, nil
		for _, run := range held {
			run()
		}
	})
}

// announce passes the list of hosts to all hosts, with a delay that differs between them.
// Those in another group than the first host do not receive it while they are cut off.
func (f *fleet) announce() {
	const delay = 2 * time.Second
	list := slices.Clone(f.listed)
	for _, n := range f.nodes {
		f.after(time.Duration(f.Int64N(int64(delay)+1)), n, func() {
			if f.group[n.peer.Name] == 0 {
				n.host.SetHosts(f.clock(n), list)
				f.schedule(n)
			}
		})
	}
}

func (f *fleet) latency(a, b usage.Peer) time.Duration {
	if a.Region == b.Region {
		return 500 * time.Microsecond
	}
	return 31 * time.Millisecond
}

// send passes a message on, subject to the faults of the network.
func (f *fleet) send(from, to *node, frame peer.Frame, handle func()) {
	if f.measured {
		raw, _ := peer.Encode(frame)
		f.messages++
		f.bytes += len(raw)
	}
	for copies := 1; copies > 0; copies-- {
		if f.group[from.peer.Name] != f.group[to.peer.Name] || f.cut(from.peer, to.peer) || f.Float64() < f.lost {
			continue
		}
		d := f.latency(from.peer, to.peer)
		if f.Float64() < f.late {
			d += time.Duration(f.Int64N(int64(3 * time.Second)))
		}
		if f.Float64() < f.repeated {
			copies++
		}
		f.after(d, to, handle)
	}
}

// step lets a host act, and schedules the next time.
func (f *fleet) step(n *node) {
	for again := true; again; {
		again = false
		for _, s := range n.host.Step(f.clock(n)) {
			to, found := f.byName[s.To]
			switch {
			case !found:
			case to == n:
				f.settle(n, n.host.Take(f.clock(n), s.To, "", n.coordinator.Handle(f.clock(n), s.To, s.Ask)))
				again = true
			default:
				f.ask(n, to, f.byName[s.Via], s.Ask)
			}
		}
	}
	f.schedule(n)
}

// ask sends an ask, by way of another node unless it is nil, and returns the grant likewise.
func (f *fleet) ask(from, to, via *node, a usage.Ask) {
	boot, name := from.boot, ""
	if via != nil {
		name = via.peer.Name
	}
	f.pass(from, via, to, peer.Frame{CapAsk: &peer.CapAsk{Ask: a}}, func() {
		g := to.coordinator.Handle(f.clock(to), from.peer.Name, a)
		f.pass(to, via, from, peer.Frame{CapGrant: &peer.CapGrant{Grant: g}}, func() {
			// A grant returns over the connection of its ask, which ends with the process.
			if from.boot == boot {
				f.settle(from, from.host.Take(f.clock(from), to.peer.Name, name, g))
				f.step(from)
			}
		})
	})
}

// pass sends a message by way of another node, unless it is nil.
func (f *fleet) pass(from, via, to *node, frame peer.Frame, handle func()) {
	if via == nil {
		f.send(from, to, frame, handle)
		return
	}
	f.send(from, via, frame, func() { f.send(via, to, frame, handle) })
}

func (f *fleet) schedule(n *node) {
	at := n.host.Next(f.clock(n)) - n.base
	if n.wake > f.now && n.wake <= at {
		return
	}
	n.wake = at
	f.after(at-f.now, n, func() {
		if n.wake == at {
			n.wake = -1
			f.step(n)
		}
	})
}

func (f *fleet) settle(n *node, outcomes []usage.Outcome) {
	for _, o := range outcomes {
		a, found := n.waiting[o.ID]
		if !found {
			continue
		}
		delete(n.waiting, o.ID)
		if o.Run {
			n.ran++
			f.onRun(a.customer, a.at)
		} else {
			f.onRefuse(a.customer, a.at)
		}
	}
}

// arrive lets an operation of a customer arrive at a host.
func (f *fleet) arrive(n *node, customer string) {
	if n.down || n.frozen {
		return
	}
	decision, id := n.host.Arrive(f.clock(n), customer)
	switch decision {
	case usage.Run:
		n.ran++
		f.onRun(customer, f.now)
	case usage.Refuse:
		f.onRefuse(customer, f.now)
	case usage.Wait:
		arrived := f.now
		n.waiting[id] = arrival{customer, arrived}
		f.after(f.patience, n, func() {
			if _, found := n.waiting[id]; found {
				delete(n.waiting, id)
				n.host.Abandon(customer, id)
				f.onRefuse(customer, arrived)
			}
		})
		f.step(n)
		return
	}
	f.schedule(n)
}
