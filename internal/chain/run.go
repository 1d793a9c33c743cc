package chain

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// run sends the request and passes the answer on.
func (f *filters) run(ctx context.Context, r *Request) error {
	l := r.Lease
	r.member = l.Member
	f.Guard.Assert(guard.OneCaller, l.Owner == r.Caller.ID, event.Fields{"CallerID": r.Caller.ID, "Owner": l.Owner})
	f.Guard.Assert(guard.NoLeavingWork, r.pinned || !l.Member.Closed, event.Fields{"Member": l.Member.Name})
	f.Guard.Assert(guard.AtMostOnce, !l.MayWrite || r.sends == 0, event.Fields{"CallerID": r.Caller.ID, "Sends": r.sends})
	deadline := r.Deadline.Add(f.AnswerGrace)
	if err := f.mayBegin(r, deadline); err != nil {
		return err
	}
	r.sends++
	l.rest(false)
	r.Track(l)
	defer r.Track(nil)
	order := Order{
		Write: l.MayWrite, Pinned: r.pinned, Floor: r.need, Lead: f.mustLead(r), HeldBytes: f.HeldBytes, Deadline: deadline,
		Replicated: r.Replicated,
	}
	asked := time.Now()
	answer, err := r.Exchange.Run(l.Line, order)
	r.Answer = answer
	if err != nil {
		f.drop(r, false)
		return err
	}
	if answer.Turned != nil {
		if answer.Turned.Kind == fault.Overloaded && l.slot.Crowded != nil {
			l.slot.Crowded()
		}
		f.drop(r, !answer.Dirty)
		r.sends--
		return answer.Turned
	}
	return f.conclude(ctx, r, asked)
}

// mayBegin tells why a request may not be sent any more.
func (f *filters) mayBegin(r *Request, deadline time.Time) error {
	l, now := r.Lease, time.Now()
	if now.After(r.Deadline) && !r.pinned {
		f.drop(r, true)
		return Late("send", r)
	}
	if err := l.SetDeadline(deadline); err != nil {
		f.drop(r, false)
		return fault.Wrap(err, fault.Unreachable, "send", "the connection to %s was already closed", l.Member.Name)
	}
	if !r.pinned && l.slot.Lapsed(now) {
		f.drop(r, true)
		return fault.New(fault.Undispatched, "send", "the slot of %s lapsed before the work was sent", l.Member.Name)
	}
	return nil
}

// mustLead tells whether the answer to a read must prove that the member leads.
func (f *filters) mustLead(r *Request) bool {
	return r.lead || (!r.Lease.MayWrite && !r.pinned && r.Exchange.Proves() && isPrimary(r.base.View(), r.Lease.Member))
}

// conclude takes what the answer of a member that ran the request shows, and gives the
// connection back unless a transaction is open.
func (f *filters) conclude(ctx context.Context, r *Request, asked time.Time) error {
	l, answer := r.Lease, r.Answer
	if answer.Shown.Partial {
		r.base.Observe(view.Report{Member: l.Member.Name, SentAt: asked, ReceivedAt: time.Now(), State: answer.Shown})
	}
	if answer.Leased && !f.leads(ctx, r, time.Now()) {
		f.drop(r, false)
		r.sends--
		return fault.New(fault.Unproven, "run", "no majority of database %q proved in time that %s still leads", r.Work.Database, l.Member.Name)
	}
	f.Guard.Assert(guard.WholeAnswer, answer.Whole, event.Fields{"CallerID": r.Caller.ID, "Member": l.Member.Name})
	f.assertRead(r)
	r.Committed = answer.Committed
	if answer.Idle {
		f.drop(r, !answer.Dirty)
	} else {
		l.rest(true)
	}
	if answer.Refused {
		// The member executed nothing, so that the work may be sent again.
		r.sends = 0
	}
	return nil
}

// leads tells whether no other primary can have acknowledged anything before an answer
// of the primary arrived: a majority was proven to have none less than a lease before,
// or is soon.
func (f *filters) leads(ctx context.Context, r *Request, arrived time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	since := arrived.Add(-f.Lease)
	if resumed := f.resumes.since(arrived); resumed.After(since) {
		since = resumed
	}
	v, proven := r.base.Await(ctx, func(v view.View) bool { return v.ProvenUntil().After(since) })
	primary, found := v.Primary()
	return proven && found && primary.Member == r.member.Name
}

// assertRead holds what the member told with the answer, or else its last report,
// against the caller's own floor: a plain comparison, beside the decision by which the
// member was chosen.
func (f *filters) assertRead(r *Request) {
	if r.pinned || r.Lease.MayWrite || r.Floor.IsZero() {
		return
	}
	at := r.Answer.At
	if at.IsZero() {
		report, _ := r.base.View().Report(r.member.Name)
		at = group.Floor{Term: report.State.Term, Position: report.State.Applied}
	}
	sees := !at.Less(r.Floor)
	f.Guard.Assert(guard.ReadYourWrites, sees, event.Fields{
		"CallerID": r.Caller.ID, "Member": r.member.Name, "Floor": r.Floor.String(), "Term": at.Term, "Applied": at.Position,
	})
}

// drop ends the request's hold on its connection.
func (f *filters) drop(r *Request, clean bool) {
	l := r.Lease
	r.Lease = nil
	r.Track(nil)
	if clean {
		clean = l.SetDeadline(time.Time{}) == nil
	}
	if !clean {
		f.Log.Emit(event.ConnectionClosed, event.Fields{"Database": r.Work.Database, "Member": l.Member.Name, "CallerID": r.Caller.ID})
	}
	l.Release(clean)
}

// confirm holds the end of the answer back until a majority holds the write in
// its own term. It judges only after the member's answer has arrived.
func (f *filters) confirm(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if err := next(ctx, r); err != nil {
			r.Exchange.Drop()
			return err
		}
		if r.Committed.IsZero() {
			return nil
		}
		primary := r.member.Name
		// The write is done: its confirmation is not bound to its deadline.
		waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.Confirm)
		defer cancel()
		v, judged := r.base.Await(waitCtx, func(v view.View) bool { return v.ConfirmationOf(primary, r.Committed) != view.Pending })
		verdict := v.ConfirmationOf(primary, r.Committed)
		if !judged || verdict != view.Confirmed {
			r.Exchange.Drop()
			return fault.New(fault.Unconfirmed, "confirm", "no majority confirmed position %s in its term (%s)", r.Committed, verdict)
		}
		f.Guard.Assert(guard.NoReplacedAck, v.ConfirmationOf(primary, r.Committed) == view.Confirmed, event.Fields{"Position": r.Committed.String()})
		f.Log.Emit(event.WriteConfirmed, event.Fields{
			"CallerID": r.Caller.ID, "Database": r.Work.Database, "Position": r.Committed.String(),
			"TookMs": time.Since(r.Arrived).Milliseconds(),
		})
		return nil
	}
}
