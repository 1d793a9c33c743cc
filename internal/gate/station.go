package gate

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

const (
	// lookPeriod is how often a proxy looks whether it should lead.
	lookPeriod = 100 * time.Millisecond
	// turnDelay is how much later each further proxy tries to lead.
	turnDelay = 100 * time.Millisecond
	// pingPeriod is how often the leading connection is tried.
	pingPeriod = 250 * time.Millisecond
	// settleTime is how long a new dispatcher waits at most for the slots that
	// its predecessor gave out.
	settleTime = 500 * time.Millisecond
	// settleLook is how often it looks meanwhile.
	settleLook = 10 * time.Millisecond
	// firstWait covers grants of the predecessor that are not in use yet.
	firstWait = 2 * grantLife
	// grantLife is how long a grant may be under way.
	grantLife = 50 * time.Millisecond
)

// Intent is what a proxy should do about a member's dispatch.
type Intent uint8

// The intents.
const (
	// Wait means to do nothing.
	Wait Intent = iota
	// Lead means to try to become the dispatcher.
	Lead
	// Evict means to end the dispatch of a proxy that went silent.
	Evict
)

// Sight is what a proxy sees of a member's dispatch at one moment.
type Sight struct {
	// Self is the proxy itself, and Dispatcher the one in the member's state.
	Self       string
	Dispatcher string
	// Place is the proxy's place among the candidates that are not silent, or
	// -1 if it is none.
	Place int
	// Vacant is how long there has been no dispatcher, or how long it has been
	// silent.
	Vacant time.Duration
	// Silence is how long a dispatcher must be silent before it is evicted.
	Silence time.Duration
}

// Decide returns what to do. Candidates act one after the other, so that the
// first one's success is seen by the next.
func Decide(s Sight) Intent {
	turn := time.Duration(s.Place) * turnDelay
	switch {
	case s.Place < 0 || s.Dispatcher == s.Self:
		return Wait
	case s.Dispatcher == "" && s.Vacant >= turn:
		return Lead
	case s.Dispatcher != "" && s.Vacant >= s.Silence+turn:
		return Evict
	default:
		return Wait
	}
}

// station is this proxy's part in the dispatch of one member.
type station struct {
	dispatch *Dispatch
	database string
	member   view.Member
	base     *ctrl.Base
	gate     *duty.Cell[*Gate]
	// holder is the dispatcher that the member named last, for requests that
	// wait for its grant.
	holder *duty.Cell[string]
	slots  int
	vacant time.Time
}

func newStation(d *Dispatch, w ctrl.Watched, m view.Member) *station {
	return &station{
		dispatch: d,
		database: w.Name,
		member:   m,
		base:     w.Base,
		gate:     duty.NewCell[*Gate](nil),
		holder:   duty.NewCell(""),
		slots:    max(w.Slots, 1),
	}
}

// same tells whether two stations serve a member in the same way.
func (s *station) same(other *station) bool {
	return s.base == other.base && s.member.Address == other.member.Address && s.member.Region == other.member.Region && s.slots == other.slots
}

// run is the duty that leads whenever it should.
func (s *station) run(ctx context.Context) error {
	s.vacant = time.Now()
	for ctx.Err() == nil {
		switch Decide(s.look(time.Now())) {
		case Lead:
			s.lead(ctx)
		case Evict:
			s.evict(ctx)
		case Wait:
		}
		duty.Pause(ctx, lookPeriod)
	}
	return nil
}

func (s *station) look(now time.Time) Sight {
	o := s.dispatch.options
	sight := Sight{Self: o.Host, Place: -1, Silence: o.Silence}
	v := s.base.View()
	r, heard := v.Report(s.member.Name)
	if r.State.Dispatcher != s.holder.Load() {
		s.holder.Store(r.State.Dispatcher)
	}
	if !heard || v.Silent(s.member.Name) {
		s.vacant = now
		return sight
	}
	sight.Dispatcher = r.State.Dispatcher
	sight.Place = s.dispatch.place(s.key(), s.member.Region, sight.Dispatcher)
	if sight.Dispatcher != "" {
		if last := o.Peers.Heard(sight.Dispatcher); last.After(s.vacant) {
			s.vacant = last
		}
		if sight.Dispatcher == o.Host {
			s.vacant = now
		}
	}
	sight.Vacant = now.Sub(s.vacant)
	return sight
}

func (s *station) key() string { return stationKey(s.database, s.member.Name) }

func stationKey(database, member string) string { return database + "/" + member }

func (s *station) evict(ctx context.Context) {
	control := s.dispatch.options.Dial(s.member)
	defer control.Close()
	ctx, cancel := context.WithTimeout(ctx, s.dispatch.options.Timeout)
	defer cancel()
	silent := s.dispatcher()
	_, err := control.Evict(ctx, silent)
	s.note(event.DispatchEvicted, event.Fields{"Evicted": silent, "Done": err == nil})
	s.vacant = time.Now()
}

func (s *station) note(e event.Event, fields event.Fields) {
	fields["Database"], fields["Member"] = s.database, s.member.Name
	s.dispatch.options.Log.Emit(e, fields)
}

// lead holds the leading connection, and gives out slots while it lasts.
func (s *station) lead(ctx context.Context) {
	control := s.dispatch.options.Dial(s.member)
	defer control.Close()
	state, err := s.ask(ctx, func(ctx context.Context) (group.State, error) {
		return control.Lead(ctx, s.dispatch.options.Host)
	})
	if err != nil {
		s.vacant = time.Now()
		return
	}
	taken := s.settle(ctx, control, state)
	g := New(slots.DefaultRules(s.dispatch.options.Queue), max(s.slots-taken, 0))
	s.gate.Store(g)
	s.note(event.DispatchBegun, event.Fields{"Slots": s.slots, "Taken": taken})
	s.keep(ctx, control, g, taken)
	s.gate.Store(nil)
	g.Close()
	s.dispatch.dropRemotes(g)
	s.note(event.DispatchEnded, event.Fields{})
	s.vacant = time.Now()
}

func (s *station) ask(ctx context.Context, question func(context.Context) (group.State, error)) (group.State, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dispatch.options.Timeout)
	defer cancel()
	return question(ctx)
}

// settle waits until the slots that the dispatcher before gave out are free, or
// settleTime is over, and returns how many are still in use.
func (s *station) settle(ctx context.Context, control member.Control, state group.State) int {
	began := time.Now()
	duty.Pause(ctx, firstWait)
	for {
		next, err := s.ask(ctx, control.Ask)
		if err == nil {
			state = next
		}
		if state.Active == 0 || time.Since(began) >= settleTime || ctx.Err() != nil || err != nil {
			return state.Active
		}
		duty.Pause(ctx, settleLook)
	}
}

// keep tries the leading connection until it fails. Slots that were in use from
// before are added to the gate as the member is found to use fewer.
func (s *station) keep(ctx context.Context, control member.Control, g *Gate, taken int) {
	var seen peaks
	for {
		duty.Pause(ctx, pingPeriod)
		if ctx.Err() != nil {
			return
		}
		state, err := s.ask(ctx, control.Ask)
		if err != nil || state.Dispatcher != s.dispatch.options.Host {
			return
		}
		if state.Active < taken {
			g.Add(taken - state.Active)
			taken = state.Active
		}
		var active int
		seen, active = seen.with(state.Active)
		_, lent, _ := g.Counts()
		now := time.Now()
		s.dispatch.reclaim(g, lent+taken-active, now)
		s.dispatch.remind(g, now)
		g.Settle()
	}
}
