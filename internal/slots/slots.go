// Package slots decides in which order waiting work gets the slots of a member.
//
// A Queue holds the work that waits: work is added, and Next takes the work that
// is to run. The order is by rank, but every rank keeps a guaranteed share of
// the slots while it has work waiting, and within a rank the callers take turns.
// Work whose deadline has come too near is taken out as late before it is given
// a slot. A Lender holds the slots and the queue in front of them. Neither has a
// clock.
package slots

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Work is one piece of waiting work.
type Work struct {
	ID uint64
	// Host is the proxy that waits for the slot, and Number is the work's own
	// number there. Host is empty for work of the proxy that lends the slots.
	Host     string
	Number   uint64
	Caller   string
	Rank     sheet.Rank
	Arrived  time.Time
	Deadline time.Time
}

// Policy is the order in which a queue gives out slots.
type Policy interface {
	// Pick returns the index of the work to run next, or -1 for none.
	Pick(waiting []Work, served Served) int
}

// Served counts the slots given out so far.
type Served struct {
	// Ranks counts them by rank.
	Ranks [sheet.MaxRank + 1]float64
	// Callers counts them by caller within each rank.
	Callers map[CallerKey]float64
}

// CallerKey is a caller within a rank.
type CallerKey struct {
	Rank   sheet.Rank
	Caller string
}

func (w Work) turn() CallerKey { return CallerKey{Rank: w.Rank, Caller: w.Caller} }

// before tells whether work arrived before other work.
func (w Work) before(other Work) bool {
	if !w.Arrived.Equal(other.Arrived) {
		return w.Arrived.Before(other.Arrived)
	}
	return w.ID < other.ID
}

// Queue holds the work that waits for one member. Work of the same caller, rank
// and host waits in one lane, in the order of its arrival, so that only the heads
// of the lanes have to be compared.
type Queue struct {
	policy Policy
	limit  int
	lanes  []*lane
	// homes tells in which lane work waits.
	homes  map[uint64]*lane
	served Served
	takes  [sheet.MaxRank + 1]estimate
	// ranks and turns count the waiting work.
	ranks [sheet.MaxRank + 1]int
	turns map[CallerKey]int
	// named holds the work that may follow other work of its host.
	named map[uint64]bool
}

// NewQueue returns an empty queue of at most limit pieces of work of each rank.
func NewQueue(policy Policy, limit int) *Queue {
	return &Queue{
		policy: policy,
		limit:  limit,
		homes:  make(map[uint64]*lane),
		served: Served{Callers: make(map[CallerKey]float64)},
		turns:  make(map[CallerKey]int),
		named:  make(map[uint64]bool),
	}
}

// Len returns how much work waits.
func (q *Queue) Len() int { return len(q.homes) }

// Contains tells whether work waits.
func (q *Queue) Contains(id uint64) bool { return q.homes[id] != nil }

// Add puts work into the queue. If its rank is full, the youngest work of the
// caller that has most waiting in it is put out and returned, which may be the
// new work itself: neither a rank nor a caller can crowd others out.
func (q *Queue) Add(w Work) (out Work, full bool) {
	l := q.lane(w)
	l.add(w)
	q.homes[w.ID] = l
	q.ranks[w.Rank]++
	q.turns[w.turn()]++
	if q.ranks[w.Rank] <= q.limit {
		return Work{}, false
	}
	out = q.youngest(w.Rank)
	q.Remove(out.ID)
	return out, true
}

// lane returns the lane in which work belongs.
func (q *Queue) lane(w Work) *lane {
	for _, l := range q.lanes {
		if l.host == w.Host && l.turn == w.turn() {
			return l
		}
	}
	l := &lane{host: w.Host, turn: w.turn()}
	q.lanes = append(q.lanes, l)
	return l
}

// youngest returns the last work of the caller that has most waiting in a rank.
func (q *Queue) youngest(rank sheet.Rank) Work {
	most, last := 0, Work{}
	for _, l := range q.lanes {
		count, w := q.turns[l.turn], l.last()
		if l.turn.Rank == rank && (count > most || (count == most && last.before(w))) {
			most, last = count, w
		}
	}
	return last
}

// Remove takes work out of the queue, and tells whether it was there.
func (q *Queue) Remove(id uint64) bool {
	l := q.homes[id]
	if l == nil {
		return false
	}
	w := l.cut(id)
	q.forget(w)
	if len(l.work) == 0 {
		q.dropEmpty()
	}
	return true
}

// forget keeps the counts right when work has been taken out of its lane.
func (q *Queue) forget(w Work) {
	delete(q.named, w.ID)
	delete(q.homes, w.ID)
	q.ranks[w.Rank]--
	q.turns[w.turn()]--
	if q.turns[w.turn()] == 0 {
		delete(q.turns, w.turn())
	}
}

func (q *Queue) dropEmpty() {
	q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return len(l.work) == 0 })
}

// The weights of the running mean and of the running deviation against one new
// time, and how many deviations above the mean an estimate lies. They are those
// of the retransmission timeout of TCP (RFC 6298).
const (
	meanShare      = 8
	deviationShare = 4
	deviations     = 4
)

// estimate is a running estimate of how long work holds its slot.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

func (e estimate) with(took time.Duration) estimate {
	if e.mean == 0 {
		return estimate{mean: took, deviation: took / 2}
	}
	off := took - e.mean
	e.mean += off / meanShare
	e.deviation += (off.Abs() - e.deviation) / deviationShare
	return e
}

func (e estimate) bound() time.Duration { return e.mean + deviations*e.deviation }

// ObserveHoldTime takes the time for which work of a rank held its slot into the estimate.
func (q *Queue) ObserveHoldTime(rank sheet.Rank, took time.Duration) {
	q.takes[rank] = q.takes[rank].with(took)
}

// MeanHoldTime returns how long work of a rank holds its slot on average.
func (q *Queue) MeanHoldTime(rank sheet.Rank) time.Duration { return q.takes[rank].mean }

// RemoveLate takes out all work that might not end in time if it began now: work whose
// deadline is nearer than the time that work of its rank takes at most. A queue
// that has learnt nothing takes out the work whose deadline has passed.
func (q *Queue) RemoveLate(now time.Time) []Work {
	var late []Work
	for _, l := range q.lanes {
		late = append(late, l.late(now.Add(q.takes[l.turn.Rank].bound()))...)
	}
	for _, w := range late {
		q.forget(w)
	}
	if len(late) > 0 {
		q.dropEmpty()
	}
	return late
}

// Peek returns the work that is to run next, and false if none waits.
func (q *Queue) Peek() (Work, bool) {
	heads := make([]Work, 0, len(q.lanes))
	for _, l := range q.lanes {
		heads = append(heads, l.work[0])
	}
	return q.pick(heads)
}

func (q *Queue) pick(from []Work) (Work, bool) {
	i := q.policy.Pick(from, q.served)
	if i < 0 {
		return Work{}, false
	}
	return from[i], true
}

// Pop takes the work that is to run next, and false if none waits.
func (q *Queue) Pop() (Work, bool) {
	w, found := q.Peek()
	if found {
		q.Grant(w.ID)
	}
	return w, found
}

// Grant takes work out that gets a slot, and tells whether it was there.
func (q *Queue) Grant(id uint64) bool {
	l := q.homes[id]
	if l == nil {
		return false
	}
	turn := l.turn
	q.Remove(id)
	q.served.Ranks[turn.Rank]++
	q.served.Callers[turn]++
	q.age()
	return true
}

// turnSlack is how many more recent slots a caller may have had than the one
// whose turn it is, and yet follow.
const turnSlack = 1

// OfferReuse names work of a host that may run after the host's present work on the
// same slot, before the queue hears of it. It is of the same rank as the work
// that is next, and its caller has had hardly more slots than that of the next.
// Named work keeps its place in the queue, and is not named twice.
func (q *Queue) OfferReuse(host string, next Work) (Work, bool) {
	var own []Work
	for _, l := range q.lanes {
		if l.host != host || l.turn.Rank != next.Rank {
			continue
		}
		if i := slices.IndexFunc(l.work, func(w Work) bool { return !q.named[w.ID] }); i >= 0 {
			own = append(own, l.work[i])
		}
	}
	w, found := q.pick(own)
	if !found || q.served.Callers[w.turn()] > q.served.Callers[next.turn()]+turnSlack {
		return Work{}, false
	}
	q.named[w.ID] = true
	return w, true
}

// Offered tells whether work waits that Follow named.
func (q *Queue) Offered(id uint64) bool { return q.named[id] }

// WithdrawOffer takes back what Follow named.
func (q *Queue) WithdrawOffer(id uint64) { delete(q.named, id) }

// The counts fade, so that a rank or caller that was idle gains no credit that
// lasts, and the table of callers stays bounded.
const (
	fade       = 0.5
	fadeAfter  = 64
	negligible = 0.05
)

func (q *Queue) age() {
	total := 0.0
	for _, n := range q.served.Ranks {
		total += n
	}
	if total < fadeAfter {
		return
	}
	for i := range q.served.Ranks {
		q.served.Ranks[i] *= fade
	}
	for turn, n := range q.served.Callers {
		if n*fade < negligible {
			delete(q.served.Callers, turn)
			continue
		}
		q.served.Callers[turn] = n * fade
	}
}
