package chain

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Relay sends requests to other proxies that own the databases which this proxy does not.
type Relay interface {
	// Route returns the hosts to which a request for a database may be relayed, the best first.
	// An empty result means that this proxy serves the database itself.
	Route(database string, turn uint64) []string
	// Open returns a connection to the proxy on a host. The outcome of its faults is always
	// NotRun.
	Open(ctx context.Context, host string) (RelayConn, error)
}

// RelayConn is a connection to another proxy that runs one request at a time.
type RelayConn interface {
	// Run runs a request on the other proxy and fills in its answer. After a fault whose
	// outcome is not NotRun, the connection is unusable.
	Run(ctx context.Context, r *Request) error
	// Release returns the connection for reuse, or closes it if it is not clean.
	Release(clean bool)
}

// relay sends a request to an owner of its database if this proxy is not one. If that owner
// is unreachable, or did not run the request because it is draining, the next one is
// tried. If none of them runs it, this proxy serves the request itself.
func (f *filters) relay(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.pinned && r.Lease.remote != nil {
			return f.runRemote(ctx, r, r.Lease.remote)
		}
		if r.pinned || r.Relayed || f.Relay == nil {
			return next(ctx, r)
		}
		f.awaitOwners(ctx, r)
		hosts := f.Relay.Route(r.Work.Database, relayTurn(r.Caller))
		hosts = hosts[:min(len(hosts), maxRelayAttempts)]
		var err error
		reached := false
		for i, host := range hosts {
			if time.Now().After(r.Deadline) {
				return withPriorSends(r, lateFault("relay", r))
			}
			var remote RelayConn
			if remote, err = f.Relay.Open(ctx, host); err == nil {
				f.Log.Emit(event.RelayChosen, f.relayFields(r, host))
				r.LastAttempt = reached || i == len(hosts)-1
				reached = true
				err = f.runRemote(ctx, r, remote)
			}
			if err == nil || !canRetryOnOtherProxy(r, err) {
				return withPriorSends(r, err)
			}
			f.Log.Emit(event.RelayLost, f.relayLostFields(r, host, err))
			r.Exchange.Discard()
		}
		if time.Now().After(r.Deadline) {
			return withPriorSends(r, lateFault("relay", r))
		}
		return withPriorSends(r, next(ctx, r))
	}
}

// relayTurn returns the number that rotates the owners of a request. Requests of a customer
// prefer the same owner on every host, because a connection to a member serves one customer.
func relayTurn(c Caller) uint64 {
	if c.Customer == "" {
		return c.ID
	}
	return xxhash.Sum64String(c.Customer)
}

// maxRelayAttempts is how many owners are tried before this proxy serves the request. If
// that many fail, this proxy is probably isolated, or the database has lost its owners.
const maxRelayAttempts = 4

// canRetryOnOtherProxy reports whether a request that failed at one proxy may be sent to
// another: work that did not run for a reason unrelated to its database, and reads outside a
// transaction that got no answer.
func canRetryOnOtherProxy(r *Request, err error) bool {
	switch fault.FromError(err).Kind {
	case fault.Leaving, fault.Unready, fault.Undispatched:
		return true
	case fault.Severed:
		return r.Lease == nil && !r.Write() && !r.Exchange.Sent()
	default:
		return false
	}
}

// runRemote runs a request on another proxy, and keeps the connection while a transaction
// is open.
func (f *filters) runRemote(ctx context.Context, r *Request, remote RelayConn) error {
	deadline := r.Deadline.Add(f.AnswerGrace + relayGrace)
	if !r.pinned && !r.LastAttempt && !r.Write() {
		// A read that gets no answer is retried on another proxy while there is time to run it
		// there: work waits for less than half of its time limit.
		deadline = earlier(deadline, time.Now().Add(r.Work.Deadline/2))
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := remote.Run(ctx, r)
	switch {
	case err != nil:
		r.Lease = nil
		// The owner may still hold an open transaction, which ends with the connection.
		remote.Release(!r.pinned && fault.FromError(err).Kind.Outcome() == fault.NotRun)
		if fault.FromError(err).Kind.Outcome() == fault.Unknown {
			r.sends++
		}
	case r.Answer.Idle:
		r.Lease = nil
		remote.Release(true)
	case r.Lease == nil:
		r.Lease = &Lease{remote: remote, CallerID: r.Caller.ID, work: r.Work, replicated: r.Replicated}
	}
	return err
}

// relayGrace is how much longer than AnswerGrace after its deadline a relayed request may
// take. The other proxy ends it at its deadline, and the answer must still travel back.
const relayGrace = 200 * time.Millisecond

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (f *filters) relayFields(r *Request, host string) event.Fields {
	return event.Fields{
		"Request": r.Name, "Caller": r.Caller.Name, "CallerID": r.Caller.ID, "Database": r.Work.Database, "Kind": r.Work.Kind,
		"Rank": int(r.Work.Rank), "Host": host, "Floor": r.Floor.String(),
	}
}

func (f *filters) relayLostFields(r *Request, host string, err error) event.Fields {
	fields := f.relayFields(r, host)
	fields["Fault"], fields["Cause"] = fault.FromError(err).Kind.String(), err.Error()
	return fields
}
