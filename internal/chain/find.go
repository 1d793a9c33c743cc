package chain

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Awaiter waits for what is known of a database to change.
type Awaiter interface {
	// Await returns the first view for which ready returns true, or false if
	// the context ends first.
	Await(ctx context.Context, ready func(view.View) bool) (view.View, bool)
}

// Want is what a read must see.
type Want struct {
	Database string
	// Floor is the caller's own floor; Token tells that the caller keeps it
	// itself, so that nothing else need be asked.
	Floor group.Floor
	Token bool
	// Age is the age that the sheet accepts, or 0.
	Age time.Duration
	// Arrived is when the read arrived.
	Arrived time.Time
	// Turn spreads reads over members that are equally good.
	Turn uint64
}

// Found are the members that may serve a read.
type Found struct {
	// Targets are the members, the best first. There is at least one.
	Targets []view.Member
	// Need is the floor that they have reached.
	Need group.Floor
	// Reason tells how the floor was found.
	Reason string
}

// Finder finds members for the reads of one place.
type Finder struct {
	Region     string
	DataCentre string
	// ReplicaWait is how long a read waits for a replica of its own region to reach
	// its floor before it goes further.
	ReplicaWait time.Duration
}

// Find returns the members that may serve a read. It returns a NoReader fault if
// none is proven fresh enough before the context ends, and a FloorLost fault if
// the caller's own floor was lost.
func (f Finder) Find(ctx context.Context, base Awaiter, w Want) (Found, error) {
	for {
		floor, reason, err := findFloor(ctx, base, w)
		if err != nil {
			return Found{}, err
		}
		v, err := f.await(ctx, base, w, floor)
		if err != nil {
			return Found{}, err
		}
		if v.Fate(w.Floor) == group.Lost {
			return Found{}, fault.New(fault.FloorLost, "route read", "position %s of database %q was lost when its primary was replaced", w.Floor, w.Database)
		}
		if targets := f.sort(v, w, v.Readers(floor)); len(targets) > 0 {
			return Found{Targets: targets, Need: floor, Reason: reason}, nil
		}
		// A change of primary cut off a tail that no one had acknowledged, and
		// the floor lay in it: it is taken anew.
	}
}

// findFloor returns the floor of a read: the caller's own, and besides it the
// age that the sheet accepts, or a barrier if the caller keeps no token.
func findFloor(ctx context.Context, base Awaiter, w Want) (floor group.Floor, reason string, err error) {
	prove := func(v view.View) (group.Floor, bool) { return v.ReadIndex(w.Arrived) }
	reason = "barrier"
	switch {
	case w.Age > 0:
		prove = func(v view.View) (group.Floor, bool) { return v.StalenessFloor(time.Now().Add(-w.Age)) }
		reason = "accepted age"
	case w.Token:
		return w.Floor, "token", nil
	}
	_, found := base.Await(ctx, func(v view.View) bool {
		proven := false
		floor, proven = prove(v)
		return proven
	})
	if !found {
		return group.Floor{}, "", fault.New(fault.NoReader, "route read", "no position of database %q was proven in time (%s)", w.Database, reason)
	}
	return later(w.Floor, floor), reason, nil
}

// later returns the floor that demands more.
func later(a, b group.Floor) group.Floor {
	if a.Less(b) {
		return b
	}
	return a
}

// await waits a little for a replica in the own region that has reached the
// floor, then for any member. It also returns if the floor was lost.
func (f Finder) await(ctx context.Context, base Awaiter, w Want, floor group.Floor) (view.View, error) {
	lost := func(v view.View) bool { return v.Fate(floor) == group.Lost }
	short, cancel := context.WithTimeout(ctx, f.ReplicaWait)
	defer cancel()
	v, found := base.Await(short, func(v view.View) bool {
		return lost(v) || slices.ContainsFunc(v.Readers(floor), func(m view.Member) bool { return f.isNearReplica(v, m) })
	})
	if found || len(v.Readers(floor)) > 0 {
		return v, nil
	}
	v, found = base.Await(ctx, func(v view.View) bool { return lost(v) || len(v.Readers(floor)) > 0 })
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

// sort puts members of the own region first, replicas before the primary, then
// those of the own data centre. Among equals the callers take turns.
func (f Finder) sort(v view.View, w Want, list []view.Member) []view.Member {
	if n := uint64(len(list)); n > 0 {
		turn := w.Turn % n
		list = slices.Concat(list[turn:], list[:turn])
	}
	slices.SortStableFunc(list, func(a, b view.Member) int { return f.distance(v, a) - f.distance(v, b) })
	return list
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
