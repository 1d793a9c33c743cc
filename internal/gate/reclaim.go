package gate

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
)

const (
	// remindAfter is how long a peer may use a slot before it is asked whether
	// it still does, and before it is asked again.
	remindAfter = time.Second
	// activeLooks is over how many looks at the member the greatest number of
	// statements in progress counts. A slot that is in use may have no statement
	// at the member for a moment.
	activeLooks = 4
)

// remind tells the peers that use slots for long which they are. A peer that
// has given one back says so again.
func (d *Dispatch) remind(g *Gate, now time.Time) {
	for _, r := range d.remotesOf(g, func(r *remote) bool { return r.given && now.Sub(r.reminded) >= remindAfter }) {
		d.mu.Lock()
		r.reminded = now
		grant := r.grant()
		d.mu.Unlock()
		d.options.Peers.Send(r.work.Host, peer.Frame{Grant: &grant})
	}
}

// reclaim frees the slots of proxies that went silent or were replaced, as far
// as the member is found not to use them, and forgets what else they wanted. A
// proxy that was only cut off from this one may still run its work; its slots
// stay counted until that has ended.
func (d *Dispatch) reclaim(g *Gate, idle int, now time.Time) {
	silent := func(r *remote) bool {
		return now.Sub(d.options.Peers.Heard(r.work.Host)) > d.options.Silence
	}
	for _, r := range d.remotesOf(g, func(r *remote) bool { return !r.given && silent(r) }) {
		d.end(r)
	}
	gone := d.remotesOf(g, func(r *remote) bool {
		return r.given && now.Sub(r.since) > d.options.Silence && (r.orphan || silent(r))
	})
	for _, r := range gone[:min(len(gone), max(idle, 0))] {
		d.end(r)
	}
}

func (d *Dispatch) end(r *remote) {
	if d.takeRemote(r.key()) != nil {
		r.gate.Done(r.work.ID)
	}
}

func (d *Dispatch) remotesOf(g *Gate, wanted func(*remote) bool) []*remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*remote
	for _, r := range d.remotes {
		if r.gate == g && wanted(r) {
			list = append(list, r)
		}
	}
	return list
}

// peaks holds the last numbers of statements in progress at a member.
type peaks struct {
	last [activeLooks]int
	next int
}

// with returns the peaks after one more look, and the greatest of them.
func (p peaks) with(active int) (peaks, int) {
	p.last[p.next%activeLooks] = active
	p.next++
	greatest := 0
	for _, n := range p.last {
		greatest = max(greatest, n)
	}
	return p, greatest
}
