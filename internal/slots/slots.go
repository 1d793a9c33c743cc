// Package slots decides in which order waiting work gets the slots of a member.
//
// A Queue is a plain value machine without a clock: work is added, and Next
// takes the work that is to run. The order is by rank, but every rank keeps a
// guaranteed share of the slots while it has work waiting, and within a rank the
// callers take turns. Work whose deadline has come too near is taken out as late
// before it is given a slot.
package slots

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Work is one piece of waiting work.
type Work struct {
	ID       uint64
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
	// Callers counts them by caller.
	Callers map[string]float64
}

// Queue holds the work that waits for one member.
type Queue struct {
	policy  Policy
	limit   int
	waiting []Work
	served  Served
}

// New returns an empty queue of at most limit pieces of work.
func New(policy Policy, limit int) *Queue {
	return &Queue{policy: policy, limit: limit, served: Served{Callers: make(map[string]float64)}}
}

// Len returns how much work waits.
func (q *Queue) Len() int { return len(q.waiting) }

// Add puts work into the queue. If the queue is full, the least urgent and
// youngest work is put out and returned, which may be the new work itself.
func (q *Queue) Add(w Work) (out Work, full bool) {
	q.waiting = append(q.waiting, w)
	if len(q.waiting) <= q.limit {
		return Work{}, false
	}
	worst := 0
	for i, other := range q.waiting {
		if other.Rank >= q.waiting[worst].Rank {
			worst = i
		}
	}
	out = q.waiting[worst]
	q.waiting = slices.Delete(q.waiting, worst, worst+1)
	return out, true
}

// Remove takes work out of the queue, and tells whether it was there.
func (q *Queue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(w Work) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Late takes out all work that could not end in time if it began now and took
// as long as given.
func (q *Queue) Late(now time.Time, takes time.Duration) []Work {
	var late []Work
	q.waiting = slices.DeleteFunc(q.waiting, func(w Work) bool {
		if now.Add(takes).Before(w.Deadline) {
			return false
		}
		late = append(late, w)
		return true
	})
	return late
}

// Next takes the work that is to run next, and false if none waits.
func (q *Queue) Next() (Work, bool) {
	i := q.policy.Pick(q.waiting, q.served)
	if i < 0 {
		return Work{}, false
	}
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.served.Ranks[w.Rank]++
	q.served.Callers[w.Caller]++
	q.age()
	return w, true
}

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
	for caller, n := range q.served.Callers {
		if n*fade < negligible {
			delete(q.served.Callers, caller)
			continue
		}
		q.served.Callers[caller] = n * fade
	}
}
