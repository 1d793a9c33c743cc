package gate

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// remote is a slot, or a place in the queue, of a request of another proxy.
type remote struct {
	dispatch *Dispatch
	gate     *Gate
	work     slots.Work
	// asked is when the peer asked first, or later by the time of the message.
	asked time.Time

	// The dispatch's lock guards the rest.
	answer func(peer.Grant)
	given  bool
	// told is when the peer was last told that the slot is its own.
	told time.Time
	next uint64
}

type remoteKey struct {
	host   string
	number uint64
}

func (r *remote) key() remoteKey { return remoteKey{host: r.work.Host, number: r.work.Number} }

// wanted tells whether the request has not been ended meanwhile. The dispatch's
// lock must be held.
func (r *remote) wanted() bool { return r.dispatch.remotes[r.key()] == r }

// Granted implements Waiter.
func (r *remote) Granted() {
	r.dispatch.mu.Lock()
	defer r.dispatch.mu.Unlock()
	if r.wanted() {
		r.given = true
		r.answer(r.grant(time.Now()))
	}
}

// Refused implements Waiter.
func (r *remote) Refused(err error) {
	r.dispatch.mu.Lock()
	defer r.dispatch.mu.Unlock()
	if !r.wanted() {
		return
	}
	delete(r.dispatch.remotes, r.key())
	f := fault.Of(err)
	r.answer(peer.Grant{ID: r.work.Number, Refusal: f.Kind, Detail: f.Detail})
}

// MayFollow implements Waiter.
func (r *remote) MayFollow(number uint64) {
	r.dispatch.mu.Lock()
	defer r.dispatch.mu.Unlock()
	if r.wanted() {
		r.next = number
		r.answer(r.grant(time.Now()))
	}
}

// grant returns the answer that the slot is given. The dispatch's lock must be
// held.
func (r *remote) grant(now time.Time) peer.Grant {
	r.told = now
	return peer.Grant{ID: r.work.Number, Granted: true, ReuseID: r.next, Waited: now.Sub(r.asked), ValidFor: r.gate.until().Sub(now)}
}

// HandlePermitRequest takes another proxy's request for a slot. One that comes again is
// answered again.
func (d *Dispatch) HandlePermitRequest(host string, w peer.PermitRequest, answer func(peer.Grant)) {
	key := stationKey(w.Database, w.Member)
	var g *Gate
	if s := d.station(w.Database, w.Member); s != nil {
		g = s.gate.Load()
	}
	if g == nil {
		answer(peer.Grant{ID: w.ID, Refusal: fault.Undispatched, Detail: "proxy " + d.options.Host + " does not give out the slots of " + key})
		return
	}
	now := time.Now()
	work := slots.Work{
		ID: g.Reserve(), Host: host, Number: w.ID, Caller: w.Caller, Rank: w.Rank, Arrived: now, Deadline: now.Add(w.TimeLeft),
	}
	r := &remote{dispatch: d, gate: g, work: work, answer: answer, asked: now.Add(-w.Waited)}
	if d.addRemote(r) {
		g.Ask(work, r)
	}
}

// addRemote notes a request, and tells whether it is new. A known one gets its
// answers by the new way from now on.
func (d *Dispatch) addRemote(r *remote) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, found := d.remotes[r.key()]; found {
		known.answer = r.answer
		if known.given {
			known.answer(known.grant(time.Now()))
		}
		return false
	}
	d.remotes[r.key()] = r
	return true
}

// takeRemote removes a request and returns it, or nil.
func (d *Dispatch) takeRemote(key remoteKey) *remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.remotes[key]
	delete(d.remotes, key)
	return r
}

// HandleRelease takes a slot back, or a request out of the queue, or notes that the
// slot is used by the next request.
func (d *Dispatch) HandleRelease(host string, done peer.Release) {
	r := d.takeRemote(remoteKey{host: host, number: done.ID})
	switch {
	case done.ReuseID != 0:
		d.follow(r, remoteKey{host: host, number: done.ReuseID})
	case r != nil:
		r.gate.Done(r.work.ID)
	}
}

// follow notes that a request uses the slot of another one that has ended. The
// ended one is nil if its slot was reclaimed: then the next one gets a slot of its
// own, if it is known.
func (d *Dispatch) follow(ended *remote, key remoteKey) {
	next := d.take(key, ended.standIn(key))
	if next == nil {
		return
	}
	var endedID uint64
	if ended != nil {
		endedID = ended.work.ID
	}
	next.gate.Followed(endedID, next.work, next)
}

// standIn returns a request to be used in place of one that is not known, because
// it was turned away while it began. It is nil if the ended one is. The dispatch's
// lock must not be held, since the gate's comes first.
func (r *remote) standIn(key remoteKey) *remote {
	if r == nil {
		return nil
	}
	return &remote{
		dispatch: r.dispatch, gate: r.gate, answer: r.answer, asked: r.asked,
		work: slots.Work{ID: r.gate.Reserve(), Host: key.host, Number: key.number},
	}
}

// take notes that a request has a slot, and returns it. If it is not known the
// other one, which may be nil, takes its place.
func (d *Dispatch) take(key remoteKey, other *remote) *remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.remotes[key]
	if next == nil && other != nil {
		next = other
		d.remotes[key] = other
	}
	if next != nil {
		next.given, next.told = true, time.Now()
	}
	return next
}

// dropRemotes forgets the requests at a gate that is closed.
func (d *Dispatch) dropRemotes(g *Gate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, r := range d.remotes {
		if r.gate == g {
			delete(d.remotes, key)
		}
	}
}
