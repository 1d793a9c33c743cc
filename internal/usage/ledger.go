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

// allowance bounds the grants of a cap: in any time x of at most a window, at most
// burst + x * rate. A coordinator that has just received a delegation, and does not know what
// was granted before, may thus grant rate from that time on.
type allowance struct {
	// burst is a number of operations, and rate a number for each slot.
	burst, rate float64
}

// initial returns the number of operations that a coordinator may grant as soon as all of a cap
// is delegated to it. A window can contain five changes of the coordinator, each at least
// DelegationTime after the one before, so that they take a quarter of the slack.
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
// window. The first and the last slot of a window may be incomplete, and unknown grants are
// counted a slot early.
func (p Policy) slots() int {
	return int(math.Ceil(float64(p.Window+p.TokenLife())/float64(slotTime))) + 2
}

// sustained returns the operations a second that can be granted for ever.
func (a allowance) sustained(slots int) float64 {
	return (a.burst + float64(slots-1)*a.rate) / (float64(slots) * slotTime.Seconds())
}

// ledger holds the recent grants of one customer by slot, each divided by the share of the
// cap that was delegated at that time. The last slot is the current one.
type ledger struct {
	slots []float64
	// number is the number of the current slot since the start of the clock, and elapsed the
	// part of it that has passed.
	number  int64
	elapsed float64
}

// newLedger returns the ledger of a customer of whose grants nothing is known: all that may have
// been granted counts as granted.
func newLedger(now time.Duration, a allowance, slots int) ledger {
	l := ledger{slots: make([]float64, slots)}
	l.advance(now)
	l.mix(a, 0, 1, 0)
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

// mix adds a delegation of which the grants are unknown to those of a share. Of the unknown
// ones, initial are taken to have not been granted. The most recent ones count in the slot
// before the current one, so that what the delegation earns can be granted at once.
func (l *ledger) mix(a allowance, share, added, initial float64) {
	last := len(l.slots) - 1
	for i := range l.slots {
		unknown := a.rate
		switch i {
		case last - 1:
			unknown = a.burst + (1+l.elapsed)*a.rate - initial
		case last:
			unknown = 0
		}
		l.slots[i] = (share*l.slots[i] + added*unknown) / (share + added)
	}
}

// room returns how many operations may be granted now for the whole cap.
func (l *ledger) room(a allowance) float64 {
	last := len(l.slots) - 1
	granted := l.slots[last]
	room := a.burst + l.elapsed*a.rate - granted
	for i := 1; i <= last; i++ {
		granted += l.slots[last-i]
		room = min(room, a.burst+(float64(i)+l.elapsed)*a.rate-granted)
	}
	return max(0, room+rounding)
}

// add counts grants for a share of the cap.
func (l *ledger) add(granted, share float64) { l.slots[len(l.slots)-1] += granted / share }
