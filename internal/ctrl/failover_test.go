package ctrl_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// The times of a run, from its start.
const (
	faultAt  = 3 * time.Second
	healAt   = 10 * time.Second
	runEnds  = 16 * time.Second
	target   = 6 * time.Second
	outage   = 4 * time.Second
	runSeeds = 4
	// idleTime is longer than it takes for a database to count as idle.
	idleTime = 15 * time.Second
)

// failure is a kind of failure. It begins with begin and ends with heal. The
// gap counts from the given time after its start on: later than at once if no
// promotion is allowed before.
type failure struct {
	name    string
	allowed time.Duration
	begin   func(x *world)
	heal    func(x *world)
}

func nothing(*world) {}

// minority cuts the primary off from all but two proxies.
func minority(x *world, is bool) {
	for _, p := range x.proxies[2:] {
		x.cutBoth(p.name, "m0", is)
	}
	for _, m := range x.members[1:] {
		x.cutBoth(m.name, "m0", is)
	}
}

func regions(x *world, is bool) {
	for _, p := range x.proxies {
		for _, m := range x.members {
			if p.region != m.region {
				x.cutBoth(p.name, m.name, is)
			}
		}
		if p.region != "Budapest" {
			x.cutBoth(p.name, "store", is)
		}
		for _, q := range x.proxies {
			if p.region != q.region {
				x.cutBoth(p.name, q.name, is)
			}
		}
	}
	for _, m := range x.members {
		for _, n := range x.members {
			if m.region != n.region {
				x.cutBoth(m.name, n.name, is)
			}
		}
	}
}

func freezeProxyOrders(x *world, d time.Duration) {
	for _, p := range x.proxies[:5] {
		p.setStall(d)
	}
}

func failures() []failure {
	return []failure{
		{name: "kill", begin: func(x *world) { x.members[0].setUp(false) }, heal: nothing},
		{name: "kill-and-return", begin: func(x *world) { x.members[0].setUp(false) }, heal: func(x *world) { x.members[0].setUp(true) }},
		{name: "kill-while-idle", begin: func(x *world) {
			x.quiet.Store(true)
			time.Sleep(idleTime)
			x.members[0].setUp(false)
			x.quiet.Store(false)
		}, heal: nothing},
		{name: "freeze-while-idle", begin: func(x *world) {
			x.quiet.Store(true)
			time.Sleep(idleTime)
			x.members[0].freeze()
			x.quiet.Store(false)
		}, heal: func(x *world) { x.members[0].unfreeze() }},
		{name: "freeze", begin: func(x *world) { x.members[0].freeze() }, heal: func(x *world) { x.members[0].unfreeze() }},
		{name: "cut-all", begin: func(x *world) { cutPrimary(x, true) }, heal: func(x *world) { cutPrimary(x, false) }},
		{name: "cut-with-minority", begin: func(x *world) { minority(x, true) }, heal: func(x *world) { minority(x, false) }},
		{name: "cut-answers", begin: func(x *world) { cutAnswers(x, true) }, heal: func(x *world) { cutAnswers(x, false) }},
		{name: "kill-with-store-down", allowed: outage, begin: func(x *world) {
			x.store.SetDown(true)
			x.members[0].setUp(false)
			time.AfterFunc(outage, func() { x.store.SetDown(false) })
		}, heal: nothing},
		{name: "freeze-with-store-down", allowed: outage, begin: func(x *world) {
			x.store.SetDown(true)
			x.members[0].freeze()
			time.AfterFunc(outage, func() { x.store.SetDown(false) })
		}, heal: func(x *world) { x.members[0].unfreeze() }},
		{name: "kill-with-lost-store-answers", begin: func(x *world) {
			x.store.SetMute(true)
			x.members[0].setUp(false)
		}, heal: func(x *world) { x.store.SetMute(false) }},
		{name: "kill-with-doubled-orders", begin: func(x *world) {
			x.setDoubled(true)
			x.members[0].setUp(false)
		}, heal: nothing},
		{name: "kill-twice", begin: func(x *world) {
			x.members[0].setUp(false)
			time.AfterFunc(1500*time.Millisecond, func() { x.members[0].setUp(true); x.latest().freeze() })
		}, heal: func(x *world) {
			for _, m := range x.members {
				m.unfreeze()
			}
		}},
		{name: "store-down-alone", begin: func(x *world) { x.store.SetDown(true) }, heal: func(x *world) { x.store.SetDown(false) }},
		{name: "regions-apart", begin: func(x *world) { regions(x, true) }, heal: func(x *world) { regions(x, false) }},
		{name: "regions-apart-and-kill", begin: func(x *world) { regions(x, true); x.members[0].setUp(false) }, allowed: healAt - faultAt, heal: func(x *world) { regions(x, false) }},
		{name: "late-orders", begin: func(x *world) {
			freezeProxyOrders(x, 2*time.Second)
			x.members[0].setUp(false)
		}, heal: func(x *world) { freezeProxyOrders(x, 0) }, allowed: 2 * time.Second},
		{name: "planned", begin: func(x *world) { x.handover.Store(true); x.proxies[0].base.HandOver("m1") }, heal: nothing},
	}
}

func cutPrimary(x *world, is bool) {
	for _, p := range x.proxies {
		x.cutBoth(p.name, "m0", is)
	}
	for _, m := range x.members[1:] {
		x.cutBoth(m.name, "m0", is)
	}
}

func cutAnswers(x *world, is bool) {
	for _, p := range x.proxies {
		x.cut("m0", p.name, is)
	}
}

// outcome is what one run measured.
type outcome struct {
	gap     time.Duration
	missing int
	falsely int
	acks    []time.Duration
}

// runFailure runs one failure in virtual time. It must be called in a bubble.
func runFailure(f failure, w way, seed uint64) outcome {
	x, cleanUp := newWorld(w, seed)
	defer cleanUp()
	jitter := time.Duration(x.rng.IntN(400)) * time.Millisecond
	time.Sleep(faultAt + jitter)
	quiet := x.ackTimes()
	f.begin(x)
	began := time.Now()
	time.Sleep(healAt - faultAt)
	f.heal(x)
	time.Sleep(runEnds - healAt)
	o := outcome{gap: x.gap(began.Add(f.allowed), time.Now()), missing: x.missing(), falsely: x.countedFalse()}
	o.acks = quiet
	slices.Sort(o.acks)
	return o
}

// TestFailover holds every kind of failure against the promises: no
// acknowledged write is lost, no primary that serves is replaced, and writes
// are acknowledged again within the target.
func TestFailover(t *testing.T) {
	for _, f := range failures() {
		for seed := range uint64(runSeeds) {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					o := runFailure(f, production, seed)
					g.Expect(o.missing).To(BeZero(), "acknowledged writes lost")
					g.Expect(o.falsely).To(BeZero(), "promotions while the primary served")
					g.Expect(o.gap).To(BeNumerically("<=", target), "gap in writes")
					g.Expect(o.acks).NotTo(BeEmpty())
				})
			})
		}
	}
}
