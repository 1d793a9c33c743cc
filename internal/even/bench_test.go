package even_test

import (
	"testing"
)

const benchSeed = 1

// BenchmarkEvenLoad compares ways to choose a member at 89 and at 139 hosts, with members of
// equal and of unequal capacity. Times are virtual.
func BenchmarkEvenLoad(b *testing.B) {
	for _, w := range ways() {
		b.Run(w.name, func(b *testing.B) {
			for name, s := range map[string]site{
				"89": equalSite(89), "139": equalSite(139), "89-unequal": unequalSite(89), "139-unequal": unequalSite(139),
				"89-customers": customerSite(89), "139-customers": customerSite(139),
			} {
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						f := run(s, w, benchSeed).figures()
						b.ReportMetric(f.busiest, "busiest/mean")
						b.ReportMetric(f.p99.Seconds()*1e3, "wait-p99-ms")
						b.ReportMetric(f.switches, "switches/s")
						b.ReportMetric(f.correlation, "autocorrelation")
					}
				})
			}
		})
	}
}
