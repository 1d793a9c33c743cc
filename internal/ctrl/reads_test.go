package ctrl_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/lablog"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

const (
	readRun        = 20 * time.Second
	readPeriod     = 50 * time.Millisecond
	stalenessBound = 5 * time.Second
)

// readMode is how a session that has written reads.
type readMode string

const (
	// mixed uses a token in every second session.
	mixed       readMode = "production"
	tokens      readMode = "production/token"
	readIndexes readMode = "production/barrier"
	toPrimary   readMode = "primary-only"
)

// readCounts counts reads by the member that served them.
type readCounts struct {
	mu              sync.Mutex
	reads           int
	replica         int
	allowed         int
	allowedReplica  int
	stale           int
	refused         int
	leftRegion      int
	allowedInRegion int
}

// reader is one session. In a loop it writes, reads its own write, and reads with a
// staleness bound.
type reader struct {
	proxy  *fakeProxy
	mode   readMode
	turn   uint64
	counts *readCounts
	floor  group.Floor
	// written is the session's last acknowledged write.
	written group.Floor
}

func (r *reader) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if i%10 == 0 {
			r.writeOne(ctx)
		}
		r.read(ctx, 0)
		pause(ctx, readPeriod)
		r.read(ctx, stalenessBound)
		pause(ctx, readPeriod)
	}
}

func (r *reader) writeOne(ctx context.Context) {
	v, found := r.proxy.controller.Await(ctx, func(v view.View) bool { _, ok := v.Writable(); return ok })
	if !found {
		return
	}
	target, _ := v.Writable()
	c := &fakeControl{proxy: r.proxy, target: r.proxy.cluster.member(target.Name)}
	state, err := c.call(ctx, func(l *lablog.Log) error { return l.Append([]lablog.Statement{{SQL: "read"}}) })
	f := group.Floor{Term: state.Term, Position: state.Received}
	if err == nil && r.proxy.confirm(ctx, target.Name, f) {
		r.written = f
		r.floor = f
	}
}

func (r *reader) token() bool { return r.mode == tokens || (r.mode == mixed && r.turn%2 == 0) }

func (r *reader) read(runCtx context.Context, age time.Duration) {
	cl := r.proxy.cluster
	start := time.Now()
	allowed, inRegion := cl.allowed(r.written, start, age, r.proxy.region)
	finder := chain.Finder{Region: r.proxy.region, DataCentre: r.proxy.region, ReplicaWait: 20 * time.Millisecond}
	ctx, cancel := context.WithTimeout(runCtx, 2*time.Second)
	defer cancel()
	found, err := finder.Find(ctx, r.proxy.controller, chain.ReadRequirement{
		Database: databaseKey, Floor: r.floor, HasToken: r.token(), StalenessBound: age, Arrived: start, Rotation: r.turn,
	})
	if err != nil {
		// A read that was interrupted by the end of the run does not count as refused.
		if runCtx.Err() == nil {
			r.counts.refuse()
		}
		return
	}
	target := found.Members[0]
	if r.mode == toPrimary {
		v := r.proxy.controller.View()
		target, _ = v.Writable()
	}
	// The read sees the member's state at the time at which it reaches the member.
	c := &fakeControl{proxy: r.proxy, target: cl.member(target.Name)}
	state, err := c.call(ctx, func(*lablog.Log) error { return nil })
	if err != nil {
		return
	}
	stale := age == 0 && state.FloorStatus(r.written, state.Applied) != group.Covered
	if age > 0 {
		stale = state.Applied < cl.positionAt(start.Add(-age))
	}
	r.counts.add(state.Role == group.Replica, allowed, inRegion, target.Region != r.proxy.region, stale)
}

func (t *readCounts) refuse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused++
}

func (t *readCounts) add(replica, allowed, inRegion, far, stale bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if replica {
		t.replica++
	}
	if allowed {
		t.allowed++
		if replica {
			t.allowedReplica++
		}
	}
	if inRegion {
		t.allowedInRegion++
		if far {
			t.leftRegion++
		}
	}
	if stale {
		t.stale++
	}
}

// allowed reports from the members' actual state whether any replica could have served a
// read that arrives now, and whether one in the given region could.
func (cl *cluster) allowed(written group.Floor, now time.Time, age time.Duration, region string) (anywhere, inRegion bool) {
	for _, m := range cl.members {
		s := m.state()
		if s.Role != group.Replica || !m.runs() {
			continue
		}
		fresh := s.FloorStatus(written, s.Applied) == group.Covered
		if age > 0 {
			fresh = s.Applied >= cl.positionAt(now.Add(-age)) && fresh
		}
		anywhere = anywhere || fresh
		inRegion = inRegion || (fresh && m.region == region)
	}
	return anywhere, inRegion
}

// positionAt returns the length of the primary's log at a time.
func (cl *cluster) positionAt(at time.Time) group.Position {
	best := cl.latest()
	best.mu.Lock()
	defer best.mu.Unlock()
	n := 0
	for _, e := range best.log.Entries {
		if e.Arrived.After(at) {
			break
		}
		n++
	}
	return group.Position(n)
}

func runReads(w readMode, lag time.Duration, memberDown bool, seed uint64) *readCounts {
	cl, cleanUp := newCluster(production, seed)
	defer cleanUp()
	for _, m := range cl.members[1:] {
		m.setLag(lag)
	}
	if memberDown {
		cl.members[1].setUp(false)
	}
	counts := &readCounts{}
	ctx, cancel := context.WithTimeout(context.Background(), readRun)
	defer cancel()
	var sessions sync.WaitGroup
	for i, p := range cl.proxies {
		for j := range 2 {
			r := &reader{proxy: p, mode: w, turn: uint64(2*i + j), counts: counts}
			sessions.Go(func() { r.run(ctx) })
		}
	}
	sessions.Wait()
	return counts
}

var readLags = []time.Duration{0, 50 * time.Millisecond, time.Second, 10 * time.Second}

// TestReadsAreFreshEnough checks reads on lagging replicas against the actual state of the
// cluster: a read must see the session's writes or be within its staleness bound.
func TestReadsAreFreshEnough(t *testing.T) {
	for _, w := range []readMode{tokens, readIndexes} {
		for _, lag := range readLags {
			t.Run(fmt.Sprint(w, "/", lag), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					counts := runReads(w, lag, lag == time.Second, 1)
					g.Expect(counts.stale).To(BeZero(), "stale reads")
					g.Expect(counts.refused).To(BeZero(), "reads refused")
					g.Expect(counts.reads).To(BeNumerically(">", 1000))
				})
			})
		}
	}
}

// BenchmarkReadShare measures the share of reads that replicas serve, compared with the
// largest share that they could have served. Times are virtual.
func BenchmarkReadShare(b *testing.B) {
	for _, w := range []readMode{mixed, tokens, readIndexes, toPrimary} {
		b.Run(string(w), func(b *testing.B) {
			for b.Loop() {
				reportReads(b, w)
			}
		})
	}
}

func reportReads(b *testing.B, w readMode) {
	b.Helper()
	tallies := make([]*readCounts, len(readLags))
	var runs []func()
	for i, lag := range readLags {
		runs = append(runs, func() { tallies[i] = runReads(w, lag, false, benchSeed) })
	}
	runInBubbles(runs)
	var all readCounts
	for i, t := range tallies {
		b.Logf("lag %6s: %5d reads, %5.1f%% by replicas, %5.1f%% of the possible reads", readLags[i], t.reads, percent(t.replica, t.reads), percent(t.allowedReplica, t.allowed))
		all.reads += t.reads
		all.replica += t.replica
		all.allowed += t.allowed
		all.allowedReplica += t.allowedReplica
		all.stale += t.stale
		all.leftRegion += t.leftRegion
		all.allowedInRegion += t.allowedInRegion
	}
	b.ReportMetric(percent(all.replica, all.reads), "replica-read-%")
	b.ReportMetric(percent(all.allowedReplica, all.allowed), "of-best-%")
	b.ReportMetric(percent(all.leftRegion, all.allowedInRegion), "left-region-%")
	b.ReportMetric(float64(all.stale), "stale-reads")
}

const benchSeed = 1

func percent(part, whole int) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * float64(part) / float64(whole)
}
