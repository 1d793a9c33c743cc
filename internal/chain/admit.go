package chain

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// classify looks up the sheet's row for the request. Inside a transaction the
// work stays what it was when the transaction began.
func (f *filters) classify(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned = r.Lease != nil; r.pinned {
			// A change of the sheet applies from the next transaction on.
			r.Work, r.Replicated = r.Lease.work, r.Lease.replicated
		}
		if r.pinned || r.Given {
			r.Deadline = r.Arrived.Add(r.Work.Deadline)
			return next(ctx, r)
		}
		held := f.Books.Book()
		rows, listed := held.Sheet().Access(r.Caller.Service, r.Caller.Name)
		if !listed {
			return fault.New(fault.Denied, "classify", "caller %q is no longer allowed on service %q", r.Caller.Name, r.Caller.Service)
		}
		work, found := sheet.Work(rows, r.Label)
		if !found {
			return fault.New(fault.Unlisted, "classify", "the sheet lists no kind %q for caller %q on service %q", r.Label, r.Caller.Name, r.Caller.Service)
		}
		work.Access = r.Exchange.Access(work.Access)
		r.Work, r.Replicated = work, held.Replicated(work.Database)
		r.Deadline = r.Arrived.Add(work.Deadline)
		return next(ctx, r)
	}
}

// admit bounds the requests in the chain by rank, and refuses work for what is
// leaving.
func (f *filters) admit(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if err := f.refuse(r); err != nil {
			return err
		}
		if r.pinned {
			// A refusal would end the transaction, which frees nothing sooner than
			// its own end.
			return next(ctx, r)
		}
		if !f.InFlight.Take(r.Work.Rank) {
			return fault.New(fault.Overloaded, "admit", "all places for requests of rank %d are taken", r.Work.Rank)
		}
		defer f.InFlight.Give(r.Work.Rank)
		return next(ctx, r)
	}
}

func (f *filters) refuse(r *Request) error {
	if r.pinned {
		return nil
	}
	if f.Draining() {
		return fault.New(fault.Leaving, "admit", "this proxy is leaving")
	}
	if listed, _ := f.Books.Book().Database(r.Work.Database); listed.Leaving {
		return fault.New(fault.Leaving, "admit", "database %q is leaving", r.Work.Database)
	}
	return nil
}

// watch finds the watch over the request's database.
func (f *filters) watch(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned {
			r.base = r.Lease.base
			return next(ctx, r)
		}
		f.awaitPlaced(ctx, r)
		base, found := f.Bases.GetOrStart(r.Work.Database)
		if !found {
			return fault.New(fault.NoPrimary, "admit", "the platform lists no database %q", r.Work.Database)
		}
		r.base = base
		if r.Given && !r.Last && outOfSight(base.View(), r) {
			return fault.New(fault.Undispatched, "admit", "this proxy does not reach the members of database %q", r.Work.Database)
		}
		return next(ctx, r)
	}
}

// awaitPlaced waits for the lists of a proxy that has only just started, which come within a
// fraction of a second unless the store is out of reach.
func (f *filters) awaitPlaced(ctx context.Context, r *Request) {
	if f.Bases.OwnersKnown() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.Arrived.Add(min(r.Work.Patience(), listsWait)))
	defer cancel()
	f.Bases.AwaitOwners(ctx)
}

// listsWait is how long a request waits for the lists of a proxy that has just started: a
// store that answers gives them within a few round trips.
const listsWait = 500 * time.Millisecond

// outOfSight tells whether another proxy may serve a request that this one cannot: no
// member answers it, or the primary does not, and nothing else proves what a read must see.
func outOfSight(v view.View, r *Request) bool {
	if v.Blind() {
		return true
	}
	primary, found := v.Primary()
	if r.Write() || r.Work.AcceptedAge == 0 || !found || !v.Silent(primary.Member) {
		return false
	}
	_, proven := v.Aged(time.Now().Add(-r.Work.AcceptedAge))
	return !proven
}

// Late returns the fault of a request whose deadline has passed before any of it
// was sent.
func Late(op string, r *Request) *fault.Error {
	return fault.New(fault.Late, op, "the work could not begin within its deadline of %s", r.Work.Deadline)
}

// refusedFields describe a request that ends with a fault.
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
	e := event.WorkRefused
	if err.Kind.Outcome() == fault.Unknown {
		e = event.OutcomeUnknown
	}
	log.Emit(e, refusedFields(r, err))
}
