package flow

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// ControlConn is a connection to a member that also carries state requests and commands.
type ControlConn interface {
	Member
	// State returns the member's state. It takes one of the member's slots.
	State() (group.State, error)
	// Hold stops a replica from receiving the log until the term has a primary.
	Hold(term group.Term) (group.State, error)
	// StepDown turns a primary of an earlier term into a replica.
	StepDown(term group.Term) (group.State, error)
	// Release lets a replica receive the log again.
	Release() (group.State, error)
}

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote makes a member the primary of its database. It returns
	// *OutrankedError if the platform has seen a higher token for the database,
	// or the member is not running. After any other error the promotion may still take
	// place later.
	Promote(ctx context.Context, database, member string, token uint64) error
}

// DeniedError reports a connection or a command that a member refused.
type DeniedError struct {
	Refusal Refusal
	Text    string
}

// Error implements error.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("reach member: refused as %s: %s", e.Refusal, e.Text)
}

// PromotionRejectedError reports a promotion that the platform has rejected and will not
// carry out.
type PromotionRejectedError struct {
	Database string
	Member   string
	Token    uint64
}

// Error implements error.
func (e *PromotionRejectedError) Error() string {
	return fmt.Sprintf("promote member %s of database %s: token %d is lower than one already used, or the member is not running", e.Member, e.Database, e.Token)
}

// ControlError reports a response that the platform's interface does not specify, or a
// command that the connection does not support.
type ControlError struct {
	Op     string
	Status int
}

// Error implements error.
func (e *ControlError) Error() string { return fmt.Sprintf("%s: got HTTP status %d", e.Op, e.Status) }

// noMember is a name that no member has.
const noMember = "i-0"

// InvalidateLowerTokens makes the platform reject promotions with a lower token. It requests
// the promotion of a member that does not exist: this changes nothing, but the platform
// records the token.
func InvalidateLowerTokens(ctx context.Context, p Promoter, database string, token uint64) error {
	err := p.Promote(ctx, database, noMember, token)
	var refused *PromotionRejectedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// ControlOptions are the dependencies of a Control.
type ControlOptions struct {
	Database string
	Member   view.Member
	// Pool returns the pool whose connections carry state requests.
	Pool func() *member.Pool
	// Dial opens a connection for commands.
	Dial     func(ctx context.Context) (ControlConn, error)
	Promoter Promoter
}

// Control queries and commands one member. State requests use the pooled connections,
// because a member accepts only few. While statements use all of these, their replies
// report the member's state as well.
type Control struct {
	options ControlOptions
	conn    ControlConn
	// interruptions is the pool's count at the last call of Interrupted.
	interruptions int
}

var (
	_ member.Control       = (*Control)(nil)
	_ member.Interruptible = (*Control)(nil)
)

// NewControl returns the control of a member.
func NewControl(options ControlOptions) *Control { return &Control{options: options} }

// Ask implements member.Control.
func (c *Control) Ask(ctx context.Context, full bool) (group.State, error) {
	pool := c.options.Pool()
	conn, err := pool.TryGet(ctx, member.ReadWrite)
	var denied *DeniedError
	if errors.As(err, &denied) && denied.Refusal == TooManyConnections {
		// A member that refuses a connection has answered: it is neither unresponsive nor to
		// be replaced.
		return group.State{}, &member.BusyError{Member: c.options.Member.Name}
	}
	if err != nil {
		return group.State{}, err
	}
	deadline, _ := ctx.Deadline()
	line := conn.ProtocolConn.(*MemberConn) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	if err = line.SetDeadline(deadline); err != nil {
		pool.Put(conn, false)
		return group.State{}, err
	}
	request := line.Probe
	if full {
		request = line.State
	}
	state, err := request()
	if full && errors.As(err, &denied) {
		// A state request takes one of the member's slots, a probe takes none.
		state, err = line.Probe()
	}
	if errors.As(err, &denied) {
		// The member has no free slot for the state request.
		pool.Put(conn, line.SetDeadline(time.Time{}) == nil && !line.dirty())
		return state, &member.BusyError{Member: c.options.Member.Name}
	}
	if err == nil {
		err = line.SetDeadline(time.Time{})
	}
	pool.Put(conn, err == nil && !line.dirty())
	if err != nil {
		pool.Invalidate()
	}
	return state, err
}

// Fence implements member.Control. The fence names no promoter: it applies to all of them,
// and the platform tells them apart by their tokens.
func (c *Control) Fence(ctx context.Context, w member.PromotionAttempt) (group.State, error) {
	return c.command(ctx, func(o ControlConn) (group.State, error) {
		if _, err := o.StepDown(w.Term); err != nil {
			return group.State{}, err
		}
		return o.Hold(w.Term)
	})
}

const (
	// promotionPollInterval is the pause between checks whether a promotion has taken effect.
	promotionPollInterval = 50 * time.Millisecond
	// promotionPollTimeout is the time limit of one check.
	promotionPollTimeout = 500 * time.Millisecond
)

// Promote implements member.Control. A request that was not answered is repeated with the
// same token, which changes nothing if the first one was carried out. Promote returns once
// the member is the primary.
func (c *Control) Promote(ctx context.Context, w member.PromotionAttempt) (group.State, error) {
	accepted := false
	for {
		if !accepted {
			err := c.options.Promoter.Promote(ctx, c.options.Database, c.options.Member.Name, w.Token)
			var outranked *PromotionRejectedError
			if errors.As(err, &outranked) {
				return group.State{}, &member.RefusedError{Member: c.options.Member.Name, Text: err.Error()}
			}
			accepted = err == nil
		}
		pollCtx, cancel := context.WithTimeout(ctx, promotionPollTimeout)
		state, err := c.Ask(pollCtx, true)
		cancel()
		if err == nil && state.Role == group.Primary && state.Term >= w.Term {
			return state, nil
		}
		duty.Pause(ctx, promotionPollInterval)
		if ctx.Err() != nil {
			return state, errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// Follow implements member.Control. A replica follows any primary unless it is fenced, so
// that releasing it suffices.
func (c *Control) Follow(ctx context.Context, _ group.Term, _ string, _ []group.Start) (group.State, error) {
	return c.command(ctx, ControlConn.Release)
}

// Interrupted implements member.Interruptible.
func (c *Control) Interrupted() bool {
	previous := c.interruptions
	c.interruptions = c.options.Pool().Interruptions()
	return c.interruptions != previous
}

// Close implements member.Control.
func (c *Control) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// commandOverPool sends a command over a pooled connection. It serves members that accept no
// further connections.
func (c *Control) commandOverPool(ctx context.Context, send func(ControlConn) (group.State, error)) (group.State, error) {
	pool := c.options.Pool()
	conn, err := pool.GetAny(ctx, member.ReadWrite)
	if err != nil {
		return group.State{}, err
	}
	line := conn.ProtocolConn.(*MemberConn) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	control, ok := line.Member.(ControlConn)
	if !ok {
		pool.Put(conn, true)
		return group.State{}, &ControlError{Op: "send command"}
	}
	deadline, _ := ctx.Deadline()
	if err = line.SetDeadline(deadline); err == nil {
		var state group.State
		state, err = send(control)
		pool.Put(conn, err == nil && line.SetDeadline(time.Time{}) == nil)
		return state, err
	}
	pool.Put(conn, false)
	return group.State{}, err
}

// command sends a command over the control connection, which it opens if necessary. It
// closes the connection after an error.
func (c *Control) command(ctx context.Context, send func(ControlConn) (group.State, error)) (group.State, error) {
	if c.conn == nil {
		control, err := c.options.Dial(ctx)
		var denied *DeniedError
		if errors.As(err, &denied) && denied.Refusal == TooManyConnections {
			return c.commandOverPool(ctx, send)
		}
		if err != nil {
			return group.State{}, err
		}
		c.conn = control
	}
	if deadline, set := ctx.Deadline(); set {
		if err := c.conn.SetDeadline(deadline); err != nil {
			return group.State{}, err
		}
	}
	state, err := send(c.conn)
	if err != nil {
		c.Close()
	}
	return state, err
}
