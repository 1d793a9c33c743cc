package relay

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a proxy that serves a database, as another one sees it.
type Candidate struct {
	Host   string
	Region string
	// Substitute tells that the proxy is to serve the database only while none of its homes
	// can be reached.
	Substitute bool
	// BackoffUntil is until when the proxy is not to be tried before others: it could not be
	// reached.
	BackoffUntil time.Time
	// DrainingUntil is until when it is not to be tried at all before any other: it said that it
	// is leaving.
	DrainingUntil time.Time
	// Failing tells that it has not answered since it was shunned: it is tried with one
	// request at a time.
	Failing bool
	// InFlight is how many jobs it has not answered, and Oldest when the first of these was
	// sent.
	InFlight   int
	OldestSent time.Time
}

// slowAnswer is how long a job may be unanswered before its proxy is tried after those
// that answer. Work runs for some ten milliseconds and waits for its place for a few
// hundred at most.
const slowAnswer = 400 * time.Millisecond

// OrderCandidates returns the proxies in the order in which a request is to try them: those that
// can be reached first, homes before deputies, those that answer before those that do
// not, those of the own region before others, and among these the ones with the fewest
// open jobs. Equals take turns.
func OrderCandidates(list []Candidate, region string, turn uint64, now time.Time) []string {
	if n := uint64(len(list)); n > 0 {
		first := turn % n
		list = slices.Concat(list[first:], list[:first])
	}
	cost := func(c Candidate) int {
		const leaving, shunned, deputy, slow, far = 16, 8, 4, 2, 1
		sum := 0
		if now.Before(c.DrainingUntil) {
			sum += leaving
		}
		if now.Before(c.BackoffUntil) || (c.Failing && c.InFlight > 0) {
			sum += shunned
		}
		if c.Substitute {
			sum += deputy
		}
		if c.InFlight > 0 && now.Sub(c.OldestSent) > slowAnswer {
			sum += slow
		}
		if c.Region != region {
			sum += far
		}
		return sum
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.InFlight, b.InFlight))
	})
	hosts := make([]string, 0, len(list))
	for _, c := range list {
		hosts = append(hosts, c.Host)
	}
	return hosts
}
