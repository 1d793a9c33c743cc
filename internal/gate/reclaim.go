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
func (s *station) reclaim(ctx context.Context, control member.Dispatcher, g *Gate) {
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
			d.endIf(r, func(r *remote) bool { return r.told.Before(told) })
		}
	}
}

func (s *station) busy(ctx context.Context, control member.Dispatcher, host string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dispatch.options.Timeout)
	defer cancel()
	return control.Busy(ctx, host)
}

// endIf takes a request out of the queue, or its slot back, if a condition still
// holds. No grant is sent to its proxy any more, even if one is being made.
func (d *Dispatch) endIf(r *remote, still func(*remote) bool) {
	d.mu.Lock()
	ends := r.wanted() && still(r)
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

// HandleDisconnect takes the requests of a proxy out of the queues whose connection has
// ended. If it lives it asks again.
func (d *Dispatch) HandleDisconnect(host string) {
	d.dropWaiting(func(r *remote) bool { return r.work.Host == host })
}

// dropWaiting takes requests out of the queues that have no slot.
func (d *Dispatch) dropWaiting(wanted func(*remote) bool) {
	waits := func(r *remote) bool { return !r.given }
	for _, r := range d.remotesOf(func(r *remote) bool { return waits(r) && wanted(r) }) {
		d.endIf(r, waits)
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
