package usage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarrouter.example/poplarrouter/internal/usage"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

const windowLength = 5 * time.Second

// window counts the operations of one customer in the last windowLength, and knows the limits
// that applied in it.
type window struct {
	runs   []time.Duration
	limits []limitSince
}

// limitSince is a limit, and the burst of its cap, from a time on.
type limitSince struct {
	at           time.Duration
	limit, burst float64
}

func limitOf(c sheet.Customer) float64 { return (c.Rate*windowLength.Seconds()+c.Burst)*1.1 + 20 }

// add counts an operation and returns the number in the window that ends with it, and the
// limit. A lower limit applies one window after it takes effect.
func (w *window) add(now time.Duration) (count int, limit float64) {
	w.runs = append(w.runs, now)
	for w.runs[0] <= now-windowLength {
		w.runs = w.runs[1:]
	}
	for i, l := range w.limits {
		if i+1 == len(w.limits) || w.limits[i+1].at > now-2*windowLength {
			limit = max(limit, l.limit)
		}
	}
	return len(w.runs), limit
}

// burst returns the burst of the cap in force.
func (w *window) burst(now time.Duration) (burst float64) {
	for _, l := range w.limits {
		if l.at <= now {
			burst = l.burst
		}
	}
	return burst
}

// permitted returns the highest limit that applied.
func (w *window) permitted() (limit float64) {
	for _, l := range w.limits {
		limit = max(limit, l.limit)
	}
	return limit
}

func testCustomers() []sheet.Customer {
	var list []sheet.Customer
	for i, rate := range []float64{150, 60, 40, 20, 8, 3, 0.5} {
		list = append(list, sheet.Customer{Name: fmt.Sprint("customer-", i), Rate: rate, Burst: []float64{0, 1, 2}[i%3] * rate})
	}
	return list
}

// disruption disturbs a fleet every interval.
type disruption struct {
	name  string
	apply func(f *fleet, s *sites)
}

// sites is what disruptions know about a fleet.
type sites struct {
	windows map[string]*window
	added   int
}

func (f *fleet) anyNode() *node { return f.nodes[f.IntN(len(f.nodes))] }

// coordinators returns a node that coordinates a partition, mostly, since disruptions of other
// hosts have little effect.
func (f *fleet) coordinatorNode() *node {
	asker := f.anyNode()
	if n, found := f.byName[asker.host.Coordinator(uint32(f.IntN(usage.Partitions)))]; found && f.IntN(4) > 0 {
		return n
	}
	return asker
}

func (f *fleet) span(from, to time.Duration) time.Duration {
	return from + time.Duration(f.Int64N(int64(to-from)))
}

func killAndRestart(f *fleet, _ *sites) {
	for range 1 + f.IntN(4) {
		n := f.coordinatorNode()
		if n.down {
			continue
		}
		f.stop(n)
		f.after(f.span(10*time.Millisecond, 3*time.Second), nil, func() {
			if n.down {
				f.start(n.peer, f.listed)
			}
		})
	}
}

func cut(f *fleet, _ *sites) {
	groups := 1 + f.IntN(4)
	for _, n := range f.nodes {
		f.group[n.peer.Name] = f.IntN(groups)
	}
	if f.IntN(3) == 0 {
		clear(f.group)
		f.group[f.coordinatorNode().peer.Name] = 1
	}
}

// cutLinks cuts the links between two regions, or some single links.
func cutLinks(f *fleet, _ *sites) {
	salt := f.Uint64()
	f.cut = func(a, b usage.Peer) bool {
		if salt%3 == 0 {
			return a.Region != b.Region && a.Region+b.Region != "northsouth" && a.Region+b.Region != "southnorth"
		}
		h := xxhash.Sum64String(min(a.Name, b.Name)+max(a.Name, b.Name)) ^ salt
		return h%3 == 0
	}
}

func freeze(f *fleet, _ *sites) {
	for range 1 + f.IntN(4) {
		if n := f.coordinatorNode(); !n.frozen && !n.down {
			f.freeze(n, f.span(50*time.Millisecond, 4*time.Second))
		}
	}
}

func disturbMessages(f *fleet, _ *sites) {
	f.lost, f.repeated, f.late = 0.3*f.Float64(), 0.3*f.Float64(), 0.3*f.Float64()
}

func changeList(f *fleet, s *sites) {
	i := f.IntN(len(f.listed))
	old := f.byName[f.listed[i].Name]
	switch f.IntN(3) {
	case 0: // a host is replaced by one of another name
		f.stop(old)
		f.listed = slices.Delete(slices.Clone(f.listed), i, i+1)
		fallthrough
	case 1: // a host is added
		s.added++
		p := f.newPeer(fmt.Sprint("added-", s.added))
		f.listed = append(slices.Clone(f.listed), p)
		f.start(p, f.listed)
	case 2: // a host starts or stops to drain
		f.listed = slices.Clone(f.listed)
		f.listed[i].Draining = !f.listed[i].Draining
	}
	f.announce()
}

// dropCutOff removes the entries of the hosts that are cut off, as the store does when they
// are not renewed, while these hosts run on.
func dropCutOff(f *fleet, _ *sites) {
	if f.IntN(2) == 0 {
		clear(f.group)
		for _, n := range f.nodes[1:] {
			if f.IntN(3) == 0 {
				f.group[n.peer.Name] = 1
			}
		}
	}
	f.listed = nil
	for _, n := range f.nodes {
		if f.group[n.peer.Name] == 0 && !n.down {
			f.listed = append(f.listed, n.peer)
		}
	}
	f.announce()
}

func changeCaps(f *fleet, s *sites) {
	names := f.caps()
	c := names[f.IntN(len(names))]
	factor := []float64{0.2, 0.5, 2, 5}[f.IntN(4)]
	if c.Rate*factor > 500 || c.Rate*factor < 0.2 {
		return
	}
	c.Rate, c.Burst = c.Rate*factor, c.Burst*factor
	f.customers[c.Name] = c
	const spread = 200 * time.Millisecond
	for _, n := range f.nodes {
		f.after(f.span(0, spread), n, func() { f.setCustomers(n) })
	}
	// Until the last host has the new cap, the greater one applies.
	w := s.windows[c.Name]
	last := w.limits[len(w.limits)-1]
	w.limits = append(w.limits,
		limitSince{f.now, max(last.limit, limitOf(c)), max(last.burst, c.Burst)},
		limitSince{f.now + spread, limitOf(c), c.Burst})
}

var disruptions = []disruption{
	{"none", func(*fleet, *sites) {}},
	{"loss and restart", killAndRestart},
	{"cuts", cut},
	{"freezes", freeze},
	{"lost, late and repeated messages", disturbMessages},
	{"hosts added and replaced", changeList},
	{"entries of cut off hosts expire", dropCutOff},
	{"links between regions and hosts cut", cutLinks},
	{"caps changed", changeCaps},
	{"all", func(f *fleet, s *sites) {
		for _, apply := range []func(*fleet, *sites){killAndRestart, cut, cutLinks, freeze, disturbMessages, changeCaps} {
			if f.IntN(3) == 0 {
				apply(f, s)
			}
		}
	}},
}

// TestCapHoldsInEveryWindow guards against operations beyond the cap in any window of 5 s,
// while customers ask for four times their cap, all the time or by turns, and hosts, links and configuration fail or
// change in the ways listed. Each way is judged on at least 10,000 windows.
func TestCapHoldsInEveryWindow(t *testing.T) {
	for _, d := range disruptions {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(3) {
				checkWindows(t, seed, d)
			}
		})
	}
}

// loadedFleet returns a fleet whose customers ask for a multiple of their cap: all the time, or
// by turns for an odd seed.
func loadedFleet(seed uint64, demand float64) (*fleet, *sites) {
	customers := testCustomers()
	f := newFleet(seed, 24, customers)
	s := &sites{windows: make(map[string]*window)}
	for _, c := range customers {
		s.windows[c.Name] = &window{limits: []limitSince{{0, limitOf(c), c.Burst}}}
		f.load(c.Name, demand*c.Rate)
	}
	if seed%2 == 1 {
		f.pulse()
	}
	return f, s
}

// checkWindows runs a fleet under a disruption, and fails the test if one of at least 10,000
// windows contains too many operations.
func checkWindows(t *testing.T, seed uint64, d disruption) {
	t.Helper()
	f, s := loadedFleet(seed, 4)
	windows, exceeded, fullest := 0, 0, 0.0
	f.onRun = func(customer string, _ time.Duration) {
		windows++
		count, limit := s.windows[customer].add(f.now)
		fullest = max(fullest, float64(count)/limit)
		if float64(count) > limit {
			if exceeded++; exceeded <= 3 {
				t.Errorf("seed %d: at %v %s has %d operations in a window, want at most %.1f", seed, f.now, customer, count, limit)
			}
		}
	}
	for windows < 10_000 || f.now < time.Minute {
		f.runUntil(f.now + f.span(500*time.Millisecond, 4*time.Second))
		d.apply(f, s)
	}
	t.Logf("seed %d: %d windows, the fullest with %.3f of its limit", seed, windows, fullest)
}

// pulse lets operations arrive for some time and then none, so that buckets are full when many
// arrive.
func (f *fleet) pulse() {
	f.quiet = !f.quiet
	f.after(f.span(100*time.Millisecond, 4*time.Second), nil, f.pulse)
}

// load lets operations of a customer arrive at random hosts, on average rate a second.
func (f *fleet) load(customer string, rate float64) {
	var next func()
	next = func() {
		if !f.quiet {
			f.arrive(f.anyNode(), customer)
		}
		f.after(time.Duration(f.ExpFloat64()/rate*float64(time.Second)), nil, next)
	}
	f.after(0, nil, next)
}

// TestAuthorityIsNeverMoreThanTheCap guards against two coordinators that grant from the same
// part of a cap, which a window shows only if both use it. At any time the coordinators'
// shares add up to at most 1, and the tokens in their buckets to the capacity of one bucket.
func TestAuthorityIsNeverMoreThanTheCap(t *testing.T) {
	for _, d := range disruptions {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(4) {
				checkAuthority(t, seed, d)
			}
		})
	}
}

func checkAuthority(t *testing.T, seed uint64, d disruption) {
	t.Helper()
	f, s := loadedFleet(seed, 0.3)
	// Hosts that know differing lists may together delegate a little more than the cap.
	most, highest := 1+1e-9, 0.0
	if d.name == "hosts added and replaced" {
		most = 1.05
	}
	for range 30 {
		d.apply(f, s)
		for range 1 + f.IntN(60) {
			f.runUntil(f.now + f.span(0, 100*time.Millisecond))
			shares, levels := f.authority()
			for partition, share := range shares {
				highest = max(highest, share)
				if share > most {
					t.Fatalf("seed %d: at %v the shares of partition %d add up to %.4f", seed, f.now, partition, share)
				}
			}
			for name, level := range levels {
				// Grants are counted in slots of 50 ms, each of which adds a hundredth of what a window permits.
				if limit := s.windows[name].burst(f.now) + policy.Slack/2 + s.windows[name].permitted()/100; level > limit*most {
					t.Fatalf("seed %d: at %v the buckets of %s hold %.1f tokens, want at most %.1f", seed, f.now, name, level, limit)
				}
			}
		}
	}
	t.Logf("seed %d: shares add up to at most %.4f", seed, highest)
}

// authority returns the sum of the coordinators' shares by partition, and of the tokens in
// their buckets by customer.
func (f *fleet) authority() (shares [usage.Partitions]float64, levels map[string]float64) {
	levels = make(map[string]float64)
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		for _, p := range n.coordinator.Status(f.clock(n)) {
			shares[p.Partition] += p.Share
			for _, b := range p.Buckets {
				levels[b.Customer] += b.Tokens
			}
		}
	}
	return shares, levels
}

// TestOperationsOutlastAChangeOfCoordinator guards against refusing operations within the cap
// because a coordinator fails, or another one takes its place, while customers ask for half of
// their cap. The delegations to a lost one expire up to 1.4 s after its loss, and the operations
// that waited are granted after as much time again. A list of hosts reaches all of them within 2 s;
// until the others have changed to a new coordinator, it may have no whole token of a small
// customer.
func TestOperationsOutlastAChangeOfCoordinator(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(f *fleet, n *node)
		longest time.Duration
	}{
		{"loss", func(f *fleet, n *node) { f.stop(n) }, 2800 * time.Millisecond},
		{"restart", func(f *fleet, n *node) {
			f.stop(n)
			f.after(200*time.Millisecond, nil, func() { f.start(n.peer, f.listed) })
		}, 2800 * time.Millisecond},
		{"freeze", func(f *fleet, n *node) { f.freeze(n, 3*time.Second) }, 2800 * time.Millisecond},
		{"drain", func(f *fleet, n *node) {
			f.listed = slices.Clone(f.listed)
			f.listed[slices.Index(f.listed, n.peer)].Draining = true
			f.announce()
		}, 2500 * time.Millisecond},
		{"added hosts", func(f *fleet, _ *node) {
			for i := range 8 {
				p := f.newPeer(fmt.Sprint("added-", i))
				p.Capacity = 3
				f.listed = append(slices.Clone(f.listed), p)
				f.start(p, f.listed)
			}
			f.announce()
		}, 2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				f, _ := loadedFleet(2*seed, 0.5)
				f.patience = 3 * time.Second
				f.runUntil(10 * time.Second)
				refused, ran, longest := 0, 0, time.Duration(0)
				f.onRefuse = func(string, time.Duration) { refused++ }
				f.onRun = func(_ string, arrived time.Duration) {
					ran++
					longest = max(longest, f.now-arrived)
				}
				c.change(f, f.byName[f.nodes[0].host.Coordinator(usage.PartitionOf("customer-0"))])
				f.runUntil(20 * time.Second)
				t.Logf("seed %d: %d of %d refused, the longest wait was %v", seed, refused, refused+ran, longest)
				if refused > 0 || longest > c.longest {
					t.Errorf("seed %d: got %d refused and a wait of %v, want none and at most %v", seed, refused, longest, c.longest)
				}
			}
		})
	}
}

// TestOperationsOutlastACutLink guards against refusing operations within the cap because the
// hosts at which they arrive do not reach the coordinator, while a third region reaches both.
func TestOperationsOutlastACutLink(t *testing.T) {
	for seed := range uint64(8) {
		customer := testCustomers()[1]
		f := newFleet(seed, 24, []sheet.Customer{customer})
		f.patience = 3 * time.Second
		refused, ran, longest := 0, 0, time.Duration(0)
		f.onRefuse = func(string, time.Duration) { refused++ }
		f.onRun = func(_ string, arrived time.Duration) {
			ran++
			longest = max(longest, f.now-arrived)
		}
		f.runUntil(5 * time.Second)
		coordinator := f.byName[f.nodes[0].host.Coordinator(usage.PartitionOf(customer.Name))].peer
		i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.peer.Region != coordinator.Region })
		f.cut = func(a, b usage.Peer) bool {
			region := f.nodes[i].peer.Region
			return a.Region == region && b.Region == coordinator.Region || a.Region == coordinator.Region && b.Region == region
		}
		for at := f.now; at < 20*time.Second; at += time.Duration(2 / customer.Rate * float64(time.Second)) {
			f.runUntil(at)
			f.arrive(f.nodes[i], customer.Name)
		}
		f.runUntil(25 * time.Second)
		t.Logf("seed %d: %d of %d refused, the longest wait was %v", seed, refused, refused+ran, longest)
		if refused > 0 || longest > time.Second {
			t.Errorf("seed %d: got %d refused and a wait of %v, want none and at most 1 s", seed, refused, longest)
		}
	}
}

// TestHostsShareInProportionToDemand guards against a division beyond the cap by how often hosts
// ask or how near they are: hosts get parts in proportion to what arrives there, within a third,
// and operations that are refused do not wait for long.
func TestHostsShareInProportionToDemand(t *testing.T) {
	for seed := range uint64(4) {
		customer := sheet.Customer{Name: "acme", Rate: 100, Burst: 100}
		f := newFleet(seed, 24, []sheet.Customer{customer})
		f.runUntil(5 * time.Second)
		rates := []float64{160, 80, 40, 20}
		ran, longest := make([]int, len(rates)), time.Duration(0)
		f.onRefuse = func(_ string, arrived time.Duration) { longest = max(longest, f.now-arrived) }
		for i, rate := range rates {
			var next func()
			next = func() {
				f.arrive(f.nodes[i], customer.Name)
				f.after(time.Duration(f.ExpFloat64()/rate*float64(time.Second)), nil, next)
			}
			f.after(0, nil, next)
		}
		f.runUntil(10 * time.Second)
		longest = 0
		for i := range ran {
			ran[i] = -f.nodes[i].ran
		}
		f.runUntil(40 * time.Second)
		sum := 0
		for i := range ran {
			ran[i] += f.nodes[i].ran
			sum += ran[i]
		}
		t.Logf("seed %d: %v ran, the longest wait for a refusal was %v", seed, ran, longest)
		for i, rate := range rates {
			want := float64(sum) * rate / 300
			if float64(ran[i]) < want*3/4 || float64(ran[i]) > want*4/3 {
				t.Errorf("seed %d: host with %v operations a second got %d of %d", seed, rate, ran[i], sum)
			}
		}
		if longest > 150*time.Millisecond {
			t.Errorf("seed %d: an operation waited %v to be refused", seed, longest)
		}
	}
}
