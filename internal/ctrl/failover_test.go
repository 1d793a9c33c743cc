package ctrl_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// The times of the events of a run, from its start, and the limits of the run.
const (
	faultAt  = 3 * time.Second
	healAt   = 10 * time.Second
	runEnds  = 16 * time.Second
	maxGap   = 6 * time.Second
	outage   = 4 * time.Second
	runSeeds = 4
	// idleTime is longer than the time after which a database counts as idle.
	idleTime = 15 * time.Second
)

// failure is a kind of failure, started by begin and ended by heal. The gap is measured
// from allowed after the start of the failure, since no promotion is possible before.
type failure struct {
	name    string
	allowed time.Duration
	begin   func(cl *cluster)
	heal    func(cl *cluster)
}

func nothing(*cluster) {}

// cutWithMinority partitions the primary from the other members and from all proxies but
// two.
func cutWithMinority(cl *cluster, active bool) {
	for _, p := range cl.proxies[2:] {
		cl.cutBoth(p.name, "m0", active)
	}
	for _, m := range cl.members[1:] {
		cl.cutBoth(m.name, "m0", active)
	}
}

func cutRegions(cl *cluster, active bool) {
	for _, p := range cl.proxies {
		for _, m := range cl.members {
			if p.region != m.region {
				cl.cutBoth(p.name, m.name, active)
			}
		}
		if p.region != "Budapest" {
			cl.cutBoth(p.name, "store", active)
		}
		for _, q := range cl.proxies {
			if p.region != q.region {
				cl.cutBoth(p.name, q.name, active)
			}
		}
	}
	for _, m := range cl.members {
		for _, n := range cl.members {
			if m.region != n.region {
				cl.cutBoth(m.name, n.name, active)
			}
		}
	}
}

func freezeProxyOrders(cl *cluster, d time.Duration) {
	for _, p := range cl.proxies[:5] {
		p.setStall(d)
	}
}

func failures() []failure {
	return []failure{
		{name: "kill", begin: func(cl *cluster) { cl.members[0].setUp(false) }, heal: nothing},
		{name: "kill-and-return", begin: func(cl *cluster) { cl.members[0].setUp(false) }, heal: func(cl *cluster) { cl.members[0].setUp(true) }},
		{name: "kill-while-idle", begin: func(cl *cluster) {
			cl.quiet.Store(true)
			time.Sleep(idleTime)
			cl.members[0].setUp(false)
			cl.quiet.Store(false)
		}, heal: nothing},
		{name: "freeze-while-idle", begin: func(cl *cluster) {
			cl.quiet.Store(true)
			time.Sleep(idleTime)
			cl.members[0].freeze()
			cl.quiet.Store(false)
		}, heal: func(cl *cluster) { cl.members[0].unfreeze() }},
		{name: "freeze", begin: func(cl *cluster) { cl.members[0].freeze() }, heal: func(cl *cluster) { cl.members[0].unfreeze() }},
		{name: "cut-all", begin: func(cl *cluster) { cutPrimary(cl, true) }, heal: func(cl *cluster) { cutPrimary(cl, false) }},
		{name: "cut-with-minority", begin: func(cl *cluster) { cutWithMinority(cl, true) }, heal: func(cl *cluster) { cutWithMinority(cl, false) }},
		{name: "cut-answers", begin: func(cl *cluster) { cutAnswers(cl, true) }, heal: func(cl *cluster) { cutAnswers(cl, false) }},
		{name: "kill-with-store-down", allowed: outage, begin: func(cl *cluster) {
			cl.store.SetDown(true)
			cl.members[0].setUp(false)
			time.AfterFunc(outage, func() { cl.store.SetDown(false) })
		}, heal: nothing},
		{name: "freeze-with-store-down", allowed: outage, begin: func(cl *cluster) {
			cl.store.SetDown(true)
			cl.members[0].freeze()
			time.AfterFunc(outage, func() { cl.store.SetDown(false) })
		}, heal: func(cl *cluster) { cl.members[0].unfreeze() }},
		{name: "kill-with-lost-store-answers", begin: func(cl *cluster) {
			cl.store.SetMute(true)
			cl.members[0].setUp(false)
		}, heal: func(cl *cluster) { cl.store.SetMute(false) }},
		{name: "kill-with-doubled-orders", begin: func(cl *cluster) {
			cl.setDoubled(true)
			cl.members[0].setUp(false)
		}, heal: nothing},
		{name: "kill-twice", begin: func(cl *cluster) {
			cl.members[0].setUp(false)
			time.AfterFunc(1500*time.Millisecond, func() { cl.members[0].setUp(true); cl.latest().freeze() })
		}, heal: func(cl *cluster) {
			for _, m := range cl.members {
				m.unfreeze()
			}
		}},
		{name: "store-down-alone", begin: func(cl *cluster) { cl.store.SetDown(true) }, heal: func(cl *cluster) { cl.store.SetDown(false) }},
		{name: "regions-apart", begin: func(cl *cluster) { cutRegions(cl, true) }, heal: func(cl *cluster) { cutRegions(cl, false) }},
		{name: "regions-apart-and-kill", begin: func(cl *cluster) { cutRegions(cl, true); cl.members[0].setUp(false) }, allowed: healAt - faultAt, heal: func(cl *cluster) { cutRegions(cl, false) }},
		{name: "late-orders", begin: func(cl *cluster) {
			freezeProxyOrders(cl, 2*time.Second)
			cl.members[0].setUp(false)
		}, heal: func(cl *cluster) { freezeProxyOrders(cl, 0) }, allowed: 2 * time.Second},
		{name: "planned", begin: func(cl *cluster) { cl.handover.Store(true); cl.proxies[0].controller.HandOver("m1") }, heal: nothing},
	}
}

func cutPrimary(cl *cluster, active bool) {
	for _, p := range cl.proxies {
		cl.cutBoth(p.name, "m0", active)
	}
	for _, m := range cl.members[1:] {
		cl.cutBoth(m.name, "m0", active)
	}
}

func cutAnswers(cl *cluster, active bool) {
	for _, p := range cl.proxies {
		cl.cut("m0", p.name, active)
	}
}

// outcome holds the measurements of one run.
type outcome struct {
	gap             time.Duration
	missing         int
	falsePromotions int
	acks            []time.Duration
}

// runFailure runs one failure in virtual time. It must be called in a synctest bubble.
func runFailure(f failure, w ackRule, seed uint64) outcome {
	cl, cleanUp := newCluster(w, seed)
	defer cleanUp()
	jitter := time.Duration(cl.rng.IntN(400)) * time.Millisecond
	time.Sleep(faultAt + jitter)
	quiet := cl.ackTimes()
	f.begin(cl)
	start := time.Now()
	time.Sleep(healAt - faultAt)
	f.heal(cl)
	time.Sleep(runEnds - healAt)
	o := outcome{gap: cl.gap(start.Add(f.allowed), time.Now()), missing: cl.missing(), falsePromotions: cl.falsePromotionCount()}
	o.acks = quiet
	slices.Sort(o.acks)
	return o
}

// TestFailover checks for every kind of failure that no acknowledged write is lost, that
// no working primary is replaced, and that writes are acknowledged again within maxGap.
func TestFailover(t *testing.T) {
	for _, f := range failures() {
		for seed := range uint64(runSeeds) {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					o := runFailure(f, production, seed)
					g.Expect(o.missing).To(BeZero(), "acknowledged writes lost")
					g.Expect(o.falsePromotions).To(BeZero(), "promotions while the primary served")
					g.Expect(o.gap).To(BeNumerically("<=", maxGap), "gap in writes")
					g.Expect(o.acks).NotTo(BeEmpty())
				})
			})
		}
	}
}
