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

// Tokens generates the fencing tokens of one proxy's claims. It is used where promotion
// orders are checked by their tokens, so that tokens are unique without a store.
//
// A token consists of the term that it starts, the time of the attempt and the number of
// the proxy. Later terms therefore outrank earlier ones, later attempts outrank earlier
// ones, and no two proxies generate the same token. A clock that is ahead or behind
// decides which of several attempts wins, but does not let two of them win.
type Tokens struct {
	hostNumber uint64
	last       atomic.Uint64
}

// The bit widths of the parts of a token. Their sum fits into the integers that every JSON
// reader represents exactly.
const (
	hostBits = 12
	tickBits = 30
	termBits = 11
)

// ticksPerSecond is the resolution of the time of an attempt. It is finer than the stagger
// between two voters, so that an attempt outranks those that began before it.
const ticksPerSecond = 32

// NewTokens returns the token generator of a host.
func NewTokens(host string) *Tokens {
	return &Tokens{hostNumber: xxhash.Sum64String(host) & (1<<hostBits - 1)}
}

// Next returns a token for an attempt at the given time to start a term. It is higher than
// all tokens that Next returned before for this term.
func (t *Tokens) Next(term group.Term, now time.Time) uint64 {
	for {
		tick := uint64(now.UnixNano()/int64(time.Second/ticksPerSecond)) & (1<<tickBits - 1) //nolint:gosec // times since 1970
		token := (uint64(term)&(1<<termBits-1))<<(tickBits+hostBits) | tick<<hostBits | t.hostNumber
		previous := t.last.Load()
		if sameTerm := previous>>(tickBits+hostBits) == token>>(tickBits+hostBits); sameTerm && token <= previous {
			token = previous + 1<<hostBits
		}
		if t.last.CompareAndSwap(previous, token) {
			return token
		}
	}
}

// fenceRetryPause is the pause between attempts to fence off lower tokens.
const fenceRetryPause = 50 * time.Millisecond

// claimByToken claims a term by fencing off all orders with lower tokens. A state that a
// member reports after that holds until an order of this claim, or of one that outranks
// it, is executed. If this claim was outranked, its own order is refused.
func (c *Controller) claimByToken(ctx context.Context, after group.Term) (elect.ClaimResult, error) {
	claim := elect.Claim{Term: after + 1, Promoter: c.options.Host}
	claim.Token = c.options.Tokens.Next(claim.Term, time.Now())
	for {
		err := c.options.FenceBelow(ctx, c.name, claim.Token)
		if err == nil {
			return elect.ClaimResult{Won: true, Claim: claim}, nil
		}
		duty.Pause(ctx, fenceRetryPause)
		if ctx.Err() != nil {
			return elect.ClaimResult{}, err
		}
	}
}
