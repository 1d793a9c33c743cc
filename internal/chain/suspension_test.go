package chain

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The monotonic clock stops while a host is suspended. Proofs from before the suspension
// would then appear recent enough to rely on.
func TestSuspensionInvalidatesEarlierProofs(t *testing.T) {
	g := NewWithT(t)
	suspended := time.Duration(0)
	r := suspensionDetector{suspended: func() time.Duration { return suspended }}
	start := time.Now()
	g.Expect(r.lastResume(start)).To(BeZero())
	suspended += time.Millisecond
	g.Expect(r.lastResume(start.Add(time.Second))).To(BeZero(), "clocks drift")
	suspended += 3 * time.Second
	resumed := start.Add(2 * time.Second)
	g.Expect(r.lastResume(resumed)).To(Equal(resumed))
	g.Expect(r.lastResume(resumed.Add(time.Second))).To(Equal(resumed))
}
