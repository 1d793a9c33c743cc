package ctrl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/trace"
	"poplarrouter.example/poplarrouter/internal/view"
)

// poller is the duty that asks one member.
type poller struct {
	address string
	poke    chan struct{}
	stop    func()
}

// poke makes the members be asked at once that must be asked to learn more. It
// is called by whoever waits: a round by way of the stepping duty would cost each
// read a switch of goroutines.
func (b *Controller) poke() {
	v := b.View()
	for name, wake := range b.wakes.Load() {
		if !v.Needed(name, b.options.Region) {
			continue
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// startPollers starts a duty for each member that has none, and ends those of
// members that are gone or have moved to another address.
func (b *Controller) startPollers(members []view.Member) {
	addresses := make(map[string]string)
	for _, m := range members {
		addresses[m.Name] = m.Address
	}
	for name, p := range b.pollers {
		if address, listed := addresses[name]; !listed || address != p.address {
			p.stop()
			delete(b.pollers, name)
		}
	}
	for _, m := range members {
		if _, found := b.pollers[m.Name]; found {
			continue
		}
		p := poller{address: m.Address, poke: make(chan struct{}, 1)}
		p.stop = duty.Run(func(ctx context.Context) error { return b.pollMember(ctx, m, p.poke) })
		b.pollers[m.Name] = p
	}
	b.wakes.Store(b.wakesOf())
}

func (b *Controller) wakesOf() map[string]chan<- struct{} {
	wakes := make(map[string]chan<- struct{}, len(b.pollers))
	for name, p := range b.pollers {
		wakes[name] = p.poke
	}
	return wakes
}

func (b *Controller) stopPollers() {
	for _, p := range b.pollers {
		p.stop()
	}
}

// pollMember is the duty that asks one member for its state.
func (b *Controller) pollMember(ctx context.Context, m view.Member, poke <-chan struct{}) error {
	control := b.options.Dial(m)
	defer control.Close()
	for ctx.Err() == nil {
		b.ask(ctx, control, m)
		pause := b.pauseFor(m)
		select {
		case <-poke:
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// The periods between questions to a member are multiples of the shortest one.
const (
	// farPeriods holds for replicas in another region.
	farPeriods = 4
	// idlePeriods holds for the primary of an idle database, and
	// idleReplicaPeriods for its replicas.
	idlePeriods        = 8
	idleReplicaPeriods = 20
	// idleAfter is how long no request must have used the database before it
	// counts as idle.
	idleAfter = 10 * time.Second
)

// idle tells whether no request has used the database for a while.
func (b *Controller) idle(now time.Time) bool { return now.UnixNano()-b.awaited.Load() > int64(idleAfter) }

// pauseFor returns the pause before the next question to a member. While
// requests wait, only the members that a majority needs are asked often; the
// rest would cost bytes over the link for nothing.
func (b *Controller) pauseFor(m view.Member) time.Duration {
	v := b.View()
	if v.Silent(m.Name) {
		return b.options.Poll
	}
	if b.waiting.Load() > 0 && v.Needed(m.Name, b.options.Region) {
		return b.options.ActivePoll
	}
	primary, found := v.Primary()
	isPrimary := found && primary.Member == m.Name
	idle := found && b.idle(time.Now())
	switch {
	case idle && isPrimary:
		return idlePeriods * b.options.Poll
	case idle:
		return idleReplicaPeriods * b.options.Poll
	case m.Region != b.options.Region && !isPrimary:
		return farPeriods * b.options.Poll
	default:
		return b.options.Poll
	}
}

func (b *Controller) ask(ctx context.Context, control member.Control, m view.Member) {
	askCtx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	asked := time.Now()
	full := b.asksInFull(m)
	state, err := control.Ask(askCtx, full)
	if err != nil && askCtx.Err() == nil && !member.Refuses(err) {
		// The connection had ended. Another one tells whether the member has.
		control.Close()
		state, err = control.Ask(askCtx, full)
	}
	var busy *member.BusyError
	if ctx.Err() != nil || errors.As(err, &busy) {
		return
	}
	if err != nil {
		control.Close()
		b.inputs.Offer(failed(m.Name, err))
		return
	}
	b.inputs.Offer(trace.Input{Report: &view.Report{Member: m.Name, Asked: asked, Heard: time.Now(), State: state}})
}

// asksInFull tells whether a member's promises are needed: those of a majority while
// nothing else has proven for some time that the primary leads, those of a member that
// has made one or stands still behind the primary, and those of all that lead in their
// own eyes if there are several.
func (b *Controller) asksInFull(m view.Member) bool {
	v := b.View()
	if v.Contested(m.Name) {
		return true
	}
	primary, found := v.Primary()
	if found && primary.Member == m.Name {
		return false
	}
	r, heard := v.Report(m.Name)
	if !found || !heard || r.State.Fenced() || r.State.Term < primary.State.Term {
		return true
	}
	now := time.Now()
	return !b.idle(now) && now.Sub(v.Proven()) > b.options.MaxProofAge && v.Needed(m.Name, b.options.Region)
}

// failed returns what a question shows that was not answered.
func failed(name string, err error) trace.Input {
	if member.Refuses(err) {
		return trace.Input{Refusal: name}
	}
	return trace.Input{Silence: name}
}
