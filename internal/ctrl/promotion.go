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

// execute starts an action of the election machine. Results come back as inputs.
func (c *Controller) execute(ctx context.Context, a elect.Action, hosts []string) {
	switch {
	case a.Note != nil:
		c.logNote(*a.Note)
	case a.RequestVotes != nil:
		c.options.Voters.AskWatchers(c.name, a.RequestVotes.Term, hosts)
	case a.AnnounceClaim != nil:
		c.current.Store(c.View().WithClaim(a.AnnounceClaim.Announced()))
		c.options.Voters.TellClaim(c.name, *a.AnnounceClaim, hosts)
	case a.ClaimTerm != nil:
		c.tasks.Go(ctx, func(ctx context.Context) error { return c.claim(ctx, a.ClaimTerm.After) })
	case a.Fence != nil:
		c.tasks.Go(ctx, func(ctx context.Context) error {
			return c.sendOrder(ctx, *a.Fence, c.options.Timeout, member.Control.Fence)
		})
	case a.Promote != nil:
		c.tasks.Go(ctx, func(ctx context.Context) error {
			return c.sendOrder(ctx, *a.Promote, c.promoteTimeout(), member.Control.Promote)
		})
	case a.Follow != nil:
		c.tasks.Go(ctx, func(ctx context.Context) error { return c.sendFollow(ctx, *a.Follow) })
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

func (c *Controller) logNote(n elect.Note) {
	c.options.Log.Emit(noteEvents[n.Kind], event.Fields{"Database": c.name, "Term": n.Term, "Member": n.Member})
}

// ClaimKey returns the key of a database's claim in the store.
func ClaimKey(database string) string { return "Claims/" + database }

// claim claims a term after the given one: with a fencing token where orders are checked
// by their tokens, otherwise in the store.
func (c *Controller) claim(ctx context.Context, after group.Term) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Rules.AttemptTimeout)
	defer cancel()
	put := c.putClaim
	if c.options.FenceBelow != nil {
		put = c.claimByToken
	}
	claimed, err := put(ctx, after)
	if err != nil {
		c.options.Log.Emit(event.StoreFailed, event.Fields{"Op": "claim", "Database": c.name, "Cause": err.Error()})
	}
	c.inputs.Offer(trace.Input{Event: elect.Event{Claimed: &claimed}})
	return err
}

// putClaim writes a claim to the store. If the answer is lost, it reads the claim again:
// the attempt's name shows whether the write succeeded.
func (c *Controller) putClaim(ctx context.Context, after group.Term) (elect.ClaimResult, error) {
	key := ClaimKey(c.name)
	old, version, err := c.readClaim(ctx, key)
	if err != nil {
		return elect.ClaimResult{}, err
	}
	if previous := c.lastClaim.Swap(&old.Attempt); old.Term > after && (previous == nil || *previous != old.Attempt) {
		// No member has reported the term of this claim yet, so its promoter may still be
		// running the promotion.
		return elect.ClaimResult{Conflict: true, Claim: old}, nil
	}
	proposed := elect.Claim{Term: max(after, old.Term) + 1, Promoter: c.options.Host, Attempt: rand.Text()}
	body, err := json.Marshal(proposed)
	if err != nil {
		return elect.ClaimResult{}, err
	}
	_, err = c.options.Store.Put(ctx, key, body, version)
	if err == nil {
		return elect.ClaimResult{Won: true, Claim: proposed}, nil
	}
	current, _, readErr := c.readClaim(ctx, key)
	if readErr != nil {
		return elect.ClaimResult{}, errors.CombineErrors(err, readErr)
	}
	if current.Attempt == proposed.Attempt {
		return elect.ClaimResult{Won: true, Claim: proposed}, nil
	}
	return elect.ClaimResult{Conflict: true, Claim: current}, nil
}

func (c *Controller) readClaim(ctx context.Context, key string) (elect.Claim, store.Version, error) {
	object, err := c.options.Store.Get(ctx, key)
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

// promoteTimeout returns the time-out of an order to promote. It is the time of the whole
// attempt where a promotion takes effect some time after the order.
func (c *Controller) promoteTimeout() time.Duration {
	if c.options.Rules.SharedTerms {
		return c.options.Rules.AttemptTimeout
	}
	return c.options.Timeout
}

type orderFunc func(member.Control, context.Context, member.PromotionAttempt) (group.State, error)

// withControl calls send with a new control connection to a member, since the connection
// of the poller may be blocked. It does nothing for a member that is no longer listed.
func (c *Controller) withControl(ctx context.Context, name string, timeout time.Duration, send func(context.Context, member.Control) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target, found := c.View().Member(name)
	if !found {
		return nil
	}
	control := c.options.Dial(target)
	defer control.Close()
	return send(ctx, control)
}

// sendOrder sends an order of a promotion to a member.
func (c *Controller) sendOrder(ctx context.Context, o elect.Order, timeout time.Duration, send orderFunc) error {
	return c.withControl(ctx, o.Member, timeout, func(ctx context.Context, control member.Control) error {
		asked := time.Now()
		state, err := send(control, ctx, member.PromotionAttempt{Term: o.Claim.Term, Promoter: o.Claim.Promoter + "/" + o.Claim.Attempt, Token: o.Claim.Token})
		var refused *member.RefusedError
		answer := elect.Answer{Member: o.Member, Term: o.Claim.Term, Refused: errors.As(err, &refused), Failed: err != nil, State: state}
		c.options.Log.Emit(event.FenceAnswered, event.Fields{
			"Database": c.name, "Member": o.Member, "Term": o.Claim.Term, "Refused": answer.Refused, "Failed": answer.Failed,
		})
		if answer.Refused && c.options.Tokens != nil && !c.View().Silent(o.Member) {
			c.options.Tokens.Outranked(o.Claim.Term)
		}
		if err == nil {
			c.inputs.Offer(trace.Input{Report: &view.Report{Member: o.Member, SentAt: asked, ReceivedAt: time.Now(), State: state}})
		}
		c.inputs.Offer(trace.Input{Event: elect.Event{Answer: &answer}})
		return err
	})
}

// sendFollow orders a member to follow the primary.
func (c *Controller) sendFollow(ctx context.Context, f elect.Follow) error {
	return c.withControl(ctx, f.Member, c.options.Timeout, func(ctx context.Context, control member.Control) error {
		_, err := control.Follow(ctx, f.Term, f.Leader.Address, f.Starts)
		c.options.Log.Emit(event.MemberFollows, event.Fields{
			"Database": c.name, "Member": f.Member, "Primary": f.Leader.Name, "Term": f.Term, "Done": err == nil,
		})
		return err
	})
}
