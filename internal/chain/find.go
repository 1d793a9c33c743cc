package chain

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Awaiter waits for a change of the view of a database.
type Awaiter interface {
	// Await returns the first view for which ready returns true, or false if the context ends
	// first.
	Await(ctx context.Context, ready func(view.View) bool) (view.View, bool)
}

// ReadRequirement describes what a read must see.
type ReadRequirement struct {
	Database string
	// Floor is the caller's own floor. HasToken is set if the caller keeps the floor itself, so
	// that no read index is needed.
	Floor    group.Floor
	HasToken bool
	// StalenessBound is the staleness that the sheet allows, or 0.
	StalenessBound time.Duration
	// Arrived is when the read arrived.
	Arrived time.Time
	// Rotation distributes reads over members that are equally suitable.
	Rotation uint64
	// Connected reports whether a connection that the read can use is idle. Such a member comes
	// before equally distant ones. Nil means that it does not matter.
	Connected func(m view.Member) bool
}

// Candidates are the members that may serve a read.
type Candidates struct {
	// Members is never empty. The best member comes first.
	Members []view.Member
	// Floor is the position that all of them have reached.
	Floor group.Floor
	// Reason names the rule by which the floor was determined, and Choice the one by which the
	// first member was chosen among those at the same distance.
	Reason string
	Choice even.Reason
}

// Finder selects members for the reads of a proxy in one region and data centre.
type Finder struct {
	Region     string
	DataCentre string
	// ReplicaWait is how long a read waits for a replica of its own region to reach its floor
	// before it considers other members.
	ReplicaWait time.Duration
	// Choose selects one of several members at the same distance, and names the rule that
	// decided. If it is nil, the read's rotation decides.
	Choose func(w ReadRequirement, equal []view.Member) (int, even.Reason)
}

// Find returns the members that may serve a read. It returns a NoReader fault if no member
// is proven fresh enough before the context ends, and a FloorLost fault if a change of
// primary lost the caller's own floor.
func (f Finder) Find(ctx context.Context, views Awaiter, w ReadRequirement) (Candidates, error) {
	for {
		floor, reason, err := findFloor(ctx, views, w)
		if err != nil {
			return Candidates{}, err
		}
		v, err := f.await(ctx, views, w, floor)
		if err != nil {
			return Candidates{}, err
		}
		if v.Fate(w.Floor) == group.Lost {
			return Candidates{}, fault.New(fault.FloorLost, "route read", "position %s of database %q was lost when its primary was replaced", w.Floor, w.Database)
		}
		if targets, choice := f.sort(v, w, v.Readers(floor)); len(targets) > 0 {
			return Candidates{Members: targets, Floor: floor, Reason: reason, Choice: choice}, nil
		}
		// The floor was in a log tail that a change of primary truncated before it was
		// acknowledged, so the floor is determined again.
	}
}

// findFloor returns the floor of a read and the rule that determined it. The floor is at
// least the caller's own; a staleness bound or, if the caller keeps no token, a read index
// may raise it.
func findFloor(ctx context.Context, views Awaiter, w ReadRequirement) (floor group.Floor, reason string, err error) {
	prove := func(v view.View) (group.Floor, bool) { return v.ReadIndex(w.Arrived) }
	reason = "barrier"
	switch {
	case w.StalenessBound > 0:
		prove = func(v view.View) (group.Floor, bool) { return v.StalenessFloor(time.Now().Add(-w.StalenessBound)) }
		reason = "accepted age"
	case w.HasToken:
		return w.Floor, "token", nil
	}
	_, found := views.Await(ctx, func(v view.View) bool {
		proven := false
		floor, proven = prove(v)
		return proven
	})
	if !found {
		return group.Floor{}, "", fault.New(fault.NoReader, "route read", "no position of database %q was proven within the deadline (%s)", w.Database, reason)
	}
	return laterFloor(w.Floor, floor), reason, nil
}

// laterFloor returns the later of two floors.
func laterFloor(a, b group.Floor) group.Floor {
	if a.Less(b) {
		return b
	}
	return a
}

// await waits up to ReplicaWait for a replica of its own region that has reached the floor,
// then for any member. It also returns if the floor was lost.
func (f Finder) await(ctx context.Context, views Awaiter, w ReadRequirement, floor group.Floor) (view.View, error) {
	lost := func(v view.View) bool { return v.Fate(floor) == group.Lost }
	nearCtx, cancel := context.WithTimeout(ctx, f.ReplicaWait)
	defer cancel()
	v, found := views.Await(nearCtx, func(v view.View) bool {
		return lost(v) || slices.ContainsFunc(v.Readers(floor), func(m view.Member) bool { return f.isNearReplica(v, m) })
	})
	if found || len(v.Readers(floor)) > 0 {
		return v, nil
	}
	v, found = views.Await(ctx, func(v view.View) bool { return lost(v) || len(v.Readers(floor)) > 0 })
	if !found {
		return v, fault.New(fault.NoReader, "route read", "no member of database %q reached position %s within the deadline", w.Database, floor)
	}
	return v, nil
}

func isPrimary(v view.View, m view.Member) bool {
	primary, found := v.Primary()
	return found && primary.Member == m.Name
}

func (f Finder) isNearReplica(v view.View, m view.Member) bool {
	return m.Region == f.Region && !isPrimary(v, m)
}

// sort orders members by distance: its own region first, replicas before the primary, then
// its own data centre. Among members at the same distance the read's rotation decides, for
// the nearest also their load. Unless load decides, those with an idle connection for the
// read come first. It returns the rule that decided among the nearest.
func (f Finder) sort(v view.View, w ReadRequirement, list []view.Member) ([]view.Member, even.Reason) {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b view.Member) int { return f.distance(v, a) - f.distance(v, b) })
	reason := even.Turn
	for from := 0; from < len(list); {
		equal := list[from:]
		if i := slices.IndexFunc(equal, func(m view.Member) bool { return f.distance(v, m) != f.distance(v, equal[0]) }); i > 0 {
			equal = equal[:i]
		}
		first := int(w.Rotation % uint64(len(equal))) //nolint:gosec // less than the length of a slice
		if from == 0 && len(equal) > 1 && f.Choose != nil {
			first, reason = f.Choose(w, equal)
		}
		rotated := slices.Concat(equal[first:], equal[:first])
		if reason == even.Turn || from > 0 {
			rotated = connectedFirst(rotated, w.Connected)
		}
		copy(equal, rotated)
		from += len(equal)
	}
	return list, reason
}

// connectedFirst returns the members for which connected returns true, followed by the others.
// If connected is nil, it returns the list as it is.
func connectedFirst(list []view.Member, connected func(m view.Member) bool) []view.Member {
	if connected == nil {
		return list
	}
	first, others := make([]view.Member, 0, len(list)), make([]view.Member, 0, len(list))
	for _, m := range list {
		if connected(m) {
			first = append(first, m)
			continue
		}
		others = append(others, m)
	}
	return slices.Concat(first, others)
}

func (f Finder) distance(v view.View, m view.Member) int {
	const primaryCost, regionCost = 2, 4
	cost := 0
	if m.DataCentre != f.DataCentre {
		cost++
	}
	if m.Region != f.Region {
		cost += regionCost
	}
	if isPrimary(v, m) {
		cost += primaryCost
	}
	return cost
}
