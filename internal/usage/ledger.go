package usage

import (
	"math"
	"time"
)

const (
	// slotTime is the resolution at which a ledger counts grants.
	slotTime = 50 * time.Millisecond
	// limitPart is the part of the permitted operations that is granted. The remainder covers
	// the resolution of ledgers, clocks that differ in speed and lists of hosts that differ.
	limitPart = 0.98
	// rounding keeps whole numbers of operations whole.
	rounding = 1e-6
	// maxBurstPart limits the part of the permitted operations of a window that may be granted
	// at once, so that a new coordinator can grant the remainder.
	maxBurstPart = 0.6
)

// allowance bounds the grants of a cap in every window that ends now: at most burst + rate for
// each slot. A coordinator that takes a delegation of unknown use as fully used can therefore
// still grant rate from then on.
type allowance struct {
	// burst is a number of operations, and rate a number for each slot.
	burst, rate float64
}

// initial returns the number of operations that a coordinator may grant as soon as all of a cap
// is delegated to it. A window can contain five changes of the coordinator, each at least
// DelegationTime after the one before: together they grant a quarter of the slack.
func (p Policy) initial() float64 { return p.Slack / 20 }

// allowance returns that of a customer's cap. Tokens that were granted up to TokenLife before a
// window can be used in it.
func (p Policy) allowance(rate, burst float64) allowance {
	const slackPart = 0.75
	permitted := limitPart * ((rate*p.Window.Seconds()+burst)*(1+p.Overage) + slackPart*p.Slack)
	a := allowance{burst: min(burst+p.Slack/4, maxBurstPart*permitted)}
	a.rate = (permitted - a.burst) / float64(p.slots())
	return a
}

// slots returns the number of slots that contain all grants whose tokens can be used within a
// window. The first and the last slot of a window may be incomplete, and unknown grants count in
// the slot before the current one (mix).
func (p Policy) slots() int {
	return int(math.Ceil(float64(p.Window+p.TokenLife())/float64(slotTime))) + 2
}

// sustained returns the operations a second that can be granted for ever.
func (a allowance) sustained(slots int) float64 {
	return (a.burst + float64(slots-1)*a.rate) / (float64(slots) * slotTime.Seconds())
}

// slot holds the grants of one customer within slotTime, divided by the share of the cap that
// was delegated at that time.
type slot struct {
	granted float64
	// bursts and rates are what delegations of unknown use count for, in multiples of an
	// allowance's burst and rate. They are not evaluated before they are compared with the
	// allowance, because the cap may have been raised since.
	bursts, rates float64
}

// ledger holds the recent grants of one customer. The last slot is the current one.
type ledger struct {
	slots []slot
	// number is the number of the current slot since the start of the clock, and elapsed the
	// part of it that has passed.
	number  int64
	elapsed float64
}

// newLedger returns the ledger of a customer of whose grants nothing is known: all that may have
// been granted counts as granted.
func newLedger(now time.Duration, slots int) ledger {
	l := ledger{slots: make([]slot, slots)}
	l.advance(now)
	l.mix(0, 1, 0)
	return l
}

// advance moves the ledger to a time.
func (l *ledger) advance(now time.Duration) {
	passed := int64(now/slotTime) - l.number
	if passed < 0 {
		return
	}
	l.elapsed = float64(now%slotTime) / float64(slotTime)
	l.number += passed
	n := min(int(passed), len(l.slots))
	copy(l.slots, l.slots[n:])
	clear(l.slots[len(l.slots)-n:])
}

// mix adds a delegation of which the grants are unknown to those of a share. They count as a
// full burst in the slot before the current one and as the rate in each earlier slot, which is
// the largest sum for every window that ends now, less initial, which may thus be granted at
// once.
func (l *ledger) mix(share, added, initial float64) {
	last := len(l.slots) - 1
	for i := range l.slots {
		unknown := slot{rates: 1}
		switch i {
		case last - 1:
			unknown = slot{granted: -initial, bursts: 1, rates: 1 + l.elapsed}
		case last:
			unknown = slot{}
		}
		s := &l.slots[i]
		s.granted = (share*s.granted + added*unknown.granted) / (share + added)
		s.bursts = (share*s.bursts + added*unknown.bursts) / (share + added)
		s.rates = (share*s.rates + added*unknown.rates) / (share + added)
	}
}

// room returns how many operations may be granted now for the whole cap: the smallest remainder
// over all windows that end now, from the current slot alone to all slots.
func (l *ledger) room(a allowance) float64 {
	last := len(l.slots) - 1
	room, granted := math.MaxFloat64, 0.0
	for i := range l.slots {
		s := l.slots[last-i]
		granted += s.granted + s.bursts*a.burst + s.rates*a.rate
		room = min(room, a.burst+(float64(i)+l.elapsed)*a.rate-granted)
	}
	return max(0, room+rounding)
}

// add counts grants for a share of the cap.
func (l *ledger) add(granted, share float64) { l.slots[len(l.slots)-1].granted += granted / share }
