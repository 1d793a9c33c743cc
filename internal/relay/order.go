package relay

import (
	"cmp"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/even"
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
	// Reported is the work that the proxy last reported to have, and ReportAge the time since.
	// HasReport is not set if it is unknown.
	Reported  float64
	ReportAge time.Duration
	HasReport bool
	// Slowness is how many times the usual time its answers take, or 0 if this is unknown.
	Slowness float64
	// Capacity is the processor time of its host in cores, or 0 if it is unknown.
	Capacity float64
}

// slowAnswer is how long a job may be unanswered before its proxy is tried after
// responsive ones. A statement runs for about 10 ms and waits for its slot for a few
// hundred milliseconds at most.
const slowAnswer = 400 * time.Millisecond

// lightLoad is the work at an owner of average capacity, in jobs, below which it counts as
// lightly loaded: about half of the connections that it has to one member.
const lightLoad = 4

// OrderCandidates returns the hosts in the order in which a request tries them. The criteria,
// the most significant first, are: not draining, not in backoff, owners before
// substitutes, responsive within slowAnswer, in the given region. Among the candidates that
// are best by these criteria the turn selects the first one, unless it is clearly busier
// for its capacity than another one. The others follow by their jobs in flight.
func OrderCandidates(list []Candidate, region string, turn uint64, now time.Time) []string {
	choose := func(list []even.Candidate, turn, draw uint64, light float64, now time.Time) even.Choice {
		choice, _ := even.Balance{}.Choose(list, turn, draw, light, now)
		return choice
	}
	return orderCandidates(choose, list, region, turn, now)
}

// chooser chooses one of several equal candidates, as even.Balances does.
type chooser func(list []even.Candidate, turn, draw uint64, light float64, now time.Time) even.Choice

// orderCandidates is OrderCandidates with the given chooser.
func orderCandidates(choose chooser, list []Candidate, region string, turn uint64, now time.Time) []string {
	if len(list) == 0 {
		return nil
	}
	best := list[0]
	for _, c := range list {
		if c.penalty(region, now) < best.penalty(region, now) {
			best = c
		}
	}
	first := chooseEqual(choose, best, list, region, turn, now)
	start := turn % uint64(len(list))
	order := slices.Concat(list[start:], list[:start])
	slices.SortStableFunc(order, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.penalty(region, now), b.penalty(region, now)), preferTrue(a.Host == first, b.Host == first), cmp.Compare(a.InFlight, b.InFlight),
		)
	})
	hosts := make([]string, 0, len(order))
	for _, c := range order {
		hosts = append(hosts, c.Host)
	}
	return hosts
}

// chooseEqual returns the host to try first, which is one with the penalty of the best
// candidate. A turn keeps its host while others enter or leave a backoff: it selects one of
// all candidates with the role and region of the best, and only if that one is at present
// not as good another one.
func chooseEqual(choose chooser, best Candidate, list []Candidate, region string, turn uint64, now time.Time) string {
	var equal []Candidate
	var similar []string
	for _, c := range list {
		if c.penalty(region, now) == best.penalty(region, now) {
			equal = append(equal, c)
		}
		if c.Substitute == best.Substitute && (c.Region == region) == (best.Region == region) {
			similar = append(similar, c.Host)
		}
	}
	n := uint64(len(similar))
	preferred := slices.IndexFunc(equal, func(c Candidate) bool { return c.Host == similar[turn%n] })
	if preferred < 0 {
		preferred = int(turn / n % uint64(len(equal))) //nolint:gosec // less than the length of a slice
	}
	loads := make([]even.Candidate, len(equal))
	for i, c := range equal {
		loads[i] = even.Candidate{
			Name: c.Host, Own: c.InFlight, Others: max(c.Reported-float64(c.InFlight), 0), Age: c.ReportAge, Reported: c.HasReport,
			Slowness: c.Slowness, Capacity: c.Capacity,
		}
	}
	draw := even.Mix(uint64(now.UnixNano()) ^ even.Mix(turn))                       //nolint:gosec // only the bits matter
	return equal[choose(loads, uint64(preferred), draw, lightLoad, now).Index].Host //nolint:gosec // an index
}

// penalty returns a number that orders candidates by what is known of their state, and by
// their distance.
func (c Candidate) penalty(region string, now time.Time) int {
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

// preferTrue compares two conditions, of which a fulfilled one comes first.
func preferTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
