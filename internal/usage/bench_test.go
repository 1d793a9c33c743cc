package usage_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/usage"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// way is a way to enforce caps on a fleet of hosts.
type way interface {
	// arrive lets an operation of a customer arrive at the host with the given index. The
	// outcome goes to the load, when it is known.
	arrive(host int, o operation)
	// runUntil advances the virtual time.
	runUntil(t time.Duration)
	// traffic returns what was sent since resetTraffic.
	traffic() (messages, bytes int)
	resetTraffic()
}

// operation is an operation of a customer.
type operation struct {
	customer int
	at       time.Duration
}

// load is the demand of customers on a fleet, and what becomes of it.
type load struct {
	*rand.Rand
	hosts     int
	customers []sheet.Customer
	usual     []float64
	tallies   []tally
	waits     []time.Duration
}

// tally counts the operations of one customer by window. permitted are those that a token
// bucket with the customer's cap would admit if it knew of all arrivals at once.
type tally struct {
	tokens                            float64
	at                                time.Duration
	offered, permitted, admitted, ran []float64
}

const (
	usualPerHost = 15
	warmUp       = 10 * time.Second
	measuredTime = 60 * time.Second
)

// newLoad returns 87 customers with Zipf sizes, and caps of 1.6 times the usual demand with
// bursts of one second of it. A host usually has 15 operations a second.
func newLoad(seed uint64, hosts int) *load {
	const customers = 87
	l := &load{Rand: rand.New(rand.NewPCG(seed, 2)), hosts: hosts}
	sum := 0.0
	for i := range customers {
		sum += 1 / float64(i+1)
	}
	for i := range customers {
		usual := usualPerHost * float64(hosts) / float64(i+1) / sum
		l.usual = append(l.usual, usual)
		l.customers = append(l.customers, sheet.Customer{Name: fmt.Sprint("customer-", i), Rate: 1.6 * usual, Burst: usual})
		windows := int((warmUp+measuredTime)/windowLength) + 2
		l.tallies = append(l.tallies, tally{tokens: usual, offered: make([]float64, windows), permitted: make([]float64, windows), admitted: make([]float64, windows), ran: make([]float64, windows)})
	}
	return l
}

func (l *load) offer(o operation) {
	c, t := l.customers[o.customer], &l.tallies[o.customer]
	t.tokens = min(c.Burst, t.tokens+c.Rate*(o.at-t.at).Seconds())
	t.at = o.at
	w := o.at / windowLength
	t.offered[w]++
	if t.tokens >= 1 {
		t.tokens--
		t.permitted[w]++
	}
}

func (l *load) ran(o operation, now time.Duration) {
	t := &l.tallies[o.customer]
	t.admitted[o.at/windowLength]++
	t.ran[now/windowLength]++
	if now > warmUp {
		l.waits = append(l.waits, now-o.at)
	}
}

// report reports the share of permitted operations that were refused, and the share of those
// beyond the limit that ran.
func (l *load) report(b *testing.B, w way) {
	var permitted, refused, beyond, excess float64
	for i, t := range l.tallies {
		limit := limitOf(l.customers[i])
		for w := warmUp / windowLength; w < (warmUp+measuredTime)/windowLength; w++ {
			permitted += t.permitted[w]
			refused += max(0, t.permitted[w]-t.admitted[w])
			beyond += max(0, t.offered[w]-limit)
			excess += max(0, t.ran[w]-limit)
		}
	}
	messages, bytes := w.traffic()
	perHost := float64(l.hosts) * measuredTime.Seconds()
	b.ReportMetric(100*refused/permitted, "%refused")
	b.ReportMetric(100*excess/max(1, beyond), "%beyond")
	b.ReportMetric(float64(messages)/perHost, "msg/host/s")
	b.ReportMetric(float64(bytes)/perHost, "B/host/s")
	slices.Sort(l.waits)
	b.ReportMetric(float64(l.waits[len(l.waits)*99/100].Milliseconds()), "p99wait-ms")
	b.ReportMetric(0, "ns/op")
}

// demand is a pattern of demand: how many times the usual demand a customer has, and at which
// host an operation arrives.
type demand struct {
	name   string
	factor func(l *load, customer int, now time.Duration) float64
	host   func(l *load, customer int, now time.Duration) int
}

func usualDemand(*load, int, time.Duration) float64 { return 1 }

func evenly(l *load, _ int, _ time.Duration) int { return l.IntN(l.hosts) }

// skewed lets four fifths of a customer's operations arrive at five hosts.
func skewed(l *load, customer int, _ time.Duration) int {
	if l.IntN(5) == 0 {
		return l.IntN(l.hosts)
	}
	return (customer*7 + l.IntN(5)*13) % l.hosts
}

var demands = []demand{
	{"half", func(*load, int, time.Duration) float64 { return 0.8 }, skewed},
	{"even", usualDemand, evenly},
	{"skewed", usualDemand, skewed},
	{"moving", usualDemand, func(l *load, customer int, now time.Duration) int {
		return (skewed(l, customer, now) + int(now/(10*time.Second))*31) % l.hosts
	}},
	{"bursts", func(_ *load, customer int, now time.Duration) float64 {
		if (now+time.Duration(customer)*700*time.Millisecond)%(15*time.Second) < 3*time.Second {
			return 2.3
		}
		return 1
	}, skewed},
	{"flood", func(_ *load, customer int, _ time.Duration) float64 {
		if customer == 3 {
			return 7
		}
		return 1
	}, skewed},
}

// run lets the demand arrive at the hosts. Traffic is counted after the warm-up.
func (l *load) run(d demand, w way) {
	next := make([]time.Duration, len(l.customers))
	for now := time.Duration(0); now < warmUp+measuredTime; now += time.Millisecond {
		w.runUntil(now)
		if now == warmUp {
			w.resetTraffic()
		}
		for i := range next {
			for next[i] <= now {
				o := operation{customer: i, at: now}
				l.offer(o)
				w.arrive(d.host(l, i, now), o)
				rate := l.usual[i] * d.factor(l, i, now)
				next[i] += time.Duration(l.ExpFloat64() / rate * float64(time.Second))
			}
		}
	}
	w.runUntil(warmUp + measuredTime + time.Second)
}

// production is the way of this package.
type production struct {
	*fleet
	load *load
}

func newProduction(seed uint64, l *load) *production {
	f := newFleet(seed, l.hosts, l.customers)
	f.measured = true
	f.patience = 2 * time.Second
	index := make(map[string]int)
	for i, c := range l.customers {
		index[c.Name] = i
	}
	f.onRun = func(customer string, at time.Duration) { l.ran(operation{index[customer], at}, f.now) }
	return &production{f, l}
}

func (p *production) arrive(host int, o operation) {
	p.fleet.arrive(p.nodes[host], p.load.customers[o.customer].Name)
}

func (p *production) traffic() (messages, bytes int) { return p.messages, p.bytes }
func (p *production) resetTraffic()                  { p.messages, p.bytes = 0, 0 }

// local is the way in which each host has a token bucket of its own for each customer: with
// an equal part of the cap, or with a part that follows the demand that all hosts report to
// all others once a second.
type local struct {
	load            *load
	weighted        bool
	now             time.Duration
	buckets         [][]localBucket
	messages, bytes int
}

type localBucket struct {
	share, tokens, arrived, previous float64
	at                               time.Duration
}

func newLocal(l *load, weighted bool) *local {
	w := &local{load: l, weighted: weighted}
	for range l.hosts {
		row := make([]localBucket, len(l.customers))
		for i := range row {
			row[i].share = 1 / float64(l.hosts)
		}
		w.buckets = append(w.buckets, row)
	}
	return w
}

func (w *local) arrive(host int, o operation) {
	b, c := &w.buckets[host][o.customer], w.load.customers[o.customer]
	b.arrived++
	b.refill(c, o.at)
	if b.tokens >= 1 {
		b.tokens--
		w.load.ran(o, o.at)
	}
}

// refill fills the bucket. It holds at least one token, since no operation could run otherwise.
func (b *localBucket) refill(c sheet.Customer, now time.Duration) {
	b.tokens = min(max(1, b.share*(c.Burst+policy.Slack/2)), b.tokens+b.share*c.Rate*(now-b.at).Seconds())
	b.at = now
}

func (w *local) runUntil(t time.Duration) {
	if w.weighted && t/time.Second != w.now/time.Second {
		w.exchange(t)
	}
	w.now = t
}

// exchange sets the shares by the demand of the two seconds before: the reports of the second
// before arrive one period late.
func (w *local) exchange(now time.Duration) {
	for i, c := range w.load.customers {
		sum := 0.0
		for h := range w.buckets {
			sum += w.buckets[h][i].previous + 0.05
		}
		for h := range w.buckets {
			b := &w.buckets[h][i]
			b.refill(c, now)
			b.share = (b.previous + 0.05) / sum
			b.previous, b.arrived = (b.previous+b.arrived)/2, 0
		}
	}
	for h := range w.buckets {
		report := make(map[string]int)
		for i := range w.load.customers {
			if b := w.buckets[h][i]; b.previous > 0.05 {
				report[w.load.customers[i].Name] = int(b.previous * 10)
			}
		}
		raw, _ := peer.Encode(peer.Frame{ConnectionDemand: report})
		w.messages += w.load.hosts - 1
		w.bytes += (w.load.hosts - 1) * len(raw)
	}
}

func (w *local) traffic() (messages, bytes int) { return w.messages, w.bytes }
func (w *local) resetTraffic()                  { w.messages, w.bytes = 0, 0 }

// central is the way in which one host has the token buckets of all customers, and the others
// ask it for each operation.
type central struct {
	*fleet
	load    *load
	buckets []localBucket
}

func newCentral(l *load) *central {
	f := newFleet(1, 0, nil)
	for i := range l.hosts {
		f.nodes = append(f.nodes, &node{peer: f.newPeer(fmt.Sprint("host-", i))})
	}
	w := &central{fleet: f, load: l, buckets: make([]localBucket, len(l.customers))}
	f.measured = true
	for i := range w.buckets {
		w.buckets[i].share = 1
	}
	return w
}

func (w *central) arrive(host int, o operation) {
	from, to, c := w.nodes[host], w.nodes[0], w.load.customers[o.customer]
	tokens := map[string]uint32{c.Name: 1}
	id := uint64(w.now / time.Microsecond)
	w.send(from, to, peer.Frame{CapAsk: &peer.CapAsk{Ask: usage.Ask{ID: id, Tokens: tokens}}}, func() {
		b := &w.buckets[o.customer]
		b.refill(c, w.now)
		granted := b.tokens >= 1
		if granted {
			b.tokens--
		}
		w.send(to, from, peer.Frame{CapGrant: &peer.CapGrant{Grant: usage.Grant{ID: id, Tokens: tokens}}}, func() {
			if granted {
				w.load.ran(o, w.now)
			}
		})
	})
}

func (w *central) traffic() (messages, bytes int) { return w.messages, w.bytes }
func (w *central) resetTraffic()                  { w.messages, w.bytes = 0, 0 }

// BenchmarkUsageCaps compares ways to enforce caps at 89 hosts in virtual time. %refused is the
// share of permitted operations that are refused, %beyond the share of those beyond the limit
// that run. Each iteration has a seed of its own; the last one is reported.
func BenchmarkUsageCaps(b *testing.B) {
	ways := []struct {
		name string
		new  func(seed uint64, l *load) way
	}{
		{"equal", func(_ uint64, l *load) way { return newLocal(l, false) }},
		{"weighted", func(_ uint64, l *load) way { return newLocal(l, true) }},
		{"central", func(_ uint64, l *load) way { return newCentral(l) }},
		{"production", func(seed uint64, l *load) way { return newProduction(seed, l) }},
	}
	for _, d := range demands {
		for _, w := range ways {
			b.Run(d.name+"/"+w.name, func(b *testing.B) {
				for i := range b.N {
					l := newLoad(uint64(i), 89)     //nolint:gosec // not negative
					enforced := w.new(uint64(i), l) //nolint:gosec // not negative
					l.run(d, enforced)
					l.report(b, enforced)
				}
			})
		}
	}
	b.Run("skewed/production-295", func(b *testing.B) {
		for i := range b.N {
			l := newLoad(uint64(i), 295)            //nolint:gosec // not negative
			enforced := newProduction(uint64(i), l) //nolint:gosec // not negative
			l.run(demands[2], enforced)
			l.report(b, enforced)
		}
	})
}
