package ctrl_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// benchSeeds is the number of seeded runs of each kind of failure.
const benchSeeds = 64

// runInBubbles runs each function in its own bubble of virtual time, several in parallel.
// synctest needs a *testing.T, which a benchmark does not have.
func runInBubbles(runs []func()) {
	var tests []testing.InternalTest
	for i, run := range runs {
		tests = append(tests, testing.InternalTest{Name: fmt.Sprint(i), F: func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(*testing.T) { run() })
		}})
	}
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, tests)
}

// BenchmarkFailoverGap measures the gap in writes over seeded failures of every kind, for
// each rule of when a write is acknowledged. Times are virtual.
func BenchmarkFailoverGap(b *testing.B) {
	for _, w := range []ackRule{production, immediate, lease} {
		b.Run(string(w), func(b *testing.B) {
			for b.Loop() {
				reportFailures(b, measureFailures(w))
			}
		})
	}
}

func measureFailures(w ackRule) map[string][]outcome {
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
	runInBubbles(runs)
	return outcomes
}

func reportFailures(b *testing.B, outcomes map[string][]outcome) {
	var gaps, acks []time.Duration
	var missing, falsePromotions float64
	for _, f := range failures() {
		var kindGaps []time.Duration
		for _, o := range outcomes[f.name] {
			kindGaps = append(kindGaps, o.gap)
			acks = append(acks, o.acks...)
			missing += float64(o.missing)
			falsePromotions += float64(o.falsePromotions)
		}
		slices.Sort(kindGaps)
		b.Logf("%-30s gap p50 %6.3f s, max %6.3f s", f.name, median(kindGaps).Seconds(), kindGaps[len(kindGaps)-1].Seconds())
		gaps = append(gaps, kindGaps...)
	}
	slices.Sort(gaps)
	slices.Sort(acks)
	b.ReportMetric(median(gaps).Seconds(), "gap-p50-s")
	b.ReportMetric(gaps[len(gaps)-1].Seconds(), "gap-max-s")
	b.ReportMetric(missing, "lost-acks")
	b.ReportMetric(falsePromotions, "false-promotions")
	b.ReportMetric(float64(median(acks).Microseconds())/1000, "write-ack-p50-ms")
	b.ReportMetric(float64(len(gaps)), "failures")
}

func median(sorted []time.Duration) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}
