package chain

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// replicaWait is how long a read waits for a replica to reach its floor before
// it goes to the primary.
const replicaWait = 20 * time.Millisecond

// route chooses the members on which a request may run.
func (f *filters) route(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned {
			return next(ctx, r)
		}
		ctx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		if r.Write() {
			return f.routeWrite(ctx, r, next)
		}
		return f.routeRead(ctx, r, next)
	}
}

// routeWrite waits for a primary. A write that a member refused because it is no
// longer the primary, or that reached no member, was not run: it waits for the
// next primary, or for a new answer of this one.
func (f *filters) routeWrite(ctx context.Context, r *Request, next Handler) error {
	refusedBy, refusedAt := "", time.Time{}
	for {
		v, found := r.base.Await(ctx, func(v view.View) bool {
			m, writable := v.Writable()
			return writable && (m.Name != refusedBy || answeredSince(v, m, refusedAt))
		})
		if !found {
			return fault.New(fault.NoPrimary, "route write", "database %q had no serving primary within the deadline of %s", r.Work.Database, r.Work.Deadline)
		}
		primary, _ := v.Writable()
		r.targets = []view.Member{primary}
		f.Log.Emit(event.WriteRouted, f.routed(r, primary, "primary of the term", v.Term()))
		err := next(ctx, r)
		if !r.refused && !unreachable(err) {
			return err
		}
		refusedBy, refusedAt = primary.Name, time.Now()
		r.Out.Discard()
	}
}

func answeredSince(v view.View, m view.Member, since time.Time) bool {
	r, found := v.Report(m.Name)
	return found && r.Asked.After(since)
}

func unreachable(err error) bool {
	return err != nil && fault.Of(err).Kind == fault.Unreachable
}

// readOnlyState is the SQLSTATE by which a member refuses a write because it is
// a replica, or promised a later term.
const readOnlyState = "25006"

// refusedAsReplica tells whether a write was refused because the member is not
// the primary, with nothing of it in effect: no statement completed, or the only
// one did and its commit, which comes after it, was refused.
func refusedAsReplica(b *wire.Batch, a wire.Answer) bool {
	nothing := a.Completed == 0 || (a.Completed == 1 && b.Single())
	return a.Refusal == readOnlyState && nothing && a.Status == wire.Idle
}

// routeRead finds the floor that the read must see, and the members that have
// reached it.
func (f *filters) routeRead(ctx context.Context, r *Request, next Handler) error {
	reason, err := f.findFloor(ctx, r)
	if err != nil {
		return err
	}
	r.targets, err = f.findReaders(ctx, r)
	if err != nil {
		return err
	}
	if len(r.targets) == 0 {
		// A change of primary cut off a tail that no one had acknowledged, and
		// the floor lay in it: it is taken anew.
		return f.routeRead(ctx, r, next)
	}
	f.Log.Emit(event.ReadRouted, f.routed(r, r.targets[0], reason, r.need.Term))
	return next(ctx, r)
}

func (f *filters) routed(r *Request, m view.Member, reason string, term group.Term) event.Fields {
	return event.Fields{
		"Caller": r.Caller.Name, "CallerID": r.Caller.ID, "Database": r.Work.Database, "Kind": r.Work.Kind,
		"Rank": int(r.Work.Rank), "Member": m.Name, "Region": m.Region, "Reason": reason,
		"Term": term, "Floor": r.need.String(),
	}
}

// findFloor sets the floor of a read: the caller's own, and besides it the age
// that the sheet accepts, or a barrier if the caller keeps no token.
func (f *filters) findFloor(ctx context.Context, r *Request) (string, error) {
	r.need = r.Floor
	if r.Work.AcceptedAge > 0 {
		return f.findAged(ctx, r)
	}
	if r.Token {
		return "token", nil
	}
	v, found := r.base.Await(ctx, func(v view.View) bool {
		_, proven := v.Barrier(r.Arrived)
		return proven
	})
	if !found {
		return "", fault.New(fault.NoReader, "route read", "no majority of database %q proved its position within the deadline of %s", r.Work.Database, r.Work.Deadline)
	}
	floor, _ := v.Barrier(r.Arrived)
	r.need = later(r.need, floor)
	return "barrier", nil
}

func (f *filters) findAged(ctx context.Context, r *Request) (string, error) {
	v, found := r.base.Await(ctx, func(v view.View) bool {
		_, proven := v.Aged(time.Now().Add(-r.Work.AcceptedAge))
		return proven
	})
	if !found {
		return "", fault.New(fault.NoReader, "route read", "no position of database %q was proven within the accepted age of %s", r.Work.Database, r.Work.AcceptedAge)
	}
	floor, proven := v.Aged(time.Now().Add(-r.Work.AcceptedAge))
	if !proven {
		return f.findAged(ctx, r)
	}
	r.need = later(r.need, floor)
	return "accepted age", nil
}

// later returns the floor that demands more.
func later(a, b group.Floor) group.Floor {
	if a.Less(b) {
		return b
	}
	return a
}

// findReaders returns the members that have reached the floor, the best first.
// It waits a little for a replica in the caller's region, then takes what there
// is, or waits for any.
func (f *filters) findReaders(ctx context.Context, r *Request) ([]view.Member, error) {
	var lost bool
	local := func(v view.View) bool {
		lost = v.Fate(r.need) == group.Lost
		return lost || slices.ContainsFunc(v.Readers(r.need), func(m view.Member) bool { return f.isLocalReplica(v, m) })
	}
	short, cancel := context.WithTimeout(ctx, replicaWait)
	v, found := r.base.Await(short, local)
	cancel()
	if !found && len(v.Readers(r.need)) == 0 {
		v, found = r.base.Await(ctx, func(v view.View) bool {
			lost = v.Fate(r.need) == group.Lost
			return lost || len(v.Readers(r.need)) > 0
		})
		if !found {
			return nil, fault.New(fault.NoReader, "route read", "no member of database %q reached position %s within the deadline of %s", r.Work.Database, r.need, r.Work.Deadline)
		}
	}
	if v.Fate(r.Floor) == group.Lost {
		return nil, fault.New(fault.FloorLost, "route read", "position %s of database %q was lost when its primary was replaced", r.Floor, r.Work.Database)
	}
	if lost {
		return nil, nil
	}
	return f.sortReaders(v, r, v.Readers(r.need)), nil
}

func (f *filters) isLocalReplica(v view.View, m view.Member) bool {
	primary, found := v.Primary()
	isPrimary := found && primary.Member == m.Name
	return m.Region == f.Region && !isPrimary
}

// sortReaders puts members of the own region first, replicas before the primary,
// then those of the own data centre. Among equals the callers take turns.
func (f *filters) sortReaders(v view.View, r *Request, list []view.Member) []view.Member {
	if n := uint64(len(list)); n > 0 {
		turn := r.Caller.ID % n
		list = slices.Concat(list[turn:], list[:turn])
	}
	slices.SortStableFunc(list, func(a, b view.Member) int { return f.distance(v, a) - f.distance(v, b) })
	return list
}

func (f *filters) distance(v view.View, m view.Member) int {
	const primaryCost, regionCost = 2, 4
	cost := 0
	if m.DataCentre != f.DataCentre {
		cost++
	}
	if m.Region != f.Region {
		cost += regionCost
	}
	if primary, found := v.Primary(); found && primary.Member == m.Name {
		cost += primaryCost
	}
	return cost
}

// lend takes a slot and a connection for a request that has none. A read goes
// on to the next member if one cannot be reached, or falls silent before any of
// its answer was passed on.
func (f *filters) lend(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned {
			return next(ctx, r)
		}
		var err error
		for _, target := range r.targets {
			r.Lease, err = f.lease(ctx, r, target)
			if err == nil {
				err = next(ctx, r)
			}
			if err == nil || !f.mayMove(r, err) {
				return honest(r, err)
			}
			r.Out.Discard()
		}
		return honest(r, err)
	}
}

// honest returns the fault with which a request ends. One that was sent to a
// member before may have run there, whatever the last member's refusal says.
func honest(r *Request, err error) error {
	if err == nil || r.sends == 0 || fault.Of(err).Kind.Outcome() == fault.Unknown {
		return err
	}
	return fault.Wrap(err, fault.Severed, "send", "the work was sent to another member before, which did not answer")
}

// mayMove tells whether a request that failed on one member may be tried on
// another.
func (f *filters) mayMove(r *Request, err error) bool {
	switch fault.Of(err).Kind {
	case fault.Unreachable:
		return true
	case fault.Severed:
		return !r.Write() && !r.Out.Sent()
	default:
		return false
	}
}

func (f *filters) lease(ctx context.Context, r *Request, m view.Member) (*Lease, error) {
	done, err := f.Slots.Acquire(ctx, r.Work.Database, m, r)
	if err != nil {
		return nil, err
	}
	mode := member.ReadOnly
	if r.Write() {
		mode = member.ReadWrite
	}
	pool := f.Bases.Pool(r.Work.Database, m)
	conn, err := pool.Get(ctx, mode)
	if err != nil {
		done()
		return nil, err
	}
	return &Lease{Conn: conn, Member: m, MayWrite: r.Write(), Owner: r.Caller.ID, pool: pool, done: done}, nil
}
