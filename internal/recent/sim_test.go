package recent_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/recent"
)

const (
	revoke      = 5 * time.Second
	watchWait   = 2 * time.Second
	gossipPause = time.Second
	orderKey    = "watch/Sheet"
)

// sheet is a sheet with the keys that it contains. Sheets of equal serials may differ.
type sheet struct {
	serial uint64
	keys   map[string]bool
}

func (s sheet) version() recent.Version {
	fingerprint := uint64(1)
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		for _, c := range []byte(k) {
			fingerprint = fingerprint*31 + uint64(c)
		}
	}
	return recent.Version{Serial: s.serial, Keys: fingerprint}
}

// host is a simulated host. It runs nothing before frozenUntil.
type host struct {
	recent.Host
	state recent.State
	// sheet is the one in force. The state learns of it a little later.
	sheet, told sheet
	frozenUntil time.Duration
	// suspensions are the times for which the host was frozen.
	suspensions [][2]time.Duration
	// boot and rate are the clock's start and speed.
	boot time.Duration
	rate float64
	life int
	plan int
	// refusedUntil is when the store accepts the calls of this host again.
	refusedUntil time.Duration
	// lost are keys that were removed by the sheet in force, and are in the store again
	// because it was restored.
	lost                         map[string]bool
	reads, queries, asked, stale int
	watches                      bool
}

type entry struct {
	at    time.Duration
	order int
	do    func()
}

type queue []entry

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(entry)) }
func (q *queue) Pop() any     { e := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return e }

// sim is a set of hosts with a store. Time is that of an observer outside.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	order  int
	queue  queue
	hosts  []*host
	byName map[string]*host
	faults bool
	// monotonic is set if the clocks do not count suspended time.
	monotonic bool
	// cuts are the links between two hosts that carry nothing, until a time.
	cuts map[[2]*host]time.Duration
	// store is the newest sheet, history what it was since a time, and downUntil the end of an
	// outage. removedAt is when the removal of a key was acknowledged that is not in the store.
	store      sheet
	history    []stored
	downUntil  time.Duration
	removedAt  map[string]time.Duration
	violations []string
	accepted   int
	// lag is how long a fast message takes at most.
	lag time.Duration
}

type stored struct {
	at    time.Duration
	sheet sheet
}

var keys = []string{"k1", "k2", "k3"}

// newSim returns a simulation of a number of hosts in each of some regions.
func newSim(seed uint64, regions, perRegion int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), cuts: make(map[[2]*host]time.Duration), removedAt: make(map[string]time.Duration), byName: make(map[string]*host), lag: 20 * time.Millisecond}
	s.publish(sheet{serial: 1, keys: map[string]bool{"k1": true, "k2": true, "k3": true}})
	var list []recent.Host
	for r := range regions {
		for i := range perRegion {
			list = append(list, recent.Host{Name: fmt.Sprintf("h%d-%d", r, i), Region: fmt.Sprint("r", r)})
		}
	}
	for i, h := range list {
		n := &host{Host: h, boot: time.Duration(s.rng.Int64N(int64(time.Hour))), rate: 1 + (s.rng.Float64()-0.5)/1000, watches: i%4 == 0}
		s.hosts, s.byName[h.Name] = append(s.hosts, n), n
		s.after(time.Duration(s.rng.Int64N(int64(200*time.Millisecond))), func() { s.start(n, list) })
	}
	return s
}

// clock is the reading of a host's clock.
func (s *sim) clock(h *host) time.Duration {
	if s.monotonic {
		return h.boot + time.Duration(float64(s.now-h.slept(s.now))*h.rate)
	}
	return h.boot + time.Duration(float64(s.now)*h.rate)
}

// slept returns for how long the host was suspended until a time.
func (h *host) slept(now time.Duration) time.Duration {
	var total time.Duration
	for _, f := range h.suspensions {
		total += max(0, min(now, f[1])-f[0])
	}
	return total
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, entry{at: s.now + d, order: s.order, do: do})
}

// on runs a step of a host after a time, or when it is no longer frozen, unless it restarts
// before.
func (s *sim) on(h *host, d time.Duration, do func()) {
	life := h.life
	var step func()
	step = func() {
		switch {
		case h.life != life:
		case h.frozenUntil > s.now:
			s.after(h.frozenUntil-s.now, step)
		default:
			do()
		}
	}
	s.after(d, step)
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(entry)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// start starts a host, with the sheet that it has as a copy of a peer.
func (s *sim) start(h *host, list []recent.Host) {
	h.life++
	h.lost, h.told = make(map[string]bool), sheet{}
	h.state = recent.New(recent.RulesFor(revoke), s.rng.Uint64()).WithHosts(orderKey, h.Name, h.Region, list)
	s.tell(h)
	s.on(h, time.Millisecond, func() { s.read(h, 0) })
	s.gossip(h)
	if h.watches {
		s.watch(h)
	}
}

// act does what the state plans, and comes again when it says so.
func (s *sim) act(h *host) {
	h.plan++
	plan := h.plan
	var a recent.Actions
	h.state, a = h.state.Plan(s.clock(h))
	for _, q := range a.Queries {
		h.queries++
		s.query(h, s.byName[q.Host], q.ID)
	}
	if a.Read {
		s.read(h, a.At)
	}
	s.on(h, max(a.Next-s.clock(h), time.Millisecond), func() {
		if h.plan == plan {
			s.act(h)
		}
	})
}

// delay is how long a message takes. With faults some take seconds, as do those of hosts that
// are frozen while they send.
func (s *sim) delay() time.Duration {
	if s.faults && s.rng.IntN(20) == 0 {
		return time.Duration(s.rng.Int64N(int64(8 * time.Second)))
	}
	return time.Duration(s.rng.Int64N(int64(s.lag)))
}

func (s *sim) lose(a, b *host) bool {
	return s.cuts[[2]*host{a, b}] > s.now || s.faults && s.rng.IntN(20) == 0
}

// query sends a query and its answer.
func (s *sim) query(from, to *host, id uint64) {
	if s.lose(from, to) {
		return
	}
	life := from.life
	s.on(to, s.delay(), func() {
		to.asked++
		v, age, proven := to.state.Answer(s.clock(to))
		if !proven || s.lose(to, from) {
			return
		}
		s.after(s.delay(), func() {
			if from.life == life {
				s.on(from, 0, func() {
					from.state = from.state.WithAnswer(s.clock(from), to.Name, id, v, age)
					s.act(from)
				})
			}
		})
	})
}

// read reads the store, for a proof as of a time or, with 0, for the first sheet.
func (s *sim) read(h *host, sentAt time.Duration) {
	h.reads++
	life := h.life
	failed := func() {
		if h.life != life || sentAt == 0 {
			return
		}
		s.on(h, time.Second, func() {
			h.state = h.state.WithFailedRead()
			s.act(h)
		})
	}
	s.after(s.delay(), func() {
		if s.downUntil > s.now || h.refusedUntil > s.now || s.faults && s.rng.IntN(20) == 0 {
			failed()
			return
		}
		answer := s.store
		s.after(s.delay(), func() {
			if h.life == life {
				s.on(h, 0, func() {
					s.take(h, answer)
					if sentAt > 0 {
						h.state = h.state.WithRead(s.clock(h), sentAt, answer.version())
						s.act(h)
					}
				})
			}
		})
	})
}

// watch reads the store again and again, with answers that come late.
func (s *sim) watch(h *host) {
	sent := s.clock(h)
	s.after(s.delay()+time.Duration(s.rng.Int64N(int64(watchWait))), func() {
		if s.downUntil > s.now || h.refusedUntil > s.now {
			s.on(h, time.Second, func() { s.watch(h) })
			return
		}
		answer := s.store
		s.on(h, s.delay(), func() {
			s.take(h, answer)
			h.state = h.state.WithProof(s.clock(h), recent.Proof{Version: answer.version(), At: sent, Source: recent.SourceWatch})
			s.act(h)
			s.watch(h)
		})
	})
}

// gossip sends the sheet of a host to two others, again and again.
func (s *sim) gossip(h *host) {
	for range 2 {
		to := s.hosts[s.rng.IntN(len(s.hosts))]
		sent := h.sheet
		if !s.lose(h, to) {
			s.on(to, s.delay(), func() { s.take(to, sent) })
		}
	}
	s.on(h, gossipPause, func() { s.gossip(h) })
}

// take puts a sheet in force if it is newer, and tells the state a little later.
func (s *sim) take(h *host, next sheet) {
	if next.serial <= h.sheet.serial {
		return
	}
	h.sheet = next
	for k := range next.keys {
		delete(h.lost, k)
	}
	lag := 20 * time.Millisecond
	if s.faults {
		lag = time.Second
	}
	s.on(h, time.Duration(s.rng.Int64N(int64(lag))), func() {
		s.tell(h)
	})
}

// tell tells the state of a host of the sheet in force.
func (s *sim) tell(h *host) {
	if h.told.serial == h.sheet.serial {
		return
	}
	subset := true
	for k := range h.sheet.keys {
		subset = subset && h.told.keys[k]
	}
	h.told = h.sheet
	h.state = h.state.WithSheet(s.clock(h), h.sheet.version(), len(h.sheet.keys) > 0, subset)
	s.act(h)
}

// publish makes a sheet the store's newest.
func (s *sim) publish(next sheet) {
	for _, k := range keys {
		_, removed := s.removedAt[k]
		switch {
		case next.keys[k]:
			delete(s.removedAt, k)
		case !removed:
			s.removedAt[k] = s.now
		}
	}
	s.store = next
	s.history = append(s.history, stored{at: s.now, sheet: next})
}

// change removes or restores a key.
func (s *sim) change() {
	next := sheet{serial: s.store.serial + 1, keys: maps.Clone(s.store.keys)}
	k := keys[s.rng.IntN(len(keys))]
	if next.keys[k] {
		delete(next.keys, k)
	} else {
		next.keys[k] = true
	}
	// A sheet without customers makes the recency inactive.
	if len(next.keys) > 0 {
		s.publish(next)
	}
}

// restore makes the store what it was some time ago.
func (s *sim) restore(age time.Duration) {
	older := s.history[0].sheet
	for _, h := range s.history {
		if h.at <= s.now-age {
			older = h.sheet
		}
	}
	for _, k := range keys {
		if _, removed := s.removedAt[k]; older.keys[k] && removed {
			delete(s.removedAt, k)
			for _, h := range s.hosts {
				if !h.sheet.keys[k] && h.sheet.serial > older.serial {
					h.lost[k] = true
				}
			}
		}
	}
	s.store = older
	s.history = append(s.history, stored{at: s.now, sheet: older})
}

// statement sends a statement with a key to a host, which checks it after a time.
func (s *sim) statement(h *host, key string) {
	sent, removedAt := s.now, s.removedAt
	s.on(h, s.delay(), func() {
		s.tell(h)
		if !h.state.Recent(s.clock(h)) {
			h.stale++
			return
		}
		if !h.sheet.keys[key] {
			return
		}
		s.accepted++
		if removed, found := removedAt[key]; found && sent > removed+revoke {
			s.violations = append(s.violations, fmt.Sprintf("%s accepted %s at %v, sent at %v, removed at %v", h.Name, key, s.now, sent, removed))
		}
		if h.lost[key] {
			s.violations = append(s.violations, fmt.Sprintf("%s accepted %s at %v, which its sheet had removed before the store was restored", h.Name, key, s.now))
		}
	})
}
