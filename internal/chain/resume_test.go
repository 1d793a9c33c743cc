package chain

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestASuspendedHostReliesOnNothingFromBefore suspends the host between two requests.
func TestASuspendedHostReliesOnNothingFromBefore(t *testing.T) {
	g := NewWithT(t)
	suspended := time.Duration(0)
	r := resumes{suspended: func() time.Duration { return suspended }}
	start := time.Now()
	g.Expect(r.since(start)).To(BeZero())
	suspended += time.Millisecond
	g.Expect(r.since(start.Add(time.Second))).To(BeZero(), "clocks drift")
	suspended += 3 * time.Second
	resumed := start.Add(2 * time.Second)
	g.Expect(r.since(resumed)).To(Equal(resumed))
	g.Expect(r.since(resumed.Add(time.Second))).To(Equal(resumed))
}
