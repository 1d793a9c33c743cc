package flow

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// MemberConn is a pooled connection to a member, with the session state that is set up on
// it.
type MemberConn struct {
	Member
	number uint32
	setup  stmt.Setup
	// unusable is set once it is not known what state the connection is in, or once a
	// transaction remains open on it that is none of a caller.
	unusable bool
	// waitingSince is the time, in Unix nanoseconds, at which the request in flight was
	// sent, or 0 if there is none.
	waitingSince atomic.Int64
	// ended is set once the member or the network has ended the connection.
	ended atomic.Bool
}

var _ member.ProtocolConn = (*MemberConn)(nil)

var lastNumber atomic.Uint32

// NewMemberConn wraps a connection on which no session state is set up.
func NewMemberConn(m Member) *MemberConn { return &MemberConn{Member: m, number: lastNumber.Add(1)} }

// dirty reports whether the connection must be closed after use.
func (c *MemberConn) dirty() bool { return c.unusable || c.setup.Bytes() > maxSetupBytes }

// ID implements member.Line.
func (c *MemberConn) ID() uint32 { return c.number }

// AwaitsAnswer implements member.Line.
func (c *MemberConn) AwaitsAnswer(now time.Time, atLeast time.Duration) bool {
	since := c.waitingSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(atLeast)
}

// Ended reports whether the member or the network has ended the connection.
func (c *MemberConn) Ended() bool { return c.ended.Load() }

// noteEnd records that the connection has ended, unless it only timed out.
func (c *MemberConn) noteEnd(err error) {
	var refused *DeniedError
	if err != nil && !errors.IsAny(err, os.ErrDeadlineExceeded, net.ErrClosed) && !errors.As(err, &refused) {
		c.ended.Store(true)
	}
}

// Cancel implements member.Line. The protocol has no cancel request. Closing the
// connection ends the statement that runs on it.
func (c *MemberConn) Cancel(context.Context) error { return c.Close() }

// Ping implements member.Line.
func (c *MemberConn) Ping() error {
	_, err := c.Probe()
	var denied *DeniedError
	if errors.As(err, &denied) && !c.unusable {
		return nil
	}
	return err
}

// probe opens and ends a transaction, which takes none of the member's slots. Only a
// primary opens a transaction that may write, so the reply reveals the member's role.
var probe = []Query{{Statement: stmt.Statement{Kind: stmt.Begin}}, {Statement: stmt.Statement{Kind: stmt.Rollback}}}

// Probe returns the part of the member's state that the replies to probe reveal.
func (c *MemberConn) Probe() (group.State, error) {
	replies, err := c.exchange(probe)
	if err != nil {
		return group.State{}, err
	}
	opened, ended := replies[0], replies[1]
	c.unusable = c.unusable || ended.Phase != stmt.Idle
	role := group.Primary
	switch opened.Refusal {
	case Accepted:
	case NotPrimary:
		role = group.Replica
	default:
		return group.State{}, &DeniedError{Refusal: opened.Refusal, Text: opened.Text}
	}
	at := opened.Position
	if at.IsZero() {
		at = ended.Position
	}
	return stateOf(role, at), nil
}

// State requests the member's full state, including its fence. This takes one of the
// member's slots.
func (c *MemberConn) State() (group.State, error) {
	control, ok := c.Member.(ControlConn)
	if !ok {
		return group.State{}, &ControlError{Op: "state"}
	}
	c.waitingSince.Store(time.Now().UnixNano())
	defer c.waitingSince.Store(0)
	state, err := control.State()
	c.noteEnd(err)
	state.Leading = state.Role == group.Primary
	state.Starts = stateOf(state.Role, group.Floor{Term: state.Term}).Starts
	return state, err
}

// exchange sends a pipeline of queries and returns their replies.
func (c *MemberConn) exchange(queries []Query) ([]Reply, error) {
	c.waitingSince.Store(time.Now().UnixNano())
	defer c.waitingSince.Store(0)
	if err := c.Send(queries); err != nil {
		if isUnsent(err) {
			return nil, err
		}
		c.noteEnd(err)
		return nil, fault.Wrap(err, fault.Severed, "send", "the connection to the member ended while the statements were sent")
	}
	replies := make([]Reply, 0, len(queries))
	for range queries {
		reply, err := c.Receive()
		if err != nil {
			c.noteEnd(err)
			return replies, fault.Wrap(err, fault.Severed, "read answer", "the member's connection ended before the answer was complete")
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
