package chain

import (
	"context"
	"fmt"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// route selects the members on which a request may run.
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

// routeWrite waits for a primary. A write that reached no member, or that a member refused
// because it is no longer the primary, did not run: it waits for the next primary, or for
// a newer report of the same one.
func (f *filters) routeWrite(ctx context.Context, r *Request, next Handler) error {
	refusedBy, refusedAt := "", time.Time{}
	for {
		v, found := r.controller.Await(ctx, func(v view.View) bool {
			m, writable := v.Writable()
			return writable && (m.Name != refusedBy || answeredSince(v, m, refusedAt))
		})
		if !found {
			return fault.New(fault.NoPrimary, "route write", "database %q had no serving primary within the deadline of %s", r.Work.Database, r.Work.Deadline)
		}
		primary, _ := v.Writable()
		r.candidates = []view.Member{primary}
		f.Log.Emit(event.WriteRouted, f.routeFields(r, primary, "primary of the term", v.Term()))
		r.Answer = Answer{}
		err := next(ctx, r)
		if !r.Answer.NotPrimary && !unreachable(err) {
			return err
		}
		refusedBy, refusedAt = primary.Name, time.Now()
		r.Exchange.Discard()
	}
}

func answeredSince(v view.View, m view.Member, since time.Time) bool {
	r, found := v.Report(m.Name)
	return found && r.SentAt.After(since)
}

func unreachable(err error) bool {
	return err != nil && fault.FromError(err).Kind == fault.Unreachable
}

// routeRead selects the members that may serve a read.
func (f *filters) routeRead(ctx context.Context, r *Request, next Handler) error {
	if r.Work.StalenessBound == 0 && !r.HasToken && r.Exchange.ProvesLeadership() {
		r.proveLeadership = true
		return f.routeWrite(ctx, r, next)
	}
	found, err := f.finder().Find(ctx, r.controller, ReadRequirement{
		Database: r.Work.Database, Floor: r.Floor, HasToken: r.HasToken, StalenessBound: r.Work.StalenessBound, Arrived: r.Arrived, Rotation: r.Caller.ID, Connected: f.connected(r),
	})
	if err != nil {
		return err
	}
	nearest := found.Members[0]
	r.candidates, r.readFloor = f.byCapacity(r.Work.Database, found.Members), found.Floor
	fields := f.routeFields(r, r.candidates[0], found.Reason, r.readFloor.Term)
	if fields["Choice"] = found.Choice; r.candidates[0].Name != nearest.Name {
		fields["Choice"] = choiceByPermits
	}
	if v := r.controller.View(); isPrimary(v, r.candidates[0]) {
		fields["Passed"] = skippedMembers(v, found.Members, time.Now())
	}
	f.Log.Emit(event.ReadRouted, fields)
	return next(ctx, r)
}

// skippedMembers describes the members that could not serve a read: the last known applied
// position of each, and how long ago it was polled.
func skippedMembers(v view.View, targets []view.Member, now time.Time) []string {
	var list []string
	for _, m := range v.Members() {
		if slices.ContainsFunc(targets, func(t view.Member) bool { return t.Name == m.Name }) {
			continue
		}
		r, reported := v.Report(m.Name)
		if !reported {
			list = append(list, m.Name+" has not answered yet")
			continue
		}
		list = append(list, fmt.Sprintf("%s applied %d:%d, polled %d ms ago", m.Name, r.State.Term, r.State.Applied, now.Sub(r.SentAt).Milliseconds()))
	}
	return list
}

// choiceByPermits is logged if the chosen member has no spare permit and another one has.
const choiceByPermits = "spare permits"

// byCapacity puts members with spare capacity first, in their given order, then the others
// by how little work waits for them, so that a burst near one member spreads to the others.
func (f *filters) byCapacity(database string, list []view.Member) []view.Member {
	if len(list) < 2 {
		return list
	}
	capacity := make(map[string]int, len(list))
	for _, m := range list {
		capacity[m.Name] = min(f.Permits.SpareCapacity(database, m), 1)
	}
	slices.SortStableFunc(list, func(a, b view.Member) int { return capacity[b.Name] - capacity[a.Name] })
	return list
}

func (f *filters) finder() Finder {
	return Finder{Region: f.Region, DataCentre: f.DataCentre, ReplicaWait: f.ReplicaWait, Choose: f.chooseMember}
}

func (f *filters) routeFields(r *Request, m view.Member, reason string, term group.Term) event.Fields {
	return event.Fields{
		"Request": r.Name, "Caller": r.Caller.Name, "CallerID": r.Caller.ID, "Database": r.Work.Database, "Kind": r.Work.Kind,
		"Rank": int(r.Work.Rank), "Member": m.Name, "Region": m.Region, "Reason": reason,
		"Term": term, "Floor": r.readFloor.String(), "ProvenMs": time.Since(r.controller.View().ProvenUntil()).Milliseconds(),
	}
}

// acquire obtains a permit and a connection for a request that has none. A read is retried on
// the next member if one cannot be reached, or becomes unresponsive before any of its
// answer was passed on.
func (f *filters) acquire(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned {
			return next(ctx, r)
		}
		var err error
		for _, target := range r.candidates {
			r.Lease, err = f.lease(ctx, r, target)
			if err == nil {
				err = next(ctx, r)
			}
			if err == nil || !f.canRetryOnOtherMember(r, err) {
				return withPriorSends(r, err)
			}
			r.Exchange.Discard()
		}
		return withPriorSends(r, err)
	}
}

// withPriorSends returns the fault with which a request ends. A request that was sent to a
// member before may have run there, whatever the last member's refusal says.
func withPriorSends(r *Request, err error) error {
	if err == nil || r.sends == 0 || fault.FromError(err).Kind.Outcome() == fault.Unknown {
		return err
	}
	return fault.Wrap(err, fault.Severed, "send", "the work was already sent to another member, which did not answer")
}

// canRetryOnOtherMember reports whether a request that failed on one member may be tried on
// another.
func (f *filters) canRetryOnOtherMember(r *Request, err error) bool {
	switch fault.FromError(err).Kind {
	case fault.Unreachable, fault.Behind:
		return true
	case fault.Overloaded:
		return r.Answer.Rejection != nil
	case fault.Severed:
		return !r.Write() && !r.Exchange.Sent()
	default:
		return false
	}
}

// lease obtains a permit and a connection. A permit that expired while the connection was
// being opened is released, and another one requested.
func (f *filters) lease(ctx context.Context, r *Request, m view.Member) (*Lease, error) {
	for {
		l, err := f.tryLease(ctx, r, m)
		if err != nil || !l.permit.Expired(time.Now()) {
			return l, err
		}
		l.Release(true)
	}
}

func (f *filters) tryLease(ctx context.Context, r *Request, m view.Member) (*Lease, error) {
	r.member = m
	waitCtx, cancel := context.WithDeadline(ctx, r.Arrived.Add(r.Work.MaxQueueWait()))
	defer cancel()
	permit, err := f.Permits.Acquire(waitCtx, r.Work.Database, m, r)
	if err != nil {
		return nil, err
	}
	mode := member.ReadOnly
	if r.Write() {
		mode = member.ReadWrite
	}
	pool := f.Controllers.Pool(r.Work.Database, m)
	conn, err := pool.Get(ctx, mode, r.Caller.Customer)
	if err != nil {
		permit.Release()
		return nil, err
	}
	return &Lease{Conn: conn, Member: m, MayWrite: r.Write(), CallerID: r.Caller.ID, pool: pool, permit: permit, controller: r.controller, work: r.Work, replicated: r.Replicated}, nil
}
