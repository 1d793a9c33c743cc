package gate

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// TakeWant takes another proxy's request for a slot.
func (d *Dispatch) TakeWant(host string, w peer.Want, answer func(peer.Grant)) {
	key := stationKey(w.Database, w.Member)
	var g *Gate
	if s := d.station(w.Database, w.Member); s != nil {
		g = s.gate.Load()
	}
	if g == nil {
		answer(peer.Grant{ID: w.ID, Refusal: fault.Undispatched, Detail: "proxy " + d.options.Host + " does not give out the slots of " + key})
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, w.Left)
	held := &grant{station: key, cancel: cancel}
	d.mu.Lock()
	d.grants[grantKey{host, w.ID}] = held
	d.mu.Unlock()
	d.asking.Go(ctx, func(ctx context.Context) error { return d.serveWant(ctx, host, w, g, answer) })
}

// serveWant waits for a slot on behalf of another proxy.
func (d *Dispatch) serveWant(ctx context.Context, host string, w peer.Want, g *Gate, answer func(peer.Grant)) error {
	now := time.Now()
	release, err := g.Acquire(ctx, slots.Work{Caller: w.Caller, Rank: w.Rank, Arrived: now, Deadline: now.Add(w.Left)})
	if err != nil {
		f := fault.Of(err)
		d.take(grantKey{host, w.ID})
		answer(peer.Grant{ID: w.ID, Refusal: f.Kind, Detail: f.Detail})
		return err
	}
	if !d.give(grantKey{host, w.ID}, release) {
		// The request was withdrawn meanwhile.
		release()
		return nil
	}
	answer(peer.Grant{ID: w.ID, Given: true})
	return nil
}

// give notes that a slot is given, unless the request was withdrawn.
func (d *Dispatch) give(key grantKey, release func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, found := d.grants[key]
	if !found {
		return false
	}
	held.given, held.at = release, time.Now()
	return true
}

// take removes a grant and returns it, or nil.
func (d *Dispatch) take(key grantKey) *grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.grants[key]
	delete(d.grants, key)
	if held != nil {
		defer held.cancel()
	}
	return held
}

// TakeDone takes a slot back, or a request out of the queue.
func (d *Dispatch) TakeDone(host string, done peer.Done) {
	if held := d.take(grantKey{host, done.ID}); held != nil && held.given != nil {
		held.given()
	}
}

// TakeGrant takes a dispatcher's answer. One that no request waits for is given
// back.
func (d *Dispatch) TakeGrant(host string, g peer.Grant) {
	d.mu.Lock()
	answer, found := d.wants[g.ID]
	delete(d.wants, g.ID)
	d.mu.Unlock()
	if found {
		answer <- g
		return
	}
	if g.Given {
		d.options.Peers.Send(host, peer.Frame{Done: &peer.Done{ID: g.ID}})
	}
}

// dropGrants forgets the grants of a member that this proxy no longer leads.
func (d *Dispatch) dropGrants(station string) {
	for _, key := range d.grantsOf(station, func(*grant, string) bool { return true }) {
		d.take(key)
	}
}

func (d *Dispatch) grantsOf(station string, wanted func(*grant, string) bool) []grantKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	var keys []grantKey
	for key, held := range d.grants {
		if held.station == station && wanted(held, key.host) {
			keys = append(keys, key)
		}
	}
	return keys
}

// reclaim frees the slots of proxies that went silent, as far as the member is
// found not to use them. A proxy that was only cut off from this one may still
// run its work; its slots stay counted until that has ended.
func (d *Dispatch) reclaim(station string, active int) {
	given := d.grantsOf(station, func(g *grant, _ string) bool { return g.given != nil })
	silent := d.grantsOf(station, func(g *grant, host string) bool {
		return g.given != nil && time.Since(d.options.Peers.Heard(host)) > d.options.Silence && time.Since(g.at) > d.options.Silence
	})
	for _, key := range silent {
		if len(given) <= active {
			return
		}
		d.TakeDone(key.host, peer.Done{ID: key.id})
		given = given[1:]
	}
}
