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

// poller is the background task that polls one member.
type poller struct {
	address string
	trigger chan struct{}
	stop    func()
}

// pollNeeded starts a poll at once of the members whose state is needed. The waiting
// caller runs it itself: through the task that steps the machine, each read would cost a
// switch of goroutines.
func (c *Controller) pollNeeded() {
	c.poll(func(v view.View, name string) bool { return v.ShouldPoll(name, c.options.Region) })
}

// poll starts a poll at once of the members for which needed returns true.
func (c *Controller) poll(needed func(v view.View, name string) bool) {
	v := c.View()
	for name, trigger := range c.triggers.Load() {
		if !needed(v, name) {
			continue
		}
		select {
		case trigger <- struct{}{}:
		default:
		}
	}
}

// startPollers starts a poller for each member that has none, and stops those of members
// that were removed or have moved to another address.
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

// pollMember is the background task that polls one member for its state.
func (c *Controller) pollMember(ctx context.Context, m view.Member, trigger <-chan struct{}) error {
	control := c.options.Dial(m)
	defer control.Close()
	var fullAt time.Time
	for ctx.Err() == nil {
		full := c.needsFullState(m, time.Since(fullAt))
		if full {
			fullAt = time.Now()
		}
		c.pollOnce(ctx, control, m, full)
		pause := c.pauseFor(m)
		select {
		case <-trigger:
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// The poll intervals are multiples of the shortest one.
const (
	// remotePeriods applies to replicas in another region.
	remotePeriods = 4
	// idlePeriods applies to the primary of an idle database, and idleReplicaPeriods to
	// its replicas.
	idlePeriods        = 8
	idleReplicaPeriods = 20
	// idleAfter is the time without a request after which a database counts as idle.
	idleAfter = 10 * time.Second
)

// idle reports whether no request has used the database for idleAfter.
func (c *Controller) idle(now time.Time) bool {
	return now.UnixNano()-c.lastUse.Load() > int64(idleAfter)
}

// pauseFor returns the pause before the next poll of a member. While requests wait, only
// the members that a majority needs are polled often; polling the others as well would use
// bandwidth between regions to no effect.
func (c *Controller) pauseFor(m view.Member) time.Duration {
	v := c.View()
	if member, found := v.Member(m.Name); v.Silent(m.Name) || found && member.Unlisted {
		// An unlisted member is removed once it does not answer.
		return c.options.Poll
	}
	if c.waiters.Load() > 0 && v.ShouldPoll(m.Name, c.options.Region) {
		return c.options.ActivePoll
	}
	if c.commits.Load() > 0 {
		if c.informs(v, m.Name) {
			return c.options.ActivePoll
		}
		return c.options.Poll
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

func (c *Controller) pollOnce(ctx context.Context, control member.Control, m view.Member, full bool) {
	pollCtx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	asked := time.Now()
	interrupted := false
	state, err := control.Ask(pollCtx, full)
	if err != nil && pollCtx.Err() == nil && !member.IsConnectionRefused(err) {
		// The connection had ended. A new one shows whether the member is down.
		interrupted = true
		control.Close()
		state, err = control.Ask(pollCtx, full)
	}
	var busy *member.BusyError
	if ctx.Err() != nil {
		return
	}
	if errors.As(err, &busy) {
		c.inputs.Offer(trace.Input{Busy: &view.Busy{Member: m.Name, At: asked}})
		return
	}
	if err != nil {
		control.Close()
		c.inputs.Offer(failureInput(m.Name, err))
		return
	}
	if i, ok := control.(member.Interruptible); ok {
		interrupted = i.Interrupted() || interrupted
	}
	c.inputs.Offer(trace.Input{Report: &view.Report{Member: m.Name, SentAt: asked, ReceivedAt: time.Now(), State: state, Interrupted: interrupted}})
}

// needsFullState reports whether a member's fence is needed, given the age of its last full
// state. It is needed from a majority if the primary's leadership has not been proven
// otherwise for some time, from a member that is fenced or whose term is behind the
// primary's, from all members that claim to lead if there are several, and at intervals from
// the replicas while commits wait for long.
func (c *Controller) needsFullState(m view.Member, age time.Duration) bool {
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
	if c.slowCommits.Load() > 0 && age >= c.options.Poll {
		return true
	}
	now := time.Now()
	return !c.idle(now) && now.Sub(v.ProvenUntil()) > c.options.MaxProofAge && v.ShouldPoll(m.Name, c.options.Region)
}

// failureInput returns the input for a poll that failed.
func failureInput(name string, err error) trace.Input {
	if member.IsConnectionRefused(err) {
		return trace.Input{Refusal: name}
	}
	return trace.Input{Silence: name}
}
