package ctrl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/trace"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// carryOut starts what the machine asks for. Results come back as inputs.
func (b *Controller) carryOut(ctx context.Context, a elect.Action, hosts []string) {
	switch {
	case a.Note != nil:
		b.note(*a.Note)
	case a.AskWatchers != nil:
		b.options.Voters.AskWatchers(b.name, a.AskWatchers.Term, hosts)
	case a.TellClaim != nil:
		b.options.Voters.TellClaim(b.name, *a.TellClaim, hosts)
	case a.ClaimTerm != nil:
		b.orders.Go(ctx, func(ctx context.Context) error { return b.claim(ctx, a.ClaimTerm.After) })
	case a.Fence != nil:
		b.orders.Go(ctx, func(ctx context.Context) error {
			return b.command(ctx, *a.Fence, b.options.Timeout, member.Control.Fence)
		})
	case a.Promote != nil:
		b.orders.Go(ctx, func(ctx context.Context) error {
			return b.command(ctx, *a.Promote, b.promoteTime(), member.Control.Promote)
		})
	case a.Follow != nil:
		b.orders.Go(ctx, func(ctx context.Context) error { return b.follow(ctx, *a.Follow) })
	}
}

var noteEvents = map[elect.NoteKind]event.Event{
	elect.Suspected:      event.Suspected,
	elect.SuspicionEnded: event.SuspicionEnded,
	elect.ClaimWon:       event.ClaimWon,
	elect.ClaimLost:      event.ClaimLost,
	elect.MemberPromoted: event.Promoted,
	elect.AttemptFailed:  event.PromotionFailed,
}

func (b *Controller) note(n elect.Note) {
	b.options.Log.Emit(noteEvents[n.Kind], event.Fields{"Database": b.name, "Term": n.Term, "Member": n.Member})
}

// ClaimKey returns the store's key of a database's claim.
func ClaimKey(database string) string { return "Claims/" + database }

// claim claims a term after the given one: by a token where orders are checked by their
// tokens, else in the store.
func (b *Controller) claim(ctx context.Context, after group.Term) error {
	ctx, cancel := context.WithTimeout(ctx, b.options.Rules.Attempt)
	defer cancel()
	put := b.putClaim
	if b.options.FenceBelow != nil {
		put = b.claimByToken
	}
	claimed, err := put(ctx, after)
	if err != nil {
		b.options.Log.Emit(event.StoreFailed, event.Fields{"Op": "claim", "Database": b.name, "Cause": err.Error()})
	}
	b.inputs.Offer(trace.Input{Event: elect.Event{Claimed: &claimed}})
	return err
}

// putClaim writes a claim to the store. If the answer is lost, the claim is read again:
// the attempt's name tells whose it is.
func (b *Controller) putClaim(ctx context.Context, after group.Term) (elect.Claimed, error) {
	key := ClaimKey(b.name)
	old, version, err := b.readClaim(ctx, key)
	if err != nil {
		return elect.Claimed{}, err
	}
	if seen := b.seenClaim.Swap(&old.Attempt); old.Term > after && (seen == nil || *seen != old.Attempt) {
		// The members have not shown this claim's term yet: its promoter may be
		// at work.
		return elect.Claimed{Conflict: true, Claim: old}, nil
	}
	mine := elect.Claim{Term: max(after, old.Term) + 1, Promoter: b.options.Host, Attempt: rand.Text()}
	body, err := json.Marshal(mine)
	if err != nil {
		return elect.Claimed{}, err
	}
	_, err = b.options.Store.Put(ctx, key, body, version)
	if err == nil {
		return elect.Claimed{Won: true, Claim: mine}, nil
	}
	current, _, readErr := b.readClaim(ctx, key)
	if readErr != nil {
		return elect.Claimed{}, errors.CombineErrors(err, readErr)
	}
	if current.Attempt == mine.Attempt {
		return elect.Claimed{Won: true, Claim: mine}, nil
	}
	return elect.Claimed{Conflict: true, Claim: current}, nil
}

func (b *Controller) readClaim(ctx context.Context, key string) (elect.Claim, store.Version, error) {
	object, err := b.options.Store.Get(ctx, key)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return elect.Claim{}, "", nil
	}
	if err != nil {
		return elect.Claim{}, "", err
	}
	var claim elect.Claim
	if err := json.Unmarshal(object.Value, &claim); err != nil {
		return elect.Claim{}, "", err
	}
	return claim, object.Version, nil
}

// promoteTime is how long an order to promote may take: as long as the attempt, where a
// promotion takes effect a while after the order.
func (b *Controller) promoteTime() time.Duration {
	if b.options.Rules.SharedTerms {
		return b.options.Rules.Attempt
	}
	return b.options.Timeout
}

type commandFunc func(member.Control, context.Context, member.Warrant) (group.State, error)

// reach calls give with a connection of its own to a member, since the poller's
// may be stuck. A member that is no longer listed is left alone.
func (b *Controller) reach(ctx context.Context, name string, timeout time.Duration, give func(context.Context, member.Control) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target, found := b.View().Member(name)
	if !found {
		return nil
	}
	control := b.options.Dial(target)
	defer control.Close()
	return give(ctx, control)
}

// command gives an order of a promotion to a member.
func (b *Controller) command(ctx context.Context, o elect.Order, timeout time.Duration, give commandFunc) error {
	return b.reach(ctx, o.Member, timeout, func(ctx context.Context, control member.Control) error {
		asked := time.Now()
		state, err := give(control, ctx, member.Warrant{Term: o.Claim.Term, Promoter: o.Claim.Promoter + "/" + o.Claim.Attempt, Token: o.Claim.Token})
		var refused *member.RefusedError
		answer := elect.Answer{Member: o.Member, Term: o.Claim.Term, Refused: errors.As(err, &refused), Failed: err != nil, State: state}
		b.options.Log.Emit(event.FenceAnswered, event.Fields{
			"Database": b.name, "Member": o.Member, "Term": o.Claim.Term, "Refused": answer.Refused, "Failed": answer.Failed,
		})
		if err == nil {
			b.inputs.Offer(trace.Input{Report: &view.Report{Member: o.Member, Asked: asked, Heard: time.Now(), State: state}})
		}
		b.inputs.Offer(trace.Input{Event: elect.Event{Answer: &answer}})
		return err
	})
}

// follow tells a member to follow the primary.
func (b *Controller) follow(ctx context.Context, f elect.Follow) error {
	return b.reach(ctx, f.Member, b.options.Timeout, func(ctx context.Context, control member.Control) error {
		_, err := control.Follow(ctx, f.Term, f.Leader.Address, f.Starts)
		b.options.Log.Emit(event.MemberFollows, event.Fields{
			"Database": b.name, "Member": f.Member, "Primary": f.Leader.Name, "Term": f.Term, "Done": err == nil,
		})
		return err
	})
}
