package slots

import (
	"slices"
	"time"
)

// subqueue holds the waiting work of one caller, rank and host in order of
// arrival. A subqueue in a Queue is never empty.
type subqueue struct {
	host string
	key  CallerKey
	work []Work
	// earliest is a lower bound on the deadlines in the subqueue.
	earliest time.Time
}

// add inserts work in order of arrival.
func (s *subqueue) add(w Work) {
	if len(s.work) == 0 || w.Deadline.Before(s.earliest) {
		s.earliest = w.Deadline
	}
	i := len(s.work)
	for i > 0 && w.before(s.work[i-1]) {
		i--
	}
	s.work = slices.Insert(s.work, i, w)
}

func (s *subqueue) last() Work { return s.work[len(s.work)-1] }

// remove removes and returns work, which must be in the subqueue.
func (s *subqueue) remove(id uint64) Work {
	i := slices.IndexFunc(s.work, func(w Work) bool { return w.ID == id })
	w := s.work[i]
	s.work = slices.Delete(s.work, i, i+1)
	return w
}

// removeLate removes and returns the late work. No work is late whose deadline is after
// limit.
func (s *subqueue) removeLate(isLate func(Work) bool, limit time.Time) []Work {
	if limit.Before(s.earliest) {
		return nil
	}
	var late []Work
	s.work = slices.DeleteFunc(s.work, func(w Work) bool {
		if !isLate(w) {
			return false
		}
		late = append(late, w)
		return true
	})
	for i, w := range s.work {
		if i == 0 || w.Deadline.Before(s.earliest) {
			s.earliest = w.Deadline
		}
	}
	return late
}
