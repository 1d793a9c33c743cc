package gate_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// window is the time over which the use of the slots is measured.
	window = 250 * time.Millisecond
	// fullUse is the part of the slots' time, in percent, that counts as full
	// use. It is the aim for useful work.
	fullUse    = 95
	settleTime = 10 * time.Second
	// healTime is how long the slots are watched after a failure began, and
	// again after it ended.
	healTime = 6 * time.Second
)

// use returns which part of the slots' time, in percent, was spent on work in
// the time to come.
func (w *world) use(d time.Duration) float64 {
	before := w.target.done.Load()
	time.Sleep(d)
	return 100 * float64(w.target.done.Load()-before) * serviceTime.Seconds() / (slotCount * d.Seconds())
}

// failure is something that happens in a flood. Begin is given the dispatcher and
// another host, and returns what ends the failure.
type failure struct {
	name  string
	begin func(w *world, dispatcher, other string) (end func())
}

func nothing() {}

func kill(w *world, name string) func() {
	w.host(name).kill()
	return nothing
}

func restart(w *world, name string) func() {
	w.host(name).kill()
	w.start(name)
	return nothing
}

func freeze(w *world, name string) func() {
	w.host(name).freeze()
	return w.host(name).thaw
}

func cutOff(w *world, from string, to ...string) func() {
	for _, name := range to {
		w.cut(from, name, true)
	}
	return func() {
		for _, name := range to {
			w.cut(from, name, false)
		}
	}
}

// ackTime is how long a connection goes on sending without an acknowledgement.
const ackTime = time.Second

// cutOneWay cuts the way from one host to another. Connections the other way
// end some time later, for lack of acknowledgements.
func cutOneWay(w *world, from, to string) func() {
	w.cutWay(from, to, true)
	later := time.AfterFunc(ackTime, func() { w.cutWay(to, from, true) })
	return func() {
		later.Stop()
		w.cut(from, to, false)
	}
}

// othersThan returns all hosts but one.
func othersThan(name string) []string {
	return slices.DeleteFunc(hostNames(), func(other string) bool { return other == name })
}

var failures = []failure{
	{"none", func(*world, string, string) func() { return nothing }},
	{"proxy-killed", func(w *world, _, other string) func() { return kill(w, other) }},
	{"proxy-restarted", func(w *world, _, other string) func() { return restart(w, other) }},
	{"proxy-frozen", func(w *world, _, other string) func() { return freeze(w, other) }},
	{"proxy-cut-from-dispatcher", func(w *world, dispatcher, other string) func() { return cutOff(w, other, dispatcher) }},
	{"proxy-cannot-send", func(w *world, dispatcher, other string) func() { return cutOneWay(w, other, dispatcher) }},
	{"proxy-cannot-hear", cutOneWay},
	{"dispatcher-killed", func(w *world, dispatcher, _ string) func() { return kill(w, dispatcher) }},
	{"dispatcher-restarted", func(w *world, dispatcher, _ string) func() { return restart(w, dispatcher) }},
	{"dispatcher-frozen", func(w *world, dispatcher, _ string) func() { return freeze(w, dispatcher) }},
	{"dispatcher-cut-from-member", func(w *world, dispatcher, _ string) func() { return cutOff(w, dispatcher, targetName) }},
	{"dispatcher-cut-from-hosts", func(w *world, dispatcher, _ string) func() {
		return cutOff(w, dispatcher, othersThan(dispatcher)...)
	}},
	{"dispatcher-killed-proxy-frozen", func(w *world, dispatcher, other string) func() {
		kill(w, dispatcher)
		return freeze(w, other)
	}},
	{"dispatcher-killed-proxy-frozen-briefly", func(w *world, dispatcher, other string) func() {
		kill(w, dispatcher)
		time.AfterFunc(400*time.Millisecond, freeze(w, other))
		return nothing
	}},
	{"100-messages-lost", func(w *world, _, _ string) func() {
		w.loseNext(100)
		return nothing
	}},
}

// outcome is what came of a failure.
type outcome struct {
	peak int
	// toFull is the time until the slots were in full use again, both after the
	// failure began and after it ended, the longer of the two.
	toFull time.Duration
	// late counts the requests that got no slot within their deadline.
	late int64
	// lost is the use of slots, in seconds, that was lost by it.
	lost float64
}

// provoke lets a failure happen in a flood.
func provoke(f failure) outcome {
	w, cleanUp := newWorld(serviceTime)
	defer cleanUp()
	time.Sleep(settleTime)
	dispatcher := w.target.dispatcher()
	quiet := w.use(time.Second)
	other := w.target.busiest(dispatcher)
	end := f.begin(w, dispatcher, other)
	toFull, lost := w.untilFull(quiet, healTime)
	end()
	again, further := w.untilFull(quiet, healTime)
	return outcome{peak: w.target.highest(), late: w.late.Load(), toFull: max(toFull, again), lost: lost + further}
}

// untilFull watches the use of the slots for a time. It returns after how long
// every further second was one of full use, and how much use was lost.
func (w *world) untilFull(quiet float64, watched time.Duration) (full time.Duration, lost float64) {
	var uses []float64
	for range watched / window {
		uses = append(uses, w.use(window))
		lost += max(quiet-uses[len(uses)-1], 0) / 100 * slotCount * window.Seconds()
	}
	const second = int(time.Second / window)
	for i := 0; i+second <= len(uses); i++ {
		sum := 0.0
		for _, use := range uses[i : i+second] {
			sum += use
		}
		if sum/float64(second) < quiet*fullUse/100 {
			full = time.Duration(i+1) * window
		}
	}
	return full, lost
}

func TestSlotsAfterFailures(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				o := provoke(f)
				t.Logf("at most %d statements, full use after %v, %.2f s of use lost", o.peak, o.toFull, o.lost)
				g.Expect(o.peak).To(BeNumerically("<=", slotCount), "statements at the member")
				g.Expect(o.toFull).To(BeNumerically("<", healTime-time.Second), "the slots come into full use again")
				if f.name == "100-messages-lost" {
					g.Expect(o.late).To(BeZero(), "a lost message costs no request")
				}
			})
		})
	}
}

func TestLongWorkKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w, cleanUp := newWorld(2 * time.Second)
		defer cleanUp()
		time.Sleep(settleTime)
		g.Expect(w.target.highest()).To(Equal(slotCount))
	})
}

// BenchmarkSlotsAfterFailures measures how long the slots are not in full use
// after each failure. Times are virtual.
func BenchmarkSlotsAfterFailures(b *testing.B) {
	for _, f := range failures {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				o := inBubble(f)
				b.ReportMetric(o.toFull.Seconds(), "to-full-use-s")
				b.ReportMetric(o.lost, "lost-slot-s")
				b.ReportMetric(float64(o.peak), "peak-at-member")
			}
		})
	}
}

// inBubble provokes a failure in virtual time, for which a test is needed.
func inBubble(f failure) (o outcome) {
	run := func(t *testing.T) { synctest.Test(t, func(*testing.T) { o = provoke(f) }) }
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: f.name, F: run}})
	return o
}
