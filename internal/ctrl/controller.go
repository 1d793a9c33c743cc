// Package ctrl holds the proxy's controllers. A Controller polls the members of one
// database and executes the actions of its election machine. Controllers keeps one of them
// for each database that the proxy serves. Documents keeps the configuration documents up
// to date.
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

// Voters sends messages to the other proxies that vote on a database's primary.
type Voters interface {
	// AskWatchers asks each of the hosts for its vote on the primary of a term. Votes
	// arrive at Controller.ReceiveVote; they may be late or missing.
	AskWatchers(database string, term group.Term, hosts []string)
	// TellClaim notifies each of the hosts of a claim that was won.
	TellClaim(database string, claim elect.Claim, hosts []string)
	// MemberList returns the serial of the list of databases and members that a host has
	// according to its last message, and when that was received.
	MemberList(host string) (serial uint64, at time.Time)
}

// Dialer returns the control connection of a member. Tests replace it.
type Dialer func(m view.Member) member.Control

// ControllerOptions are the dependencies of a Controller.
type ControllerOptions struct {
	Host   string
	Region string
	Rules  elect.Rules
	Poll   time.Duration
	// ActivePoll is the pause between polls of a member while requests wait for its
	// answers. MaxProofAge is the age of the last proof of the primary's leadership above
	// which members are asked for a new one.
	ActivePoll  time.Duration
	MaxProofAge time.Duration
	Timeout     time.Duration
	Voters      Voters
	// VoterTimeout is how long a voter's message shows which list of members the voter has.
	VoterTimeout time.Duration
	// StoreList returns the serial of the newest list of databases and members according to the
	// store's last answer to this proxy, and when that arrived. StoreListTimeout is how long it
	// shows that there is no newer list. StoreList may be nil.
	StoreList        func() (serial uint64, at time.Time)
	StoreListTimeout time.Duration
	Store            store.Store
	Dial             Dialer
	// FenceBelow ensures that no promotion order for a database with a token lower than
	// the given one is executed any more. It is nil where members themselves refuse such
	// orders.
	FenceBelow func(ctx context.Context, database string, token uint64) error
	// Tokens generates the tokens of claims. It is required if FenceBelow is set.
	Tokens *Tokens
	Log    *event.Log
	// Trace enables logging of each step of the election machine.
	Trace bool
	// OnReplaced, if not nil, is called with a primary that another member replaced.
	OnReplaced func(database string, previous view.Member)
}

// Controller polls the members of one database and runs its election machine.
type Controller struct {
	options ControllerOptions
	name    string
	current *duty.Cell[view.View]
	inputs  *duty.Ring[trace.Input]
	waiters atomic.Int64
	// commits is the number of acknowledged commits whose retention is not decided yet, and
	// slowCommits the number of those that have waited for longer than probeCommitsFor.
	commits     atomic.Int64
	slowCommits atomic.Int64
	// lastUse is the time at which a request last used the database, in nanoseconds.
	lastUse atomic.Int64
	voters  *duty.Cell[[]string]
	pollers map[string]poller
	// triggers start a poll at once, by member name.
	triggers    *duty.Cell[map[string]chan<- struct{}]
	lastPrimary string
	tasks       duty.Group
	// leavingSince is the time at which each leaving member was first seen as leaving.
	leavingSince map[string]time.Time
	// listSerial is the serial of the list of members in the view.
	listSerial atomic.Uint64
	// lastClaim is the attempt of the last claim that was read from the store.
	lastClaim atomic.Pointer[string]
}

const (
	inputCapacity = 1024
	// defaultActivePoll is the pause between polls while requests wait, unless the options
	// set another.
	defaultActivePoll = time.Millisecond
	// stepPeriod is the interval at which the machine steps without an input, and
	// idleStepPeriod the one for an idle database.
	stepPeriod     = 50 * time.Millisecond
	idleStepPeriod = 500 * time.Millisecond
)

// NewController starts the controller of a database and returns it with its clean-up
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

// View returns the current view of the database.
func (c *Controller) View() view.View { return c.current.Load() }

// Changed returns a channel that closes when the view changes.
func (c *Controller) Changed() <-chan struct{} {
	_, changed := c.current.Watch()
	return changed
}

// SetMembers replaces the list of members by the one with the given serial.
func (c *Controller) SetMembers(members []view.Member, serial uint64) {
	c.inputs.Offer(trace.Input{Members: members, ListSerial: serial})
}

// Observe records the member state that came with an answer to a caller's work. An answer
// to a read does not show whether the member leads, so a replica's role does not replace a
// primary's.
func (c *Controller) Observe(r view.Report) {
	previous, known := c.View().Report(r.Member)
	if known && previous.State.Role == group.Primary && r.State.Role == group.Replica {
		return
	}
	c.inputs.Offer(trace.Input{Report: &r})
}

// completeReport completes a report without the member's fence. The fence is taken from
// the member's last report, and so is the term, unless an entry of a later term is
// reported.
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

// SetVoters replaces the hosts that vote on the primary, in the order in which they may
// claim a term.
func (c *Controller) SetVoters(hosts []string) { c.voters.Store(hosts) }

// ReceiveVote handles a vote of another proxy.
func (c *Controller) ReceiveVote(v elect.Vote) {
	c.inputs.Offer(trace.Input{Event: elect.Event{Vote: &v}})
}

// ReceiveClaim handles a claim of another proxy.
func (c *Controller) ReceiveClaim(claim elect.Claim) {
	c.inputs.Offer(trace.Input{Event: elect.Event{Rival: &claim}})
}

// HandOver starts a planned change of the primary.
func (c *Controller) HandOver(target string) {
	c.inputs.Offer(trace.Input{Event: elect.Event{Handover: &elect.Handover{Target: target}}})
}

// Touch records that a request uses the database. Its members are then polled more often
// than those of an idle database.
func (c *Controller) Touch() {
	now := time.Now().UnixNano()
	if previous := c.lastUse.Swap(now); now-previous > int64(idleAfter) {
		c.pollNeeded()
	}
}

// VoteOn answers a vote request of another proxy: it votes on whether the primary of a term
// is down as seen from here. It also polls the members, so that the next answer uses their
// current state.
func (c *Controller) VoteOn(term group.Term) elect.Vote {
	c.pollNeeded()
	v := c.View()
	vote := elect.Vote{Term: term, Down: elect.PrimaryDown(c.options.Rules, v, term, time.Now())}
	for _, m := range v.Members() {
		if m.Unlisted && !v.Silent(m.Name) {
			vote.Unlisted = append(vote.Unlisted, m)
		}
	}
	return vote
}

// Await returns the first view for which ready returns true, or false if the context ends
// first. Members are polled often while any caller waits.
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

// AwaitRetention waits until it is decided whether every promotion keeps a commit that was
// acknowledged at the given time, and returns the decision, or view.Pending if the context
// ends first. The members whose state decides it are polled meanwhile.
func (c *Controller) AwaitRetention(ctx context.Context, primary string, f group.Floor, acknowledged, leaseStart time.Time) view.Confirmation {
	r := view.NewRetention(primary, f, c.retentionTimes(acknowledged, leaseStart))
	v, changed := c.watchRetention()
	if r = r.With(v, time.Now()); r.Status() != view.Pending {
		return r.Status()
	}
	c.commits.Add(1)
	defer c.commits.Add(-1)
	slow := time.NewTimer(probeCommitsFor)
	defer slow.Stop()
	c.poll(c.informs)
	for r.Status() == view.Pending {
		select {
		case <-changed:
		case <-slow.C:
			c.slowCommits.Add(1)
			defer c.slowCommits.Add(-1)
			c.poll(c.informs)
		case <-ctx.Done():
			return view.Pending
		}
		v, changed = c.watchRetention()
		r = r.With(v, time.Now())
	}
	return r.Status()
}

// watchRetention returns the view with whether this proxy is isolated, and a channel that closes
// when the view changes. It determines the isolation first, so that the view is not older than the
// list of members of which it is a matter.
func (c *Controller) watchRetention() (view.View, <-chan struct{}) {
	isolated := c.isolated(time.Now())
	v, changed := c.current.Watch()
	return v.WithIsolation(isolated), changed
}

// isolated reports whether this proxy may lack a newer list of members, on which a majority of
// the voters may promote one. It does not if the store or a majority has shown of late that there
// is no newer list: one voter belongs to both majorities, and a promoter removes a member only
// long after its list has reached the voters.
func (c *Controller) isolated(now time.Time) bool {
	listed := c.listSerial.Load()
	if c.options.StoreList != nil {
		if serial, at := c.options.StoreList(); serial <= listed && now.Sub(at) < c.options.StoreListTimeout {
			return false
		}
	}
	voters, current := c.voters.Load(), 0
	for _, host := range voters {
		serial, at := c.options.Voters.MemberList(host)
		if host == c.options.Host || serial <= listed && now.Sub(at) < c.options.VoterTimeout {
			current++
		}
	}
	return current < group.Majority(len(voters))
}

// probeCommitsFor is how long members are only probed for a commit that waits. A probe takes
// none of a member's slots, but shows an entry only once it is applied.
const probeCommitsFor = 150 * time.Millisecond

func (c *Controller) retentionTimes(acknowledged, leaseStart time.Time) view.RetentionTimes {
	return view.RetentionTimes{Acknowledged: acknowledged, LeaseStart: leaseStart, Settle: c.options.Rules.AttemptTimeout}
}

// informs reports whether a member is polled while commits wait for their retention.
func (c *Controller) informs(v view.View, name string) bool {
	now := time.Now()
	return v.WithIsolation(c.isolated(now)).Informs(name, c.options.Region, c.retentionTimes(now, now.Add(-c.options.MaxProofAge)))
}

// run is the background task that owns the view and the election machine.
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
			machine = machine.WithVoters(hosts)
			in.Voters = hosts
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

// apply updates the view with an input.
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
	case in.Busy != nil:
		if _, reported := v.Report(in.Busy.Member); reported {
			c.reportReached(v, in.Busy.Member)
		}
	case in.Members != nil:
		c.startPollers(in.Members)
		// The serial is set after the view that has the list.
		defer c.listSerial.Store(in.ListSerial)
	case in.Event.Rival != nil:
	default:
		return
	}
	v = in.Apply(v)
	c.current.Store(v)
	c.reportPrimary(v)
}

// leavingGrace is how long a member still gets new work after this proxy first sees it as
// leaving. A leaving primary is handed over within this time.
const leavingGrace = 2 * time.Second

// closeLeavingMembers stops new work for members that have been leaving for leavingGrace.
func (c *Controller) closeLeavingMembers(now time.Time) {
	v := c.View()
	for _, m := range v.Members() {
		since, known := c.leavingSince[m.Name]
		switch {
		case !m.Draining:
			delete(c.leavingSince, m.Name)
		case !known:
			c.leavingSince[m.Name] = now
		case !m.Closed && now.Sub(since) >= leavingGrace:
			c.current.Store(v.WithClosed(m.Name))
			return
		}
	}
}

// alertVoters makes the other voters poll a primary that did not answer a poll. Voters for
// which the database is idle poll rarely and would otherwise detect the failure much
// later.
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
