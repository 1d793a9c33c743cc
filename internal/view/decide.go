package view

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// Confirmation is the replication status of a write.
type Confirmation uint8

// The confirmation states of a write.
const (
	// Pending means that the write may still be confirmed.
	Pending Confirmation = iota
	// Confirmed means that a majority holds the write in its own term.
	Confirmed
	// Unconfirmable means that a majority has left the write's term, so that the write can
	// no longer be confirmed.
	Unconfirmable
)

// String returns the external name of the state: waiting, held or doubtful.
func (c Confirmation) String() string {
	return [...]string{"waiting", "held", "doubtful"}[c]
}

// ConfirmationOf returns the confirmation state of a write that the primary reported at
// a floor. The primary itself counts as one holder.
func (v View) ConfirmationOf(primary string, f group.Floor) Confirmation {
	holders, departed := 1, 0
	for _, m := range v.members {
		r, found := v.reports[m.Name]
		if !found {
			continue
		}
		if max(r.State.Term, r.State.Fence) > f.Term {
			departed++
			continue
		}
		if m.Name != primary && r.State.Term == f.Term && r.State.Received >= f.Position {
			holders++
		}
	}
	majority := group.Majority(len(v.members))
	switch {
	case holders >= majority:
		return Confirmed
	case len(v.members)-departed < majority:
		return Unconfirmable
	default:
		return Pending
	}
}

// ShouldPoll reports whether a member must be polled to get new information soon: the
// primary, and the nearest responding members that form a majority with it. If no
// primary is known, or it is fenced or does not respond, every member is polled.
func (v View) ShouldPoll(member, region string) bool {
	primary, found := v.Primary()
	if !found || primary.State.Fenced() || v.silent[primary.Member] || primary.Member == member {
		return true
	}
	var others []Member
	for _, m := range v.members {
		if m.Name != primary.Member && !v.silent[m.Name] {
			others = append(others, m)
		}
	}
	slices.SortStableFunc(others, func(a, b Member) int { return regionDistance(a, region) - regionDistance(b, region) })
	index := slices.IndexFunc(others, func(m Member) bool { return m.Name == member })
	return index >= 0 && index < group.Majority(len(v.members))-1
}

func regionDistance(m Member, region string) int {
	if m.Region == region {
		return 0
	}
	return 1
}

// ReadIndex returns a floor that covers every write acknowledged before the given time,
// or false if no query sent since then has proven one.
func (v View) ReadIndex(since time.Time) (group.Floor, bool) {
	if len(v.points) == 0 {
		return group.Floor{}, false
	}
	last := v.points[len(v.points)-1]
	if last.SentAt.Before(since) {
		return group.Floor{}, false
	}
	return last.Floor, true
}

// StalenessFloor returns the lowest floor for a read with a staleness bound: the floor
// of the first point proven at or after the given time. It returns false if there is
// none.
func (v View) StalenessFloor(since time.Time) (group.Floor, bool) {
	for _, p := range v.points {
		if !p.SentAt.Before(since) {
			return p.Floor, true
		}
	}
	return group.Floor{}, false
}

// Readers returns the members that have applied the floor and answered the last query,
// in the order of the database's list. The primary comes last, and draining members are
// left out.
func (v View) Readers(f group.Floor) []Member {
	var list []Member
	primary, hasPrimary := v.Primary()
	for _, m := range v.members {
		if hasPrimary && m.Name == primary.Member {
			continue
		}
		if v.canServe(m, f) {
			list = append(list, m)
		}
	}
	if !hasPrimary {
		return list
	}
	if m, found := v.Member(primary.Member); found && !primary.State.Fenced() && v.canServe(m, f) {
		list = append(list, m)
	}
	return list
}

func (v View) canServe(m Member, f group.Floor) bool {
	r, found := v.reports[m.Name]
	if !found || v.silent[m.Name] || m.Draining {
		return false
	}
	return r.State.FloorStatus(f, r.State.Applied) == group.Covered
}

// Fate returns the fate of a floor in the latest known term. It is Lost only if a member
// of that term reports so, and no member of that term covers the floor.
func (v View) Fate(f group.Floor) group.FloorStatus {
	fate := group.NotReached
	term := v.Term()
	for _, r := range v.reports {
		if r.State.Term != term {
			continue
		}
		switch r.State.FloorStatus(f, r.State.Applied) {
		case group.Covered:
			return group.Covered
		case group.Lost:
			fate = group.Lost
		case group.NotReached:
		}
	}
	return fate
}
