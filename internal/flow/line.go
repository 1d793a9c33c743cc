package flow

import (
	"context"
	"sync/atomic"
	"time"

	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Line is a pooled connection to a member, with what is set up on it.
type Line struct {
	Member
	number uint32
	setup  stmt.Setup
	// since is when the answer that is awaited was asked for, in nanoseconds.
	since atomic.Int64
}

var _ member.ProtocolConn = (*Line)(nil)

var lastLine atomic.Uint32

// NewLine returns the line over a connection on which nothing is set up.
func NewLine(m Member) *Line { return &Line{Member: m, number: lastLine.Add(1)} }

// ID implements member.Line.
func (l *Line) ID() uint32 { return l.number }

// AwaitsAnswer implements member.Line.
func (l *Line) AwaitsAnswer(now time.Time, atLeast time.Duration) bool {
	since := l.since.Load()
	return since != 0 && now.UnixNano()-since >= int64(atLeast)
}

// Cancel implements member.Line. The protocol knows no cancel: the connection is
// closed, which ends what runs on it.
func (l *Line) Cancel(context.Context) error { return l.Close() }

// Ping implements member.Line.
func (l *Line) Ping() error {
	_, err := l.Probe()
	return err
}

// probe opens and ends a transaction, which needs none of the member's slots. Only
// a member that leads opens one that may write.
var probe = []Query{{Statement: stmt.Statement{Kind: stmt.Begin}}, {Statement: stmt.Statement{Kind: stmt.Rollback}}}

// Probe returns the member's state.
func (l *Line) Probe() (group.State, error) {
	replies, err := l.exchange(probe)
	if err != nil {
		return group.State{}, err
	}
	role, at := group.Primary, replies[0].Position
	if replies[0].Refusal != Accepted {
		role = group.Replica
	}
	if at.IsZero() {
		at = replies[1].Position
	}
	return stateOf(role, at), nil
}

// State asks for the member's state with all its promises, which takes a slot.
func (l *Line) State() (group.State, error) {
	orders, able := l.Member.(Orders)
	if !able {
		return group.State{}, &OrderError{Op: "state"}
	}
	l.since.Store(time.Now().UnixNano())
	defer l.since.Store(0)
	state, err := orders.State()
	state.Led = state.Role == group.Primary
	state.Starts = stateOf(state.Role, group.Floor{Term: state.Term}).Starts
	return state, err
}

// exchange sends queries in one flight and returns their replies.
func (l *Line) exchange(queries []Query) ([]Reply, error) {
	l.since.Store(time.Now().UnixNano())
	defer l.since.Store(0)
	if err := l.Send(queries); err != nil {
		return nil, fault.Wrap(err, fault.Severed, "send", "the connection to the member ended while the work was sent")
	}
	replies := make([]Reply, 0, len(queries))
	for range queries {
		reply, err := l.Receive()
		if err != nil {
			return replies, fault.Wrap(err, fault.Severed, "read answer", "the member's connection ended before the answer was complete")
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
