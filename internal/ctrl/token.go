package ctrl

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Tokens generates the fencing tokens of one proxy's claims. It is used where promotion
// orders are checked by their tokens, so that tokens are unique without a store.
//
// A token consists of the term that it starts, the time of the attempt and the address of
// the proxy. Later terms therefore outrank earlier ones, later attempts outrank earlier
// ones, and no two proxies generate the same token, because no two have the same address. A
// clock that is ahead or behind decides which of several attempts wins, but does not let
// two of them win.
//
// The time repeats after 18 hours. An attempt to start a term may then be outranked by one
// that failed long before; Outranked lets the next one succeed.
type Tokens struct {
	address uint64

	mu sync.Mutex
	// last is the last token for each term.
	last map[group.Term]uint64
}

// The bit widths of the parts of a token. Their sum fits into a signed integer of 64 bits.
const (
	addressBits = 32
	tickBits    = 18
	termBits    = 13
)

// ticksPerSecond is the resolution of the time of an attempt. It is finer than the stagger
// between two voters, so that an attempt outranks those that began before it.
const ticksPerSecond = 4

// maxTick is the last time of an attempt before the time repeats.
const maxTick = 1<<tickBits - 1

// AddressError reports a peer address that does not distinguish a proxy from all others.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("make fencing tokens: got peer address %q, want an IPv4 address and port, of 127.0.0.0/24 if it is a loopback address", e.Address)
}

// NewTokens returns the token generator of the proxy with the given peer address.
func NewTokens(peerAddress string) (*Tokens, error) {
	number, ok := addressNumber(peerAddress)
	if !ok {
		return nil, &AddressError{Address: peerAddress}
	}
	return &Tokens{address: number, last: make(map[group.Term]uint64)}, nil
}

// addressNumber returns a number that no other proxy has: a machine's IPv4 address, since a
// machine runs one proxy. Loopback addresses are all of one machine, where the last byte of
// the address and the port distinguish the proxies.
func addressNumber(peerAddress string) (uint64, bool) {
	parsed, err := netip.ParseAddrPort(peerAddress)
	if err != nil || !parsed.Addr().Unmap().Is4() || parsed.Addr().Unmap().IsUnspecified() {
		return 0, false
	}
	bytes := parsed.Addr().Unmap().As4()
	if bytes[0] != loopbackNet {
		return uint64(binary.BigEndian.Uint32(bytes[:])), true
	}
	number := binary.BigEndian.AppendUint16([]byte{loopbackNet, bytes[3]}, parsed.Port())
	return uint64(binary.BigEndian.Uint32(number)), bytes[1] == 0 && bytes[2] == 0
}

// loopbackNet is the first byte of loopback addresses.
const loopbackNet = 127

// Next returns a token for an attempt at the given time to start a term. It is higher than
// all tokens that Next returned before for this term.
func (t *Tokens) Next(term group.Term, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	tick := uint64(now.UnixNano()/int64(time.Second/ticksPerSecond)) & maxTick //nolint:gosec // times since 1970
	if previous, found := t.last[term]; found {
		tick = max(tick, min(tickOf(previous)+1, maxTick))
	}
	return t.record(term, tick)
}

// Outranked makes the next token for the term of a refused one considerably higher.
func (t *Tokens) Outranked(term group.Term) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if previous, found := t.last[term]; found {
		tick := tickOf(previous)
		t.record(term, tick+(maxTick-tick)/4)
	}
}

func tickOf(token uint64) uint64 { return token >> addressBits & maxTick }

func (t *Tokens) record(term group.Term, tick uint64) uint64 {
	token := (uint64(term)&(1<<termBits-1))<<(tickBits+addressBits) | tick<<addressBits | t.address
	t.last[term] = token
	return token
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
