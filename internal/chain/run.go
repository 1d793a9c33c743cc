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

// run sends the request to the member and passes the answer on.
func (f *filters) run(ctx context.Context, r *Request) error {
	l := r.Lease
	r.member = l.Member
	f.Guard.Assert(guard.SingleCallerTransaction, l.CallerID == r.Caller.ID, event.Fields{"CallerID": r.Caller.ID, "Owner": l.CallerID})
	f.Guard.Assert(guard.NoWorkToDrainingDatabase, r.pinned || !l.Member.Closed, event.Fields{"Member": l.Member.Name})
	f.Guard.Assert(guard.AtMostOnce, !l.MayWrite || r.sends == 0, event.Fields{"CallerID": r.Caller.ID, "Sends": r.sends})
	deadline := r.Deadline.Add(f.AnswerGrace)
	if err := f.checkSendable(r, deadline); err != nil {
		return err
	}
	r.sends++
	l.setIdle(false)
	r.Track(l)
	defer r.Track(nil)
	order := RunOptions{
		Write: l.MayWrite, Pinned: r.pinned, Floor: r.readFloor, ProveLeadership: f.needsLeadershipProof(r), BufferBytes: f.BufferBytes, Deadline: deadline,
		Replicated: r.Replicated,
	}
	sentAt := time.Now()
	answer, err := r.Exchange.Run(l.ProtocolConn, order)
	r.Answer = answer
	if err != nil {
		f.releaseLease(r, false)
		if answer.Unsent {
			r.sends--
		}
		return err
	}
	if answer.Rejection != nil {
		if answer.Rejection.Kind == fault.Overloaded && l.permit.ReportOverload != nil {
			l.permit.ReportOverload()
		}
		f.releaseLease(r, !answer.Dirty)
		r.sends--
		return answer.Rejection
	}
	return f.finish(ctx, r, sentAt)
}

// checkSendable returns the reason for which a request may no longer be sent, or nil.
func (f *filters) checkSendable(r *Request, deadline time.Time) error {
	l, now := r.Lease, time.Now()
	if now.After(r.Deadline) && !r.pinned {
		f.releaseLease(r, true)
		return lateFault("send", r)
	}
	if l.Customer() != r.Caller.Customer {
		f.releaseLease(r, !r.pinned)
		return fault.New(fault.UnknownKey, "send", "the connection to %s was opened for another customer", l.Member.Name)
	}
	if err := l.SetDeadline(deadline); err != nil {
		f.releaseLease(r, false)
		return fault.Wrap(err, fault.Unreachable, "send", "the connection to %s was already closed", l.Member.Name)
	}
	if !r.pinned && l.permit.Expired(now) {
		f.releaseLease(r, true)
		return fault.New(fault.Undispatched, "send", "the permit of %s expired before the work was sent", l.Member.Name)
	}
	return nil
}

// needsLeadershipProof reports whether the answer to a read must prove that the member
// leads.
func (f *filters) needsLeadershipProof(r *Request) bool {
	return r.proveLeadership || (!r.Lease.MayWrite && !r.pinned && r.Exchange.ProvesLeadership() && isPrimary(r.controller.View(), r.Lease.Member))
}

// finish evaluates the answer of a member that ran the request, and releases the connection
// unless a transaction is open.
func (f *filters) finish(ctx context.Context, r *Request, sentAt time.Time) error {
	l, answer := r.Lease, r.Answer
	if answer.MemberState.Partial {
		r.controller.Observe(view.Report{Member: l.Member.Name, SentAt: sentAt, ReceivedAt: time.Now(), State: answer.MemberState})
	}
	if answer.UnderLease && !f.provesLease(ctx, r, time.Now()) {
		f.releaseLease(r, false)
		r.sends--
		return fault.New(fault.Unproven, "run", "no majority of database %q proved within the deadline that %s still leads", r.Work.Database, l.Member.Name)
	}
	f.Guard.Assert(guard.CompleteAnswer, answer.Whole, event.Fields{"CallerID": r.Caller.ID, "Member": l.Member.Name})
	f.assertRead(r)
	r.Committed = answer.Committed
	if answer.Idle {
		f.releaseLease(r, !answer.Dirty)
	} else {
		l.setIdle(true)
	}
	if answer.NotPrimary {
		// The member executed nothing, so the work may be sent again.
		r.sends = 0
	}
	return nil
}

// provesLease reports whether no other primary can have acknowledged anything before an
// answer of the primary arrived. It waits for a proof, by a majority, that is at most one
// lease older than the answer.
func (f *filters) provesLease(ctx context.Context, r *Request, arrived time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	since := f.leaseStart(arrived)
	v, proven := r.controller.Await(ctx, func(v view.View) bool { return v.ProvenUntil().After(since) })
	primary, found := v.Primary()
	return proven && found && primary.Member == r.member.Name
}

// leaseStart returns the time since which a proof is still valid at the given time.
func (f *filters) leaseStart(now time.Time) time.Time {
	since := now.Add(-f.LeadershipLease)
	if resumed := f.suspensions.lastResume(now); resumed.After(since) {
		return resumed
	}
	return since
}

// assertRead compares the position that the member reported with the answer, or else its last
// report, with the caller's own floor. The comparison is independent of the decision by
// which the member was selected.
func (f *filters) assertRead(r *Request) {
	if r.pinned || r.Lease.MayWrite || r.Floor.IsZero() {
		return
	}
	position := r.Answer.MemberPosition
	if position.IsZero() {
		report, _ := r.controller.View().Report(r.member.Name)
		position = group.Floor{Term: report.State.Term, Position: report.State.Applied}
	}
	sees := !position.Less(r.Floor)
	f.Guard.Assert(guard.ReadYourWrites, sees, event.Fields{
		"CallerID": r.Caller.ID, "Member": r.member.Name, "Floor": r.Floor.String(), "Term": position.Term, "Applied": position.Position,
	})
}

// releaseLease takes the lease from the request and releases it.
func (f *filters) releaseLease(r *Request, clean bool) {
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

// confirm keeps the end of the answer buffered until every promotion is bound to keep the
// write. It checks this only after the member's answer has arrived.
func (f *filters) confirm(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if err := next(ctx, r); err != nil {
			r.Exchange.Drop()
			return err
		}
		await, position := f.awaitMajority, r.Committed
		if position.IsZero() && r.Replicated {
			await, position = f.awaitRetention, r.Answer.Confirmed
		}
		if position.IsZero() {
			return nil
		}
		// The write has run, so its deadline does not limit its confirmation.
		waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.ConfirmTimeout)
		defer cancel()
		if verdict := await(waitCtx, r, position); verdict != view.Confirmed {
			r.Exchange.Drop()
			return fault.New(fault.Unconfirmed, "confirm", "position %s may be missing after a promotion (%s)", position, verdict)
		}
		return nil
	}
}

// awaitMajority waits until a majority holds a write in its own term, or no longer can.
func (f *filters) awaitMajority(ctx context.Context, r *Request, position group.Floor) view.Confirmation {
	primary := r.member.Name
	v, _ := r.controller.Await(ctx, func(v view.View) bool { return v.ConfirmationOf(primary, position) != view.Pending })
	verdict := v.ConfirmationOf(primary, position)
	if verdict == view.Confirmed {
		f.Guard.Assert(guard.NoReplacedAck, v.ConfirmationOf(primary, position) == view.Confirmed, event.Fields{"Position": position.String()})
		f.Log.Emit(event.WriteConfirmed, event.Fields{
			"CallerID": r.Caller.ID, "Database": r.Work.Database, "Position": position.String(),
			"TookMs": time.Since(r.Arrived).Milliseconds(),
		})
	}
	return verdict
}

// awaitRetention waits until every promotion is bound to keep a write that the primary
// acknowledged once a single replica held it.
func (f *filters) awaitRetention(ctx context.Context, r *Request, position group.Floor) view.Confirmation {
	now := time.Now()
	return r.controller.AwaitRetention(ctx, r.member.Name, position, now, f.leaseStart(now))
}
