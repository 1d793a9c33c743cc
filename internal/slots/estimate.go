package slots

import (
	"time"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Constants of the hold time estimate, equal to those of the TCP retransmission
// timeout (RFC 6298).
const (
	// A new time contributes 1/meanDivisor to the running mean and
	// 1/deviationDivisor to the running deviation.
	meanDivisor      = 8
	deviationDivisor = 4
	// deviations is how many deviations the upper bound lies above the mean.
	deviations = 4
)

// estimate is a running estimate of how long work holds a slot.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

// with returns the estimate updated by one hold time.
func (e estimate) with(took time.Duration) estimate {
	if e.mean == 0 {
		return estimate{mean: took, deviation: took / 2}
	}
	diff := took - e.mean
	e.mean += diff / meanDivisor
	e.deviation += (diff.Abs() - e.deviation) / deviationDivisor
	return e
}

// bound returns the estimated upper bound of a hold time.
func (e estimate) bound() time.Duration { return e.mean + deviations*e.deviation }

// MeanHoldTime returns the estimated mean time for which work of a rank holds a
// slot.
func (q *Queue) MeanHoldTime(rank sheet.Rank) time.Duration { return q.holdTimes[rank].mean }

// StartProbe lets new work test the estimate of its rank if the estimate would refuse any
// work with the same time limit, and no other work is testing it. Such an estimate
// refuses all work that it could learn from, so that it would never change after a slow
// period of the member. A probe is not refused before its deadline. One at a time is
// enough to recover, and takes few slots of a member that is still slow. A probe that
// has not ended by its deadline gives way to the next, because it may be a transaction
// that stays open while its caller pauses.
func (q *Queue) StartProbe(w Work, now time.Time) {
	refusesAll := q.holdTimes[w.Rank].bound() >= w.Deadline.Sub(w.Arrived)
	if p := q.probes[w.Rank]; refusesAll && (p == nil || !now.Before(p.Deadline)) {
		q.probes[w.Rank] = &w
	}
}

func (q *Queue) isProbe(w Work) bool {
	p := q.probes[w.Rank]
	return p != nil && p.ID == w.ID
}

// endProbe ends the test of an estimate if work is its probe, and reports whether it is.
func (q *Queue) endProbe(w Work) bool {
	ended := q.isProbe(w)
	if ended {
		q.probes[w.Rank] = nil
	}
	return ended
}

// ObserveHoldTime updates the estimate of a rank with the time for which its work held a
// slot until now. A probe that ended before its deadline has refuted the estimate, which
// then begins anew if that lowers its bound.
func (q *Queue) ObserveHoldTime(w Work, since, now time.Time) {
	took := now.Sub(since)
	updated := q.holdTimes[w.Rank].with(took)
	if q.endProbe(w) && now.Before(w.Deadline) {
		if renewed := (estimate{}).with(took); renewed.bound() < updated.bound() {
			updated = renewed
		}
	}
	q.holdTimes[w.Rank] = updated
}
