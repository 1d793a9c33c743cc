package gate

import (
	"fmt"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// remoteRequest is a request of another proxy that waits for a permit or has one.
type remoteRequest struct {
	manager *LeaseManager
	gate    *Gate
	work    slots.Work
	// requestedAt is when the peer first sent the request, plus the transit time of
	// the message.
	requestedAt time.Time

	// The manager's lock guards the following fields.
	reply   func(peer.Grant)
	granted bool
	// notifiedAt is when the peer was last notified that it has the permit.
	notifiedAt time.Time
	nextUser   uint64
}

type remoteKey struct {
	host   string
	number uint64
}

func (r *remoteRequest) key() remoteKey { return remoteKey{host: r.work.Host, number: r.work.Number} }

// isActive reports whether the request has not been ended meanwhile. The manager's
// lock must be held.
func (r *remoteRequest) isActive() bool { return r.manager.remoteRequests[r.key()] == r }

// Granted implements Waiter.
func (r *remoteRequest) Granted() {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	if r.isActive() {
		r.granted = true
		r.reply(r.grant(time.Now()))
	}
}

// Refused implements Waiter.
func (r *remoteRequest) Refused(err error) {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	if !r.isActive() {
		return
	}
	delete(r.manager.remoteRequests, r.key())
	f := fault.FromError(err)
	r.reply(peer.Grant{ID: r.work.Number, Refusal: f.Kind, Detail: f.Detail})
}

// ReuseAssigned implements Waiter.
func (r *remoteRequest) ReuseAssigned(number uint64) {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	if r.isActive() {
		r.nextUser = number
		r.reply(r.grant(time.Now()))
	}
}

// grant returns the message that grants the permit. The manager's lock must be held.
func (r *remoteRequest) grant(now time.Time) peer.Grant {
	r.notifiedAt = now
	return peer.Grant{ID: r.work.Number, Granted: true, ReuseID: r.nextUser, Waited: now.Sub(r.requestedAt), ValidFor: r.gate.permitExpiry().Sub(now)}
}

// HandlePermitRequest implements peer.Handler. It handles another proxy's permit request. A
// request that is received again is answered again.
func (lm *LeaseManager) HandlePermitRequest(host string, w peer.PermitRequest, reply func(peer.Grant)) {
	if !w.Rank.Valid() {
		reply(peer.Grant{ID: w.ID, Refusal: fault.Protocol, Detail: fmt.Sprintf("got rank %d, want a rank from 1 to %d", w.Rank, sheet.MaxRank)})
		return
	}
	key := leaseKey(w.Database, w.Member)
	var g *Gate
	if l := lm.memberLease(w.Database, w.Member); l != nil {
		g = l.gate.Load()
	}
	if g == nil {
		reply(peer.Grant{ID: w.ID, Refusal: fault.Undispatched, Detail: "proxy " + lm.options.Host + " does not hold the slot lease of " + key})
		return
	}
	now := time.Now()
	work := slots.Work{
		ID: g.ReserveID(), Host: host, Number: w.ID, Caller: w.Caller, Rank: w.Rank, Arrived: now, Deadline: now.Add(w.TimeLeft),
	}
	r := &remoteRequest{manager: lm, gate: g, work: work, reply: reply, requestedAt: now.Add(-w.Waited)}
	if lm.addRemote(r) {
		g.Request(work, r)
	}
}

// addRemote stores a request, and reports whether it is new. A known one gets its
// further answers through the new reply function.
func (lm *LeaseManager) addRemote(r *remoteRequest) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if known, found := lm.remoteRequests[r.key()]; found {
		known.reply = r.reply
		if known.granted {
			known.reply(known.grant(time.Now()))
		}
		return false
	}
	lm.remoteRequests[r.key()] = r
	return true
}

// removeRemote removes a request and returns it, or nil.
func (lm *LeaseManager) removeRemote(key remoteKey) *remoteRequest {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	r := lm.remoteRequests[key]
	delete(lm.remoteRequests, key)
	return r
}

// HandleRelease implements peer.Handler. It releases a permit, removes a request from the
// queue, or records that another request reuses the permit.
func (lm *LeaseManager) HandleRelease(host string, done peer.Release) {
	r := lm.removeRemote(remoteKey{host: host, number: done.ID})
	switch {
	case done.ReuseID != 0:
		lm.reusePermit(r, remoteKey{host: host, number: done.ReuseID})
	case r != nil:
		r.gate.Release(r.work.ID)
	}
}

// reusePermit records that a request reuses the permit of one that has ended. The
// ended one is nil if its permit was reclaimed: then the next one gets a permit of its
// own, if it is known.
func (lm *LeaseManager) reusePermit(previous *remoteRequest, key remoteKey) {
	nextUser := lm.assignPermit(key, previous.placeholder(key))
	if nextUser == nil {
		return
	}
	var endedID uint64
	if previous != nil {
		endedID = previous.work.ID
	}
	nextUser.gate.Reuse(endedID, nextUser.work, nextUser)
}

// placeholder returns a request to be used instead of one that is not known, because
// it was refused while it began. It returns nil if the ended request is nil. The
// manager's lock must not be held, since the gate's lock is locked first.
func (r *remoteRequest) placeholder(key remoteKey) *remoteRequest {
	if r == nil {
		return nil
	}
	return &remoteRequest{
		manager: r.manager, gate: r.gate, reply: r.reply, requestedAt: r.requestedAt,
		work: slots.Work{ID: r.gate.ReserveID(), Host: key.host, Number: key.number},
	}
}

// assignPermit records that a request has a permit, and returns the request. If it is
// not known, the other one, which may be nil, takes its place.
func (lm *LeaseManager) assignPermit(key remoteKey, other *remoteRequest) *remoteRequest {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	nextUser := lm.remoteRequests[key]
	if nextUser == nil && other != nil {
		nextUser = other
		lm.remoteRequests[key] = other
	}
	if nextUser != nil {
		nextUser.granted, nextUser.notifiedAt = true, time.Now()
	}
	return nextUser
}

// dropRequests removes all requests of a closed gate.
func (lm *LeaseManager) dropRequests(g *Gate) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for key, r := range lm.remoteRequests {
		if r.gate == g {
			delete(lm.remoteRequests, key)
		}
	}
}
