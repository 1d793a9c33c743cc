package gate

import (
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/view"
)

var _ chain.MemberLoads = (*LeaseManager)(nil)

// MemberLoad implements chain.MemberLoads. The lease holder of a member knows the work of all
// proxies there, and another proxy only its own.
func (lm *LeaseManager) MemberLoad(database string, m view.Member) even.Candidate {
	c := even.Candidate{Name: m.Name}
	l := lm.memberLease(database, m.Name)
	if l == nil {
		return c
	}
	c.Capacity = float64(l.slots)
	if g := l.gate.Load(); g != nil {
		_, inUse, waiting := g.Counts()
		remote := len(lm.selectRemotes(func(r *remoteRequest) bool { return r.gate == g }))
		c.Own, c.Others, c.Reported = max(inUse+waiting-remote, 0), float64(remote), true
		return c
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for _, r := range lm.requests {
		if r.memberLease == l {
			c.Own++
		}
	}
	for _, h := range lm.permits {
		if h.memberLease == l {
			c.Own++
		}
	}
	return c
}
