// Package even distributes work evenly over members, or hosts, that are equally suitable.
//
// Many hosts choose at the same time, and each knows the work of the others only from
// reports that are up to some seconds old. If all of them chose the candidate with the
// least reported load, they would overload one candidate after the other. A host
// therefore prefers the candidate whose turn it is, which needs no information, and
// leaves it for two reasons only:
//
//   - its own work in flight there, which is always up to date, is clearly more than at
//     another candidate;
//   - the reports, or without one the times of its answers, have shown more work there than
//     at the average candidate for some time. They change the share of the work that a
//     candidate should get by a small part in each period, less if they are old. A
//     candidate that is not lightly loaded passes on the part of its turns that exceeds its
//     share. Hosts that know the same reports together move that part and no more.
//
// The package has no clock and no random numbers. A step returns the new state.
package even

import (
	"math"
	"time"
)

// Candidate is a member, or a host, that may be chosen.
type Candidate struct {
	Name string
	// Own is this host's work in flight there, including work that waits for it.
	Own int
	// Others is the last known work of the other hosts there, and Age the time since it was
	// reported. Both are ignored unless Reported is set.
	Others   float64
	Age      time.Duration
	Reported bool
	// Slowness is how many times the usual time it takes to answer, or 0 if this is unknown.
	Slowness float64
	// Capacity is how much work the candidate can run compared with the others, in any
	// unit, or 0 if this is unknown.
	Capacity float64
}

// Choice is a decision and what led to it.
type Choice struct {
	// Index is the chosen candidate, and Preferred the one whose turn it was.
	Index, Preferred int
	// Reason names the rule that decided.
	Reason Reason
	// Load holds the estimated work at each candidate, relative to its capacity.
	Load []float64
}

// Balance is what a host has learnt of a set of candidates. The zero value is the state of a
// host without information. It is immutable.
type Balance struct {
	// corrections holds, by candidate, the factor by which its share of the work differs from
	// that of its capacity. A missing one is 1.
	corrections map[string]float64
	// updated is when the corrections were last updated.
	updated time.Time
}

// Reason is the rule that decided a choice.
type Reason string

// The reasons.
const (
	// Turn means that the preferred candidate was chosen.
	Turn Reason = "turn"
	// OwnWork means that this host had clearly more work at the preferred candidate than at the
	// chosen one.
	OwnWork Reason = "own work"
	// Reported means that the reports, or the times of answers, showed more work at the
	// preferred candidate than at the average one.
	Reported Reason = "reported load"
)

const (
	// ownFactor and lightSlack are how many times as much own work, and how much more, a
	// lightly loaded candidate must have than another one to be clearly busier. With less own
	// work a change would cost more, by connections that the other candidate has to open, than
	// it saves. Work waits at a candidate that is not lightly loaded, so that there busySlack
	// is enough.
	ownFactor  = 2
	lightSlack = 3
	busySlack  = 1
	// trustTime is the age at which a report is trusted by 1/e. It is about the longest age of
	// a report in a system whose hosts report once a second, so that older ones, of a host or
	// link that fails, soon count for nothing.
	trustTime = 2 * time.Second
)

const (
	// period is the time between two updates of the corrections, that of the reports.
	period = time.Second
	// gain is the part of the difference from the average by which a share changes in a period.
	// Reports show the effect of a change up to two periods later; a gain near 1 makes the
	// hosts move the same work forth and back.
	gain = 0.2
	// maxCorrection limits a correction, so that each candidate keeps getting work from which
	// its load can be seen.
	maxCorrection = 8
	// forget is the power to which corrections are raised in a period in which all candidates
	// are lightly loaded or no report is known: after a few of them, turns alone decide.
	forget = 0.5
)

// Choose chooses a candidate. The turn selects the preferred one: it is the same for work
// that should go to the same candidate. The draw is a random number. A candidate whose
// estimated work relative to capacity is below light is not left because of reports.
func (b Balance) Choose(list []Candidate, turn, draw uint64, light float64, now time.Time) (Choice, Balance) {
	n := uint64(len(list))
	if n == 0 {
		return Choice{Index: -1, Preferred: -1}, b
	}
	preferred := int(turn % n) //nolint:gosec // less than the length of a slice
	weights := relativeCapacities(list)
	load := estimate(list, weights, light)
	b = b.with(list, weights, load, light, now)
	c := Choice{Index: preferred, Preferred: preferred, Reason: Turn, Load: load}
	slack := busySlack
	if load[preferred] < light {
		slack = lightSlack
	}
	if i := leastOwn(list, weights, preferred, draw); clearlyBusier(list, weights, preferred, i, slack) {
		c.Index, c.Reason = i, OwnWork
		return c, b
	}
	if load[preferred] < light {
		return c, b
	}
	if i := spill(b.shares(list, weights), preferred, draw); i != preferred {
		c.Index, c.Reason = i, Reported
	}
	return c, b
}

// with returns the state with corrections for the estimated loads, or the same state before
// the end of a period.
func (b Balance) with(list []Candidate, weights, load []float64, light float64, now time.Time) Balance {
	if now.Sub(b.updated) < period {
		return b
	}
	mean, sum, busy, known := 0.0, 0.0, false, false
	for i, l := range load {
		mean += l * weights[i]
		sum += weights[i]
		busy = busy || l >= light
		known = known || list[i].Reported || list[i].Slowness > 0
	}
	mean /= sum
	next := Balance{corrections: b.forgotten(), updated: now}
	if !busy || !known {
		return next
	}
	for i, c := range list {
		x := b.correction(c.Name) * math.Exp(gain*max(-1, min(1, (mean-load[i])/mean)))
		next.corrections[c.Name] = max(1.0/maxCorrection, min(maxCorrection, x))
	}
	return next
}

// forgotten returns the corrections after a period without information. Those without effect
// are omitted, so that candidates that no longer exist are not kept.
func (b Balance) forgotten() map[string]float64 {
	const negligible = 0.01
	kept := make(map[string]float64, len(b.corrections))
	for name, x := range b.corrections {
		if x = math.Pow(x, forget); math.Abs(x-1) > negligible {
			kept[name] = x
		}
	}
	return kept
}

func (b Balance) correction(name string) float64 {
	if x, found := b.corrections[name]; found {
		return x
	}
	return 1
}

// shares returns the part of the work that each candidate should get. Their sum is 1.
func (b Balance) shares(list []Candidate, weights []float64) []float64 {
	shares, sum := make([]float64, len(list)), 0.0
	for i, c := range list {
		shares[i] = weights[i] * b.correction(c.Name)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// relativeCapacities returns the capacities relative to their mean, or 1 for each if
// one of them is unknown.
func relativeCapacities(list []Candidate) []float64 {
	weights, sum, known := make([]float64, len(list)), 0.0, true
	for i, c := range list {
		weights[i] = c.Capacity
		sum += c.Capacity
		known = known && c.Capacity > 0
	}
	for i := range weights {
		if weights[i] = weights[i] * float64(len(list)) / sum; !known {
			weights[i] = 1
		}
	}
	return weights
}

// slowFactor is how many times the usual time a candidate must take to count as more than
// lightly loaded, whatever was reported: work then waits there for as long as it runs.
const slowFactor = 2

// estimate returns the estimated work at each candidate, relative to its capacity. A report
// is discounted towards the mean of all reports with its age. Without a report the time that a
// candidate takes tells how far it is from being more than lightly loaded. A candidate of
// which nothing is known counts as average, or as one that takes the usual time.
func estimate(list []Candidate, weights []float64, light float64) []float64 {
	reported, capacity, usual := 0.0, 0.0, 0.0
	for i, c := range list {
		if c.Reported {
			reported += c.Others
			capacity += weights[i]
		}
		if c.Slowness > 0 {
			usual = light / slowFactor
		}
	}
	mean := usual
	if capacity > 0 {
		mean = reported / capacity
	}
	load := make([]float64, len(list))
	for i, c := range list {
		others := mean
		switch {
		case c.Reported:
			others += trust(c.Age) * (c.Others/weights[i] - mean)
		case c.Slowness > 0:
			others = usual * c.Slowness
		}
		if c.Slowness >= slowFactor {
			others = max(others, usual*c.Slowness)
		}
		load[i] = float64(c.Own)/weights[i] + others
	}
	return load
}

func trust(age time.Duration) float64 { return math.Exp(-age.Seconds() / trustTime.Seconds()) }

// leastOwn returns the candidate with the least own work relative to its capacity, and of
// several the first one after the preferred candidate in an order that the draw selects.
func leastOwn(list []Candidate, weights []float64, preferred int, draw uint64) int {
	best, n := preferred, len(list)
	offset := int(draw % uint64(n)) //nolint:gosec // less than the length of a slice
	for k := range n {
		i := (offset + k) % n
		if float64(list[i].Own)/weights[i] < float64(list[best].Own)/weights[best] {
			best = i
		}
	}
	return best
}

func clearlyBusier(list []Candidate, weights []float64, i, other, slack int) bool {
	a, b := float64(list[i].Own)/weights[i], float64(list[other].Own)/weights[other]
	return a >= b+float64(slack) && a+1 >= ownFactor*(b+1)
}

// spill returns the preferred candidate or, for the part of the draws by which an equal
// share of the turns exceeds its own share, one whose share exceeds an equal one.
func spill(shares []float64, preferred int, draw uint64) int {
	equal := 1 / float64(len(shares))
	first, second := fractions(draw)
	if first >= 1-shares[preferred]/equal {
		return preferred
	}
	missing := 0.0
	for _, s := range shares {
		missing += max(s-equal, 0)
	}
	for i, s := range shares {
		if second -= max(s-equal, 0) / missing; second < 0 {
			return i
		}
	}
	return preferred
}

// fractions returns two numbers from 0 to 1 from the halves of a draw.
func fractions(draw uint64) (first, second float64) {
	const half = 1 << 32
	return float64(draw>>32) / half, float64(draw%half) / half
}

// Mix returns a well distributed draw from a number that identifies the work, such as its
// time of arrival (the finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
