package member

import (
	"context"
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// PromotionAttempt is the right to give a promotion's orders.
type PromotionAttempt struct {
	// Term is the term that members are asked to promise.
	Term group.Term
	// Promoter names whose attempt it is.
	Promoter string
	// Token grows with every claim of the database.
	Token uint64
}

// Control is what the proxy asks and orders of one member.
type Control interface {
	// Ask returns the member's state. A question that is not full may cost the member
	// less, and its answer may leave out what the member has promised.
	Ask(ctx context.Context, full bool) (group.State, error)
	// Fence makes the member promise a term to a promoter. It returns
	// *RefusedError if the member has promised otherwise. It is idempotent.
	Fence(ctx context.Context, w PromotionAttempt) (group.State, error)
	// Promote makes the member the primary of a term that it promised to the
	// promoter. It returns *RefusedError if it has not. It is idempotent.
	Promote(ctx context.Context, w PromotionAttempt) (group.State, error)
	// Follow makes the member a replica of the primary of a term. It returns
	// *RefusedError if the member has promised a later term. It is idempotent.
	Follow(ctx context.Context, term group.Term, leader string, starts []group.Start) (group.State, error)
	// Close ends the connection, if one is open.
	Close()
}

// SlotControl is a Control of a member that knows which host gives out its slots.
type SlotControl interface {
	Control
	// AcquireSlotLease makes a host the dispatcher of the member's slots for as long as this
	// connection lasts. It returns *RefusedError if another host is.
	AcquireSlotLease(ctx context.Context, host string) (group.State, error)
	// Evict ends the connection by which a host is the dispatcher, if it is.
	Evict(ctx context.Context, host string) (group.State, error)
	// Busy returns how many connections of a host run a statement or have a
	// transaction open.
	Busy(ctx context.Context, host string) (int, error)
	// Running returns which of some connections, by their process IDs, run a
	// statement.
	Running(ctx context.Context, processIDs []uint32) ([]uint32, error)
}

// BusyError reports that a member was not asked, since work uses all connections
// that this proxy may have to it.
type BusyError struct{ Member string }

// Error implements error.
func (e *BusyError) Error() string { return "ask " + e.Member + ": all connections are in use" }

// RefusedError reports an order that the member's promises forbid.
type RefusedError struct {
	Member string
	Text   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order to %s: refused: %s", e.Member, e.Text)
}

// IsConnectionRefused tells whether a call failed because nothing listens at the member's
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// StatusError reports an answer that does not describe a member's state.
type StatusError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("read member state: got %s, want %s", e.Got, e.Want)
}
