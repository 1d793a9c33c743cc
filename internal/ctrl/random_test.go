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

// mischief is a fault that a randomised run draws: it begins, and ends later.
type mischief func(x *world) (heal func())

func (x *world) pick() *fakeMember { return x.members[x.rng.IntN(len(x.members))] }

// ends names two random nodes, of which the second may be the store.
func (x *world) ends() (a, b string) {
	names := []string{"store"}
	for _, m := range x.members {
		names = append(names, m.name)
	}
	for _, p := range x.proxies {
		names = append(names, p.name)
	}
	return names[x.rng.IntN(len(names))], names[x.rng.IntN(len(names))]
}

// mischiefs are the brief's faults: kills, cuts, one-way cuts, freezes, cuts of a
// member from everyone, outages and lost answers of the store, late and doubled
// orders, an operator's order.
func mischiefs() []mischief {
	return []mischief{
		func(x *world) func() {
			m := x.pick()
			m.setUp(false)
			return func() { m.setUp(true) }
		},
		func(x *world) func() {
			m := x.pick()
			m.freeze()
			return m.unfreeze
		},
		func(x *world) func() {
			a, b := x.ends()
			x.cutBoth(a, b, true)
			return func() { x.cutBoth(a, b, false) }
		},
		func(x *world) func() {
			a, b := x.ends()
			x.cut(a, b, true)
			return func() { x.cut(a, b, false) }
		},
		func(x *world) func() { return x.isolate(x.pick(), x.rng.IntN(proxyCount)) },
		func(x *world) func() {
			x.store.SetDown(true)
			return func() { x.store.SetDown(false) }
		},
		func(x *world) func() {
			x.store.SetMute(true)
			return func() { x.store.SetMute(false) }
		},
		func(x *world) func() {
			p := x.proxies[x.rng.IntN(proxyCount)]
			p.setStall(time.Duration(x.rng.IntN(3000)) * time.Millisecond)
			return func() { p.setStall(0) }
		},
		func(x *world) func() {
			x.setDoubled(true)
			return func() { x.setDoubled(false) }
		},
		func(x *world) func() {
			x.proxies[x.rng.IntN(proxyCount)].base.HandOver(x.pick().name)
			return func() {}
		},
	}
}

// isolate cuts a member off from the others and from all but some proxies.
func (x *world) isolate(m *fakeMember, left int) func() {
	set := func(is bool) {
		for _, p := range x.proxies[left:] {
			x.cutBoth(p.name, m.name, is)
		}
		for _, n := range x.members {
			if n != m {
				x.cutBoth(n.name, m.name, is)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

// runRandom draws faults, several at once, then heals all of them. It returns
// the acknowledged writes that are missing, and the gap after the healing.
func runRandom(seed uint64) (missing int, gap time.Duration) {
	x, cleanUp := newWorld(production, seed)
	defer cleanUp()
	time.Sleep(time.Second)
	list := mischiefs()
	heals := make([]func(), 0, len(list))
	for began := time.Now(); time.Since(began) < randomTime; time.Sleep(randomPeriod) {
		if len(heals) > 0 && x.rng.IntN(3) == 0 {
			heals[0]()
			heals = heals[1:]
		}
		heals = append(heals, list[x.rng.IntN(len(list))](x))
	}
	for _, heal := range heals {
		heal()
	}
	x.healAll()
	healed := time.Now()
	time.Sleep(2 * target)
	return x.missing(), x.gap(healed, time.Now())
}

// healAll ends what overlapping faults may have left behind.
func (x *world) healAll() {
	x.mu.Lock()
	clear(x.cuts)
	x.mu.Unlock()
	for _, m := range x.members {
		m.unfreeze()
		m.setUp(true)
	}
	x.store.SetDown(false)
	x.store.SetMute(false)
}

// TestRandomFaults holds random faults, together and twice, against the promise
// that no acknowledged write is lost, and that writes go on within the target
// once the faults are over.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				missing, gap := runRandom(seed)
				g := NewWithT(t)
				g.Expect(missing).To(BeZero(), "acknowledged writes lost")
				g.Expect(gap).To(BeNumerically("<=", target), "gap in writes after the faults")
			})
		})
	}
}
