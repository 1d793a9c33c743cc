package view

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// Verdict tells how far the confirmation of a write has come.
type Verdict uint8

// The verdicts on a write.
const (
	// Waiting means that the write may still be confirmed.
	Waiting Verdict = iota
	// Held means that a majority holds the write in its own term.
	Held
	// Doubtful means that a majority has left the write's term, so that it can
	// no longer be confirmed.
	Doubtful
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"waiting", "held", "doubtful"}[v]
}

// Confirm judges a write that the primary reported at a floor. The primary
// itself counts as one holder.
func (v View) Confirm(primary string, f group.Floor) Verdict {
	holders, left := 1, 0
	for _, m := range v.members {
		r, found := v.reports[m.Name]
		if !found {
			continue
		}
		if max(r.State.Term, r.State.Fence) > f.Term {
			left++
			continue
		}
		if m.Name != primary && r.State.Term == f.Term && r.State.Received >= f.Position {
			holders++
		}
	}
	majority := group.Majority(len(v.members))
	switch {
	case holders >= majority:
		return Held
	case len(v.members)-left < majority:
		return Doubtful
	default:
		return Waiting
	}
}

// Needed tells whether a member is one of those that must be asked to learn more
// soon: the primary, and besides it the nearest members that answer, as many as
// make a majority with it. With no primary known, every member is needed.
func (v View) Needed(member, region string) bool {
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
	slices.SortStableFunc(others, func(a, b Member) int { return far(a, region) - far(b, region) })
	place := slices.IndexFunc(others, func(m Member) bool { return m.Name == member })
	return place >= 0 && place < group.Majority(len(v.members))-1
}

func far(m Member, region string) int {
	if m.Region == region {
		return 0
	}
	return 1
}

// Barrier returns a floor that covers every write acknowledged before the given
// time, or false if no question sent since then has proven one.
func (v View) Barrier(since time.Time) (group.Floor, bool) {
	if len(v.points) == 0 {
		return group.Floor{}, false
	}
	last := v.points[len(v.points)-1]
	if last.Asked.Before(since) {
		return group.Floor{}, false
	}
	return last.Floor, true
}

// Aged returns the oldest floor that a read with an accepted age must see: the
// floor of the first point proven at or after the given time. It returns false
// if there is none.
func (v View) Aged(since time.Time) (group.Floor, bool) {
	for _, p := range v.points {
		if !p.Asked.Before(since) {
			return p.Floor, true
		}
	}
	return group.Floor{}, false
}

// Readers returns the members that have applied the floor and answered the last
// question, in the order of the database's list. The primary is the last of
// them, and members that are leaving are left out.
func (v View) Readers(f group.Floor) []Member {
	var list []Member
	primary, hasPrimary := v.Primary()
	for _, m := range v.members {
		if hasPrimary && m.Name == primary.Member {
			continue
		}
		if v.serves(m, f) {
			list = append(list, m)
		}
	}
	if !hasPrimary {
		return list
	}
	if m, found := v.Member(primary.Member); found && !primary.State.Fenced() && v.serves(m, f) {
		list = append(list, m)
	}
	return list
}

func (v View) serves(m Member, f group.Floor) bool {
	r, found := v.reports[m.Name]
	if !found || v.silent[m.Name] || m.Leaving {
		return false
	}
	return r.State.FloorStatus(f, r.State.Applied) == group.Covered
}

// Fate tells what became of a floor in the latest known term: Lost only if a
// member of that term reports it so.
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
