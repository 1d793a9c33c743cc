package gate

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pick"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

const (
	// lookPeriod is how often at most a proxy looks whether it should lead, and
	// quietPeriod how often it does while it learns nothing new and hears the
	// dispatcher.
	lookPeriod  = 100 * time.Millisecond
	quietPeriod = time.Second
	// turnDelay is how much later each further proxy tries to lead, and
	// isolatedDelay how much later one does that hears too few others.
	turnDelay     = 100 * time.Millisecond
	isolatedDelay = time.Second
	// pingPeriod is how often the leading connection is tried, and sleepPeriod
	// how often while no request wants a slot.
	pingPeriod  = 250 * time.Millisecond
	sleepPeriod = 5 * time.Second
	// slotLife is how long after a member named its dispatcher the slots that the
	// dispatcher gives may be used to begin work.
	slotLife = 600 * time.Millisecond
	// firstWait is how long a new dispatcher waits before it gives any slots, so
	// that those of its predecessor have lapsed or show at the member.
	firstWait = slotLife + 50*time.Millisecond
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
	// -1 if it is none or none is looked for.
	Place int
	// Vacant is how long there has been no dispatcher, or how long it has been
	// silent.
	Vacant time.Duration
	// Silence is how long a dispatcher must be silent before it is evicted.
	Silence time.Duration
	// Condemned tells that most proxies that judge it find the dispatcher silent.
	Condemned bool
	// Isolated tells that the proxy hears less than half of the others that may
	// lead the member.
	Isolated bool
}

// Decide returns what to do. Candidates act one after the other, so that the
// first one's success is seen by the next.
func Decide(s Sight) Intent {
	turn := time.Duration(s.Place) * turnDelay
	if s.Isolated {
		turn += isolatedDelay
	}
	switch {
	case s.Place < 0 || s.Dispatcher == s.Self:
		return Wait
	case s.Dispatcher == "" && s.Vacant >= turn:
		return Lead
	case s.Condemned && s.Vacant >= s.Silence+turn:
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
	// vacant is since when there is no dispatcher, or it is silent, and doubted
	// is when the other proxies were asked about it last.
	vacant  time.Time
	doubted time.Time
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
		changed := s.base.Changed()
		sight := s.look(time.Now())
		switch Decide(sight) {
		case Lead:
			s.lead(ctx)
		case Evict:
			s.evict(ctx)
		case Wait:
		}
		duty.Pause(ctx, lookPeriod)
		if sight.Vacant < s.dispatch.doubtAfter() && sight.Dispatcher != "" {
			awaitEither(ctx, changed, quietPeriod-lookPeriod)
		}
	}
	return nil
}

// awaitEither waits for a channel to close, a time, or the context's end.
func awaitEither(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	select {
	case <-changed:
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s *station) look(now time.Time) Sight {
	o := s.dispatch.options
	sight := Sight{Self: o.Host, Place: -1, Silence: o.Silence}
	v := s.base.View()
	r, heard := v.Report(s.member.Name)
	if r.State.LeaseHolder != s.holder.Load() {
		s.holder.Store(r.State.LeaseHolder)
	}
	if !heard || v.Silent(s.member.Name) {
		s.vacant = now
		return sight
	}
	sight.Dispatcher = r.State.LeaseHolder
	switch sight.Dispatcher {
	case "":
		sight.Isolated = s.isolated(now)
	case o.Host:
		s.vacant = now
	default:
		sight.Condemned = s.judge(sight.Dispatcher, now)
	}
	if sight.Dispatcher == "" || sight.Condemned {
		sight.Place = pick.Place(s.key(), o.Host, s.dispatch.candidates(s.member.Region, sight.Dispatcher))
	}
	sight.Vacant = now.Sub(s.vacant)
	return sight
}

// isolated tells whether this proxy hears less than half of the others that may
// lead the member.
func (s *station) isolated(now time.Time) bool {
	others, _ := s.judges("")
	heard := 0
	for _, host := range others {
		if now.Sub(s.dispatch.options.Peers.Heard(host)) <= s.dispatch.options.Silence {
			heard++
		}
	}
	return 2*heard < len(others)
}

// judge follows how long the dispatcher has been silent, and tells whether most
// judges find it so.
func (s *station) judge(dispatcher string, now time.Time) bool {
	o := s.dispatch.options
	if last := o.Peers.Heard(dispatcher); last.After(s.vacant) {
		s.vacant = last
	}
	if now.Sub(s.vacant) < s.dispatch.doubtAfter() {
		return false
	}
	others, judges := s.judges(dispatcher)
	if judges && now.Sub(s.doubted) >= doubtPeriod {
		s.doubted = now
		s.doubt(dispatcher, others)
	}
	return judges && s.dispatch.condemned(dispatcher, others, now)
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
	taken, asked, err := s.begin(ctx, control)
	if err != nil {
		s.vacant = time.Now()
		return
	}
	g := New(slots.DefaultRules(s.dispatch.options.Queue), max(s.slots-taken, 0), asked)
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

// begin takes the dispatch, and returns how many slots are still in use after
// those that the dispatcher before gave out have lapsed, and when that was asked.
func (s *station) begin(ctx context.Context, control member.Dispatcher) (taken int, asked time.Time, err error) {
	_, err = s.ask(ctx, func(ctx context.Context) (group.State, error) {
		return control.Lead(ctx, s.dispatch.options.Host)
	})
	if err != nil {
		return 0, time.Time{}, err
	}
	duty.Pause(ctx, firstWait)
	asked = time.Now()
	state, err := s.ask(ctx, func(ctx context.Context) (group.State, error) { return control.Ask(ctx, true) })
	if err == nil && state.LeaseHolder != s.dispatch.options.Host {
		err = errReplaced(s.dispatch.options.Host)
	}
	return state.Active, asked, err
}

// keep tries the leading connection until it fails. Slots that were in use from
// before are added to the gate as the member is found to use fewer.
func (s *station) keep(ctx context.Context, control member.Dispatcher, g *Gate, taken int) {
	for {
		if !g.await(ctx, taken == 0) {
			return
		}
		asked := time.Now()
		state, err := s.ask(ctx, func(ctx context.Context) (group.State, error) { return control.Ask(ctx, true) })
		if err != nil || state.LeaseHolder != s.dispatch.options.Host {
			return
		}
		g.Prove(asked)
		if state.Active < taken {
			g.Add(taken - state.Active)
			taken = state.Active
		}
		s.reclaim(ctx, control, g)
		s.dispatch.dropSilent(g, time.Now())
		g.Settle()
	}
}
