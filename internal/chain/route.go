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
		r.Answer = Answer{}
		err := next(ctx, r)
		if !r.Answer.Refused && !unreachable(err) {
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
	return err != nil && fault.Of(err).Kind == fault.Unreachable
}

// routeRead finds the members that may serve a read.
func (f *filters) routeRead(ctx context.Context, r *Request, next Handler) error {
	if r.Work.AcceptedAge == 0 && !r.Token && r.Exchange.Proves() {
		r.lead = true
		return f.routeWrite(ctx, r, next)
	}
	found, err := f.finder().Find(ctx, r.base, Want{
		Database: r.Work.Database, Floor: r.Floor, Token: r.Token, Age: r.Work.AcceptedAge, Arrived: r.Arrived, Turn: r.Caller.ID,
	})
	if err != nil {
		return err
	}
	r.targets, r.need = f.withRoom(r.Work.Database, found.Targets), found.Need
	fields := f.routed(r, r.targets[0], found.Reason, r.need.Term)
	if v := r.base.View(); isPrimary(v, r.targets[0]) {
		fields["Passed"] = passed(v, found.Targets, time.Now())
	}
	f.Log.Emit(event.ReadRouted, fields)
	return next(ctx, r)
}

// passed describes the members that could not serve a read: how far each was known to
// have applied the log, and how long ago it was asked.
func passed(v view.View, targets []view.Member, now time.Time) []string {
	var list []string
	for _, m := range v.Members() {
		if slices.ContainsFunc(targets, func(t view.Member) bool { return t.Name == m.Name }) {
			continue
		}
		r, heard := v.Report(m.Name)
		if !heard {
			list = append(list, m.Name+" has not answered yet")
			continue
		}
		list = append(list, fmt.Sprintf("%s applied %d:%d, asked %d ms ago", m.Name, r.State.Term, r.State.Applied, now.Sub(r.SentAt).Milliseconds()))
	}
	return list
}

// withRoom puts the members first at which work may begin at once, in their order, then
// those for which the least work waits: a burst near one member goes on to the others.
func (f *filters) withRoom(database string, list []view.Member) []view.Member {
	if len(list) < 2 {
		return list
	}
	rooms := make(map[string]int, len(list))
	for _, m := range list {
		rooms[m.Name] = min(f.Slots.Room(database, m), 1)
	}
	slices.SortStableFunc(list, func(a, b view.Member) int { return rooms[b.Name] - rooms[a.Name] })
	return list
}

func (f *filters) finder() Finder {
	return Finder{Region: f.Region, DataCentre: f.DataCentre, ReplicaWait: f.ReplicaWait}
}

func (f *filters) routed(r *Request, m view.Member, reason string, term group.Term) event.Fields {
	return event.Fields{
		"Request": r.Name, "Caller": r.Caller.Name, "CallerID": r.Caller.ID, "Database": r.Work.Database, "Kind": r.Work.Kind,
		"Rank": int(r.Work.Rank), "Member": m.Name, "Region": m.Region, "Reason": reason,
		"Term": term, "Floor": r.need.String(), "ProvenMs": time.Since(r.base.View().ProvenUntil()).Milliseconds(),
	}
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
			r.Exchange.Discard()
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
	case fault.Unreachable, fault.Behind:
		return true
	case fault.Overloaded:
		return r.Answer.Turned != nil
	case fault.Severed:
		return !r.Write() && !r.Exchange.Sent()
	default:
		return false
	}
}

// lease takes a slot and a connection. A slot that lapsed while a connection was
// opened is given back, and another one asked for.
func (f *filters) lease(ctx context.Context, r *Request, m view.Member) (*Lease, error) {
	for {
		l, err := f.leaseOnce(ctx, r, m)
		if err != nil || !l.slot.Lapsed(time.Now()) {
			return l, err
		}
		l.Release(true)
	}
}

func (f *filters) leaseOnce(ctx context.Context, r *Request, m view.Member) (*Lease, error) {
	r.member = m
	waitCtx, cancel := context.WithDeadline(ctx, r.Arrived.Add(r.Work.Patience()))
	defer cancel()
	slot, err := f.Slots.Acquire(waitCtx, r.Work.Database, m, r)
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
		slot.Release()
		return nil, err
	}
	return &Lease{Conn: conn, Member: m, MayWrite: r.Write(), Owner: r.Caller.ID, pool: pool, slot: slot, base: r.base, work: r.Work, replicated: r.Replicated}, nil
}
