// Package slots schedules waiting work onto the slots of a member.
//
// A Queue holds the waiting work, and Pop removes the work to run next. Work is
// ordered by rank, but every rank with waiting work keeps a guaranteed share of
// the slots, and the callers of a rank are served fairly. Work that can no longer
// end before its deadline is removed as late instead of being granted a slot. A
// PermitPool combines a Queue with the slots that it feeds. Both take the time as
// an argument and read no clock.
package slots

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Work is one piece of work that waits for a slot or holds one.
type Work struct {
	ID uint64
	// Host is the proxy that requested the slot, and Number identifies the work on
	// that proxy. Host is empty for work of the lease holder itself.
	Host     string
	Number   uint64
	Caller   string
	Rank     sheet.Rank
	Arrived  time.Time
	Deadline time.Time
}

// Policy determines the order in which a queue serves its work.
type Policy interface {
	// Pick returns the index of the work to run next, or -1 for none.
	Pick(waiting []Work, served Served) int
}

// Served holds decaying counts of the recent grants.
type Served struct {
	// Ranks counts the grants by rank.
	Ranks [sheet.MaxRank + 1]float64
	// Callers counts the grants by caller within each rank.
	Callers map[CallerKey]float64
}

// CallerKey identifies a caller within a rank.
type CallerKey struct {
	Rank   sheet.Rank
	Caller string
}

func (w Work) key() CallerKey { return CallerKey{Rank: w.Rank, Caller: w.Caller} }

// before reports whether w arrived before other. The ID breaks ties.
func (w Work) before(other Work) bool {
	if !w.Arrived.Equal(other.Arrived) {
		return w.Arrived.Before(other.Arrived)
	}
	return w.ID < other.ID
}

// Queue holds the work that waits for one member. Work of the same caller, rank
// and host waits in one subqueue, in order of arrival, so that the policy compares
// only the heads of the subqueues.
type Queue struct {
	policy    Policy
	limit     int
	subqueues []*subqueue
	// byID maps the ID of waiting work to its subqueue.
	byID   map[uint64]*subqueue
	served Served
	// holdTimes holds the estimated hold time of each rank, and probes the work that tests
	// it, or nil.
	holdTimes [sheet.MaxRank + 1]estimate
	probes    [sheet.MaxRank + 1]*Work
	// ranks and callers count the waiting work.
	ranks   [sheet.MaxRank + 1]int
	callers map[CallerKey]int
	// offered holds the work for which its host may reuse a permit.
	offered map[uint64]bool
}

// NewQueue returns an empty queue that holds at most limit pieces of work of each
// rank.
func NewQueue(policy Policy, limit int) *Queue {
	return &Queue{
		policy:  policy,
		limit:   limit,
		byID:    make(map[uint64]*subqueue),
		served:  Served{Callers: make(map[CallerKey]float64)},
		callers: make(map[CallerKey]int),
		offered: make(map[uint64]bool),
	}
}

// Len returns the amount of waiting work.
func (q *Queue) Len() int { return len(q.byID) }

// Contains reports whether work is waiting.
func (q *Queue) Contains(id uint64) bool { return q.byID[id] != nil }

// Add adds work to the queue. If this exceeds the limit of its rank, Add removes
// and returns the newest work of the caller with the most work waiting in that
// rank, which may be the new work itself. Therefore neither a rank nor a caller
// can displace the others.
func (q *Queue) Add(w Work) (rejected Work, full bool) {
	s := q.subqueue(w)
	s.add(w)
	q.byID[w.ID] = s
	q.ranks[w.Rank]++
	q.callers[w.key()]++
	if q.ranks[w.Rank] <= q.limit {
		return Work{}, false
	}
	rejected = q.newest(w.Rank)
	q.Remove(rejected.ID)
	return rejected, true
}

// subqueue returns the subqueue of work, which it creates if needed.
func (q *Queue) subqueue(w Work) *subqueue {
	for _, s := range q.subqueues {
		if s.host == w.Host && s.key == w.key() {
			return s
		}
	}
	s := &subqueue{host: w.Host, key: w.key()}
	q.subqueues = append(q.subqueues, s)
	return s
}

// newest returns the newest work of the caller with the most work waiting in a
// rank.
func (q *Queue) newest(rank sheet.Rank) Work {
	most, last := 0, Work{}
	for _, s := range q.subqueues {
		count, w := q.callers[s.key], s.last()
		if s.key.Rank == rank && (count > most || (count == most && last.before(w))) {
			most, last = count, w
		}
	}
	return last
}

// Remove removes work from the queue, and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	s := q.byID[id]
	if s == nil {
		return false
	}
	q.endProbe(q.take(s, id))
	return true
}

// take removes work from its subqueue and returns it.
func (q *Queue) take(s *subqueue, id uint64) Work {
	w := s.remove(id)
	q.uncount(w)
	if len(s.work) == 0 {
		q.dropEmpty()
	}
	return w
}

// uncount updates the counts and indexes after work was removed from its subqueue.
func (q *Queue) uncount(w Work) {
	delete(q.offered, w.ID)
	delete(q.byID, w.ID)
	q.ranks[w.Rank]--
	q.callers[w.key()]--
	if q.callers[w.key()] == 0 {
		delete(q.callers, w.key())
	}
}

func (q *Queue) dropEmpty() {
	q.subqueues = slices.DeleteFunc(q.subqueues, func(s *subqueue) bool { return len(s.work) == 0 })
}

// RemoveLate removes and returns all work that might miss its deadline if it began
// now: the time to its deadline is no longer than the upper bound of the hold time of
// its rank. Without an observed hold time, and for a probe, that is the work whose
// deadline has passed.
func (q *Queue) RemoveLate(now time.Time) []Work {
	var late []Work
	for _, s := range q.subqueues {
		rank := s.key.Rank
		limit := now.Add(q.holdTimes[rank].bound())
		late = append(late, s.removeLate(func(w Work) bool {
			if q.isProbe(w) {
				return !now.Before(w.Deadline)
			}
			return !limit.Before(w.Deadline)
		}, limit)...)
	}
	for _, w := range late {
		q.uncount(w)
	}
	if len(late) > 0 {
		q.dropEmpty()
	}
	return late
}

// Peek returns the work to run next, and false if the queue is empty.
func (q *Queue) Peek() (Work, bool) {
	heads := make([]Work, 0, len(q.subqueues))
	for _, s := range q.subqueues {
		heads = append(heads, s.work[0])
	}
	return q.pick(heads)
}

func (q *Queue) pick(candidates []Work) (Work, bool) {
	i := q.policy.Pick(candidates, q.served)
	if i < 0 {
		return Work{}, false
	}
	return candidates[i], true
}

// Pop removes the work to run next and counts it as granted. It returns false if
// the queue is empty.
func (q *Queue) Pop() (Work, bool) {
	w, found := q.Peek()
	if found {
		q.Grant(w.ID)
	}
	return w, found
}

// Grant removes work from the queue and counts it as granted. It reports whether
// the work was waiting.
func (q *Queue) Grant(id uint64) bool {
	s := q.byID[id]
	if s == nil {
		return false
	}
	key := s.key
	q.take(s, id)
	q.served.Ranks[key.Rank]++
	q.served.Callers[key]++
	q.decay()
	return true
}

// reuseSlack is how many more recent grants a caller may have than the caller of
// the next work, and still be offered the reuse of a permit.
const reuseSlack = 1

// OfferReuse selects waiting work of a host that may reuse the permit of the host's
// current work before the host reports it. The selected work has the same rank as
// next, the work to run next, and its caller exceeds the recent grants of next's
// caller by at most reuseSlack. Offered work keeps its position in the queue and is
// not offered again until the offer is withdrawn.
func (q *Queue) OfferReuse(host string, next Work) (Work, bool) {
	var candidates []Work
	for _, s := range q.subqueues {
		if s.host != host || s.key.Rank != next.Rank {
			continue
		}
		if i := slices.IndexFunc(s.work, func(w Work) bool { return !q.offered[w.ID] }); i >= 0 {
			candidates = append(candidates, s.work[i])
		}
	}
	w, found := q.pick(candidates)
	if !found || q.served.Callers[w.key()] > q.served.Callers[next.key()]+reuseSlack {
		return Work{}, false
	}
	q.offered[w.ID] = true
	return w, true
}

// Offered reports whether work is waiting and has been selected by OfferReuse.
func (q *Queue) Offered(id uint64) bool { return q.offered[id] }

// WithdrawOffer cancels the selection of work by OfferReuse.
func (q *Queue) WithdrawOffer(id uint64) { delete(q.offered, id) }

// The counts of grants decay, so that a rank or caller that was idle gains no
// lasting credit, and the table of callers stays bounded.
const (
	// decayFactor is applied to all counts once their total reaches decayAfter.
	decayFactor = 0.5
	decayAfter  = 64
	// negligible is the count below which a caller is dropped from the table.
	negligible = 0.05
)

func (q *Queue) decay() {
	total := 0.0
	for _, n := range q.served.Ranks {
		total += n
	}
	if total < decayAfter {
		return
	}
	for i := range q.served.Ranks {
		q.served.Ranks[i] *= decayFactor
	}
	for key, n := range q.served.Callers {
		if n*decayFactor < negligible {
			delete(q.served.Callers, key)
			continue
		}
		q.served.Callers[key] = n * decayFactor
	}
}
