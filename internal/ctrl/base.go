// Package ctrl holds the controllers: the duties that keep a proxy's state. A
// Base watches one database and carries out what its election machine decides;
// a Books keeps the documents.
package ctrl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Watchers reaches the other proxies that watch a database.
type Watchers interface {
	// AskWatchers asks each of the hosts about the primary of a term. Their
	// answers come to Base.Vote, late or not at all.
	AskWatchers(database string, term group.Term, hosts []string)
}

// Dialer returns the control of a member. Tests replace it.
type Dialer func(m view.Member) member.Control

// BaseOptions are what a Base depends on.
type BaseOptions struct {
	Host     string
	Region   string
	Rules    elect.Rules
	Poll     time.Duration
	Timeout  time.Duration
	Watchers Watchers
	Store    store.Store
	Dial     Dialer
	Log      *event.Log
	// Replaced is told of a primary that gave way to another, unless it is nil.
	Replaced func(database string, was view.Member)
}

// Base watches one database.
type Base struct {
	options  BaseOptions
	name     string
	cell     *duty.Cell[view.View]
	inputs   *duty.Ring[input]
	waiting  atomic.Int64
	watchers *duty.Cell[[]string]
	pollers  map[string]poller
	primary  string
	orders   duty.Group
	// leaving is when each leaving member was first seen to be.
	leaving map[string]time.Time
	// seenClaim is the attempt of the last claim that was read from the store.
	seenClaim atomic.Pointer[string]
}

// input is what the stepping duty is told: a change of the view, an event for
// the machine, or both.
type input struct {
	report  *view.Report
	silence string
	members []view.Member
	event   elect.Event
}

type poller struct {
	poke chan struct{}
	stop func()
}

const (
	inputRing  = 1024
	stepPeriod = 50 * time.Millisecond
	// askSpacing is the pause between questions to a member while requests wait
	// for its answers.
	askSpacing = time.Millisecond
)

// NewBase starts the watch over a database, and returns it with its clean-up
// function.
func NewBase(options BaseOptions, name string, members []view.Member) (*Base, func()) {
	b := &Base{
		options:  options,
		name:     name,
		cell:     duty.NewCell(view.New(name, members)),
		inputs:   duty.NewRing[input](inputRing),
		watchers: duty.NewCell[[]string](nil),
		pollers:  make(map[string]poller),
		leaving:  make(map[string]time.Time),
	}
	return b, duty.Run(b.run)
}

// View returns what is known of the database.
func (b *Base) View() view.View { return b.cell.Load() }

// Watch returns what is known of the database and a channel that closes when
// that changes. Unlike Await it does not make the members be asked more often.
func (b *Base) Watch() (view.View, <-chan struct{}) { return b.cell.Watch() }

// SetMembers replaces the list of members.
func (b *Base) SetMembers(members []view.Member) { b.inputs.Offer(input{members: members}) }

// SetWatchers replaces the hosts that watch the database, in the order of their
// claim on it.
func (b *Base) SetWatchers(hosts []string) { b.watchers.Store(hosts) }

// Vote takes another watcher's answer.
func (b *Base) Vote(v elect.Vote) { b.inputs.Offer(input{event: elect.Event{Vote: &v}}) }

// HandOver begins a planned change of the primary.
func (b *Base) HandOver(target string) {
	b.inputs.Offer(input{event: elect.Event{Handover: &elect.Handover{Target: target}}})
}

// Judge answers another watcher's question.
func (b *Base) Judge(term group.Term) bool {
	return elect.Judge(b.options.Rules, b.View(), term, time.Now())
}

// Await returns the first view for which ready returns true. While anyone
// waits, the members are asked often. It returns false if the context
// ends first.
func (b *Base) Await(ctx context.Context, ready func(view.View) bool) (view.View, bool) {
	v, changed := b.cell.Watch()
	if ready(v) {
		return v, true
	}
	b.waiting.Add(1)
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

// poke makes the stepping duty wake the pollers.
func (b *Base) poke() { b.inputs.Offer(input{}) }

// run is the duty that owns the view and the machine.
func (b *Base) run(ctx context.Context) error {
	defer b.orders.Wait()
	defer b.stopPollers()
	b.startPollers(b.View().Members())
	hosts, hostsChanged := b.watchers.Watch()
	machine := elect.New(b.options.Rules, b.options.Host, hosts, time.Now())
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		var in input
		select {
		case in = <-b.inputs.Items():
			b.take(in)
		case <-hostsChanged:
			hosts, hostsChanged = b.watchers.Watch()
			machine = machine.WithWatchers(hosts)
		case <-ticker.C:
			b.closeLeaving(time.Now())
		case <-ctx.Done():
			return nil
		}
		var actions []elect.Action
		machine, actions = machine.Step(time.Now(), b.View(), in.event)
		for _, a := range actions {
			b.carryOut(ctx, a, hosts)
		}
	}
}

// take brings the view up to date with an input.
func (b *Base) take(in input) {
	v := b.View()
	switch {
	case in.report != nil:
		b.noteReach(v, in.report.Member)
		v = v.WithReport(*in.report)
	case in.silence != "":
		if !v.Silent(in.silence) {
			b.options.Log.Emit(event.MemberLost, event.Fields{"Database": b.name, "Member": in.silence})
		}
		v = v.WithSilence(in.silence)
	case in.members != nil:
		v = v.WithMembers(in.members)
		b.startPollers(in.members)
	default:
		b.pokeAll()
		return
	}
	b.cell.Store(v)
	b.notePrimary(v)
}

// leaveTime is how long after a proxy learnt that a member is leaving it gives
// the member new work. Within it the place of a primary is handed over.
const leaveTime = 2 * time.Second

// closeLeaving ends the work for members that have been leaving for leaveTime.
func (b *Base) closeLeaving(now time.Time) {
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

func (b *Base) noteReach(v view.View, name string) {
	if v.Silent(name) {
		b.options.Log.Emit(event.MemberReached, event.Fields{"Database": b.name, "Member": name})
	}
}

func (b *Base) notePrimary(v view.View) {
	r, found := v.Primary()
	if !found || r.Member == b.primary {
		return
	}
	b.options.Log.Emit(event.PrimaryChanged, event.Fields{
		"Database": b.name, "Was": b.primary, "Primary": r.Member, "Term": r.State.Term,
	})
	if was, known := v.Member(b.primary); known && b.options.Replaced != nil {
		b.options.Replaced(b.name, was)
	}
	b.primary = r.Member
}

func (b *Base) pokeAll() {
	v := b.View()
	for name, p := range b.pollers {
		if !v.Needed(name, b.options.Region) {
			continue
		}
		select {
		case p.poke <- struct{}{}:
		default:
		}
	}
}

// startPollers starts a duty for each member that has none, and ends those of
// members that are gone.
func (b *Base) startPollers(members []view.Member) {
	known := make(map[string]bool)
	for _, m := range members {
		known[m.Name] = true
		if _, found := b.pollers[m.Name]; found {
			continue
		}
		p := poller{poke: make(chan struct{}, 1)}
		p.stop = duty.Run(func(ctx context.Context) error { return b.pollMember(ctx, m, p.poke) })
		b.pollers[m.Name] = p
	}
	for name, p := range b.pollers {
		if !known[name] {
			p.stop()
			delete(b.pollers, name)
		}
	}
}

func (b *Base) stopPollers() {
	for _, p := range b.pollers {
		p.stop()
	}
}

// pollMember is the duty that asks one member for its state.
func (b *Base) pollMember(ctx context.Context, m view.Member, poke <-chan struct{}) error {
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

// farPeriods is how many periods lie between questions to a replica in another
// region while no one waits for its answer.
const farPeriods = 4

// pauseFor returns the pause before the next question to a member. While
// requests wait, only the members that a majority needs are asked often; the
// rest would cost bytes over the link for nothing.
func (b *Base) pauseFor(m view.Member) time.Duration {
	v := b.View()
	if v.Silent(m.Name) {
		return b.options.Poll
	}
	if b.waiting.Load() > 0 && v.Needed(m.Name, b.options.Region) {
		return askSpacing
	}
	primary, found := v.Primary()
	if m.Region != b.options.Region && found && primary.Member != m.Name {
		return farPeriods * b.options.Poll
	}
	return b.options.Poll
}

func (b *Base) ask(ctx context.Context, control member.Control, m view.Member) {
	askCtx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	asked := time.Now()
	state, err := control.Ask(askCtx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		control.Close()
		b.inputs.Offer(input{silence: m.Name})
		return
	}
	b.inputs.Offer(input{report: &view.Report{Member: m.Name, Asked: asked, Heard: time.Now(), State: state}})
}

// carryOut starts what the machine asks for. Results come back as inputs.
func (b *Base) carryOut(ctx context.Context, a elect.Action, hosts []string) {
	switch {
	case a.Note != nil:
		b.note(*a.Note)
	case a.AskWatchers != nil:
		b.options.Watchers.AskWatchers(b.name, a.AskWatchers.Term, hosts)
	case a.ClaimTerm != nil:
		b.orders.Go(ctx, func(ctx context.Context) error { return b.claim(ctx, a.ClaimTerm.After) })
	case a.Fence != nil:
		b.orders.Go(ctx, func(ctx context.Context) error { return b.command(ctx, *a.Fence, member.Control.Fence) })
	case a.Promote != nil:
		b.orders.Go(ctx, func(ctx context.Context) error { return b.command(ctx, *a.Promote, member.Control.Promote) })
	case a.Follow != nil:
		b.orders.Go(ctx, func(ctx context.Context) error { return b.follow(ctx, *a.Follow) })
	}
}

var noteEvents = map[elect.NoteKind]event.Event{
	elect.Suspected:      event.Suspected,
	elect.SuspicionEnded: event.SuspicionEnded,
	elect.ClaimWon:       event.ClaimWon,
	elect.ClaimLost:      event.ClaimLost,
	elect.MemberPromoted: event.Promoted,
	elect.AttemptFailed:  event.PromotionFailed,
}

func (b *Base) note(n elect.Note) {
	b.options.Log.Emit(noteEvents[n.Kind], event.Fields{"Database": b.name, "Term": n.Term, "Member": n.Member})
}

// ClaimKey returns the store's key of a database's claim.
func ClaimKey(database string) string { return "Claims/" + database }

// claim writes a claim of a term after the given one to the store. If the answer
// is lost, the claim is read again: the attempt's name tells whose it is.
func (b *Base) claim(ctx context.Context, after group.Term) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.Rules.Attempt)
	defer cancel()
	claimed, err := b.putClaim(ctx, after)
	if err != nil {
		b.options.Log.Emit(event.StoreFailed, event.Fields{"Op": "claim", "Database": b.name, "Cause": err.Error()})
	}
	b.inputs.Offer(input{event: elect.Event{Claimed: &claimed}})
	return err
}

func (b *Base) putClaim(ctx context.Context, after group.Term) (elect.Claimed, error) {
	key := ClaimKey(b.name)
	old, version, err := b.readClaim(ctx, key)
	if err != nil {
		return elect.Claimed{}, err
	}
	if seen := b.seenClaim.Swap(&old.Attempt); old.Term > after && (seen == nil || *seen != old.Attempt) {
		// The members have not shown this claim's term yet: its promoter may be
		// at work.
		return elect.Claimed{Conflict: true, Claim: old}, nil
	}
	mine := elect.Claim{Term: max(after, old.Term) + 1, Promoter: b.options.Host, Attempt: rand.Text()}
	body, err := json.Marshal(mine)
	if err != nil {
		return elect.Claimed{}, err
	}
	_, err = b.options.Store.Put(ctx, key, body, version)
	if err == nil {
		return elect.Claimed{Won: true, Claim: mine}, nil
	}
	current, _, readErr := b.readClaim(ctx, key)
	if readErr != nil {
		return elect.Claimed{}, errors.CombineErrors(err, readErr)
	}
	if current.Attempt == mine.Attempt {
		return elect.Claimed{Won: true, Claim: mine}, nil
	}
	return elect.Claimed{Conflict: true, Claim: current}, nil
}

func (b *Base) readClaim(ctx context.Context, key string) (elect.Claim, store.Version, error) {
	object, err := b.options.Store.Get(ctx, key)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return elect.Claim{}, "", nil
	}
	if err != nil {
		return elect.Claim{}, "", err
	}
	var claim elect.Claim
	if err := json.Unmarshal(object.Value, &claim); err != nil {
		return elect.Claim{}, "", err
	}
	return claim, object.Version, nil
}

type commandFunc func(member.Control, context.Context, group.Term, string) (group.State, error)

// command gives one order to one member over a connection of its own, since the
// poller's may be stuck.
func (b *Base) command(ctx context.Context, o elect.Order, give commandFunc) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	target, found := b.View().Member(o.Member)
	if !found {
		return nil
	}
	control := b.options.Dial(target)
	defer control.Close()
	asked := time.Now()
	state, err := give(control, ctx, o.Claim.Term, o.Claim.Promoter+"/"+o.Claim.Attempt)
	var refused *member.RefusedError
	answer := elect.Answer{Member: o.Member, Term: o.Claim.Term, Refused: errors.As(err, &refused), Failed: err != nil, State: state}
	b.options.Log.Emit(event.FenceAnswered, event.Fields{
		"Database": b.name, "Member": o.Member, "Term": o.Claim.Term, "Refused": answer.Refused, "Failed": answer.Failed,
	})
	if err == nil {
		b.inputs.Offer(input{report: &view.Report{Member: o.Member, Asked: asked, Heard: time.Now(), State: state}})
	}
	b.inputs.Offer(input{event: elect.Event{Answer: &answer}})
	return err
}

func (b *Base) follow(ctx context.Context, f elect.Follow) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	target, found := b.View().Member(f.Member)
	if !found {
		return nil
	}
	control := b.options.Dial(target)
	defer control.Close()
	_, err := control.Follow(ctx, f.Term, f.Leader.Address, f.Starts)
	b.options.Log.Emit(event.MemberFollows, event.Fields{
		"Database": b.name, "Member": f.Member, "Primary": f.Leader.Name, "Term": f.Term, "Done": err == nil,
	})
	return err
}
