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
	MaxProofAge    time.Duration
	Timeout  time.Duration
	Voters Voters
	Store    store.Store
	Dial     Dialer
	// FenceBelow makes sure that no order for a promotion of a database with a lower token is
	// carried out any more. It is nil where members refuse such orders themselves.
	FenceBelow func(ctx context.Context, database string, token uint64) error
	// Tokens makes the tokens of claims, where there is Seal.
	Tokens *Tokens
	Log    *event.Log
	// Trace tells that each step of the election machine is logged.
	Trace bool
	// OnReplaced is told of a primary that gave way to another, unless it is nil.
	OnReplaced func(database string, was view.Member)
}

// Controller watches one database.
type Controller struct {
	options ControllerOptions
	name    string
	cell    *duty.Cell[view.View]
	inputs  *duty.Ring[trace.Input]
	waiting atomic.Int64
	// awaited is when a request last used the database, in nanoseconds.
	awaited  atomic.Int64
	watchers *duty.Cell[[]string]
	pollers  map[string]poller
	// wakes make the pollers ask at once, by the names of their members.
	wakes   *duty.Cell[map[string]chan<- struct{}]
	primary string
	orders  duty.Group
	// leaving is when each leaving member was first seen to be.
	leaving map[string]time.Time
	// seenClaim is the attempt of the last claim that was read from the store.
	seenClaim atomic.Pointer[string]
}

const (
	inputRing = 1024
	// leastSpacing is the pause between questions while requests wait, unless the
	// options give another.
	leastSpacing = time.Millisecond
	// stepPeriod is how often the machine steps without an input, and
	// idleStepPeriod how often for an idle database.
	stepPeriod     = 50 * time.Millisecond
	idleStepPeriod = 500 * time.Millisecond
)

// NewController starts the watch over a database, and returns it with its clean-up
// function.
func NewController(options ControllerOptions, name string, members []view.Member) (*Controller, func()) {
	if options.ActivePoll == 0 {
		options.ActivePoll = leastSpacing
	}
	b := &Controller{
		options:  options,
		name:     name,
		cell:     duty.NewCell(view.New(name, members)),
		inputs:   duty.NewRing[trace.Input](inputRing),
		watchers: duty.NewCell[[]string](nil),
		pollers:  make(map[string]poller),
		wakes:    duty.NewCell[map[string]chan<- struct{}](nil),
		leaving:  make(map[string]time.Time),
	}
	b.awaited.Store(time.Now().UnixNano())
	return b, duty.Run(b.run)
}

// View returns what is known of the database.
func (b *Controller) View() view.View { return b.cell.Load() }

// Changed returns a channel that closes when the view changes.
func (b *Controller) Changed() <-chan struct{} {
	_, changed := b.cell.Watch()
	return changed
}

// SetMembers replaces the list of members.
func (b *Controller) SetMembers(members []view.Member) { b.inputs.Offer(trace.Input{Members: members}) }

// Observe takes what an answer to a caller's work showed of a member. An answer to a
// read does not tell that the member leads, if it does.
func (b *Controller) Observe(r view.Report) {
	was, heard := b.View().Report(r.Member)
	if heard && was.State.Role == group.Primary && r.State.Role == group.Replica {
		return
	}
	b.inputs.Offer(trace.Input{Report: &r})
}

// partial completes a report that leaves out what the member has promised: that and the
// term are those of its last report, until an entry of a later term shows.
func partial(v view.View, r view.Report) view.Report {
	was, heard := v.Report(r.Member)
	if r.State.Partial && heard && was.State.Role == r.State.Role {
		r.State.Term = max(r.State.Term, was.State.Term)
		r.State.Fence = was.State.Fence
		r.State.Starts = slices.Clone(r.State.Starts)
		if n := len(r.State.Starts); n > 0 {
			r.State.Starts[n-1].Term = r.State.Term
		}
	}
	return r
}

// SetVoters replaces the hosts that watch the database, in the order of their
// claim on it.
func (b *Controller) SetVoters(hosts []string) { b.watchers.Store(hosts) }

// ReceiveVote takes another watcher's answer.
func (b *Controller) ReceiveVote(v elect.Vote) { b.inputs.Offer(trace.Input{Event: elect.Event{Vote: &v}}) }

// ReceiveClaim takes another watcher's claim.
func (b *Controller) ReceiveClaim(c elect.Claim) { b.inputs.Offer(trace.Input{Event: elect.Event{Rival: &c}}) }

// HandOver begins a planned change of the primary.
func (b *Controller) HandOver(target string) {
	b.inputs.Offer(trace.Input{Event: elect.Event{Handover: &elect.Handover{Target: target}}})
}

// Touch notes that a request uses the database, so that its members are asked
// more often than those of an idle one.
func (b *Controller) Touch() {
	now := time.Now().UnixNano()
	if was := b.awaited.Swap(now); now-was > int64(idleAfter) {
		b.poke()
	}
}

// PrimaryDown answers another watcher's question, and makes the members be asked, so
// that the next answer rests on what they say now.
func (b *Controller) PrimaryDown(term group.Term) bool {
	b.poke()
	return elect.Judge(b.options.Rules, b.View(), term, time.Now())
}

// Await returns the first view for which ready returns true. While anyone
// waits, the members are asked often. It returns false if the context
// ends first.
func (b *Controller) Await(ctx context.Context, ready func(view.View) bool) (view.View, bool) {
	v, changed := b.cell.Watch()
	if ready(v) {
		return v, true
	}
	b.waiting.Add(1)
	b.Touch()
	defer b.waiting.Add(-1)
	b.poke()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return v, false
		}
		if v, changed = b.cell.Watch(); ready(v) {
			return v, true
		}
	}
}

// run is the duty that owns the view and the machine.
func (b *Controller) run(ctx context.Context) error {
	defer b.orders.Wait()
	defer b.stopPollers()
	b.startPollers(b.View().Members())
	hosts, hostsChanged := b.watchers.Watch()
	began := time.Now()
	machine := elect.New(b.options.Rules, b.options.Host, hosts, began)
	tracer := b.newTracer(began, hosts)
	ticker, wasIdle := time.NewTicker(stepPeriod), false
	defer ticker.Stop()
	for {
		if idle := b.idle(time.Now()); idle != wasIdle {
			ticker.Reset(stepPeriodOf(idle))
			wasIdle = idle
		}
		var in trace.Input
		select {
		case in = <-b.inputs.Items():
			b.take(in)
		case <-hostsChanged:
			hosts, hostsChanged = b.watchers.Watch()
			machine = machine.WithWatchers(hosts)
			in.Watchers = hosts
		case <-ticker.C:
			b.closeLeaving(time.Now())
		case <-ctx.Done():
			return nil
		}
		var actions []elect.Action
		now := time.Now()
		machine, actions = machine.Step(now, b.View(), in.Event)
		tracer.note(trace.Record{At: now, Input: in, Actions: actions})
		for _, a := range actions {
			b.carryOut(ctx, a, hosts)
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
func (b *Controller) take(in trace.Input) {
	v := b.View()
	switch {
	case in.Report != nil:
		completed := partial(v, *in.Report)
		in.Report = &completed
		b.noteReach(v, in.Report.Member)
	case in.Silence != "":
		b.noteSilence(v, in.Silence)
	case in.Refusal != "":
		b.noteSilence(v, in.Refusal)
	case in.Members != nil:
		b.startPollers(in.Members)
	default:
		return
	}
	v = in.Apply(v)
	b.cell.Store(v)
	b.notePrimary(v)
}

// leaveTime is how long after a proxy learnt that a member is leaving it gives
// the member new work. Within it the place of a primary is handed over.
const leaveTime = 2 * time.Second

// closeLeaving ends the work for members that have been leaving for leaveTime.
func (b *Controller) closeLeaving(now time.Time) {
	v := b.View()
	for _, m := range v.Members() {
		since, known := b.leaving[m.Name]
		switch {
		case !m.Leaving:
			delete(b.leaving, m.Name)
		case !known:
			b.leaving[m.Name] = now
		case !m.Closed && now.Sub(since) >= leaveTime:
			b.cell.Store(v.WithClosed(m.Name))
			return
		}
	}
}

// alert makes the other watchers ask a primary that left a question unanswered.
// Those of an idle database ask rarely, and would find it silent much later.
func (b *Controller) alert(v view.View, member string) {
	if r, found := v.Primary(); found && r.Member == member {
		b.options.Voters.AskWatchers(b.name, r.State.Term, b.watchers.Load())
	}
}

func (b *Controller) noteSilence(v view.View, name string) {
	if !v.Silent(name) {
		b.options.Log.Emit(event.MemberLost, event.Fields{"Database": b.name, "Member": name})
		b.alert(v, name)
	}
}

func (b *Controller) noteReach(v view.View, name string) {
	if v.Silent(name) {
		b.options.Log.Emit(event.MemberReached, event.Fields{"Database": b.name, "Member": name})
	}
}

func (b *Controller) notePrimary(v view.View) {
	r, found := v.Primary()
	if !found || r.Member == b.primary {
		return
	}
	b.options.Log.Emit(event.PrimaryChanged, event.Fields{
		"Database": b.name, "Was": b.primary, "Primary": r.Member, "Term": r.State.Term,
	})
	if was, known := v.Member(b.primary); known && b.options.OnReplaced != nil {
		b.options.OnReplaced(b.name, was)
	}
	b.primary = r.Member
}
