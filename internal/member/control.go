package member

import (
	"context"
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// PromotionAttempt identifies one attempt to promote a member. Fence and Promote orders carry it.
type PromotionAttempt struct {
	// Term is the term that members are asked to promise.
	Term group.Term
	// Promoter is the name of the proxy that makes the attempt.
	Promoter string
	// Token is a number that increases with every claim on the database.
	Token uint64
}

// Control sends state queries and orders to one member.
type Control interface {
	// Ask returns the member's state. If full is false, the query may cost the member less,
	// and the returned state may lack the term that the member has promised.
	Ask(ctx context.Context, full bool) (group.State, error)
	// Fence makes the member promise the term of an attempt to its promoter. It returns
	// *RefusedError if an earlier promise of the member conflicts. It is idempotent.
	Fence(ctx context.Context, attempt PromotionAttempt) (group.State, error)
	// Promote makes the member the primary of a term that it has promised to the promoter.
	// It returns *RefusedError if the member has not promised it. It is idempotent.
	Promote(ctx context.Context, attempt PromotionAttempt) (group.State, error)
	// Follow makes the member a replica of the primary of a term. It returns
	// *RefusedError if the member has promised a later term. It is idempotent.
	Follow(ctx context.Context, term group.Term, primary string, starts []group.Start) (group.State, error)
	// Close ends the connection, if one is open.
	Close()
}

// Interruptible is a Control that notices when connections to the member end unexpectedly.
type Interruptible interface {
	// Interrupted reports whether a connection has ended since the last call.
	Interrupted() bool
}

// SlotControl is a Control of a member that also records which host holds the lease on its slots.
type SlotControl interface {
	Control
	// AcquireSlotLease makes a host the holder of the member's slot lease for as long as this
	// connection lasts. It returns *RefusedError if another host holds it.
	AcquireSlotLease(ctx context.Context, host string) (group.State, error)
	// Evict closes the connection over which a host holds the slot lease, if it holds it.
	Evict(ctx context.Context, host string) (group.State, error)
	// Busy returns how many connections of a host run a statement or have a
	// transaction open.
	Busy(ctx context.Context, host string) (int, error)
	// Running returns those of the given process IDs whose connections run a statement.
	Running(ctx context.Context, processIDs []uint32) ([]uint32, error)
}

// BusyError reports that a member was not queried because requests use all connections that
// this proxy may open to it.
type BusyError struct{ Member string }

// Error implements error.
func (e *BusyError) Error() string { return "ask " + e.Member + ": all connections are in use" }

// RefusedError reports an order that a member refused, such as one that conflicts with a term
// it has promised.
type RefusedError struct {
	Member string
	Text   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order to %s: refused: %s", e.Member, e.Text)
}

// IsConnectionRefused reports whether a call failed because nothing listens at the member's
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// StatusError reports an answer of a member that cannot be parsed.
type StatusError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("read member state: got %s, want %s", e.Got, e.Want)
}
