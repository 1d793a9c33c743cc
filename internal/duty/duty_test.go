package duty_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/duty"
)

// failing is a listener that fails some times, then gives a connection, then is
// closed.
type failing struct {
	net.Listener
	failures int
	given    bool
}

func (f *failing) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, syscall.EMFILE
	}
	if !f.given {
		f.given = true
		return nil, nil
	}
	return nil, net.ErrClosed
}

func TestAcceptGoesOnAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		taken := 0
		err := duty.Accept(t.Context(), &failing{failures: 20}, func(net.Conn) { taken++ })
		g.Expect(err).To(MatchError(net.ErrClosed))
		g.Expect(taken).To(Equal(1))
	})
}

func ExampleRing() {
	r := duty.NewRing[int](2)
	fmt.Println(r.Offer(1), r.Offer(2), r.Offer(3))
	fmt.Println(<-r.Items(), r.Dropped())
	// Output:
	// true true false
	// 1 1
}

func ExampleCell() {
	c := duty.NewCell("old")
	_, changed := c.Watch()
	c.Store("new")
	<-changed
	fmt.Println(c.Load())
	// Output: new
}

func TestRunWaitsForTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := false
		cleanUp := duty.Run(func(ctx context.Context) error {
			<-ctx.Done()
			time.Sleep(time.Second)
			ended = true
			return nil
		})
		cleanUp()
		NewWithT(t).Expect(ended).To(BeTrue())
	})
}
