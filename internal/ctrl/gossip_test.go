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
	sheetTarget     = 4 * time.Second
	heartbeatPeriod = 500 * time.Millisecond
	watchTime       = 20 * time.Second
)

// gossipCluster is a set of real ctrl.Documents on a simulated network.
type gossipCluster struct {
	store *labkv.Memory
	calls atomic.Int64
	nodes []*gossipNode
	hosts []book.Host
	// partitioned is set while the regions cannot reach one another.
	partitioned atomic.Bool
}

type gossipNode struct {
	net       *gossipCluster
	host      book.Host
	documents *ctrl.Documents
	stop      func()
	// watches counts the calls for the sheet, and refused is set while the store refuses them.
	watches atomic.Int64
	refused atomic.Bool
}

func newGossipCluster(count int) (*gossipCluster, func()) {
	s, cleanUp := newGossipNodes(count, 3, 0)
	// The first documents are written once all proxies exist to receive them.
	s.putLists()
	return s, cleanUp
}

// putLists writes the list of hosts and an empty list of databases.
func (s *gossipCluster) putLists() {
	s.put(book.Hosts, book.HostsDoc{Serial: 1, Hosts: s.hosts})
	s.put(book.Databases, book.DatabasesDoc{Serial: 1})
}

// newRestartedFleet returns a cluster whose documents are in the store before any proxy
// starts, as after a power loss of all hosts.
func newRestartedFleet(count int) (*gossipCluster, func()) {
	return newGossipNodes(count, 9, time.Second)
}

// newGossipNodes starts count proxies, of which the given number in each region watches the
// store. If firstWait is not 0, the documents are written before the proxies start.
func newGossipNodes(count, watchers int, firstWait time.Duration) (*gossipCluster, func()) {
	s := &gossipCluster{store: labkv.New()}
	for i := range count {
		s.hosts = append(s.hosts, book.Host{Name: fmt.Sprintf("p%d", i), Region: regionOf(i, count)})
	}
	if firstWait > 0 {
		s.putLists()
		s.load(1)
	}
	log, stopLog := event.New(io.Discard)
	for _, h := range s.hosts {
		n := &gossipNode{net: s, host: h}
		n.documents, n.stop = ctrl.NewDocuments(ctrl.DocumentsOptions{
			Host: h.Name, Region: h.Region, Store: n, Log: log,
			Guard: guard.New(log, prometheus.NewRegistry(), func(p guard.Invariant) { panic(p) }), Broadcaster: n, LastHeard: n.lastHeard, Retry: 500 * time.Millisecond,
			WatchersPerRegion: watchers, FirstWait: firstWait, MaxStoreAge: 2 * watchTime,
			ChangePause: map[book.Kind]time.Duration{book.Hosts: firstWait / 2},
		})
		s.nodes = append(s.nodes, n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			pause(ctx, heartbeatPeriod)
			s.heartbeat()
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

func (s *gossipCluster) put(kind book.Kind, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	old, _ := s.store.Get(context.Background(), string(kind))
	if _, err := s.store.Put(context.Background(), string(kind), raw, old.Version); err != nil {
		panic(err)
	}
}

func (s *gossipCluster) cut(a, b string) bool { return s.partitioned.Load() && a != b }

func (s *gossipCluster) delay(a, b string) time.Duration {
	if a != b {
		return farDelay
	}
	return nearDelay
}

func (s *gossipCluster) node(name string) *gossipNode {
	for _, n := range s.nodes {
		if n.host.Name == name {
			return n
		}
	}
	return nil
}

// send delivers a document after it was offered, fetched and sent.
func (s *gossipCluster) send(from, to *gossipNode, doc book.Doc) {
	if !s.cut(from.host.Region, to.host.Region) {
		time.AfterFunc(3*s.delay(from.host.Region, to.host.Region), func() { to.documents.Receive(doc, from.host.Name) })
	}
}

// heartbeat sends each proxy's targets a sheet that is newer than theirs, and the age of the
// store's last answer, as heartbeats do.
func (s *gossipCluster) heartbeat() {
	for _, n := range s.nodes {
		for _, name := range peer.GossipTargets(n.host.Name, n.host.Region, s.others(n), book.Doc{}) {
			to := s.node(name)
			if !s.cut(n.host.Region, to.host.Region) {
				to.documents.TakeStoreAge(n.documents.StoreAge())
			}
			if doc, found := n.documents.Book().Doc(book.Sheet); found && doc.Serial > to.documents.Book().Serial(book.Sheet) {
				s.send(n, to, doc)
			}
		}
	}
}

func (s *gossipCluster) others(n *gossipNode) []book.Host {
	var others []book.Host
	for _, h := range s.hosts {
		if h.Name != n.host.Name {
			others = append(others, h)
		}
	}
	return others
}

// lastHeard reports that a peer of the same region is heard all the time.
func (n *gossipNode) lastHeard() time.Time { return time.Now() }

// Spread implements ctrl.Broadcaster.
func (n *gossipNode) Spread(doc book.Doc) {
	for _, name := range peer.GossipTargets(n.host.Name, n.host.Region, n.net.others(n), doc) {
		n.net.send(n, n.net.node(name), doc)
	}
}

const storeRegion = "Budapest"

func (n *gossipNode) Get(ctx context.Context, key string) (store.Object, error) {
	return n.net.store.Get(ctx, key)
}

func (n *gossipNode) Put(ctx context.Context, key string, value []byte, previous store.Version) (store.Version, error) {
	return n.net.store.Put(ctx, key, value, previous)
}

// Watch implements store.Store, with the time-out of a watch call.
func (n *gossipNode) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	n.net.calls.Add(1)
	if key == string(book.Sheet) {
		n.watches.Add(1)
		if n.refused.Load() {
			return store.Object{}, &store.StatusError{Op: "watch", Key: key, Status: 503}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	if n.net.cut(n.host.Region, storeRegion) {
		<-ctx.Done()
		return store.Object{}, ctx.Err()
	}
	pause(ctx, n.net.delay(n.host.Region, storeRegion))
	o, err := n.net.store.Watch(ctx, key, seen)
	time.Sleep(n.net.delay(n.host.Region, storeRegion))
	if n.net.cut(n.host.Region, storeRegion) {
		// The answer to a call that was sent before the partition does not arrive.
		<-ctx.Done()
		return store.Object{}, ctx.Err()
	}
	return o, err
}

// inForce waits until the sheet is in force on every proxy, and returns how long that
// took.
func (s *gossipCluster) inForce(serial uint64) time.Duration {
	const limit = time.Minute
	start := time.Now()
	for time.Since(start) < limit {
		missing := 0
		for _, n := range s.nodes {
			if n.documents.Book().Serial(book.Sheet) < serial {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		time.Sleep(time.Millisecond)
	}
	return limit
}

const sheetCSV = "Service,Database,Caller,Secret,Kind,Access,Idempotent,Rank,DeadlineMs,Worth,AcceptedAgeMs\n"

func (s *gossipCluster) load(serial uint64) {
	s.put(book.Sheet, book.SheetDoc{Serial: serial, LoadedBy: "anna", CSV: sheetCSV})
}

// measureGossip returns the longest time until a sheet is in force on all proxies, and the
// calls to the store in a minute without changes.
func measureGossip(count int) (time.Duration, int64) {
	s, cleanUp := newGossipCluster(count)
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

func TestSheetReachesEveryProxy(t *testing.T) {
	for _, count := range []int{1, 2, 9, 90} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				longest, _ := measureGossip(count)
				NewWithT(t).Expect(longest).To(BeNumerically("<=", sheetTarget))
			})
		})
	}
}

// TestSheetSurvivesOutages loads sheets after an outage of the store and during a
// partition between the regions.
func TestSheetSurvivesOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, cleanUp := newGossipCluster(9)
		defer cleanUp()
		s.load(1)
		g.Expect(s.inForce(1)).To(BeNumerically("<=", sheetTarget))
		s.store.SetDown(true)
		time.Sleep(time.Minute)
		s.store.SetDown(false)
		s.load(2)
		g.Expect(s.inForce(2)).To(BeNumerically("<=", sheetTarget), "after an outage of the store")
		s.partitioned.Store(true)
		time.Sleep(time.Second)
		s.load(3)
		time.Sleep(sheetTarget)
		for _, n := range s.nodes {
			want := uint64(2)
			if n.host.Region == storeRegion {
				want = 3
			}
			g.Expect(n.documents.Book().Serial(book.Sheet)).To(Equal(want), n.host.Name)
		}
		s.partitioned.Store(false)
		g.Expect(s.inForce(3)).To(BeNumerically("<=", sheetTarget), "after the end of the partition")
	})
}

// TestFleetThatRestartsReadsTheStoreThroughFewProxies starts 300 proxies at once, as after a
// power loss. If each of them reads and watches every document in the store, the calls grow
// with the fleet, and the store refuses those beyond its rate.
func TestFleetThatRestartsReadsTheStoreThroughFewProxies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const fleet = 300
		s, cleanUp := newRestartedFleet(fleet)
		defer cleanUp()
		g.Expect(s.inForce(1)).To(BeNumerically("<=", sheetTarget))
		time.Sleep(10 * time.Second)
		// Each proxy reads the list of hosts once. The other calls are those of the watchers.
		g.Expect(s.calls.Load()).To(BeNumerically("<=", fleet+100))
		s.load(2)
		g.Expect(s.inForce(2)).To(BeNumerically("<=", sheetTarget))
	})
}

// TestStoreThatTurnsItsWatchersAwayIsReadByOthers guards against a sheet that no proxy takes
// because the store refuses exactly those proxies that watch it.
func TestStoreThatTurnsItsWatchersAwayIsReadByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, cleanUp := newRestartedFleet(60)
		defer cleanUp()
		g.Expect(s.inForce(1)).To(BeNumerically("<=", sheetTarget))
		for _, n := range s.nodes {
			n.refused.Store(n.watches.Load() > 0)
		}
		s.load(2)
		g.Expect(s.inForce(2)).To(BeNumerically("<=", 4*watchTime))
	})
}

// BenchmarkSheetSpread measures the time until a sheet is in force on every proxy, and the
// calls to the store in a minute. Times are virtual.
func BenchmarkSheetSpread(b *testing.B) {
	for _, count := range []int{9, 90, 360} {
		b.Run(fmt.Sprintf("production/proxies=%d", count), func(b *testing.B) {
			for b.Loop() {
				var longest time.Duration
				var calls int64
				runInBubbles([]func(){func() { longest, calls = measureGossip(count) }})
				b.ReportMetric(longest.Seconds(), "in-force-max-s")
				b.ReportMetric(float64(calls), "store-calls")
			}
		})
	}
}

// BenchmarkDrain measures how long after the platform lists the primary as leaving the
// last write is sent to it. Times are virtual and count from the change of the list on
// each proxy.
func BenchmarkDrain(b *testing.B) {
	b.Run("production", func(b *testing.B) {
		for b.Loop() {
			var longest time.Duration
			for seed := range uint64(runSeeds) {
				runInBubbles([]func(){func() { longest = max(longest, drain(seed)) }})
			}
			b.ReportMetric(longest.Seconds(), "last-new-work-s")
		}
	})
}

func drain(seed uint64) time.Duration {
	cl, cleanUp := newCluster(production, seed)
	defer cleanUp()
	time.Sleep(faultAt)
	list := cl.list()
	list[0].Draining = true
	start := time.Now()
	cl.handover.Store(true)
	for _, p := range cl.proxies {
		p.controller.SetMembers(list, 0)
	}
	time.Sleep(healAt)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.lastWork["m0"].Sub(start)
}

func TestLeavingPrimaryGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		last := drain(1)
		g := NewWithT(t)
		g.Expect(last).To(BeNumerically(">", 0), "writes must continue until the handover")
		g.Expect(last).To(BeNumerically("<=", 3*time.Second))
	})
}
