package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Protocol serves the jobs that another proxy sends over a connection.
type Protocol struct{}

var _ front.Protocol = Protocol{}

// Refuse implements front.Protocol. It sends nothing: the other proxy notices that the
// connection is closed.
func (Protocol) Refuse(net.Conn, *fault.Error) {}

// Serve implements front.Protocol.
func (Protocol) Serve(ctx context.Context, s *front.Session) error {
	out := &outcomeWriter{conn: s.Conn}
	s.OnDrain(func() {
		// If the notice cannot be sent, the answer to the next job still reports the drain.
		_ = out.put(Outcome{Draining: true})
	})
	s.OnClose(func() {
		if out.put(Outcome{Draining: true, Closing: true}) == nil {
			s.CloseWrite()
		}
	})
	for last := uint64(0); ; {
		s.Memory.Done()
		var job Job
		err := peer.DecodeReserved(s, maxBytes, &job, s.Memory.Reserve)
		s.Memory.Complete()
		var refused *peer.RefusedError
		var outcome Outcome
		switch {
		case err == nil:
			outcome = run(ctx, s, job)
		case errors.As(err, &refused):
			// The jobs of a connection are numbered in order.
			job.Number = last + 1
			outcome = Outcome{Failed: true, Fault: fault.Overloaded, Text: "the memory for messages is used up", Draining: s.DrainStarted()}
		default:
			return err
		}
		last = job.Number
		outcome.Number = job.Number
		s.Memory.Send(len(outcome.Text) + outcome.Reply.Bytes())
		if err := out.put(outcome); err != nil {
			return err
		}
	}
}

// outcomeWriter sends outcomes, one at a time: answers to jobs and concurrent notices. It closes
// the connection after an outcome of which only a part was written, and sends nothing more.
type outcomeWriter struct {
	conn net.Conn

	mu sync.Mutex
	// cut is the error of a write that sent only a part of an outcome.
	cut error
}

func (w *outcomeWriter) put(o Outcome) error {
	raw, err := encode(o)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut != nil {
		return w.cut
	}
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	written, err := w.conn.Write(raw)
	if err != nil && written > 0 {
		w.cut = err
		return errors.CombineErrors(err, w.conn.Close())
	}
	return err
}

// writeTimeout is the time limit for writing a job or an outcome. It equals the time that
// peers have for a frame.
const writeTimeout = 500 * time.Millisecond

// run runs a job through the filter chain.
func run(ctx context.Context, s *front.Session, job Job) Outcome {
	if !s.BeginRequest() {
		return Outcome{Failed: true, Fault: fault.Leaving, Text: "this proxy is draining", Draining: true}
	}
	defer s.EndRequest()
	if rank := job.Work.Rank; !rank.Valid() {
		s.Rollback()
		return Outcome{Failed: true, Fault: fault.Protocol, Text: fmt.Sprintf("got rank %d, want a rank from 1 to %d", rank, sheet.MaxRank), Draining: s.DrainStarted()}
	}
	if err := checkCustomer(s.Options().Documents.Book(), job); err != nil {
		s.Rollback()
		return Outcome{Failed: true, Fault: err.Kind, Text: err.Message(), Draining: s.DrainStarted()}
	}
	x := job.Payload.Exchange().WithMemory(s.Memory)
	if s.Pinned() && (!x.InTransaction() || s.Caller.Customer != job.Customer) {
		// The transaction belongs to an earlier job, whose caller no longer uses it.
		s.Rollback()
	}
	s.Caller.Service, s.Caller.Name = job.Service, job.Caller
	s.Caller.Customer, s.Caller.KeyDigest = job.Customer, job.KeyDigest
	if !s.Pinned() && x.InTransaction() {
		return Outcome{Failed: true, Fault: fault.Undispatched, Text: "the transaction is not open at this proxy", Draining: s.DrainStarted()}
	}
	r := &chain.Request{
		Name: job.Request, Exchange: x, Floor: job.Floor, Arrived: time.Now().Add(-job.Waited),
		Relayed: true, Work: job.Work, Replicated: job.Replicated, LastAttempt: job.LastAttempt,
	}
	if err := s.Do(ctx, r); err != nil {
		// Closing the member's connection ends the transaction that may be open on it.
		s.Rollback()
		return Outcome{Failed: true, Fault: err.Kind, Text: err.Message(), Draining: s.DrainStarted()}
	}
	return Outcome{Reply: x.Reply(), Confirmed: r.Answer.Confirmed, Draining: s.DrainStarted()}
}
