package gate

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/member"
)

// reclaim frees the slots that other proxies have been given and no longer use:
// their word may have been lost, or they ended, or never heard of it. A proxy
// may begin work on a slot for slotLife after it was last told of it, so that
// work on one that it was told of earlier shows at the member, if there is any.
func (s *station) reclaim(ctx context.Context, control member.Control, g *Gate) {
	d := s.dispatch
	told := time.Now().Add(-firstWait)
	byHost := make(map[string][]*remote)
	for _, r := range d.remotesOf(func(r *remote) bool { return r.gate == g && r.given && r.told.Before(told) }) {
		byHost[r.work.Host] = append(byHost[r.work.Host], r)
	}
	for host, old := range byHost {
		busy, err := s.busy(ctx, control, host)
		if err != nil {
			return
		}
		for _, r := range old[:max(len(old)-busy, 0)] {
			d.endOld(r, told)
		}
	}
}

func (s *station) busy(ctx context.Context, control member.Control, host string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dispatch.options.Timeout)
	defer cancel()
	return control.Busy(ctx, host)
}

// endOld frees a slot of which its proxy was told before a time, and not again
// meanwhile.
func (d *Dispatch) endOld(r *remote, told time.Time) {
	d.mu.Lock()
	ends := d.remotes[r.key()] == r && r.told.Before(told)
	if ends {
		delete(d.remotes, r.key())
	}
	d.mu.Unlock()
	if ends {
		r.gate.Done(r.work.ID)
	}
}

// dropSilent takes the requests of proxies that went silent out of the queue.
func (d *Dispatch) dropSilent(g *Gate, now time.Time) {
	d.dropWaiting(func(r *remote) bool {
		return r.gate == g && now.Sub(d.options.Peers.Heard(r.work.Host)) > d.options.Silence
	})
}

// TakeLoss takes the requests of a proxy out of the queues whose connection has
// ended. If it lives it asks again.
func (d *Dispatch) TakeLoss(host string) {
	d.dropWaiting(func(r *remote) bool { return r.work.Host == host })
}

// dropWaiting takes requests out of the queues that have no slot.
func (d *Dispatch) dropWaiting(wanted func(*remote) bool) {
	for _, r := range d.remotesOf(func(r *remote) bool { return !r.given && wanted(r) }) {
		if d.takeRemote(r.key()) != nil {
			r.gate.Done(r.work.ID)
		}
	}
}

func (d *Dispatch) remotesOf(wanted func(*remote) bool) []*remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*remote
	for _, r := range d.remotes {
		if wanted(r) {
			list = append(list, r)
		}
	}
	return list
}
