package pgmem_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// path forwards connections to a member. It can drop the state of the open connections, as a
// failing network device does: they remain open, but data sent over them is lost.
type path struct {
	listener net.Listener
	target   string
	opened   atomic.Int64
	// lostReads counts the reads whose data was lost on unresponsive connections.
	lostReads atomic.Int64
	mu        sync.Mutex
	lost      []*atomic.Bool
}

func newPath(t testing.TB, target string) *path {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &path{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go p.serve()
	return p
}

func (p *path) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.opened.Add(1)
		lost := &atomic.Bool{}
		p.mu.Lock()
		p.lost = append(p.lost, lost)
		p.mu.Unlock()
		go p.forward(near, far, lost)
		go p.forward(far, near, lost)
	}
}

func (p *path) forward(from, to net.Conn, lost *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if lost.Load() {
			p.lostReads.Add(1)
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// dropConnState makes all open connections unresponsive. New ones work.
func (p *path) dropConnState() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lost := range p.lost {
		lost.Store(true)
	}
}

const (
	poolSize = 3
	// connectDelay is the time that connecting takes at Magnolia's members.
	connectDelay = 25 * time.Millisecond
)

func newPool(t testing.TB, check time.Duration) (*member.Pool, *path) {
	m, cleanUp, err := labdb.New(labdb.Options{Address: "127.0.0.1:0", ConnectDelay: connectDelay})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanUp)
	p := newPath(t, m.Address())
	pool, closePool := pgmem.NewPool(p.listener.Addr().String(), pgmem.Login{User: "proxy", Database: "d"}, poolSize, check)
	t.Cleanup(closePool)
	return pool, p
}

func fill(g *WithT, pool *member.Pool, mode member.Mode) {
	var conns []*member.Conn
	for range poolSize {
		c, err := pool.Get(context.Background(), mode, "")
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
	}
	for _, c := range conns {
		pool.Put(c, true)
	}
}

func TestUnresponsivePoolIsReplacedImmediately(t *testing.T) {
	g := NewWithT(t)
	pool, p := newPool(t, time.Nanosecond)
	fill(g, pool, member.ReadOnly)
	p.dropConnState()
	c, err := pool.Get(context.Background(), member.ReadOnly, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.opened.Load()).To(BeEquivalentTo(poolSize+1), "one request opens one new connection")
	g.Expect(p.lostReads.Load()).To(BeEquivalentTo(1), "the other unresponsive connections are not tried in turn")
	pool.Put(c, true)
	fill(g, pool, member.ReadOnly)
}

func TestPoolLimitCoversBothModes(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	fill(g, pool, member.ReadOnly)
	fill(g, pool, member.ReadWrite)
	inUse, idle := pool.Counts()
	g.Expect(inUse).To(BeZero())
	g.Expect(idle).To(Equal(poolSize))
}

func TestFullPoolReportsOverloaded(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	for range poolSize {
		_, err := pool.Get(context.Background(), member.ReadWrite, "")
		g.Expect(err).NotTo(HaveOccurred())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool.Get(ctx, member.ReadWrite, "")
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Overloaded))
}

func TestUnusableAndUncleanConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	for _, makeUnusable := range []func(*member.Conn) bool{
		func(c *member.Conn) bool { c.MarkUnusable(); return true },
		func(*member.Conn) bool { return false },
		func(*member.Conn) bool { pool.Invalidate(); return true },
	} {
		c, err := pool.Get(context.Background(), member.ReadWrite, "")
		g.Expect(err).NotTo(HaveOccurred())
		pool.Put(c, makeUnusable(c))
		_, err = pg(c).Read(make([]byte, 1))
		g.Expect(err).To(MatchError(net.ErrClosed))
	}
	inUse, idle := pool.Counts()
	g.Expect(inUse + idle).To(BeZero())
}

func FuzzParseState(f *testing.F) {
	f.Add("primary 3 3 3 120 120 0 host-1 1:0,3:100")
	f.Add("replica 1 0 0 0 0 0 - -")
	f.Add("replica 1 0 0 0 0 0 --1 -")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := pgmem.ParseState(text)
		if err != nil {
			return
		}
		again, err := pgmem.ParseState(pgmem.FormatState(s))
		if err != nil || again.LastEntry() != s.LastEntry() || again.Fence != s.Fence || again.LeaseHolder != s.LeaseHolder {
			t.Fatalf("state %q: got %v after a round trip, want %v (%v)", text, again, s, err)
		}
	})
}

// pg returns the PostgreSQL connection of a pooled connection.
func pg(c *member.Conn) *pgmem.Conn { return c.ProtocolConn.(*pgmem.Conn) }

// ask sends a statement and waits for the end of the answer.
func ask(c *member.Conn, text string) error {
	pg(c).Send(&pgproto3.Query{String: text})
	if err := pg(c).Flush(); err != nil {
		return err
	}
	for {
		message, err := pg(c).Receive()
		if err != nil {
			return err
		}
		if _, ends := message.(*pgproto3.ReadyForQuery); ends {
			return nil
		}
	}
}

// longDeadline is much longer than the time after which an unresponsive connection is detected.
const longDeadline = time.Minute

func TestUnresponsiveConnectionIsClosedBeforeDeadline(t *testing.T) {
	g := NewWithT(t)
	pool, p := newPool(t, time.Minute)
	fill(g, pool, member.ReadOnly)
	c, err := pool.Get(context.Background(), member.ReadOnly, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.SetDeadline(time.Now().Add(longDeadline))).To(Succeed())
	p.dropConnState()
	g.Expect(ask(c, "SELECT 1")).To(MatchError(net.ErrClosed), "closed long before the deadline")
	pool.Put(c, false)
	fill(g, pool, member.ReadOnly)
}

func TestLongStatementIsAwaited(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	c, err := pool.Get(context.Background(), member.ReadOnly, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ask(c, "SELECT pg_sleep(2)")).To(Succeed())
}

// BenchmarkUnresponsivePool measures, in real time, how long it takes until requests on all connections
// of a pool are answered again after all connections became unresponsive.
func BenchmarkUnresponsivePool(b *testing.B) {
	for b.Loop() {
		pool, p := newPool(b, time.Minute)
		fill(NewWithT(b), pool, member.ReadOnly)
		p.dropConnState()
		start := time.Now()
		var running sync.WaitGroup
		for range poolSize {
			running.Go(func() { untilAnswered(b, pool) })
		}
		running.Wait()
		b.ReportMetric(time.Since(start).Seconds(), "all-answered-s")
	}
}

func untilAnswered(b *testing.B, pool *member.Pool) {
	for {
		c, err := pool.Get(context.Background(), member.ReadOnly, "")
		if err != nil {
			b.Error(err)
			return
		}
		err = ask(c, "SELECT 1")
		pool.Put(c, err == nil)
		if err == nil {
			return
		}
	}
}
