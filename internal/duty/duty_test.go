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

// failingListener fails `failures` times, accepts one connection, and is
// then closed.
type failingListener struct {
	net.Listener
	failures int
	accepted bool
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, syscall.EMFILE
	}
	if !f.accepted {
		f.accepted = true
		return nil, nil
	}
	return nil, net.ErrClosed
}

func TestAcceptRetriesAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		handled := 0
		err := duty.Accept(t.Context(), &failingListener{failures: 20}, func(net.Conn) { handled++ })
		g.Expect(err).To(MatchError(net.ErrClosed))
		g.Expect(handled).To(Equal(1))
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

func TestRunCleanUpWaitsForReturn(t *testing.T) {
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
