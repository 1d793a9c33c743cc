package member_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/member"
)

// fakeMember counts the connections that are open to it.
type fakeMember struct {
	mu     sync.Mutex
	open   int
	peak   int
	opened map[string]int
}

// fakeConn is a connection that was opened for a customer.
type fakeConn struct {
	member.ProtocolConn
	member   *fakeMember
	customer string
	closed   atomic.Bool
	busy     atomic.Bool
}

func (c *fakeConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.member.mu.Lock()
		defer c.member.mu.Unlock()
		c.member.open--
	}
	return nil
}

func (*fakeConn) SetDeadline(time.Time) error { return nil }
func (*fakeConn) Ping() error                 { return nil }

func (m *fakeMember) dial(_ context.Context, _ member.Mode, customer string) (member.ProtocolConn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open++
	m.peak = max(m.peak, m.open)
	m.opened[customer]++
	return &fakeConn{member: m, customer: customer}, nil
}

func (m *fakeMember) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open
}

func newDivided(t *testing.T, share int, listed func(string) bool) (*member.Pool, *fakeMember) {
	m := &fakeMember{opened: make(map[string]int)}
	pool, cleanUp := member.NewPool(member.PoolOptions{Open: m.dial, Listed: listed, Modeless: true, Limit: 100, IdleCheck: time.Hour})
	t.Cleanup(cleanUp)
	pool.Resize(share)
	return pool, m
}

// borrow gets a connection for a customer, which must have been opened for it.
func borrow(t *testing.T, pool *member.Pool, customer string) *member.Conn {
	c, err := pool.Get(t.Context(), member.ReadWrite, customer)
	if err != nil {
		t.Error(err)
		return nil
	}
	if got := c.ProtocolConn.(*fakeConn); got.customer != customer || c.Customer() != customer || got.closed.Load() || got.busy.Swap(true) { //nolint:forcetypeassert,errcheck // the test opens no others
		t.Errorf("customer %q got a connection of %q, closed %t", customer, got.customer, got.closed.Load())
	}
	return c
}

func giveBack(pool *member.Pool, c *member.Conn) {
	c.ProtocolConn.(*fakeConn).busy.Store(false) //nolint:forcetypeassert,errcheck // the test opens no others
	pool.Put(c, true)
}

// TestConnectionsServeOnlyTheirCustomer guards against a statement on a connection that was opened
// for another customer, and against more connections than the pool's share. Many customers use
// few connections at once, beside state queries.
func TestConnectionsServeOnlyTheirCustomer(t *testing.T) {
	const share = 4
	for seed := range uint64(10) {
		pool, m := newDivided(t, share, nil)
		permits := make(chan struct{}, share)
		var running sync.WaitGroup
		for worker := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, worker))
			running.Go(func() {
				for range 200 {
					permits <- struct{}{}
					customer := string([]byte{'a' + byte(random.IntN(9))})
					if random.IntN(5) == 0 {
						customer = ""
					}
					c := borrow(t, pool, customer)
					if random.IntN(3) == 0 {
						time.Sleep(time.Duration(random.IntN(100)) * time.Microsecond)
					}
					giveBack(pool, c)
					<-permits
				}
			})
		}
		running.Go(func() {
			for range 200 {
				if c, err := pool.TryGet(t.Context(), member.ReadWrite); err == nil {
					pool.Put(c, true)
				}
			}
		})
		running.Wait()
		if inUse, idle := pool.Counts(); inUse != 0 || idle != m.count() || m.peak > share+1 {
			t.Fatalf("seed %d: %d in use, %d idle, %d open, at most %d", seed, inUse, idle, m.count(), m.peak)
		}
	}
}

// TestLeastRecentlyUsedConnectionIsClosed guards against closing the connections of customers that
// are active, and against state queries that make a connection look active or change its customer.
func TestLeastRecentlyUsedConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		pool, m := newDivided(t, 2, nil)
		for _, customer := range []string{"a", "b", "a"} {
			giveBack(pool, borrow(t, pool, customer))
			time.Sleep(time.Millisecond)
		}
		asked, err := pool.TryGet(t.Context(), member.ReadWrite)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(asked.Customer()).To(Equal("b"), "the customer that is least likely to need its connection")
		pool.Put(asked, true)
		time.Sleep(time.Millisecond)
		giveBack(pool, borrow(t, pool, "c"))
		giveBack(pool, borrow(t, pool, "a"))
		giveBack(pool, borrow(t, pool, "c"))
		g.Expect(m.opened).To(Equal(map[string]int{"a": 1, "b": 1, "c": 1}))
		g.Expect(m.count()).To(Equal(2))
	})
}

// TestIdleConnectionsOfCustomersAreClosed guards against connections that are held for customers
// that are no longer active, or that no longer exist.
func TestIdleConnectionsOfCustomersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var removed atomic.Bool
		pool, m := newDivided(t, 9, func(customer string) bool { return customer != "gone" || !removed.Load() })
		own, gone, late, active := borrow(t, pool, ""), borrow(t, pool, "gone"), borrow(t, pool, "gone"), borrow(t, pool, "active")
		for _, c := range []*member.Conn{own, gone, active} {
			giveBack(pool, c)
		}
		removed.Store(true)
		time.Sleep(2 * time.Second)
		g.Expect(m.count()).To(Equal(3), "the idle connection of the removed customer is closed")
		giveBack(pool, late)
		g.Expect(m.count()).To(Equal(2), "the connection of the removed customer is not kept")
		giveBack(pool, borrow(t, pool, "active"))
		time.Sleep(9 * time.Second)
		g.Expect(m.count()).To(Equal(2))
		time.Sleep(3 * time.Second)
		g.Expect(m.count()).To(Equal(1), "the proxy's own connection stays")
	})
}
