package gate

import (
	"context"
	"strconv"
	"strings"
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
	// observePeriod is the shortest interval at which a proxy checks whether it should
	// hold the lease, and idleObservePeriod the interval while nothing changes and the
	// lease holder responds.
	observePeriod     = 100 * time.Millisecond
	idleObservePeriod = time.Second
	// candidateDelay is how much later than the one before it each candidate tries to
	// take the lease, and isolatedDelay the additional delay of a proxy that receives
	// from too few others.
	candidateDelay = 100 * time.Millisecond
	isolatedDelay  = time.Second
	// renewPeriod is the interval at which the lease is confirmed over the lease
	// connection, and idleRenewPeriod the interval while no request wants a permit.
	renewPeriod     = 250 * time.Millisecond
	idleRenewPeriod = 5 * time.Second
	// permitLifetime is how long after the member named its lease holder the permits
	// of that holder allow work to begin.
	permitLifetime = 600 * time.Millisecond
	// takeoverDelay is how long a new lease holder waits before it grants permits. By
	// then the permits of its predecessor have expired or show as busy connections at
	// the member.
	takeoverDelay = permitLifetime + 50*time.Millisecond
)

// Intent is what a proxy should do about a member's slot lease.
type Intent uint8

// The intents.
const (
	// Wait means to do nothing.
	Wait Intent = iota
	// TakeLease means to try to become the lease holder.
	TakeLease
	// EvictHolder means to revoke the lease of an unresponsive proxy.
	EvictHolder
)

// Observation is what a proxy knows of a member's slot lease at one moment.
type Observation struct {
	// Self is the proxy itself, and Holder the lease holder in the member's state.
	Self   string
	Holder string
	// CandidateIndex is the proxy's index among the candidates for the lease, or -1 if
	// it is no candidate or there is no reason to replace the holder.
	CandidateIndex int
	// VacantFor is how long the lease has had no holder, or the holder has been
	// unresponsive.
	VacantFor time.Duration
	// FailureTimeout is how long a holder must be unresponsive before it is evicted.
	FailureTimeout time.Duration
	// HolderFailed reports that a majority of the voters find the holder unresponsive.
	HolderFailed bool
	// Isolated reports that the proxy receives from less than half of the other voters
	// for the lease.
	Isolated bool
}

// Decide returns what to do. Candidates act one after the other, so that each sees
// whether the previous one succeeded.
func Decide(o Observation) Intent {
	delay := time.Duration(o.CandidateIndex) * candidateDelay
	if o.Isolated {
		delay += isolatedDelay
	}
	switch {
	case o.CandidateIndex < 0 || o.Holder == o.Self:
		return Wait
	case o.Holder == "" && o.VacantFor >= delay:
		return TakeLease
	case o.HolderFailed && o.VacantFor >= o.FailureTimeout+delay:
		return EvictHolder
	default:
		return Wait
	}
}

// memberLease is this proxy's state for the slot lease of one member.
type memberLease struct {
	manager  *LeaseManager
	database string
	member   view.Member
	base     *ctrl.Controller
	gate     *duty.Cell[*Gate]
	// holder is the lease holder that the member named last. Requests that wait for
	// its grant watch it.
	holder *duty.Cell[string]
	slots  int
	// vacantSince is since when the lease has had no holder or the holder has been
	// unresponsive. votesRequestedAt is when the other voters were last asked about
	// the holder.
	vacantSince      time.Time
	votesRequestedAt time.Time
}

func newMemberLease(lm *LeaseManager, w ctrl.Watched, m view.Member) *memberLease {
	return &memberLease{
		manager:  lm,
		database: w.Name,
		member:   m,
		base:     w.Controller,
		gate:     duty.NewCell[*Gate](nil),
		holder:   duty.NewCell(""),
		slots:    max(w.Slots, 1),
	}
}

// equal reports whether two leases have the same member, region and slots.
func (l *memberLease) equal(other *memberLease) bool {
	return l.base == other.base && l.member.Address == other.member.Address && l.member.Region == other.member.Region && l.slots == other.slots
}

// run is the background task that takes the lease, or evicts its holder, whenever it
// should.
func (l *memberLease) run(ctx context.Context) error {
	l.vacantSince = time.Now()
	for ctx.Err() == nil {
		changed := l.base.Changed()
		observation := l.observe(time.Now())
		switch Decide(observation) {
		case TakeLease:
			l.holdLease(ctx)
		case EvictHolder:
			l.evictHolder(ctx)
		case Wait:
		}
		duty.Pause(ctx, observePeriod)
		if observation.VacantFor < l.manager.suspectAfter() && observation.Holder != "" {
			awaitEither(ctx, changed, idleObservePeriod-observePeriod)
		}
	}
	return nil
}

// awaitEither waits until the channel is closed, the time has passed or the context
// has ended.
func awaitEither(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	select {
	case <-changed:
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// observe updates the known holder and returns the current observation.
func (l *memberLease) observe(now time.Time) Observation {
	o := l.manager.options
	observation := Observation{Self: o.Host, CandidateIndex: -1, FailureTimeout: o.FailureTimeout}
	v := l.base.View()
	r, reachable := v.Report(l.member.Name)
	if r.State.LeaseHolder != l.holder.Load() {
		l.holder.Store(r.State.LeaseHolder)
	}
	if !reachable || v.Silent(l.member.Name) {
		l.vacantSince = now
		return observation
	}
	observation.Holder = r.State.LeaseHolder
	switch observation.Holder {
	case "":
		observation.Isolated = l.isIsolated(now)
	case o.Host:
		l.vacantSince = now
	default:
		observation.HolderFailed = l.holderFailed(observation.Holder, now)
	}
	if observation.Holder == "" || observation.HolderFailed {
		observation.CandidateIndex = pick.Index(l.key(), o.Host, l.manager.candidates(l.member.Region, observation.Holder))
	}
	observation.VacantFor = now.Sub(l.vacantSince)
	return observation
}

// isIsolated reports whether this proxy receives from less than half of the other
// voters for the lease.
func (l *memberLease) isIsolated(now time.Time) bool {
	others, _ := l.voters("")
	reachable := 0
	for _, host := range others {
		if now.Sub(l.manager.options.Peers.Heard(host)) <= l.manager.options.FailureTimeout {
			reachable++
		}
	}
	return 2*reachable < len(others)
}

// holderFailed updates since when the holder has been unresponsive, requests votes on
// it once it is suspected, and reports whether a majority of the voters find it
// unresponsive.
func (l *memberLease) holderFailed(holder string, now time.Time) bool {
	o := l.manager.options
	if last := o.Peers.Heard(holder); last.After(l.vacantSince) {
		l.vacantSince = last
	}
	if now.Sub(l.vacantSince) < l.manager.suspectAfter() {
		return false
	}
	others, voters := l.voters(holder)
	if voters && now.Sub(l.votesRequestedAt) >= voteRequestPeriod {
		l.votesRequestedAt = now
		l.requestVotes(holder, others)
	}
	return voters && l.manager.declaredFailed(holder, others, now)
}

func (l *memberLease) key() string { return leaseKey(l.database, l.member.Name) }

// leaseKey returns the key of a member, which no other member has. A database whose name could be
// read together with that of the member is quoted.
func leaseKey(database, member string) string {
	if strings.ContainsAny(database, `/"`) {
		database = strconv.Quote(database)
	}
	return database + "/" + member
}

// evictHolder ends the lease connection of the current holder at the member.
func (l *memberLease) evictHolder(ctx context.Context) {
	control := l.manager.options.Dial(l.member)
	defer control.Close()
	ctx, cancel := context.WithTimeout(ctx, l.manager.options.Timeout)
	defer cancel()
	evicted := l.reportedHolder()
	_, err := control.Evict(ctx, evicted)
	l.emit(event.SlotLeaseEvicted, event.Fields{"Evicted": evicted, "Done": err == nil})
	l.vacantSince = time.Now()
}

func (l *memberLease) emit(e event.Event, fields event.Fields) {
	fields["Database"], fields["Member"] = l.database, l.member.Name
	l.manager.options.Log.Emit(e, fields)
}

// holdLease takes the lease, and grants permits until the lease is lost.
func (l *memberLease) holdLease(ctx context.Context) {
	control := l.manager.options.Dial(l.member)
	defer control.Close()
	inUse, askedAt, err := l.acquire(ctx, control)
	if err != nil {
		l.vacantSince = time.Now()
		return
	}
	g := New(slots.DefaultRules(l.manager.options.QueueLimit), max(l.slots-inUse, 0), askedAt)
	l.gate.Store(g)
	l.emit(event.SlotLeaseTaken, event.Fields{"Slots": l.slots, "Taken": inUse})
	l.renew(ctx, control, g, inUse)
	l.gate.Store(nil)
	g.Close()
	l.manager.dropRequests(g)
	l.emit(event.SlotLeaseEnded, event.Fields{})
	l.vacantSince = time.Now()
}

// query sends a request to the member and limits it by the time-out.
func (l *memberLease) query(ctx context.Context, request func(context.Context) (group.State, error)) (group.State, error) {
	ctx, cancel := context.WithTimeout(ctx, l.manager.options.Timeout)
	defer cancel()
	return request(ctx)
}

// acquire takes the lease. It returns how many slots are still in use once the permits
// of the previous holder have expired, and when that was asked.
func (l *memberLease) acquire(ctx context.Context, control member.SlotControl) (inUse int, askedAt time.Time, err error) {
	_, err = l.query(ctx, func(ctx context.Context) (group.State, error) {
		return control.AcquireSlotLease(ctx, l.manager.options.Host)
	})
	if err != nil {
		return 0, time.Time{}, err
	}
	duty.Pause(ctx, takeoverDelay)
	askedAt = time.Now()
	state, err := l.query(ctx, func(ctx context.Context) (group.State, error) { return control.Ask(ctx, true) })
	if err == nil && state.LeaseHolder != l.manager.options.Host {
		err = errReplaced(l.manager.options.Host)
	}
	return state.Active, askedAt, err
}

// renew confirms the lease over the lease connection until that fails. Slots that were
// in use when the lease was taken are added to the gate once the member reports that
// they are free.
func (l *memberLease) renew(ctx context.Context, control member.SlotControl, g *Gate, inUse int) {
	for {
		if !g.awaitRenewal(ctx, inUse == 0) {
			return
		}
		askedAt := time.Now()
		state, err := l.query(ctx, func(ctx context.Context) (group.State, error) { return control.Ask(ctx, true) })
		if err != nil || state.LeaseHolder != l.manager.options.Host {
			return
		}
		g.ConfirmLease(askedAt)
		if state.Active < inUse {
			g.AddSlots(inUse - state.Active)
			inUse = state.Active
		}
		l.reclaim(ctx, control, g)
		l.manager.dropUnresponsive(g, time.Now())
		g.RefuseLate()
	}
}
