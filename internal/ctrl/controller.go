// Package ctrl holds the controllers: the duties that keep a proxy's state. A
// Base watches one database and carries out what its election machine decides;
// a Books keeps the documents.
package ctrl

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/trace"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Voters reaches the other proxies that watch a database.
type Voters interface {
	// AskWatchers asks each of the hosts about the primary of a term. Their
	// answers come to Base.Vote, late or not at all.
	AskWatchers(database string, term group.Term, hosts []string)
	// TellClaim tells each of the hosts of a claim that was won.
	TellClaim(database string, claim elect.Claim, hosts []string)
}

// Dialer returns the control of a member. Tests replace it.
type Dialer func(m view.Member) member.Control

// ControllerOptions are what a Base depends on.
type ControllerOptions struct {
	Host   string
	Region string
	Rules  elect.Rules
	Poll   time.Duration
	// ActivePoll is the pause between questions to a member while requests wait for its
	// answers, and Proof how old the last proof that the primary leads may be before
	// members are asked for one.
	ActivePoll  time.Duration
	MaxProofAge time.Duration
	Timeout     time.Duration
	Voters      Voters
	Store       store.Store
	Dial        Dialer
	// FenceBelow makes sure that no order for a promotion of a database with a lower token is
	// carried out any more. It is nil where members refuse such orders themselves.
	FenceBelow func(ctx context.Context, database string, token uint64) error
	// Tokens makes the tokens of claims, where there is Seal.
	Tokens *Tokens
	Log    *event.Log
	// Trace tells that each step of the election machine is logged.
	Trace bool
	// OnReplaced is told of a primary that gave way to another, unless it is nil.
	OnReplaced func(database string, previous view.Member)
}

// Controller watches one database.
type Controller struct {
	options ControllerOptions
	name    string
	current *duty.Cell[view.View]
	inputs  *duty.Ring[trace.Input]
	waiters atomic.Int64
	// awaited is when a request last used the database, in nanoseconds.
	lastUse atomic.Int64
	voters  *duty.Cell[[]string]
	pollers map[string]poller
	// wakes make the pollers ask at once, by the names of their members.
	triggers    *duty.Cell[map[string]chan<- struct{}]
	lastPrimary string
	tasks       duty.Group
	// leaving is when each leaving member was first seen to be.
	leavingSince map[string]time.Time
	// seenClaim is the attempt of the last claim that was read from the store.
	lastClaim atomic.Pointer[string]
}

const (
	inputCapacity = 1024
	// leastSpacing is the pause between questions while requests wait, unless the
	// options give another.
	defaultActivePoll = time.Millisecond
	// stepPeriod is how often the machine steps without an input, and
	// idleStepPeriod how often for an idle database.
	stepPeriod     = 50 * time.Millisecond
	idleStepPeriod = 500 * time.Millisecond
)

// NewController starts the watch over a database, and returns it with its clean-up
// function.
func NewController(options ControllerOptions, name string, members []view.Member) (*Controller, func()) {
	if options.ActivePoll == 0 {
		options.ActivePoll = defaultActivePoll
	}
	c := &Controller{
		options:      options,
		name:         name,
		current:      duty.NewCell(view.New(name, members)),
		inputs:       duty.NewRing[trace.Input](inputCapacity),
		voters:       duty.NewCell[[]string](nil),
		pollers:      make(map[string]poller),
		triggers:     duty.NewCell[map[string]chan<- struct{}](nil),
		leavingSince: make(map[string]time.Time),
	}
	c.lastUse.Store(time.Now().UnixNano())
	return c, duty.Run(c.run)
}

// View returns what is known of the database.
func (c *Controller) View() view.View { return c.current.Load() }

// Changed returns a channel that closes when the view changes.
func (c *Controller) Changed() <-chan struct{} {
	_, changed := c.current.Watch()
	return changed
}

// SetMembers replaces the list of members.
func (c *Controller) SetMembers(members []view.Member) { c.inputs.Offer(trace.Input{Members: members}) }

// Observe takes what an answer to a caller's work showed of a member. An answer to a
// read does not tell that the member leads, if it does.
func (c *Controller) Observe(r view.Report) {
	previous, known := c.View().Report(r.Member)
	if known && previous.State.Role == group.Primary && r.State.Role == group.Replica {
		return
	}
	c.inputs.Offer(trace.Input{Report: &r})
}

// partial completes a report that leaves out what the member has promised: that and the
// term are those of its last report, until an entry of a later term shows.
func completeReport(v view.View, r view.Report) view.Report {
	previous, known := v.Report(r.Member)
	if r.State.Partial && known && previous.State.Role == r.State.Role {
		r.State.Term = max(r.State.Term, previous.State.Term)
		r.State.Fence = previous.State.Fence
		r.State.Starts = slices.Clone(r.State.Starts)
		if n := len(r.State.Starts); n > 0 {
			r.State.Starts[n-1].Term = r.State.Term
		}
	}
	return r
}

// SetVoters replaces the hosts that watch the database, in the order of their
// claim on it.
func (c *Controller) SetVoters(hosts []string) { c.voters.Store(hosts) }

// ReceiveVote takes another watcher's answer.
func (c *Controller) ReceiveVote(v elect.Vote) {
	c.inputs.Offer(trace.Input{Event: elect.Event{Vote: &v}})
}

// ReceiveClaim takes another watcher's claim.
func (c *Controller) ReceiveClaim(claim elect.Claim) {
	c.inputs.Offer(trace.Input{Event: elect.Event{Rival: &claim}})
}

// HandOver begins a planned change of the primary.
func (c *Controller) HandOver(target string) {
	c.inputs.Offer(trace.Input{Event: elect.Event{Handover: &elect.Handover{Target: target}}})
}

// Touch notes that a request uses the database, so that its members are asked
// more often than those of an idle one.
func (c *Controller) Touch() {
	now := time.Now().UnixNano()
	if previous := c.lastUse.Swap(now); now-previous > int64(idleAfter) {
		c.pollNeeded()
	}
}

// PrimaryDown answers another watcher's question, and makes the members be asked, so
// that the next answer rests on what they say now.
func (c *Controller) PrimaryDown(term group.Term) bool {
	c.pollNeeded()
	return elect.Judge(c.options.Rules, c.View(), term, time.Now())
}

// Await returns the first view for which ready returns true. While anyone
// waits, the members are asked often. It returns false if the context
// ends first.
func (c *Controller) Await(ctx context.Context, ready func(view.View) bool) (view.View, bool) {
	v, changed := c.current.Watch()
	if ready(v) {
		return v, true
	}
	c.waiters.Add(1)
	c.Touch()
	defer c.waiters.Add(-1)
	c.pollNeeded()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return v, false
		}
		if v, changed = c.current.Watch(); ready(v) {
			return v, true
		}
	}
}

// run is the duty that owns the view and the machine.
func (c *Controller) run(ctx context.Context) error {
	defer c.tasks.Wait()
	defer c.stopPollers()
	c.startPollers(c.View().Members())
	hosts, hostsChanged := c.voters.Watch()
	start := time.Now()
	machine := elect.New(c.options.Rules, c.options.Host, hosts, start)
	tracer := c.newTracer(start, hosts)
	ticker, previousIdle := time.NewTicker(stepPeriod), false
	defer ticker.Stop()
	for {
		if idle := c.idle(time.Now()); idle != previousIdle {
			ticker.Reset(stepPeriodOf(idle))
			previousIdle = idle
		}
		var in trace.Input
		select {
		case in = <-c.inputs.Items():
			c.apply(in)
		case <-hostsChanged:
			hosts, hostsChanged = c.voters.Watch()
			machine = machine.WithWatchers(hosts)
			in.Watchers = hosts
		case <-ticker.C:
			c.closeLeavingMembers(time.Now())
		case <-ctx.Done():
			return nil
		}
		var actions []elect.Action
		now := time.Now()
		machine, actions = machine.Step(now, c.View(), in.Event)
		tracer.note(trace.Record{At: now, Input: in, Actions: actions})
		for _, a := range actions {
			c.execute(ctx, a, hosts)
		}
	}
}

func stepPeriodOf(idle bool) time.Duration {
	if idle {
		return idleStepPeriod
	}
	return stepPeriod
}

// take brings the view up to date with an input.
func (c *Controller) apply(in trace.Input) {
	v := c.View()
	switch {
	case in.Report != nil:
		completed := completeReport(v, *in.Report)
		in.Report = &completed
		c.reportReached(v, in.Report.Member)
	case in.Silence != "":
		c.reportUnresponsive(v, in.Silence)
	case in.Refusal != "":
		c.reportUnresponsive(v, in.Refusal)
	case in.Members != nil:
		c.startPollers(in.Members)
	default:
		return
	}
	v = in.Apply(v)
	c.current.Store(v)
	c.reportPrimary(v)
}

// leaveTime is how long after a proxy learnt that a member is leaving it gives
// the member new work. Within it the place of a primary is handed over.
const leavingGrace = 2 * time.Second

// closeLeaving ends the work for members that have been leaving for leaveTime.
func (c *Controller) closeLeavingMembers(now time.Time) {
	v := c.View()
	for _, m := range v.Members() {
		since, known := c.leavingSince[m.Name]
		switch {
		case !m.Leaving:
			delete(c.leavingSince, m.Name)
		case !known:
			c.leavingSince[m.Name] = now
		case !m.Closed && now.Sub(since) >= leavingGrace:
			c.current.Store(v.WithClosed(m.Name))
			return
		}
	}
}

// alert makes the other watchers ask a primary that left a question unanswered.
// Those of an idle database ask rarely, and would find it silent much later.
func (c *Controller) alertVoters(v view.View, member string) {
	if r, found := v.Primary(); found && r.Member == member {
		c.options.Voters.AskWatchers(c.name, r.State.Term, c.voters.Load())
	}
}

func (c *Controller) reportUnresponsive(v view.View, name string) {
	if !v.Silent(name) {
		c.options.Log.Emit(event.MemberLost, event.Fields{"Database": c.name, "Member": name})
		c.alertVoters(v, name)
	}
}

func (c *Controller) reportReached(v view.View, name string) {
	if v.Silent(name) {
		c.options.Log.Emit(event.MemberReached, event.Fields{"Database": c.name, "Member": name})
	}
}

func (c *Controller) reportPrimary(v view.View) {
	r, found := v.Primary()
	if !found || r.Member == c.lastPrimary {
		return
	}
	c.options.Log.Emit(event.PrimaryChanged, event.Fields{
		"Database": c.name, "Was": c.lastPrimary, "Primary": r.Member, "Term": r.State.Term,
	})
	if previous, known := v.Member(c.lastPrimary); known && c.options.OnReplaced != nil {
		c.options.OnReplaced(c.name, previous)
	}
	c.lastPrimary = r.Member
}
