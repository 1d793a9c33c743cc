package chain

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/view"
)

// MemberLoads is implemented by a PermitPool that knows how much work is at the members.
type MemberLoads interface {
	// MemberLoad returns this proxy's own work at a member, what other proxies reported last,
	// and the member's capacity, as far as they are known.
	MemberLoad(database string, m view.Member) even.Candidate
}

// minLightLoad is the work at a member of unknown capacity below which it counts as lightly
// loaded: one statement runs and one is on its way.
const minLightLoad = 2

// lightLoad returns the work at a member below which it counts as lightly loaded: half of its
// slots, because work rarely waits at a member that is less busy.
func lightLoad(list []even.Candidate) float64 {
	sum := 0.0
	for _, c := range list {
		sum += c.Capacity
	}
	return max(sum/float64(len(list))/2, minLightLoad)
}

// loads returns what is known of the load of members.
func (f *filters) loads(database string, members []view.Member) []even.Candidate {
	loads, known := f.Permits.(MemberLoads)
	list := make([]even.Candidate, len(members))
	for i, m := range members {
		if known {
			list[i] = loads.MemberLoad(database, m)
		}
		list[i].Name = m.Name
	}
	return list
}

// chooseMember selects one of several members that are equally suitable for a read.
func (f *filters) chooseMember(w ReadRequirement, equal []view.Member) (int, even.Reason) {
	list := f.loads(w.Database, equal)
	draw := even.Mix(uint64(w.Arrived.UnixNano()) ^ even.Mix(w.Rotation)) //nolint:gosec // only the bits matter
	choice := f.Balances.Choose(w.Database, list, w.Rotation, draw, lightLoad(list), time.Now())
	return choice.Index, choice.Reason
}
