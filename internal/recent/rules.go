package recent

import "time"

// Rules are the ages of a proof at which a host acts, and the pauses between its calls.
type Rules struct {
	// Limit is the age of the proof above which keys are refused.
	Limit time.Duration
	// ReadPeriod is the period at which a reader reads the store.
	ReadPeriod time.Duration
	// QueryAge is the age of the proof above which peers are queried, and QueryPause the
	// pause between two rounds of queries.
	QueryAge   time.Duration
	QueryPause time.Duration
	// ReadAge is the age of the proof above which a host that is no reader reads the store.
	// ReadPause is the least time between two such reads, or after a read that failed.
	ReadAge   time.Duration
	ReadPause time.Duration
	// Stagger is the part by which the read of each further host of the region is delayed, up
	// to maxStagger parts, so that the proof of the first one reaches the others before.
	Stagger time.Duration
	// LossAge is the age of the proof above which the store counts as lost. The pauses then
	// grow, because a host without a path to the store need not serve keyed requests.
	LossAge time.Duration
}

// minPause limits the rate of calls if keys must be revoked within a very short time.
const minPause = 50 * time.Millisecond

// RulesFor returns the rules for a time after which a removed key must not be accepted. With
// 5 s, readers read every 0.8 s, and the others act at ages of 1.2 and 2 s.
func RulesFor(revoke time.Duration) Rules {
	return Rules{
		// A fiftieth covers the difference between the rates of two hosts' clocks (below
		// 0.1%, even while one is slewed) and the rounding of ages. The time between the
		// check of a key and the use needs no margin, because a request that is checked has
		// been sent before.
		Limit:      revoke - revoke/50,
		ReadPeriod: max(revoke*16/100, minPause),
		QueryAge:   revoke * 24 / 100,
		QueryPause: max(revoke*4/100, minPause),
		ReadAge:    revoke * 40 / 100,
		ReadPause:  max(revoke*20/100, minPause),
		Stagger:    revoke * 2 / 100,
		LossAge:    revoke * 60 / 100,
	}
}

const (
	// maxStagger is the number of parts by which a read is delayed at most. With 5 s, the
	// last hosts read at an age of 2.5 to 3 s, which leaves time for a second try.
	maxStagger = 10
	// queryFactor is the factor by which the pause between rounds of queries grows while the
	// store is lost. That between reads doubles with each failure, up to maxDoublings times.
	// Readers do not pause for longer, so that the others learn from them that the store
	// answers again.
	queryFactor  = 4
	maxDoublings = 3
)
