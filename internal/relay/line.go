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

// line is a connection to a proxy that serves databases.
type line struct {
	conn   net.Conn
	target *target
	// outcomes holds the answer to the job that is under way. It closes when the
	// connection has ended.
	outcomes chan Outcome
	ended    <-chan error
	// number is that of the last job.
	number uint64
	// gone tells that the connection has ended. The target's lock guards it.
	gone bool
}

var _ chain.RelayConn = (*line)(nil)

// newLine takes over a connection to a proxy.
func newLine(conn net.Conn, t *target) *line {
	l := &line{conn: conn, target: t, outcomes: make(chan Outcome, 1)}
	l.ended = duty.Start(context.Background(), l.read)
	return l
}

// read is the duty that takes outcomes, so that the end of a connection is known before
// the next job is sent over it.
func (l *line) read(context.Context) error {
	defer l.target.drop(l)
	defer close(l.outcomes)
	for {
		var o Outcome
		if err := peer.DecodeInto(l.conn, maxBytes, &o); err != nil {
			return err
		}
		if o.Number == 0 && o.Draining {
			l.target.leave()
			continue
		}
		select {
		case l.outcomes <- o:
		default:
			return &peer.FrameError{Got: "an outcome", Want: "none, since no job is under way"}
		}
	}
}

// Run implements chain.Away.
func (l *line) Run(ctx context.Context, r *chain.Request) error {
	x := r.Exchange.(*flow.Exchange) //nolint:forcetypeassert,errcheck // the protocol whose proxies relay has no others
	row := r.Work
	row.Secret, row.Service, row.Caller = "", "", ""
	l.number++
	raw, err := peer.EncodeArray(Job{
		Number: l.number, Request: r.Name, Service: r.Caller.Service, Caller: r.Caller.Name, Waited: time.Since(r.Arrived),
		Work: row, Replicated: r.Replicated, LastAttempt: r.LastAttempt, Floor: r.Floor, Payload: x.Payload(),
	})
	if err != nil {
		return fault.Wrap(err, fault.Oversize, "relay", "the request is too large for another proxy")
	}
	sent := l.target.begin(time.Now())
	defer l.target.end(sent)
	if err := l.send(raw); err != nil {
		return err
	}
	select {
	case o, open := <-l.outcomes:
		if !open {
			return fault.New(fault.Severed, "relay", "the connection to proxy %s ended before its answer", l.target.host.Name)
		}
		if o.Number != l.number {
			return fault.New(fault.Severed, "relay", "proxy %s answered job %d instead of job %d", l.target.host.Name, o.Number, l.number)
		}
		return l.take(r, x, o)
	case <-ctx.Done():
		l.target.silent()
		return fault.Wrap(ctx.Err(), fault.Severed, "relay", "proxy %s did not answer in time", l.target.host.Name)
	}
}

// send sends a job. One that was not written whole is not run: the other proxy takes
// whole jobs only.
func (l *line) send(raw []byte) error {
	err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		var written int
		written, err = l.conn.Write(raw)
		if written == len(raw) {
			return nil
		}
	}
	err = errors.CombineErrors(err, l.conn.Close())
	return fault.Wrap(err, fault.Undispatched, "relay", "the connection to proxy %s had ended", l.target.host.Name)
}

// take completes a request with its outcome.
func (l *line) take(r *chain.Request, x *flow.Exchange, o Outcome) error {
	l.target.answered()
	if o.Draining {
		l.target.leave()
	}
	if o.Failed {
		return fault.New(o.Fault, "run at "+l.target.host.Name, "%s", o.Text)
	}
	x.Finish(o.Reply)
	r.Answer = chain.Answer{Idle: x.Idle(), Whole: true, Confirmed: o.Confirmed, MemberPosition: o.Reply.Position}
	return nil
}

// Release implements chain.Away.
func (l *line) Release(clean bool) { l.target.put(l, clean) }
