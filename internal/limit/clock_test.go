package limit

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Delegations and tokens must expire while a host is suspended, and the clock must not go back
// even if the two clocks that it is computed from are read a little apart.
func TestClockCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspended := time.Hour
		c := newClock(func() time.Duration { return suspended })
		began := c.now()
		time.Sleep(time.Second)
		suspended += time.Minute
		g.Expect(c.now() - began).To(Equal(time.Minute + time.Second))
		suspended -= time.Microsecond
		g.Expect(c.now() - began).To(Equal(time.Minute + time.Second))
	})
}
