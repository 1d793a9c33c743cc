package relay

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// ownerConn is a connection to an owner.
type ownerConn struct {
	conn  net.Conn
	owner *owner
	// outcomes receives the answer to the job in flight. It is closed when the connection
	// has ended.
	outcomes chan Outcome
	ended    <-chan error
	// number is that of the last job.
	number uint64
	// closed is set when the connection has ended. The owner's lock guards it.
	closed bool
}

var _ chain.RelayConn = (*ownerConn)(nil)

// newOwnerConn wraps an open connection to an owner and starts to read from it.
func newOwnerConn(conn net.Conn, o *owner) *ownerConn {
	l := &ownerConn{conn: conn, owner: o, outcomes: make(chan Outcome, 1)}
	l.ended = duty.Start(context.Background(), l.read)
	return l
}

// read is the background task that receives outcomes. It reads also while no job is in
// flight, so that the end of a connection is noticed before the next job is sent over it.
func (l *ownerConn) read(context.Context) error {
	defer l.owner.drop(l)
	defer close(l.outcomes)
	for {
		var o Outcome
		if err := peer.DecodeInto(l.conn, maxBytes, &o); err != nil {
			return err
		}
		if o.Number == 0 && o.Draining {
			l.owner.setDraining()
			continue
		}
		select {
		case l.outcomes <- o:
		default:
			return &peer.FrameError{Got: "an outcome", Want: "none, since no job is in flight"}
		}
	}
}

// Run implements chain.RelayConn.
func (l *ownerConn) Run(ctx context.Context, r *chain.Request) error {
	x := r.Exchange.(*flow.Exchange) //nolint:forcetypeassert,errcheck // the protocol whose proxies relay has no others
	row := r.Work
	row.Secret, row.Service, row.Caller = "", "", ""
	l.number++
	raw, err := peer.EncodeArray(Job{
		Number: l.number, Request: r.Name, Service: r.Caller.Service, Caller: r.Caller.Name, Waited: time.Since(r.Arrived),
		Work: row, Replicated: r.Replicated, LastAttempt: r.LastAttempt, Floor: r.Floor, Payload: x.Payload(),
	})
	if err != nil {
		return fault.Wrap(err, fault.Oversize, "relay", "the request is too large to be relayed")
	}
	sent := l.owner.begin(time.Now())
	defer l.owner.end(sent)
	if err := l.send(raw); err != nil {
		return err
	}
	select {
	case o, open := <-l.outcomes:
		if !open {
			return fault.New(fault.Severed, "relay", "the connection to proxy %s ended before its answer", l.owner.host.Name)
		}
		if o.Number != l.number {
			return fault.New(fault.Severed, "relay", "proxy %s answered job %d instead of job %d", l.owner.host.Name, o.Number, l.number)
		}
		return l.complete(r, x, o)
	case <-ctx.Done():
		l.owner.recordFailure()
		return fault.Wrap(ctx.Err(), fault.Severed, "relay", "proxy %s did not answer before the deadline", l.owner.host.Name)
	}
}

// send sends a job. A job that was not written completely does not run, because the owner
// decodes a job before it runs any of it.
func (l *ownerConn) send(raw []byte) error {
	err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		var written int
		written, err = l.conn.Write(raw)
		if written == len(raw) {
			return nil
		}
	}
	err = errors.CombineErrors(err, l.conn.Close())
	return fault.Wrap(err, fault.Undispatched, "relay", "the connection to proxy %s was closed before the request was sent", l.owner.host.Name)
}

// complete applies a job's outcome to the request.
func (l *ownerConn) complete(r *chain.Request, x *flow.Exchange, o Outcome) error {
	l.owner.recordAnswer()
	if o.Draining {
		l.owner.setDraining()
	}
	if o.Failed {
		return fault.New(o.Fault, "run at "+l.owner.host.Name, "%s", o.Text)
	}
	x.Finish(o.Reply)
	r.Answer = chain.Answer{Idle: x.Idle(), Whole: true, Confirmed: o.Confirmed, MemberPosition: o.Reply.Position}
	return nil
}

// Release implements chain.RelayConn.
func (l *ownerConn) Release(clean bool) { l.owner.put(l, clean) }
