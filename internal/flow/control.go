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

// Orders is a connection to a member that also carries questions and orders.
type Orders interface {
	Member
	// State returns the member's state. It takes one of the member's slots.
	State() (group.State, error)
	// Hold makes a replica stop to receive, until a term has a primary.
	Hold(term group.Term) (group.State, error)
	// StepDown makes a primary of an earlier term a replica.
	StepDown(term group.Term) (group.State, error)
	// Release lets a replica receive again.
	Release() (group.State, error)
}

// Promoter orders promotions.
type Promoter interface {
	// Promote makes a member the primary of its database. It returns
	// *OutrankedError if a higher token has been seen for the database, or the
	// member is not running. After any other error the order may be carried out
	// later.
	Promote(ctx context.Context, database, member string, token uint64) error
}

// DeniedError reports a connection or an order that a member refused.
type DeniedError struct {
	Refusal Refusal
	Text    string
}

// Error implements error.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("reach member: refused as %s: %s", e.Refusal, e.Text)
}

// OutrankedError reports a promotion that is refused for good.
type OutrankedError struct {
	Database string
	Member   string
	Token    uint64
}

// Error implements error.
func (e *OutrankedError) Error() string {
	return fmt.Sprintf("promote %s of %s: token %d is outranked, or the member is not running", e.Member, e.Database, e.Token)
}

// OrderError reports an answer that the platform's page does not foresee.
type OrderError struct {
	Op     string
	Status int
}

// Error implements error.
func (e *OrderError) Error() string { return fmt.Sprintf("%s: got HTTP status %d", e.Op, e.Status) }

// nobody is the name of no member.
const nobody = "i-0"

// Seal makes sure that no order with a lower token is carried out any more: an order to
// promote a member that does not exist changes nothing, but its token is taken note of.
func Seal(ctx context.Context, p Promoter, database string, token uint64) error {
	err := p.Promote(ctx, database, nobody, token)
	var refused *OutrankedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// ControlOptions are what a Control depends on.
type ControlOptions struct {
	Database string
	Member   view.Member
	// Pool lends connections for questions.
	Pool func() *member.Pool
	// Dial opens a connection for orders.
	Dial     func(ctx context.Context) (Orders, error)
	Promoter Promoter
}

// Control is the control of one member. Questions go over the pooled connections,
// since a member takes few; while work uses all of them, its answers tell as much.
type Control struct {
	options ControlOptions
	orders  Orders
}

var _ member.Control = (*Control)(nil)

// NewControl returns the control of a member.
func NewControl(options ControlOptions) *Control { return &Control{options: options} }

// Ask implements member.Control.
func (c *Control) Ask(ctx context.Context, full bool) (group.State, error) {
	pool := c.options.Pool()
	conn, err := pool.TryGet(ctx, member.ReadWrite)
	var denied *DeniedError
	if errors.As(err, &denied) && denied.Refusal == Full {
		// A member that refuses connections is neither silent nor replaced for it.
		return group.State{}, &member.BusyError{Member: c.options.Member.Name}
	}
	if err != nil {
		return group.State{}, err
	}
	deadline, _ := ctx.Deadline()
	line := conn.ProtocolConn.(*Line) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	if err = line.SetDeadline(deadline); err != nil {
		pool.Put(conn, false)
		return group.State{}, err
	}
	ask := line.Probe
	if full {
		ask = line.State
	}
	state, err := ask()
	if errors.As(err, &denied) {
		// The member has no room for the question.
		pool.Put(conn, line.SetDeadline(time.Time{}) == nil)
		return state, &member.BusyError{Member: c.options.Member.Name}
	}
	if err == nil {
		err = line.SetDeadline(time.Time{})
	}
	pool.Put(conn, err == nil)
	if err != nil {
		pool.Invalidate()
	}
	return state, err
}

// Fence implements member.Control. The promise names no promoter: a member makes it
// to all of them, and the platform's check of tokens tells them apart.
func (c *Control) Fence(ctx context.Context, w member.PromotionAttempt) (group.State, error) {
	return c.order(ctx, func(o Orders) (group.State, error) {
		if _, err := o.StepDown(w.Term); err != nil {
			return group.State{}, err
		}
		return o.Hold(w.Term)
	})
}

const (
	// promotedLook is the pause between looks whether a promotion has taken effect.
	promotedLook = 50 * time.Millisecond
	// lookTimeout ends a look.
	lookTimeout = 500 * time.Millisecond
)

// Promote implements member.Control. An order that was not answered is given again with
// the same token: it changes nothing if the first one was carried out. Promote returns
// once the member leads.
func (c *Control) Promote(ctx context.Context, w member.PromotionAttempt) (group.State, error) {
	accepted := false
	for {
		if !accepted {
			err := c.options.Promoter.Promote(ctx, c.options.Database, c.options.Member.Name, w.Token)
			var outranked *OutrankedError
			if errors.As(err, &outranked) {
				return group.State{}, &member.RefusedError{Member: c.options.Member.Name, Text: err.Error()}
			}
			accepted = err == nil
		}
		lookCtx, cancel := context.WithTimeout(ctx, lookTimeout)
		state, err := c.Ask(lookCtx, true)
		cancel()
		if err == nil && state.Role == group.Primary && state.Term >= w.Term {
			return state, nil
		}
		duty.Pause(ctx, promotedLook)
		if ctx.Err() != nil {
			return state, errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// Follow implements member.Control: a replica follows whoever leads, unless it was
// told to stop.
func (c *Control) Follow(ctx context.Context, _ group.Term, _ string, _ []group.Start) (group.State, error) {
	return c.order(ctx, Orders.Release)
}

// Close implements member.Control.
func (c *Control) Close() {
	if c.orders != nil {
		_ = c.orders.Close()
		c.orders = nil
	}
}

// borrow gives an order over a pooled connection, to a member that takes no further ones.
func (c *Control) borrow(ctx context.Context, give func(Orders) (group.State, error)) (group.State, error) {
	pool := c.options.Pool()
	conn, err := pool.Get(ctx, member.ReadWrite)
	if err != nil {
		return group.State{}, err
	}
	line := conn.ProtocolConn.(*Line) //nolint:forcetypeassert,errcheck // the pools of this protocol open no others
	orders, able := line.Member.(Orders)
	if !able {
		pool.Put(conn, true)
		return group.State{}, &OrderError{Op: "give order"}
	}
	deadline, _ := ctx.Deadline()
	if err = line.SetDeadline(deadline); err == nil {
		var state group.State
		state, err = give(orders)
		pool.Put(conn, err == nil && line.SetDeadline(time.Time{}) == nil)
		return state, err
	}
	pool.Put(conn, false)
	return group.State{}, err
}

func (c *Control) order(ctx context.Context, give func(Orders) (group.State, error)) (group.State, error) {
	if c.orders == nil {
		orders, err := c.options.Dial(ctx)
		var denied *DeniedError
		if errors.As(err, &denied) && denied.Refusal == Full {
			return c.borrow(ctx, give)
		}
		if err != nil {
			return group.State{}, err
		}
		c.orders = orders
	}
	if deadline, set := ctx.Deadline(); set {
		if err := c.orders.SetDeadline(deadline); err != nil {
			return group.State{}, err
		}
	}
	state, err := give(c.orders)
	if err != nil {
		c.Close()
	}
	return state, err
}
