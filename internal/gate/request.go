package gate

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// permitRequest is a request of this proxy that waits for a permit of another proxy.
type permitRequest struct {
	memberLease *memberLease
	host        string
	// answer has capacity for one answer.
	answer chan answer
	// requestedAt is when the lease holder was first asked.
	requestedAt time.Time
}

// answer is the reply to a permit request: the time at which the permit expires, or
// why there is none.
type answer struct {
	// expires is when the permit expires.
	expires time.Time
	err     error
}

// heldPermit is a permit that another proxy granted to this one.
type heldPermit struct {
	*permitRequest
	// next is the request that may reuse the permit without asking, or 0.
	next uint64
	// previous are the ended requests that used the permit since it was granted.
	previous []uint64
	// expires is when the permit expires.
	expires time.Time
}

// retryPeriod is how long a request waits before it is sent again, since the request
// or its answer may have been lost with a connection.
const retryPeriod = time.Second

// acquireFrom requests a permit from another proxy, and gives up when that proxy no
// longer holds the lease.
func (lm *LeaseManager) acquireFrom(ctx context.Context, l *memberLease, host string, work slots.Work) (chain.Permit, error) {
	r := &permitRequest{memberLease: l, host: host, answer: make(chan answer, 1), requestedAt: time.Now()}
	id := lm.addRequest(r)
	release := func() { lm.releaseRequest(id) }
	send := func() bool {
		return lm.options.Peers.Send(host, peer.Frame{PermitRequest: &peer.PermitRequest{
			ID: id, Database: l.database, Member: l.member.Name, Caller: work.Caller, Rank: work.Rank, TimeLeft: time.Until(work.Deadline), Waited: time.Since(r.requestedAt),
		}})
	}
	if !send() {
		release()
		return chain.Permit{}, fault.New(fault.Undispatched, "wait for slot", "lease holder %s cannot be reached", host)
	}
	retry := time.NewTicker(retryPeriod)
	defer retry.Stop()
	for {
		holder, changed := l.holder.Watch()
		if holder != host {
			release()
			return chain.Permit{}, errReplaced(host)
		}
		select {
		case a := <-r.answer:
			return chain.Permit{ExpiresAt: a.expires, Release: release}, a.err
		case <-changed:
		case <-retry.C:
			send()
		case <-ctx.Done():
			release()
			return chain.Permit{}, fault.New(fault.Late, "wait for slot", "lease holder %s granted no slot within the deadline", host)
		}
	}
}

func errReplaced(host string) error {
	return fault.New(fault.Undispatched, "wait for slot", "lease holder %s was replaced", host)
}

// expiry returns when a granted permit expires. The clocks of the two proxies are not
// compared: both durations count from the request, which this proxy sent before the
// lease holder received it.
func (r *permitRequest) expiry(g peer.Grant) time.Time {
	return r.requestedAt.Add(g.Waited + g.ValidFor)
}

// addRequest stores a request and returns its number.
func (lm *LeaseManager) addRequest(r *permitRequest) uint64 {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.lastID++
	lm.requests[lm.lastID] = r
	return lm.lastID
}

// releaseRequest ends a request: it withdraws the request, releases its permit, or
// passes the permit on to the request that may reuse it.
//
// The lock is held until the frame is sent, so that the lease holder receives all ends
// in the order in which they happened.
func (lm *LeaseManager) releaseRequest(id uint64) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	done, host, reuser := lm.removeRequest(id, time.Now())
	if host == "" {
		return
	}
	lm.options.Peers.Send(host, peer.Frame{Release: &done})
	if reuser != nil {
		reuser.answer <- answer{expires: reuser.expires}
	}
}

// removeRequest removes an ended request. It returns the message for its lease holder,
// the holder or "" if there is nothing to send, and the request that reuses the
// permit, if any. The lock must be held.
func (lm *LeaseManager) removeRequest(id uint64, now time.Time) (done peer.Release, host string, reuser *heldPermit) {
	done.ID = id
	if r, waiting := lm.requests[id]; waiting {
		delete(lm.requests, id)
		return done, r.host, nil
	}
	h, isHeld := lm.permits[id]
	if !isHeld {
		return done, "", nil
	}
	delete(lm.permits, id)
	r := lm.requests[h.next]
	if r == nil || r.memberLease != h.memberLease || h.memberLease.holder.Load() != h.host || !now.Before(h.expires) {
		return done, h.host, nil
	}
	delete(lm.requests, h.next)
	reuser = &heldPermit{permitRequest: r, expires: h.expires, previous: append(slices.Clip(h.previous), id)}
	lm.permits[h.next] = reuser
	done.ReuseID = h.next
	return done, h.host, reuser
}

// HandleGrant implements peer.Handler. It handles a lease holder's answer, or its update
// of a permit that this proxy has. If the request has ended, its release is sent
// again, since the first message may have been lost.
func (lm *LeaseManager) HandleGrant(host string, g peer.Grant) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	r, waiting := lm.requests[g.ID]
	h, isHeld := lm.permits[g.ID]
	switch {
	case waiting && g.Granted:
		delete(lm.requests, g.ID)
		expires := r.expiry(g)
		lm.permits[g.ID] = &heldPermit{permitRequest: r, next: g.ReuseID, expires: expires}
		r.answer <- answer{expires: expires}
	case waiting:
		delete(lm.requests, g.ID)
		r.answer <- answer{err: refusalOf(g)}
	case isHeld:
		h.next = g.ReuseID
		if expires := h.expiry(g); expires.After(h.expires) {
			h.expires = expires
		}
	case g.Granted:
		lm.options.Peers.Send(host, peer.Frame{Release: &peer.Release{ID: g.ID, ReuseID: lm.reuserOf(g.ID)}})
	}
}

// refusalOf returns the fault of a grant that refuses a permit. Whatever the lease holder says, the
// work was not sent.
func refusalOf(g peer.Grant) *fault.Error {
	if !g.Refusal.Known() || g.Refusal.Outcome() != fault.NotRun {
		return fault.New(fault.Undispatched, "wait for slot", "got fault %d from the lease holder, want one of work that was not run: %s", uint8(g.Refusal), g.Detail)
	}
	return fault.New(g.Refusal, "wait for slot", "%s", g.Detail)
}

// reuserOf returns the request that now uses the permit of an ended one, or 0 if none
// does. The lock must be held.
func (lm *LeaseManager) reuserOf(ended uint64) uint64 {
	for id, h := range lm.permits {
		if slices.Contains(h.previous, ended) {
			return id
		}
	}
	return 0
}
