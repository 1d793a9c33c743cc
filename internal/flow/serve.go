package flow

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// startTimeout is the time limit for a caller's first message.
const startTimeout = 10 * time.Second

// Protocol implements front.Protocol for protocols of typed statements.
type Protocol struct {
	// NewCaller returns the Caller of a network connection.
	NewCaller func(conn net.Conn) Caller
}

var _ front.Protocol = Protocol{}

// Refuse implements front.Protocol. It sends nothing, because a caller that has sent no
// request expects no answer. The connection is closed afterwards.
func (Protocol) Refuse(net.Conn, *fault.Error) {}

// Serve implements front.Protocol.
func (p Protocol) Serve(ctx context.Context, base *front.Session) error {
	s := &session{Session: base, caller: p.NewCaller(base.Conn)}
	s.caller.OnGrow(s.reserve)
	if err := s.start(); err != nil {
		s.LogDenied(err)
		return err
	}
	s.LogAccepted("")
	for {
		s.Memory.Done()
		if err := s.await(); err != nil {
			return err
		}
		q, err := s.caller.Next()
		s.Memory.Complete()
		if err != nil {
			return s.answerInvalid(err)
		}
		if err := s.answer(ctx, q); err != nil {
			return err
		}
	}
}

type session struct {
	*front.Session
	caller Caller
	state  stmt.Session
	floor  group.Floor
	// expired is set if the transaction was rolled back because it was idle for too long,
	// and the caller has not been notified yet.
	expired bool
	// digest is the digest of what the caller presented as its key, or empty, and checkedSerial
	// the serial of the sheet by which the caller was last identified.
	digest        string
	checkedSerial uint64
}

// await waits for the next query. A transaction that is idle for longer than the sheet
// allows is rolled back, so that its connection becomes available to other requests.
func (s *session) await() error {
	limit := s.Options().Documents.Book().SheetDoc().TransactionIdle
	if limit == 0 || !s.Pinned() {
		return s.caller.Await()
	}
	s.SetWaitDeadline(time.Now().Add(limit))
	err := s.caller.Await()
	if !s.SetWaitDeadline(time.Time{}) || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	s.LogExpired(limit)
	s.Rollback()
	s.state, s.expired = s.state.WithPhase(stmt.Failed), true
	return s.caller.Await()
}

// start reads the caller's first message, checks it against the sheet and admits the
// caller.
func (s *session) start() error {
	if err := s.SetDeadline(time.Now().Add(startTimeout)); err != nil {
		return err
	}
	start, err := s.caller.Start()
	if err != nil {
		return errors.CombineErrors(err, s.deny(err))
	}
	s.Caller.Service = start.Service
	documents := s.Options().Documents.Book()
	if documents.Serial(book.Sheet) == 0 {
		err := fault.New(fault.Unready, "connect", "this proxy has not received a sheet yet")
		return errors.CombineErrors(err, s.deny(err))
	}
	work, err := s.present(start, documents)
	if err != nil {
		return errors.CombineErrors(err, s.deny(err))
	}
	if err := s.TakeAdmissionSlot(work.Rank); err != nil {
		return errors.CombineErrors(err, s.deny(err))
	}
	if err := s.caller.Accept(); err != nil {
		return err
	}
	return s.SetDeadline(time.Time{})
}

func (s *session) deny(err error) error {
	var known *fault.Error
	if !errors.As(err, &known) {
		return nil
	}
	return s.caller.Deny(refusalOf(known), known.Message())
}

// answerInvalid answers a message that could not be decoded. The session ends afterwards.
func (s *session) answerInvalid(err error) error {
	if s.Memory.Evicted() {
		err = fault.Wrap(err, fault.Overloaded, "read message", "the message took too long while the memory for messages was used up")
	}
	var known *fault.Error
	if errors.As(err, &known) {
		return errors.CombineErrors(err, s.reply(Reply{Refusal: refusalOf(known), Text: known.Message(), Phase: s.state.Phase}))
	}
	return err
}

// answer answers one query.
func (s *session) answer(ctx context.Context, q Query) error {
	if !s.BeginRequest() {
		err := fault.New(fault.Leaving, "read request", "this proxy is draining")
		return errors.CombineErrors(err, s.reply(Reply{Refusal: refusalOf(err), Text: err.Message(), Phase: s.state.Phase}))
	}
	defer s.EndRequest()
	if err := s.checkKey(q); err != nil {
		return s.caller.Answer(s.refuse(q, err))
	}
	if s.expired && q.Statement.Kind != stmt.Commit && q.Statement.Kind != stmt.Rollback {
		s.expired = false
		return s.reply(Reply{Refusal: Aborted, Text: "the transaction was idle for too long and was rolled back", Phase: stmt.Failed})
	}
	s.expired = false
	if reply, invalid := s.checkOrder(q.Statement); invalid {
		return s.reply(reply)
	}
	if s.state.Phase == stmt.Failed {
		return s.endFailed(ctx, q)
	}
	next, local := s.state.ApplyLocally(q.Statement)
	if local {
		if err := s.reserveState(q.Statement, next); err != nil {
			return s.reply(Reply{Refusal: refusalOf(err), Text: err.Message(), Phase: s.state.Phase})
		}
		s.state = next
		return s.reply(Reply{Receipt: proxyReceipt, Phase: s.state.Phase})
	}
	return s.reply(s.run(ctx, q))
}

// checkOrder returns the reply to a statement that is not valid after the previous ones,
// and whether the statement is invalid.
func (s *session) checkOrder(st stmt.Statement) (Reply, bool) {
	r := Reply{Refusal: Malformed, Phase: s.state.Phase}
	open := s.state.Phase != stmt.Idle
	switch st.Kind {
	case stmt.Begin, stmt.BeginRead:
		r.Text = "a transaction is open"
		return r, open
	case stmt.Commit, stmt.Rollback:
		r.Text = "no transaction is open"
		return r, !open
	default:
	}
	if s.state.Phase == stmt.Failed {
		r.Text = "the transaction has failed"
		return r, true
	}
	if st.Kind != stmt.Execute {
		return Reply{}, false
	}
	_, found := s.state.Shape(st.Name)
	return Reply{Refusal: NotPrepared, Text: st.Name, Phase: s.state.Phase}, !found
}

// endFailed ends a failed transaction, which can only be rolled back.
func (s *session) endFailed(ctx context.Context, q Query) error {
	reply := Reply{Receipt: proxyReceipt}
	if s.Pinned() {
		rollback := Query{Statement: stmt.Statement{Kind: stmt.Rollback, Text: "ROLLBACK"}}
		if q.Statement.Kind == stmt.Rollback {
			rollback = q
		}
		if r := s.run(ctx, rollback); r.Refusal == Accepted {
			reply = r
		}
	}
	s.state.Phase = stmt.Idle
	reply.Phase = stmt.Idle
	if q.Statement.Kind == stmt.Commit {
		reply = Reply{Refusal: Aborted, Text: "the transaction had failed and was rolled back"}
	}
	return s.reply(reply)
}

// run sends a statement through the filter chain.
func (s *session) run(ctx context.Context, q Query) Reply {
	x := NewExchange(q, s.state).WithMemory(s.Memory)
	r := &chain.Request{Name: q.ID, Exchange: x, Floor: s.floor, Arrived: time.Now()}
	if err := s.Do(ctx, r); err != nil {
		reply, state := x.Fail(err)
		s.state = state
		// Closing the member's connection ends the transaction that may be open on it.
		s.Rollback()
		return reply
	}
	s.state = x.Session()
	if s.floor.Less(r.Answer.Confirmed) {
		s.floor = r.Answer.Confirmed
	}
	return x.Reply()
}
