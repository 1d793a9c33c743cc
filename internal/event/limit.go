package event

import (
	"reflect"
	"strings"
	"sync/atomic"
	"time"
)

// The limits of log lines, in lines of one event a second. Each event may write two seconds'
// worth at once.
const (
	// requestLines is the limit for each line that a request has on its way: twice the 2,000
	// requests a second that a proxy is designed for.
	requestLines = 4_000
	// failureLines is the limit for the lines of failed requests. They are limited last, because
	// they are what a failed request is traced by.
	failureLines = 8_000
	// otherLines is the limit for lines that callers or other connections cause.
	otherLines = 1_000
)

// limits gives the limit of each event that is limited. The others report the state of the
// process, its dependencies, members, elections and documents, or broken invariants. They do
// not grow with the load, and none of them may be missing.
var limits = map[Event]int64{
	CallerAccepted:     otherLines,
	CallerDenied:       otherLines,
	CallerClosed:       otherLines,
	CancelSent:         otherLines,
	TransactionExpired: otherLines,
	CallerEvicted:      otherLines,
	ReadRouted:         requestLines,
	WriteRouted:        requestLines,
	RequestRejected:    failureLines,
	WriteConfirmed:     requestLines,
	OutcomeUnknown:     failureLines,
	RelayChosen:        requestLines,
	ConnectionClosed:   requestLines,
	RequestInterrupted: requestLines,
	PeerDenied:         otherLines,
	RelayLost:          requestLines,
}

// Limited returns the number of lines a second to which an event is limited, or 0.
func (e Event) Limited() int64 { return limits[e] }

// bucket is a token bucket. It needs no lock: it stores the time at which it will be full.
type bucket struct {
	// interval is the time in which one line is added, and depth the time in which an empty
	// bucket fills. Both are in ns.
	interval int64
	depth    int64
	// full is the time, in ns, at which the bucket is full again.
	full       atomic.Int64
	suppressed atomic.Uint64
}

// take takes one line, and reports whether there was one.
func (b *bucket) take(now int64) bool {
	for {
		full := b.full.Load()
		next := max(full, now) + b.interval
		if next-now > b.depth {
			return false
		}
		if b.full.CompareAndSwap(full, next) {
			return true
		}
	}
}

// Limiter limits the lines of each event by a token bucket of its own. It is safe for concurrent
// use.
type Limiter struct {
	start   time.Time
	buckets map[Event]*bucket
	total   atomic.Uint64
}

// NewLimiter returns a limiter whose buckets are full.
func NewLimiter() *Limiter {
	const burst = 2 * time.Second
	l := &Limiter{start: time.Now(), buckets: make(map[Event]*bucket, len(limits))}
	for e, perSecond := range limits {
		l.buckets[e] = &bucket{interval: int64(time.Second) / perSecond, depth: int64(burst)}
	}
	return l
}

// Allow reports whether a line of an event may be written at the given time, and how many lines
// of the event were suppressed since the last one that was allowed.
func (l *Limiter) Allow(e Event, now time.Time) (allowed bool, suppressed uint64) {
	b := l.buckets[e]
	if b == nil {
		return true, 0
	}
	if !b.take(int64(now.Sub(l.start))) {
		b.suppressed.Add(1)
		l.total.Add(1)
		return false, 0
	}
	if b.suppressed.Load() == 0 {
		return true, 0
	}
	return true, b.suppressed.Swap(0)
}

// Suppressed returns the number of all lines that were suppressed.
func (l *Limiter) Suppressed() uint64 { return l.total.Load() }

// The lengths in bytes of the longest texts in fields: those of callers in lines about callers and
// requests, and those of other writers and hosts in all other lines.
const (
	maxText      = 1 << 10
	maxOtherText = 1 << 14
)

// shorten shortens the texts of a line. They may contain what a caller, a member, another host or
// another writer of the store sent: a message or an entry of 1 MiB would otherwise wait in the ring
// as a whole, and make a line that readers of the log do not accept. Records of elections are not
// texts, and are kept whole.
func shorten(e Event, fields Fields) {
	const firstCaller, endRequest = 200, 400
	limit := maxOtherText
	switch {
	case e == ElectionStep:
		return
	case e >= firstCaller && e < endRequest:
		limit = maxText
	}
	for name, value := range fields {
		text, ok := value.(string)
		if !ok {
			v := reflect.ValueOf(value)
			if v.Kind() != reflect.String {
				continue
			}
			text = v.String()
		}
		if len(text) > limit {
			fields[name] = strings.ToValidUTF8(text[:limit], "") + "..."
		}
	}
}
