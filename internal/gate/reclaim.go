package gate

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/member"
)

// reclaim releases permits that other proxies no longer use: their release may have
// been lost, or they ended, or they never received the grant. A proxy may begin work
// on a permit for permitLifetime after it was last notified of it. So work on a permit
// that was notified longer ago shows as a busy connection at the member, if there is
// any.
func (l *memberLease) reclaim(ctx context.Context, control member.SlotControl, g *Gate) {
	lm := l.manager
	cutoff := time.Now().Add(-takeoverDelay)
	byHost := make(map[string][]*remoteRequest)
	for _, r := range lm.selectRemotes(func(r *remoteRequest) bool { return r.gate == g && r.granted && r.notifiedAt.Before(cutoff) }) {
		byHost[r.work.Host] = append(byHost[r.work.Host], r)
	}
	for host, expired := range byHost {
		busy, err := l.busy(ctx, control, host)
		if err != nil {
			return
		}
		for _, r := range expired[:max(len(expired)-busy, 0)] {
			lm.endIf(r, func(r *remoteRequest) bool { return r.notifiedAt.Before(cutoff) })
		}
	}
}

// busy returns how many connections of a host are busy at the member.
func (l *memberLease) busy(ctx context.Context, control member.SlotControl, host string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, l.manager.options.Timeout)
	defer cancel()
	return control.Busy(ctx, host)
}

// endIf removes a request from the queue, or releases its permit, if a condition still
// holds. No grant is sent to its proxy any more, even if one is in progress.
func (lm *LeaseManager) endIf(r *remoteRequest, condition func(*remoteRequest) bool) {
	lm.mu.Lock()
	active := r.isActive() && condition(r)
	if active {
		delete(lm.remoteRequests, r.key())
	}
	lm.mu.Unlock()
	if active {
		r.gate.Release(r.work.ID)
	}
}

// dropUnresponsive removes the waiting requests of proxies that have become
// unresponsive.
func (lm *LeaseManager) dropUnresponsive(g *Gate, now time.Time) {
	lm.dropWaiting(func(r *remoteRequest) bool {
		return r.gate == g && now.Sub(lm.options.Peers.Heard(r.work.Host)) > lm.options.FailureTimeout
	})
}

// HandleDisconnect implements peer.Handler. It removes the waiting requests of a proxy whose
// connection has ended. If the proxy is running, it sends them again.
func (lm *LeaseManager) HandleDisconnect(host string) {
	lm.dropWaiting(func(r *remoteRequest) bool { return r.work.Host == host })
}

// dropWaiting removes the matching requests that have no permit.
func (lm *LeaseManager) dropWaiting(match func(*remoteRequest) bool) {
	isWaiting := func(r *remoteRequest) bool { return !r.granted }
	for _, r := range lm.selectRemotes(func(r *remoteRequest) bool { return isWaiting(r) && match(r) }) {
		lm.endIf(r, isWaiting)
	}
}

// selectRemotes returns the matching requests of other proxies.
func (lm *LeaseManager) selectRemotes(match func(*remoteRequest) bool) []*remoteRequest {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	var list []*remoteRequest
	for _, r := range lm.remoteRequests {
		if match(r) {
			list = append(list, r)
		}
	}
	return list
}
