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
	readRun     = 20 * time.Second
	readPeriod  = 50 * time.Millisecond
	acceptedAge = 5 * time.Second
)

// readWay is how a session that has written reads.
type readWay string

const (
	// mixed gives a token on every second session.
	mixed     readWay = "production"
	tokens    readWay = "production/token"
	barriers  readWay = "production/barrier"
	toPrimary readWay = "primary-only"
)

// readTally counts reads by who served them.
type readTally struct {
	mu       sync.Mutex
	reads    int
	replica  int
	lawful   int
	best     int
	stale    int
	refused  int
	farther  int
	regional int
}

// reader is one session: it writes, reads its own write, and reads with an
// accepted age, again and again.
type reader struct {
	proxy *fakeProxy
	way   readWay
	turn  uint64
	tally *readTally
	floor group.Floor
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
		r.read(ctx, acceptedAge)
		pause(ctx, readPeriod)
	}
}

func (r *reader) writeOne(ctx context.Context) {
	v, found := r.proxy.base.Await(ctx, func(v view.View) bool { _, ok := v.Writable(); return ok })
	if !found {
		return
	}
	target, _ := v.Writable()
	c := &fakeControl{proxy: r.proxy, target: r.proxy.world.member(target.Name)}
	state, err := c.call(ctx, func(l *lablog.Log) error { return l.Append([]lablog.Statement{{SQL: "read"}}) })
	f := group.Floor{Term: state.Term, Position: state.Received}
	if err == nil && r.proxy.confirm(ctx, target.Name, f) {
		r.written = f
		r.floor = f
	}
}

func (r *reader) token() bool { return r.way == tokens || (r.way == mixed && r.turn%2 == 0) }

func (r *reader) read(runCtx context.Context, age time.Duration) {
	x := r.proxy.world
	began := time.Now()
	lawful, near := x.lawful(r.written, began, age, r.proxy.region)
	finder := chain.Finder{Region: r.proxy.region, DataCentre: r.proxy.region, ReplicaWait: 20 * time.Millisecond}
	ctx, cancel := context.WithTimeout(runCtx, 2*time.Second)
	defer cancel()
	found, err := finder.Find(ctx, r.proxy.base, chain.ReadRequirement{
		Database: databaseKey, Floor: r.floor, HasToken: r.token(), StalenessBound: age, Arrived: began, Rotation: r.turn,
	})
	if err != nil {
		// A read that the run's end cut off was not refused.
		if runCtx.Err() == nil {
			r.tally.refuse()
		}
		return
	}
	target := found.Members[0]
	if r.way == toPrimary {
		v := r.proxy.base.View()
		target, _ = v.Writable()
	}
	// The state that the read sees is the member's when the read reaches it.
	c := &fakeControl{proxy: r.proxy, target: x.member(target.Name)}
	state, err := c.call(ctx, func(*lablog.Log) error { return nil })
	if err != nil {
		return
	}
	stale := age == 0 && state.FloorStatus(r.written, state.Applied) != group.Covered
	if age > 0 {
		stale = state.Applied < x.positionAt(began.Add(-age))
	}
	r.tally.add(state.Role == group.Replica, lawful, near, target.Region != r.proxy.region, stale)
}

func (t *readTally) refuse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused++
}

func (t *readTally) add(replica, lawful, near, far, stale bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if replica {
		t.replica++
	}
	if lawful {
		t.lawful++
		if replica {
			t.best++
		}
	}
	if near {
		t.regional++
		if far {
			t.farther++
		}
	}
	if stale {
		t.stale++
	}
}

// lawful tells, with hindsight, whether a replica could have served a read that
// arrives now, and whether one could in the given region.
func (x *world) lawful(written group.Floor, now time.Time, age time.Duration, region string) (anywhere, near bool) {
	for _, m := range x.members {
		s := m.state()
		if s.Role != group.Replica || !m.runs() {
			continue
		}
		fresh := s.FloorStatus(written, s.Applied) == group.Covered
		if age > 0 {
			fresh = s.Applied >= x.positionAt(now.Add(-age)) && fresh
		}
		anywhere = anywhere || fresh
		near = near || (fresh && m.region == region)
	}
	return anywhere, near
}

// positionAt returns how long the primary's log was at a time.
func (x *world) positionAt(at time.Time) group.Position {
	best := x.latest()
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

func runReads(w readWay, lag time.Duration, gone bool, seed uint64) *readTally {
	x, cleanUp := newWorld(production, seed)
	defer cleanUp()
	for _, m := range x.members[1:] {
		m.setLag(lag)
	}
	if gone {
		x.members[1].setUp(false)
	}
	tally := &readTally{}
	ctx, cancel := context.WithTimeout(context.Background(), readRun)
	defer cancel()
	var sessions sync.WaitGroup
	for i, p := range x.proxies {
		for j := range 2 {
			r := &reader{proxy: p, way: w, turn: uint64(2*i + j), tally: tally}
			sessions.Go(func() { r.run(ctx) })
		}
	}
	sessions.Wait()
	return tally
}

var readLags = []time.Duration{0, 50 * time.Millisecond, time.Second, 10 * time.Second}

// TestReadsSeeWhatTheyMust holds reads on lagging replicas against the truth.
func TestReadsSeeWhatTheyMust(t *testing.T) {
	for _, w := range []readWay{tokens, barriers} {
		for _, lag := range readLags {
			t.Run(fmt.Sprint(w, "/", lag), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					tally := runReads(w, lag, lag == time.Second, 1)
					g.Expect(tally.stale).To(BeZero(), "reads that saw too little")
					g.Expect(tally.refused).To(BeZero(), "reads refused")
					g.Expect(tally.reads).To(BeNumerically(">", 1000))
				})
			})
		}
	}
}

// BenchmarkReadShare measures the part of reads that replicas serve, against
// the most that could lawfully go to them. Times are virtual.
func BenchmarkReadShare(b *testing.B) {
	for _, w := range []readWay{mixed, tokens, barriers, toPrimary} {
		b.Run(string(w), func(b *testing.B) {
			for b.Loop() {
				reportReads(b, w)
			}
		})
	}
}

func reportReads(b *testing.B, w readWay) {
	b.Helper()
	tallies := make([]*readTally, len(readLags))
	var runs []func()
	for i, lag := range readLags {
		runs = append(runs, func() { tallies[i] = runReads(w, lag, false, benchSeed) })
	}
	bubbles(runs)
	var all readTally
	for i, t := range tallies {
		b.Logf("lag %6s: %5d reads, %5.1f%% by replicas, %5.1f%% of the best", readLags[i], t.reads, percent(t.replica, t.reads), percent(t.best, t.lawful))
		all.reads += t.reads
		all.replica += t.replica
		all.lawful += t.lawful
		all.best += t.best
		all.stale += t.stale
		all.farther += t.farther
		all.regional += t.regional
	}
	b.ReportMetric(percent(all.replica, all.reads), "replica-read-%")
	b.ReportMetric(percent(all.best, all.lawful), "of-best-%")
	b.ReportMetric(percent(all.farther, all.regional), "left-region-%")
	b.ReportMetric(float64(all.stale), "stale-reads")
}

const benchSeed = 1

func percent(part, whole int) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * float64(part) / float64(whole)
}
