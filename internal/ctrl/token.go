package ctrl

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Tokens makes the tokens of one proxy's claims, where orders for promotions are checked
// by their tokens and no store is needed to be the only one with a token.
//
// A token is made of the term that it begins, the second of the attempt and the proxy's
// own number. So later terms outrank earlier ones, later attempts earlier ones, and no
// two proxies have the same. A clock that runs ahead or behind makes attempts win or lose
// against others; it does not make two of them win.
type Tokens struct {
	hostNumber uint64
	last       atomic.Uint64
}

// The bits of a token. Together they fit into the whole numbers that every reader of
// JSON keeps exactly.
const (
	hostBits   = 14
	secondBits = 27
	termBits   = 11
)

// NewTokens returns the tokens of a host.
func NewTokens(host string) *Tokens {
	return &Tokens{hostNumber: xxhash.Sum64String(host) & (1<<hostBits - 1)}
}

// Next returns a token for the attempt to begin a term at a time. It is higher than all
// that were returned before for this term.
func (t *Tokens) Next(term group.Term, now time.Time) uint64 {
	for {
		second := uint64(now.Unix()) & (1<<secondBits - 1) //nolint:gosec // times since 1970
		token := (uint64(term)&(1<<termBits-1))<<(secondBits+hostBits) | second<<hostBits | t.hostNumber
		previous := t.last.Load()
		if sameTerm := previous>>(secondBits+hostBits) == token>>(secondBits+hostBits); sameTerm && token <= previous {
			token = previous + 1<<hostBits
		}
		if t.last.CompareAndSwap(previous, token) {
			return token
		}
	}
}

// sealPause is the pause between tries to seal.
const fenceRetryPause = 50 * time.Millisecond

// claimByToken claims a term by sealing off all orders with lower tokens. What members
// promise from then on holds until an order of this claim is carried out, or one that
// outranks it. If this claim was outranked itself, its order is refused.
func (c *Controller) claimByToken(ctx context.Context, after group.Term) (elect.Claimed, error) {
	claim := elect.Claim{Term: after + 1, Promoter: c.options.Host}
	claim.Token = c.options.Tokens.Next(claim.Term, time.Now())
	for {
		err := c.options.FenceBelow(ctx, c.name, claim.Token)
		if err == nil {
			return elect.Claimed{Won: true, Claim: claim}, nil
		}
		duty.Pause(ctx, fenceRetryPause)
		if ctx.Err() != nil {
			return elect.Claimed{}, err
		}
	}
}
