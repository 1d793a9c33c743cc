package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/budget"
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
	// memory accounts for the answers that are being received.
	memory *budget.Budget
	// outcomes receives the answer to the job in flight. It is closed when the connection
	// has ended.
	outcomes chan Outcome
	ended    <-chan error
	// closing is set once the owner has announced that it runs no further job.
	closing atomic.Bool
	// number is that of the last job.
	number uint64
	// disconnected is set when the connection has ended. The owner's lock guards it.
	disconnected bool
}

var _ chain.RelayConn = (*ownerConn)(nil)

// newOwnerConn wraps an open connection to an owner and starts to read from it.
func newOwnerConn(conn net.Conn, o *owner) *ownerConn {
	c := &ownerConn{conn: conn, owner: o, memory: o.memory, outcomes: make(chan Outcome, 1)}
	c.ended = duty.Start(context.Background(), c.read)
	return c
}

// read is the background task that receives outcomes. It reads also while no job is in
// flight, so that the end of a connection is noticed before the next job is sent over it.
func (c *ownerConn) read(context.Context) error {
	defer c.owner.drop(c)
	defer close(c.outcomes)
	for {
		o, err := c.receive()
		if err != nil {
			return err
		}
		if o.Number == 0 && o.Draining {
			c.owner.setDraining()
			if o.Closing {
				c.closing.Store(true)
			}
			continue
		}
		select {
		case c.outcomes <- o:
		default:
			return &peer.FrameError{Got: "an outcome", Want: "none, since no job is in flight"}
		}
	}
}

// receive reads an outcome, and accounts for one that is large while it is read.
func (c *ownerConn) receive() (o Outcome, err error) {
	var hold *budget.Hold
	defer func() { hold.Close() }()
	err = peer.DecodeReserved(c.conn, maxBytes, &o, func(arrived int) error {
		if hold == nil {
			hold = c.memory.Open(func(budget.Class) {})
		}
		return hold.Receive(arrived)
	})
	return o, err
}

// Run implements chain.RelayConn.
func (c *ownerConn) Run(ctx context.Context, r *chain.Request) error {
	x := r.Exchange.(*flow.Exchange) //nolint:forcetypeassert,errcheck // the protocol whose proxies relay has no others
	row := r.Work
	row.Secret, row.Service, row.Caller = "", "", ""
	raw, err := encode(Job{
		Number: c.number + 1, Request: r.Name, Service: r.Caller.Service, Caller: r.Caller.Name, Waited: time.Since(r.Arrived),
		Work: row, Replicated: r.Replicated, LastAttempt: r.LastAttempt, Floor: r.Floor, Payload: x.Payload(),
		Customer: r.Caller.Customer, KeyDigest: r.Caller.KeyDigest, SheetSerial: c.owner.sheetSerial(),
	})
	if err != nil {
		return fault.Wrap(err, fault.Oversize, "relay", "the request is too large to be relayed")
	}
	// The owner relies on jobs being numbered without gaps when it refuses one unread.
	c.number++
	sent := c.owner.begin(time.Now())
	defer c.owner.end(sent)
	if err := c.send(raw); err != nil {
		return err
	}
	select {
	case o, open := <-c.outcomes:
		if !open && c.closing.Load() {
			return fault.New(fault.Undispatched, "relay", "proxy %s closed the connection before it ran the request", c.owner.host.Name)
		}
		if !open {
			return fault.New(fault.Severed, "relay", "the connection to proxy %s ended before its answer", c.owner.host.Name)
		}
		if o.Number != c.number {
			return fault.New(fault.Severed, "relay", "proxy %s answered job %d instead of job %d", c.owner.host.Name, o.Number, c.number)
		}
		c.owner.times.record(c.owner.host.Name, r, sent, o)
		return c.complete(r, x, o)
	case <-ctx.Done():
		c.owner.recordFailure()
		c.owner.times.unanswered(c.owner.host.Name)
		return fault.Wrap(ctx.Err(), fault.Severed, "relay", "proxy %s did not answer before the deadline", c.owner.host.Name)
	}
}

// send sends a job. A job that was not written completely does not run, because the owner
// decodes a job before it runs any of it.
func (c *ownerConn) send(raw []byte) error {
	err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		var written int
		written, err = c.conn.Write(raw)
		if written == len(raw) {
			return nil
		}
	}
	err = errors.CombineErrors(err, c.conn.Close())
	return fault.Wrap(err, fault.Undispatched, "relay", "the connection to proxy %s was closed before the request was sent", c.owner.host.Name)
}

// complete applies a job's outcome to the request.
func (c *ownerConn) complete(r *chain.Request, x *flow.Exchange, o Outcome) error {
	c.owner.recordAnswer()
	if o.Draining {
		c.owner.setDraining()
	}
	if o.Failed {
		if !o.Fault.Known() {
			// What a kind of another release says about the outcome is not known.
			return fault.New(fault.Severed, "run at "+c.owner.host.Name, "got fault %d, want one of this release: %s", uint8(o.Fault), o.Text)
		}
		return fault.New(o.Fault, "run at "+c.owner.host.Name, "%s", o.Text)
	}
	if !o.Reply.Refusal.Known() || !o.Reply.Phase.Known() {
		return fault.New(fault.Severed, "run at "+c.owner.host.Name, "got refusal %d in phase %d, want those of this release: %s", uint8(o.Reply.Refusal), uint8(o.Reply.Phase), o.Reply.Text)
	}
	x.Finish(o.Reply)
	r.Answer = chain.Answer{Idle: x.Idle(), Whole: true, Confirmed: o.Confirmed, MemberPosition: o.Reply.Position}
	return nil
}

// Release implements chain.RelayConn.
func (c *ownerConn) Release(clean bool) { c.owner.put(c, clean) }
