package gate_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// sampleWindow is the time over which the utilisation of the slots is measured.
	sampleWindow = 250 * time.Millisecond
	// fullUtilisationPercent is the percentage of the utilisation before the failure
	// that counts as full utilisation. It equals the objective for useful work.
	fullUtilisationPercent = 95
	settleTime             = 10 * time.Second
	// observationTime is how long the slots are observed after a failure begins, and
	// again after it ends.
	observationTime = 6 * time.Second
)

// utilisation returns the percentage of the slots' time that is spent on work during
// the following period d.
func (cl *cluster) utilisation(d time.Duration) float64 {
	before := cl.target.done.Load()
	time.Sleep(d)
	return 100 * float64(cl.target.done.Load()-before) * serviceTime.Seconds() / (slotCount * d.Seconds())
}

// failure is a fault that is injected under overload. inject is given the lease holder
// and another host, and returns a function that ends the failure.
type failure struct {
	name   string
	inject func(cl *cluster, holder, proxy string) (heal func())
}

func noop() {}

func kill(cl *cluster, name string) func() {
	cl.host(name).kill()
	return noop
}

func restart(cl *cluster, name string) func() {
	cl.host(name).kill()
	cl.start(name)
	return noop
}

func freeze(cl *cluster, name string) func() {
	cl.host(name).freeze()
	return cl.host(name).thaw
}

func partition(cl *cluster, from string, to ...string) func() {
	for _, name := range to {
		cl.setBlocked(from, name, true)
	}
	return func() {
		for _, name := range to {
			cl.setBlocked(from, name, false)
		}
	}
}

// acknowledgementTimeout is how long a connection goes on sending without an
// acknowledgement.
const acknowledgementTimeout = time.Second

// partitionOneWay blocks the messages from one host to another. Connections in the
// other direction end after acknowledgementTimeout, since acknowledgements are
// missing.
func partitionOneWay(cl *cluster, from, to string) func() {
	cl.setBlockedOneWay(from, to, true)
	later := time.AfterFunc(acknowledgementTimeout, func() { cl.setBlockedOneWay(to, from, true) })
	return func() {
		later.Stop()
		cl.setBlocked(from, to, false)
	}
}

// allExcept returns all hosts but one.
func allExcept(name string) []string {
	return slices.DeleteFunc(hostNames(), func(other string) bool { return other == name })
}

var failures = []failure{
	{"none", func(*cluster, string, string) func() { return noop }},
	{"proxy-killed", func(cl *cluster, _, proxy string) func() { return kill(cl, proxy) }},
	{"proxy-restarted", func(cl *cluster, _, proxy string) func() { return restart(cl, proxy) }},
	{"proxy-frozen", func(cl *cluster, _, proxy string) func() { return freeze(cl, proxy) }},
	{"proxy-cut-from-dispatcher", func(cl *cluster, holder, proxy string) func() { return partition(cl, proxy, holder) }},
	{"proxy-cannot-send", func(cl *cluster, holder, proxy string) func() { return partitionOneWay(cl, proxy, holder) }},
	{"proxy-cannot-hear", partitionOneWay},
	{"dispatcher-killed", func(cl *cluster, holder, _ string) func() { return kill(cl, holder) }},
	{"dispatcher-restarted", func(cl *cluster, holder, _ string) func() { return restart(cl, holder) }},
	{"dispatcher-frozen", func(cl *cluster, holder, _ string) func() { return freeze(cl, holder) }},
	{"dispatcher-cut-from-member", func(cl *cluster, holder, _ string) func() { return partition(cl, holder, targetName) }},
	{"dispatcher-cut-from-hosts", func(cl *cluster, holder, _ string) func() {
		return partition(cl, holder, allExcept(holder)...)
	}},
	{"dispatcher-killed-proxy-frozen", func(cl *cluster, holder, proxy string) func() {
		kill(cl, holder)
		return freeze(cl, proxy)
	}},
	{"dispatcher-killed-proxy-frozen-briefly", func(cl *cluster, holder, proxy string) func() {
		kill(cl, holder)
		time.AfterFunc(400*time.Millisecond, freeze(cl, proxy))
		return noop
	}},
	{"100-messages-lost", func(cl *cluster, _, _ string) func() {
		cl.loseNext(100)
		return noop
	}},
}

// outcome is the measured effect of a failure.
type outcome struct {
	peak int
	// recovery is the time until the slots were fully utilised again: the longer of
	// the times after the failure began and after it ended.
	recovery time.Duration
	// late counts the requests that got no slot within their deadline.
	late int64
	// lost is the slot time, in seconds, that the failure left unused.
	lost float64
}

// runFailure injects a failure under overload and measures its effect.
func runFailure(f failure) outcome {
	cl, cleanUp := newCluster(serviceTime)
	defer cleanUp()
	time.Sleep(settleTime)
	holder := cl.target.leaseHolder()
	baseline := cl.utilisation(time.Second)
	proxy := cl.target.busiestExcept(holder)
	heal := f.inject(cl, holder, proxy)
	recovery, lost := cl.measureRecovery(baseline, observationTime)
	heal()
	secondRecovery, secondLost := cl.measureRecovery(baseline, observationTime)
	return outcome{peak: cl.target.peakStatements(), late: cl.late.Load(), recovery: max(recovery, secondRecovery), lost: lost + secondLost}
}

// measureRecovery observes the utilisation of the slots for a time. It returns after
// how long every further second was one of full utilisation, and how much slot time
// was lost.
func (cl *cluster) measureRecovery(baseline float64, duration time.Duration) (recovered time.Duration, lost float64) {
	var samples []float64
	for range duration / sampleWindow {
		samples = append(samples, cl.utilisation(sampleWindow))
		lost += max(baseline-samples[len(samples)-1], 0) / 100 * slotCount * sampleWindow.Seconds()
	}
	const second = int(time.Second / sampleWindow)
	for i := 0; i+second <= len(samples); i++ {
		sum := 0.0
		for _, utilisation := range samples[i : i+second] {
			sum += utilisation
		}
		if sum/float64(second) < baseline*fullUtilisationPercent/100 {
			recovered = time.Duration(i+1) * sampleWindow
		}
	}
	return recovered, lost
}

func TestSlotsAfterFailures(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				o := runFailure(f)
				t.Logf("at most %d statements, full utilisation after %v, %.2f s of slot time lost", o.peak, o.recovery, o.lost)
				g.Expect(o.peak).To(BeNumerically("<=", slotCount), "statements at the member")
				g.Expect(o.recovery).To(BeNumerically("<", observationTime-time.Second), "the slots are fully utilised again")
				if f.name == "100-messages-lost" {
					g.Expect(o.late).To(BeZero(), "a lost message makes no request miss its deadline")
				}
			})
		})
	}
}

func TestLongWorkKeepsItsPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl, cleanUp := newCluster(2 * time.Second)
		defer cleanUp()
		time.Sleep(settleTime)
		g.Expect(cl.target.peakStatements()).To(Equal(slotCount))
	})
}

// BenchmarkSlotsAfterFailures measures for how long the slots are not fully utilised
// after each failure. Times are virtual.
func BenchmarkSlotsAfterFailures(b *testing.B) {
	for _, f := range failures {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				o := inVirtualTime(f)
				b.ReportMetric(o.recovery.Seconds(), "to-full-use-s")
				b.ReportMetric(o.lost, "lost-slot-s")
				b.ReportMetric(float64(o.peak), "peak-at-member")
			}
		})
	}
}

// inVirtualTime runs a failure in virtual time, which needs a test.
func inVirtualTime(f failure) (o outcome) {
	run := func(t *testing.T) { synctest.Test(t, func(*testing.T) { o = runFailure(f) }) }
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: f.name, F: run}})
	return o
}
