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
	trigger chan struct{}
	stop    func()
}

// poke makes the members be asked at once that must be asked to learn more. It
// is called by whoever waits: a round by way of the stepping duty would cost each
// read a switch of goroutines.
func (c *Controller) pollNeeded() {
	v := c.View()
	for name, wake := range c.triggers.Load() {
		if !v.Needed(name, c.options.Region) {
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
func (c *Controller) startPollers(members []view.Member) {
	addresses := make(map[string]string)
	for _, m := range members {
		addresses[m.Name] = m.Address
	}
	for name, p := range c.pollers {
		if address, listed := addresses[name]; !listed || address != p.address {
			p.stop()
			delete(c.pollers, name)
		}
	}
	for _, m := range members {
		if _, found := c.pollers[m.Name]; found {
			continue
		}
		p := poller{address: m.Address, trigger: make(chan struct{}, 1)}
		p.stop = duty.Run(func(ctx context.Context) error { return c.pollMember(ctx, m, p.trigger) })
		c.pollers[m.Name] = p
	}
	c.triggers.Store(c.triggersByMember())
}

func (c *Controller) triggersByMember() map[string]chan<- struct{} {
	triggers := make(map[string]chan<- struct{}, len(c.pollers))
	for name, p := range c.pollers {
		triggers[name] = p.trigger
	}
	return triggers
}

func (c *Controller) stopPollers() {
	for _, p := range c.pollers {
		p.stop()
	}
}

// pollMember is the duty that asks one member for its state.
func (c *Controller) pollMember(ctx context.Context, m view.Member, trigger <-chan struct{}) error {
	control := c.options.Dial(m)
	defer control.Close()
	for ctx.Err() == nil {
		c.pollOnce(ctx, control, m)
		pause := c.pauseFor(m)
		select {
		case <-trigger:
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// The periods between questions to a member are multiples of the shortest one.
const (
	// farPeriods holds for replicas in another region.
	remotePeriods = 4
	// idlePeriods holds for the primary of an idle database, and
	// idleReplicaPeriods for its replicas.
	idlePeriods        = 8
	idleReplicaPeriods = 20
	// idleAfter is how long no request must have used the database before it
	// counts as idle.
	idleAfter = 10 * time.Second
)

// idle tells whether no request has used the database for a while.
func (c *Controller) idle(now time.Time) bool {
	return now.UnixNano()-c.lastUse.Load() > int64(idleAfter)
}

// pauseFor returns the pause before the next question to a member. While
// requests wait, only the members that a majority needs are asked often; the
// rest would cost bytes over the link for nothing.
func (c *Controller) pauseFor(m view.Member) time.Duration {
	v := c.View()
	if v.Silent(m.Name) {
		return c.options.Poll
	}
	if c.waiters.Load() > 0 && v.Needed(m.Name, c.options.Region) {
		return c.options.ActivePoll
	}
	primary, found := v.Primary()
	isPrimary := found && primary.Member == m.Name
	idle := found && c.idle(time.Now())
	switch {
	case idle && isPrimary:
		return idlePeriods * c.options.Poll
	case idle:
		return idleReplicaPeriods * c.options.Poll
	case m.Region != c.options.Region && !isPrimary:
		return remotePeriods * c.options.Poll
	default:
		return c.options.Poll
	}
}

func (c *Controller) pollOnce(ctx context.Context, control member.Control, m view.Member) {
	askCtx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	asked := time.Now()
	full := c.needsFullState(m)
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
		c.inputs.Offer(failureInput(m.Name, err))
		return
	}
	c.inputs.Offer(trace.Input{Report: &view.Report{Member: m.Name, Asked: asked, Heard: time.Now(), State: state}})
}

// asksInFull tells whether a member's promises are needed: those of a majority while
// nothing else has proven for some time that the primary leads, those of a member that
// has made one or stands still behind the primary, and those of all that lead in their
// own eyes if there are several.
func (c *Controller) needsFullState(m view.Member) bool {
	v := c.View()
	if v.Contested(m.Name) {
		return true
	}
	primary, found := v.Primary()
	if found && primary.Member == m.Name {
		return false
	}
	r, known := v.Report(m.Name)
	if !found || !known || r.State.Fenced() || r.State.Term < primary.State.Term {
		return true
	}
	now := time.Now()
	return !c.idle(now) && now.Sub(v.Proven()) > c.options.MaxProofAge && v.Needed(m.Name, c.options.Region)
}

// failed returns what a question shows that was not answered.
func failureInput(name string, err error) trace.Input {
	if member.Refuses(err) {
		return trace.Input{Refusal: name}
	}
	return trace.Input{Silence: name}
}
