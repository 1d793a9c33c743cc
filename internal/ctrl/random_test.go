package ctrl_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	randomTime   = 14 * time.Second
	randomPeriod = 400 * time.Millisecond
	randomSeeds  = 24
)

// fault is a fault of a randomised run. It starts when called, and ends with the returned
// function.
type fault func(cl *cluster) (heal func())

func (cl *cluster) randomMember() *fakeMember { return cl.members[cl.rng.IntN(len(cl.members))] }

// randomNodes returns the names of two random nodes. Each may be the store.
func (cl *cluster) randomNodes() (a, b string) {
	names := []string{"store"}
	for _, m := range cl.members {
		names = append(names, m.name)
	}
	for _, p := range cl.proxies {
		names = append(names, p.name)
	}
	return names[cl.rng.IntN(len(names))], names[cl.rng.IntN(len(names))]
}

// faults lists the faults of the specification: killed and frozen members, cut links in
// one and in both directions, members isolated from the cluster, outages and lost answers
// of the store, late and duplicated orders, and planned changes of the primary.
func faults() []fault {
	return []fault{
		func(cl *cluster) func() {
			m := cl.randomMember()
			m.setUp(false)
			return func() { m.setUp(true) }
		},
		func(cl *cluster) func() {
			m := cl.randomMember()
			m.freeze()
			return m.unfreeze
		},
		func(cl *cluster) func() {
			a, b := cl.randomNodes()
			cl.cutBoth(a, b, true)
			return func() { cl.cutBoth(a, b, false) }
		},
		func(cl *cluster) func() {
			a, b := cl.randomNodes()
			cl.cut(a, b, true)
			return func() { cl.cut(a, b, false) }
		},
		func(cl *cluster) func() { return cl.isolate(cl.randomMember(), cl.rng.IntN(proxyCount)) },
		func(cl *cluster) func() {
			cl.store.SetDown(true)
			return func() { cl.store.SetDown(false) }
		},
		func(cl *cluster) func() {
			cl.store.SetMute(true)
			return func() { cl.store.SetMute(false) }
		},
		func(cl *cluster) func() {
			p := cl.proxies[cl.rng.IntN(proxyCount)]
			p.setStall(time.Duration(cl.rng.IntN(3000)) * time.Millisecond)
			return func() { p.setStall(0) }
		},
		func(cl *cluster) func() {
			cl.setDoubled(true)
			return func() { cl.setDoubled(false) }
		},
		func(cl *cluster) func() {
			cl.proxies[cl.rng.IntN(proxyCount)].controller.HandOver(cl.randomMember().name)
			return func() {}
		},
	}
}

// isolate partitions a member from the other members and from all proxies but the first
// few.
func (cl *cluster) isolate(m *fakeMember, left int) func() {
	set := func(active bool) {
		for _, p := range cl.proxies[left:] {
			cl.cutBoth(p.name, m.name, active)
		}
		for _, n := range cl.members {
			if n != m {
				cl.cutBoth(n.name, m.name, active)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// runRandom starts random faults, several at once, then heals all of them. It returns the
// number of missing acknowledged writes and the gap in writes after the healing.
func runRandom(seed uint64) (missing int, gap time.Duration) {
	cl, cleanUp := newCluster(production, seed)
	defer cleanUp()
	time.Sleep(time.Second)
	list := faults()
	heals := make([]func(), 0, len(list))
	for start := time.Now(); time.Since(start) < randomTime; time.Sleep(randomPeriod) {
		if len(heals) > 0 && cl.rng.IntN(3) == 0 {
			heals[0]()
			heals = heals[1:]
		}
		heals = append(heals, list[cl.rng.IntN(len(list))](cl))
	}
	for _, heal := range heals {
		heal()
	}
	cl.healAll()
	healed := time.Now()
	time.Sleep(2 * maxGap)
	return cl.missing(), cl.gap(healed, time.Now())
}

// healAll ends effects that overlapping faults may have left behind.
func (cl *cluster) healAll() {
	cl.mu.Lock()
	clear(cl.cuts)
	cl.mu.Unlock()
	for _, m := range cl.members {
		m.unfreeze()
		m.setUp(true)
	}
	cl.store.SetDown(false)
	cl.store.SetMute(false)
}

// TestRandomFaults checks under random overlapping and repeated faults that no
// acknowledged write is lost, and that writes continue within maxGap after the faults have
// ended.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				missing, gap := runRandom(seed)
				g := NewWithT(t)
				g.Expect(missing).To(BeZero(), "acknowledged writes lost")
				g.Expect(gap).To(BeNumerically("<=", maxGap), "gap in writes after the faults")
			})
		})
	}
}
