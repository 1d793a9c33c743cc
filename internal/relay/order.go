package relay

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a proxy that may serve a database, with what the caller's proxy has observed
// of it.
type Candidate struct {
	Host   string
	Region string
	// Substitute is set if the proxy serves the database only while none of its owners is
	// reachable.
	Substitute bool
	// BackoffUntil is the end of the time in which other proxies are tried first, because this
	// one was unreachable.
	BackoffUntil time.Time
	// DrainingUntil is the end of the time in which it is tried after all others, because it
	// reported that it is draining.
	DrainingUntil time.Time
	// Failing is set if it has not answered since its last backoff began. It then gets one
	// request at a time.
	Failing bool
	// InFlight is the number of jobs that it has not answered, and Oldest the time at which
	// the first of these was sent.
	InFlight   int
	OldestSent time.Time
}

// slowAnswer is how long a job may be unanswered before its proxy is tried after
// responsive ones. A statement runs for about 10 ms and waits for its slot for a few
// hundred milliseconds at most.
const slowAnswer = 400 * time.Millisecond

// OrderCandidates returns the hosts in the order in which a request tries them. The criteria,
// the most significant first, are: not draining, not in backoff, owners before
// substitutes, responsive within slowAnswer, in the given region, fewest jobs in flight.
// turn rotates candidates that are equal in all of these.
func OrderCandidates(list []Candidate, region string, turn uint64, now time.Time) []string {
	if n := uint64(len(list)); n > 0 {
		first := turn % n
		list = slices.Concat(list[first:], list[:first])
	}
	penalty := func(c Candidate) int {
		const draining, backoff, substitute, slow, remote = 16, 8, 4, 2, 1
		sum := 0
		if now.Before(c.DrainingUntil) {
			sum += draining
		}
		if now.Before(c.BackoffUntil) || (c.Failing && c.InFlight > 0) {
			sum += backoff
		}
		if c.Substitute {
			sum += substitute
		}
		if c.InFlight > 0 && now.Sub(c.OldestSent) > slowAnswer {
			sum += slow
		}
		if c.Region != region {
			sum += remote
		}
		return sum
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(penalty(a), penalty(b)), cmp.Compare(a.InFlight, b.InFlight))
	})
	hosts := make([]string, 0, len(list))
	for _, c := range list {
		hosts = append(hosts, c.Host)
	}
	return hosts
}
