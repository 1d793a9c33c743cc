package ctrl_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// benchSeeds is how many seeded runs of each kind of failure are measured.
const benchSeeds = 64

// bubbles runs each function in a bubble of virtual time of its own, several at
// once. A benchmark has no *testing.T, which a bubble needs.
func bubbles(runs []func()) {
	var tests []testing.InternalTest
	for i, run := range runs {
		tests = append(tests, testing.InternalTest{Name: fmt.Sprint(i), F: func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(*testing.T) { run() })
		}})
	}
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, tests)
}

// BenchmarkFailoverGap measures the gap in writes over seeded failures of every
// kind, for each rule of when a write is acknowledged. Times are virtual.
func BenchmarkFailoverGap(b *testing.B) {
	for _, w := range []way{production, immediate, lease} {
		b.Run(string(w), func(b *testing.B) {
			for b.Loop() {
				reportFailures(b, measureFailures(w))
			}
		})
	}
}

func measureFailures(w way) map[string][]outcome {
	var mu sync.Mutex
	outcomes := make(map[string][]outcome)
	var runs []func()
	for _, f := range failures() {
		for seed := range uint64(benchSeeds) {
			runs = append(runs, func() {
				o := runFailure(f, w, seed)
				mu.Lock()
				defer mu.Unlock()
				outcomes[f.name] = append(outcomes[f.name], o)
			})
		}
	}
	bubbles(runs)
	return outcomes
}

func reportFailures(b *testing.B, outcomes map[string][]outcome) {
	var gaps, acks []time.Duration
	var missing, falsely float64
	for _, f := range failures() {
		var own []time.Duration
		for _, o := range outcomes[f.name] {
			own = append(own, o.gap)
			acks = append(acks, o.acks...)
			missing += float64(o.missing)
			falsely += float64(o.falsely)
		}
		slices.Sort(own)
		b.Logf("%-30s gap p50 %6.3f s, max %6.3f s", f.name, middle(own).Seconds(), own[len(own)-1].Seconds())
		gaps = append(gaps, own...)
	}
	slices.Sort(gaps)
	slices.Sort(acks)
	b.ReportMetric(middle(gaps).Seconds(), "gap-p50-s")
	b.ReportMetric(gaps[len(gaps)-1].Seconds(), "gap-max-s")
	b.ReportMetric(missing, "lost-acks")
	b.ReportMetric(falsely, "false-promotions")
	b.ReportMetric(float64(middle(acks).Microseconds())/1000, "write-ack-p50-ms")
	b.ReportMetric(float64(len(gaps)), "failures")
}

func middle(sorted []time.Duration) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}
