package even

import "time"

// Times holds how long candidates take to answer, compared with the usual time of work of the
// same kind. It is not safe for concurrent use.
type Times struct {
	// usual is the usual time by kind of work, at all candidates.
	usual map[Work]usualTime
	// ratios holds, by candidate, the running mean of the time relative to the usual one.
	ratios map[string]ratio
}

// Work identifies a kind of work of a database.
type Work struct{ Database, Kind string }

// usualTime is a running mean in seconds over up to usualDivisor times.
type usualTime struct{ mean, count float64 }

type ratio struct {
	mean float64
	at   time.Time
}

const (
	// A new time contributes 1/timeDivisor to the running mean of its candidate, as for hold
	// times, and 1/usualDivisor to that of its kind. The latter changes so slowly that a host
	// whose requests all go to one candidate notices when that becomes slow.
	timeDivisor  = 8
	usualDivisor = 256
	// maxRatio limits the part of one time, so that a single answer that took very long does
	// not make its candidate count as slow for long.
	maxRatio = 8
	// refusedRatio is how slow a refusal for lack of capacity counts. It arrives early, but
	// shows that other work waits.
	refusedRatio = 4
)

// NewTimes returns Times without information.
func NewTimes() *Times {
	return &Times{usual: make(map[Work]usualTime), ratios: make(map[string]ratio)}
}

// Answered records that a candidate took a time for work of a kind.
func (t *Times) Answered(name string, kind Work, took time.Duration, now time.Time) {
	u := t.usual[kind]
	u.count = min(u.count+1, usualDivisor)
	u.mean += (took.Seconds() - u.mean) / u.count
	t.usual[kind] = u
	if u.mean > 0 {
		t.record(name, min(took.Seconds()/u.mean, maxRatio), now)
	}
}

// Refused records that a candidate refused work for lack of capacity.
func (t *Times) Refused(name string, now time.Time) { t.record(name, refusedRatio, now) }

func (t *Times) record(name string, x float64, now time.Time) {
	r, found := t.ratios[name]
	if !found {
		r.mean = 1
	}
	t.ratios[name] = ratio{mean: r.mean + (x-r.mean)/timeDivisor, at: now}
}

// Slowness returns how many times the usual time a candidate takes, or 0 if it is unknown.
// It approaches 1 with the time since the last answer, so that a candidate which gets no
// work because it was slow is tried again.
func (t *Times) Slowness(name string, now time.Time) float64 {
	r, found := t.ratios[name]
	if !found {
		return 0
	}
	return 1 + (r.mean-1)*trust(now.Sub(r.at))
}

// Forget removes a candidate that is gone.
func (t *Times) Forget(name string) { delete(t.ratios, name) }
