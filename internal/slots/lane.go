package slots

import (
	"slices"
	"time"
)

// lane holds the waiting work of one caller, rank and host in the order of its
// arrival. A lane in a queue is never empty.
type lane struct {
	host string
	turn CallerKey
	work []Work
	// soonest is no later than any deadline in the lane.
	soonest time.Time
}

// add puts work behind all that arrived before it.
func (l *lane) add(w Work) {
	if len(l.work) == 0 || w.Deadline.Before(l.soonest) {
		l.soonest = w.Deadline
	}
	i := len(l.work)
	for i > 0 && w.before(l.work[i-1]) {
		i--
	}
	l.work = slices.Insert(l.work, i, w)
}

func (l *lane) last() Work { return l.work[len(l.work)-1] }

// cut takes work that is in the lane out of it.
func (l *lane) cut(id uint64) Work {
	i := slices.IndexFunc(l.work, func(w Work) bool { return w.ID == id })
	w := l.work[i]
	l.work = slices.Delete(l.work, i, i+1)
	return w
}

// late takes out the work whose deadline is not after a time.
func (l *lane) late(limit time.Time) []Work {
	if limit.Before(l.soonest) {
		return nil
	}
	var late []Work
	l.work = slices.DeleteFunc(l.work, func(w Work) bool {
		if limit.Before(w.Deadline) {
			return false
		}
		late = append(late, w)
		return true
	})
	for i, w := range l.work {
		if i == 0 || w.Deadline.Before(l.soonest) {
			l.soonest = w.Deadline
		}
	}
	return late
}
