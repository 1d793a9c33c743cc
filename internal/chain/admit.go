package chain

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// classify determines the sheet row of the request. A request inside a transaction keeps the
// row that was in force when the transaction began.
func (f *filters) classify(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned = r.Lease != nil; r.pinned {
			// A change of the sheet applies only to later transactions.
			r.Work, r.Replicated = r.Lease.work, r.Lease.replicated
		}
		if r.pinned || r.Relayed {
			r.Deadline = r.Arrived.Add(r.Work.Deadline)
			return next(ctx, r)
		}
		documents := f.Documents.Book()
		rows, listed := documents.Sheet().RowsFor(r.Caller.Service, r.Caller.Name)
		if !listed {
			return fault.New(fault.Denied, "classify", "caller %q is no longer allowed on service %q", r.Caller.Name, r.Caller.Service)
		}
		work, found := sheet.RowForLabel(rows, r.Label)
		if !found {
			return fault.New(fault.Unlisted, "classify", "the sheet lists no kind %q for caller %q on service %q", r.Label, r.Caller.Name, r.Caller.Service)
		}
		work.Access = r.Exchange.Access(work.Access)
		r.Work, r.Replicated = work, documents.Replicated(work.Database)
		r.Deadline = r.Arrived.Add(work.Deadline)
		return next(ctx, r)
	}
}

// admit limits the requests in the chain by rank, and refuses new work while the proxy or
// the database is draining.
func (f *filters) admit(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if err := f.refuse(r); err != nil {
			return err
		}
		if r.pinned {
			// Refusing a statement would end the transaction but free no capacity sooner
			// than the transaction's own end.
			return next(ctx, r)
		}
		if !f.InFlight.TryAcquire(r.Work.Rank) {
			return fault.New(fault.Overloaded, "admit", "all admission slots for requests of rank %d are in use", r.Work.Rank)
		}
		defer f.InFlight.Release(r.Work.Rank)
		return next(ctx, r)
	}
}

func (f *filters) refuse(r *Request) error {
	if r.pinned {
		return nil
	}
	if f.Draining() {
		return fault.New(fault.Leaving, "admit", "this proxy is draining")
	}
	if listed, _ := f.Documents.Book().Database(r.Work.Database); listed.Draining {
		return fault.New(fault.Leaving, "admit", "database %q is draining", r.Work.Database)
	}
	return nil
}

// attachController finds the controller of the request's database.
func (f *filters) attachController(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned {
			r.controller = r.Lease.controller
			return next(ctx, r)
		}
		f.awaitOwners(ctx, r)
		controller, found := f.Controllers.GetOrStart(r.Work.Database)
		if !found {
			return fault.New(fault.NoPrimary, "admit", "the platform lists no database %q", r.Work.Database)
		}
		r.controller = controller
		if r.Relayed && !r.LastAttempt && cannotServe(controller.View(), r) {
			return fault.New(fault.Undispatched, "admit", "this proxy does not reach the members of database %q", r.Work.Database)
		}
		return next(ctx, r)
	}
}

// awaitOwners waits until a proxy that has just started knows the owners of the databases.
// The documents arrive within a fraction of a second unless the store is unreachable.
func (f *filters) awaitOwners(ctx context.Context, r *Request) {
	if f.Controllers.OwnersKnown() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.Arrived.Add(min(r.Work.MaxQueueWait(), ownersWait)))
	defer cancel()
	f.Controllers.AwaitOwners(ctx)
}

// ownersWait is how long a request waits for the first documents of a proxy that has just
// started. A store that responds delivers them within a few round trips.
const ownersWait = 500 * time.Millisecond

// cannotServe reports whether this proxy lacks what a request needs while another proxy may
// have it: no member answers here, or the primary does not and no other member's report
// proves the position that the read must see.
func cannotServe(v view.View, r *Request) bool {
	if v.AllSilent() {
		return true
	}
	primary, found := v.Primary()
	if r.Write() || r.Work.StalenessBound == 0 || !found || !v.Silent(primary.Member) {
		return false
	}
	_, proven := v.StalenessFloor(time.Now().Add(-r.Work.StalenessBound))
	return !proven
}

// lateFault returns the fault of a request whose deadline passed before any of it was sent.
func lateFault(op string, r *Request) *fault.Error {
	return fault.New(fault.Late, op, "the work could not begin within its deadline of %s", r.Work.Deadline)
}

// refusedFields returns the log fields of a request that ended with a fault.
func refusedFields(r *Request, err *fault.Error) event.Fields {
	return event.Fields{
		"Request": r.Name, "Caller": r.Caller.Name, "CallerID": r.Caller.ID, "Service": r.Caller.Service, "Kind": r.Work.Kind,
		"Rank": int(r.Work.Rank), "Fault": err.Kind.String(), "Cause": err.Error(),
		"Database": r.Work.Database, "Member": r.member.Name, "Write": r.Write(), "Pinned": r.pinned,
		"WaitedMs": time.Since(r.Arrived).Milliseconds(),
	}
}

// LogFault logs the fault that ended a request.
func LogFault(log *event.Log, r *Request, err *fault.Error) {
	e := event.RequestRejected
	if err.Kind.Outcome() == fault.Unknown {
		e = event.OutcomeUnknown
	}
	log.Emit(e, refusedFields(r, err))
}
