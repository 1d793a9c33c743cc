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

// path forwards connections to a member, and can lose track of those that are
// open: they stay open and carry nothing any more.
type path struct {
	listener net.Listener
	target   string
	opened   atomic.Int64
	// wasted counts the messages that went into silent connections.
	wasted atomic.Int64
	mu     sync.Mutex
	lost   []*atomic.Bool
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
			p.wasted.Add(1)
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// loseTrack makes all open connections silent. New ones work.
func (p *path) loseTrack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lost := range p.lost {
		lost.Store(true)
	}
}

const (
	poolSize = 3
	// connectDelay is that of Magnolia's members.
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
		c, err := pool.Get(context.Background(), mode)
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
	}
	for _, c := range conns {
		pool.Put(c, true)
	}
}

func TestASilentPoolIsReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	pool, p := newPool(t, time.Nanosecond)
	fill(g, pool, member.ReadOnly)
	p.loseTrack()
	c, err := pool.Get(context.Background(), member.ReadOnly)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.opened.Load()).To(BeEquivalentTo(poolSize+1), "one new connection for one request")
	g.Expect(p.wasted.Load()).To(BeEquivalentTo(1), "the other silent connections are not tried in turn")
	pool.Put(c, true)
	fill(g, pool, member.ReadOnly)
}

func TestAPoolKeepsItsLimitOverBothModes(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	fill(g, pool, member.ReadOnly)
	fill(g, pool, member.ReadWrite)
	lent, idle := pool.Counts()
	g.Expect(lent).To(BeZero())
	g.Expect(idle).To(Equal(poolSize))
}

func TestAFullPoolRefusesAsNotRun(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	for range poolSize {
		_, err := pool.Get(context.Background(), member.ReadWrite)
		g.Expect(err).NotTo(HaveOccurred())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool.Get(ctx, member.ReadWrite)
	g.Expect(fault.Of(err).Kind).To(Equal(fault.Overloaded))
}

func TestDoubtfulAndUncleanConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	for _, spoil := range []func(*member.Conn) bool{
		func(c *member.Conn) bool { c.MarkUnusable(); return true },
		func(*member.Conn) bool { return false },
		func(*member.Conn) bool { pool.Invalidate(); return true },
	} {
		c, err := pool.Get(context.Background(), member.ReadWrite)
		g.Expect(err).NotTo(HaveOccurred())
		pool.Put(c, spoil(c))
		_, err = pg(c).Read(make([]byte, 1))
		g.Expect(err).To(MatchError(net.ErrClosed))
	}
	lent, idle := pool.Counts()
	g.Expect(lent + idle).To(BeZero())
}

func FuzzParseState(f *testing.F) {
	f.Add("primary 3 3 3 120 120 0 host-1 1:0,3:100")
	f.Add("replica 1 0 0 0 0 0 - -")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := pgmem.ParseState(text)
		if err != nil {
			return
		}
		again, err := pgmem.ParseState(pgmem.FormatState(s))
		if err != nil || again.Log() != s.Log() || again.Fence != s.Fence {
			t.Fatalf("state %q: got %v after a round trip, want %v (%v)", text, again, s, err)
		}
	})
}

// pg returns the connection of the protocol.
func pg(c *member.Conn) *pgmem.Conn { return c.ProtocolConn.(*pgmem.Conn) }

// ask sends a statement and waits for the end of its answer.
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

// longDeadline is far beyond the time after which a silent connection is found.
const longDeadline = time.Minute

func TestAnAnswerIsNotAwaitedOnASilentConnection(t *testing.T) {
	g := NewWithT(t)
	pool, p := newPool(t, time.Minute)
	fill(g, pool, member.ReadOnly)
	c, err := pool.Get(context.Background(), member.ReadOnly)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.SetDeadline(time.Now().Add(longDeadline))).To(Succeed())
	p.loseTrack()
	g.Expect(ask(c, "SELECT 1")).To(MatchError(net.ErrClosed), "closed long before the deadline")
	pool.Put(c, false)
	fill(g, pool, member.ReadOnly)
}

func TestLongWorkIsAwaited(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPool(t, time.Minute)
	c, err := pool.Get(context.Background(), member.ReadOnly)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ask(c, "SELECT pg_sleep(2)")).To(Succeed())
}

// BenchmarkSilentPool measures, in real time, how long it takes until every
// connection of a pool has answered again after all went silent with statements
// on them.
func BenchmarkSilentPool(b *testing.B) {
	for b.Loop() {
		pool, p := newPool(b, time.Minute)
		fill(NewWithT(b), pool, member.ReadOnly)
		p.loseTrack()
		began := time.Now()
		var running sync.WaitGroup
		for range poolSize {
			running.Go(func() { untilAnswered(b, pool) })
		}
		running.Wait()
		b.ReportMetric(time.Since(began).Seconds(), "all-answered-s")
	}
}

func untilAnswered(b *testing.B, pool *member.Pool) {
	for {
		c, err := pool.Get(context.Background(), member.ReadOnly)
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
