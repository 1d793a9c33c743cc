package chain

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Relay sends requests to other proxies, which serve databases that this one does not.
type Relay interface {
	// Route returns the proxies to which a request for a database may go, the best first.
	// None means that this proxy serves the database itself.
	Route(database string, turn uint64) []string
	// Open returns a connection to a proxy. Its faults are not run.
	Open(ctx context.Context, host string) (RelayConn, error)
}

// RelayConn is a connection to another proxy over which one request runs at a time.
type RelayConn interface {
	// Run runs a request there, and completes it with the answer. A fault other than one
	// that is not run leaves the connection unusable.
	Run(ctx context.Context, r *Request) error
	// Release gives the connection back. One that is not clean is closed.
	Release(clean bool)
}

// relay sends a request for a database that this proxy does not serve to one that does.
// A proxy that cannot be reached, or did not run the request because it is leaving, is
// followed by the next one, and at last by this proxy itself.
func (f *filters) relay(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned && r.Lease.away != nil {
			return f.runAway(ctx, r, r.Lease.away)
		}
		if r.pinned || r.Relayed || f.Relay == nil {
			return next(ctx, r)
		}
		f.awaitPlaced(ctx, r)
		hosts := f.Relay.Route(r.Work.Database, r.Caller.ID)
		hosts = hosts[:min(len(hosts), relayTries)]
		var err error
		answered := false
		for i, host := range hosts {
			if time.Now().After(r.Deadline) {
				return honest(r, lateFault("relay", r))
			}
			var away RelayConn
			if away, err = f.Relay.Open(ctx, host); err == nil {
				f.Log.Emit(event.RelayChosen, f.relayed(r, host))
				r.LastAttempt = answered || i == len(hosts)-1
				answered = true
				err = f.runAway(ctx, r, away)
			}
			if err == nil || !elsewhere(r, err) {
				return honest(r, err)
			}
			f.Log.Emit(event.RelayLost, f.relayLost(r, host, err))
			r.Exchange.Discard()
		}
		if time.Now().After(r.Deadline) {
			return honest(r, lateFault("relay", r))
		}
		return honest(r, next(ctx, r))
	}
}

// relayTries is how many proxies are tried for a request before this one serves it. When
// that many cannot, it is this one that is cut off, or the database has lost its homes.
const relayTries = 4

// elsewhere tells whether a request that failed at one proxy may go to another one: what
// did not run there for no reason of its database, and reads that got no answer.
func elsewhere(r *Request, err error) bool {
	switch fault.Of(err).Kind {
	case fault.Leaving, fault.Unready, fault.Undispatched:
		return true
	case fault.Severed:
		return r.Lease == nil && !r.Write() && !r.Exchange.Sent()
	default:
		return false
	}
}

// runAway runs a request at another proxy, and keeps or gives back the connection.
func (f *filters) runAway(ctx context.Context, r *Request, away RelayConn) error {
	deadline := r.Deadline.Add(f.AnswerGrace + relayGrace)
	if !r.pinned && !r.LastAttempt && !r.Write() {
		// A read that gets no answer goes to another proxy while that still helps: work waits
		// for less than half of its time limit.
		deadline = minTime(deadline, time.Now().Add(r.Work.Deadline/2))
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := away.Run(ctx, r)
	switch {
	case err != nil:
		r.Lease = nil
		away.Release(fault.Of(err).Kind.Outcome() == fault.NotRun)
		if fault.Of(err).Kind.Outcome() == fault.Unknown {
			r.sends++
		}
	case r.Answer.Idle:
		r.Lease = nil
		away.Release(true)
	case r.Lease == nil:
		r.Lease = &Lease{away: away, CallerID: r.Caller.ID, work: r.Work, replicated: r.Replicated}
	}
	return err
}

// relayGrace is how much longer than its deadline a request that runs at another proxy may
// take: that proxy ends it at its deadline, and the answer has a way to come.
const relayGrace = 200 * time.Millisecond

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (f *filters) relayed(r *Request, host string) event.Fields {
	return event.Fields{
		"Request": r.Name, "Caller": r.Caller.Name, "CallerID": r.Caller.ID, "Database": r.Work.Database, "Kind": r.Work.Kind,
		"Rank": int(r.Work.Rank), "Host": host, "Floor": r.Floor.String(),
	}
}

func (f *filters) relayLost(r *Request, host string, err error) event.Fields {
	fields := f.relayed(r, host)
	fields["Fault"], fields["Cause"] = fault.Of(err).Kind.String(), err.Error()
	return fields
}
