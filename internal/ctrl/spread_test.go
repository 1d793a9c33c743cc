package ctrl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/store"
)

const (
	sheetTarget = 4 * time.Second
	beatPeriod  = 500 * time.Millisecond
	watchTime   = 20 * time.Second
)

// spreading is a set of real Books over a fake network.
type spreading struct {
	store *labkv.Memory
	calls atomic.Int64
	nodes []*spreadNode
	hosts []book.Host
	// apart tells that the regions are cut off from one another.
	apart atomic.Bool
}

type spreadNode struct {
	net   *spreading
	host  book.Host
	books *ctrl.Books
	stop  func()
}

func newSpreading(count int) (*spreading, func()) {
	s := &spreading{store: labkv.New()}
	for i := range count {
		s.hosts = append(s.hosts, book.Host{Name: fmt.Sprintf("p%d", i), Region: regionOf(i, count)})
	}
	log, stopLog := event.New(io.Discard)
	for _, h := range s.hosts {
		n := &spreadNode{net: s, host: h}
		n.books, n.stop = ctrl.NewBooks(ctrl.BooksOptions{
			Host: h.Name, Region: h.Region, Store: n, Log: log,
			Guard: guard.New(log, prometheus.NewRegistry(), func(p guard.Promise) { panic(p) }), Spread: n, Fed: n.fed, Retry: 500 * time.Millisecond,
		})
		s.nodes = append(s.nodes, n)
	}
	// The first documents come once all proxies are there to be spread to.
	s.put(book.Hosts, book.HostsDoc{Serial: 1, Hosts: s.hosts})
	s.put(book.Databases, book.DatabasesDoc{Serial: 1})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			pause(ctx, beatPeriod)
			s.beat()
		}
	}()
	return s, func() {
		cancel()
		<-ended
		for _, n := range s.nodes {
			n.stop()
		}
		stopLog()
	}
}

func (s *spreading) put(kind book.Kind, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	old, _ := s.store.Get(context.Background(), string(kind))
	if _, err := s.store.Put(context.Background(), string(kind), raw, old.Version); err != nil {
		panic(err)
	}
}

func (s *spreading) cut(a, b string) bool { return s.apart.Load() && a != b }

func (s *spreading) delay(a, b string) time.Duration {
	if a != b {
		return farDelay
	}
	return nearDelay
}

func (s *spreading) node(name string) *spreadNode {
	for _, n := range s.nodes {
		if n.host.Name == name {
			return n
		}
	}
	return nil
}

func (s *spreading) send(from, to *spreadNode, doc book.Doc) {
	if !s.cut(from.host.Region, to.host.Region) {
		time.AfterFunc(s.delay(from.host.Region, to.host.Region), func() { to.books.Take(doc) })
	}
}

// beat lets every proxy send its neighbours what they lack.
func (s *spreading) beat() {
	for _, n := range s.nodes {
		for _, name := range peer.GossipTargets(n.host.Name, n.host.Region, s.others(n), book.Doc{}) {
			to := s.node(name)
			if doc, found := n.books.Book().Doc(book.Sheet); found && doc.Serial > to.books.Book().Serial(book.Sheet) {
				s.send(n, to, doc)
			}
		}
	}
}

func (s *spreading) others(n *spreadNode) []book.Host {
	var others []book.Host
	for _, h := range s.hosts {
		if h.Name != n.host.Name {
			others = append(others, h)
		}
	}
	return others
}

// fed tells that a peer of the own region is heard all the time.
func (n *spreadNode) fed() time.Time { return time.Now() }

// Spread implements ctrl.Spreader.
func (n *spreadNode) Spread(doc book.Doc) {
	for _, name := range peer.GossipTargets(n.host.Name, n.host.Region, n.net.others(n), doc) {
		n.net.send(n, n.net.node(name), doc)
	}
}

const storeRegion = "Budapest"

func (n *spreadNode) Get(ctx context.Context, key string) (store.Object, error) {
	return n.net.store.Get(ctx, key)
}

func (n *spreadNode) Put(ctx context.Context, key string, value []byte, was store.Version) (store.Version, error) {
	return n.net.store.Put(ctx, key, value, was)
}

// Watch implements store.Store, with the store's waiting time.
func (n *spreadNode) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	n.net.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	if n.net.cut(n.host.Region, storeRegion) {
		<-ctx.Done()
		return store.Object{}, ctx.Err()
	}
	pause(ctx, n.net.delay(n.host.Region, storeRegion))
	o, err := n.net.store.Watch(ctx, key, seen)
	time.Sleep(n.net.delay(n.host.Region, storeRegion))
	return o, err
}

// inForce waits until the sheet is in force on every proxy, and returns how long
// that took.
func (s *spreading) inForce(serial uint64) time.Duration {
	const limit = time.Minute
	began := time.Now()
	for time.Since(began) < limit {
		missing := 0
		for _, n := range s.nodes {
			if n.books.Book().Serial(book.Sheet) < serial {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
	return limit
}

const sheetCSV = "Service,Database,Caller,Secret,Kind,Access,Idempotent,Rank,DeadlineMs,Worth,AcceptedAgeMs\n"

func (s *spreading) load(serial uint64) {
	s.put(book.Sheet, book.SheetDoc{Serial: serial, LoadedBy: "anna", CSV: sheetCSV})
}

// spread measures how long sheets take to be in force, and the calls to the
// store in a quiet minute.
func spread(count int) (time.Duration, int64) {
	s, cleanUp := newSpreading(count)
	defer cleanUp()
	var longest time.Duration
	for serial := uint64(1); serial <= 5; serial++ {
		time.Sleep(7 * time.Second)
		s.load(serial)
		longest = max(longest, s.inForce(serial))
	}
	before := s.calls.Load()
	time.Sleep(time.Minute)
	return longest, s.calls.Load() - before
}

func TestSheetIsInForceEverywhere(t *testing.T) {
	for _, count := range []int{1, 2, 9, 90} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				longest, _ := spread(count)
				NewWithT(t).Expect(longest).To(BeNumerically("<=", sheetTarget))
			})
		})
	}
}

// TestSheetSurvivesOutages loads sheets while the store is down and while the
// regions are cut off from one another.
func TestSheetSurvivesOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, cleanUp := newSpreading(9)
		defer cleanUp()
		s.load(1)
		g.Expect(s.inForce(1)).To(BeNumerically("<=", sheetTarget))
		s.store.SetDown(true)
		time.Sleep(time.Minute)
		s.store.SetDown(false)
		s.load(2)
		g.Expect(s.inForce(2)).To(BeNumerically("<=", sheetTarget), "after an outage of the store")
		s.apart.Store(true)
		time.Sleep(time.Second)
		s.load(3)
		time.Sleep(sheetTarget)
		for _, n := range s.nodes {
			want := uint64(2)
			if n.host.Region == storeRegion {
				want = 3
			}
			g.Expect(n.books.Book().Serial(book.Sheet)).To(Equal(want), n.host.Name)
		}
		s.apart.Store(false)
		g.Expect(s.inForce(3)).To(BeNumerically("<=", sheetTarget), "after the regions met again")
	})
}

// BenchmarkSheetSpread measures how long a sheet takes to be in force on every
// proxy, and the calls to the store in a minute. Times are virtual.
func BenchmarkSheetSpread(b *testing.B) {
	for _, count := range []int{9, 90, 360} {
		b.Run(fmt.Sprintf("production/proxies=%d", count), func(b *testing.B) {
			for b.Loop() {
				var longest time.Duration
				var calls int64
				bubbles([]func(){func() { longest, calls = spread(count) }})
				b.ReportMetric(longest.Seconds(), "in-force-max-s")
				b.ReportMetric(float64(calls), "store-calls")
			}
		})
	}
}

// BenchmarkDrain measures how long after the platform lists the primary as
// leaving the last write goes to it. Times are virtual, from the change of the
// list on each proxy.
func BenchmarkDrain(b *testing.B) {
	b.Run("production", func(b *testing.B) {
		for b.Loop() {
			var longest time.Duration
			for seed := range uint64(runSeeds) {
				bubbles([]func(){func() { longest = max(longest, drain(seed)) }})
			}
			b.ReportMetric(longest.Seconds(), "last-new-work-s")
		}
	})
}

func drain(seed uint64) time.Duration {
	x, cleanUp := newWorld(production, seed)
	defer cleanUp()
	time.Sleep(faultAt)
	list := x.list()
	list[0].Leaving = true
	began := time.Now()
	x.handover.Store(true)
	for _, p := range x.proxies {
		p.base.SetMembers(list)
	}
	time.Sleep(healAt)
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastWork["m0"].Sub(began)
}

func TestALeavingPrimaryGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		last := drain(1)
		g := NewWithT(t)
		g.Expect(last).To(BeNumerically(">", 0), "writes go on until the place is handed over")
		g.Expect(last).To(BeNumerically("<=", 3*time.Second))
	})
}
