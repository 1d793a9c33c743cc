package relay

import (
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// answerTimes holds how slow the owners answer. It is safe for concurrent use.
type answerTimes struct {
	mu    sync.Mutex
	times *even.Times
}

func newAnswerTimes() *answerTimes { return &answerTimes{times: even.NewTimes()} }

// record records the answer to a request that an owner received at the given time. Statements
// of open transactions do not count, since they do not wait for a slot, and neither do faults
// that have nothing to do with the owner's load.
func (a *answerTimes) record(host string, r *chain.Request, sent time.Time, o Outcome) {
	if r.Lease != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case !o.Failed:
		a.times.Answered(host, even.Work{Database: r.Work.Database, Kind: r.Work.Kind}, now.Sub(sent), now)
	case o.Fault == fault.Late || o.Fault == fault.Overloaded:
		a.times.Refused(host, now)
	}
}

// unanswered records that an owner did not answer in time.
func (a *answerTimes) unanswered(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times.Refused(host, time.Now())
}

// slowness returns how many times the usual time an owner takes, or 0 if this is unknown.
func (a *answerTimes) slowness(host string, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.times.Slowness(host, now)
}
