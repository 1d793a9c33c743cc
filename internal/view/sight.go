package view

import (
	"slices"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// sightings are where one primary stood when it was asked, oldest first.
//
// A replica that holds an entry which the primary did not have yet at a sighting
// received it later: it had made no promise by then that stops it, so that no majority
// had, and no other primary had acknowledged anything.
type sightings struct {
	primary string
	points  []Point
}

// maxSightings bounds the sightings that wait for their proof.
const maxSightings = 64

// withSighting notes where the primary stands, or what a replica's position proves of
// the primary.
func (v View) withSighting(r Report) View {
	primary, found := v.Primary()
	if !found || !primary.State.Leading || primary.State.Fenced() {
		return v
	}
	if v.shown.primary != primary.Member {
		v.shown = sightings{primary: primary.Member}
	}
	at := r.State.LastEntry()
	switch {
	case r.Member != primary.Member:
		return v.withEvidence(primary, at)
	case r.State.Confirmed:
		// The position may lie beyond the entry that was acknowledged: it proves nothing
		// of what was seen since.
		v.points = withPoint(v.points, Point{Floor: at, Asked: r.Asked})
		return v
	}
	v.shown.points = withSight(v.shown.points, Point{Floor: at, Asked: r.Asked})
	return v
}

// withSight adds a sighting. Where the primary stood first and last at a position tells
// as much as all between.
func withSight(points []Point, p Point) []Point {
	points = slices.Clone(points)
	if n := len(points); n > 1 && points[n-1].Floor == p.Floor && points[n-2].Floor == p.Floor {
		points = points[:n-1]
	}
	if len(points) >= maxSightings {
		points = points[1:]
	}
	return append(points, p)
}

// withEvidence proves the sightings before a replica's last entry, if that entry is of
// the primary's term.
func (v View) withEvidence(primary Report, entry group.Floor) View {
	if entry.Term != primary.State.Term {
		return v
	}
	points := v.shown.points
	before := 0
	for before < len(points) && points[before].Floor.Less(entry) {
		before++
	}
	if before == 0 {
		return v
	}
	for _, p := range points[:before] {
		v.points = withPoint(v.points, p)
	}
	v.shown.points = slices.Clone(points[before:])
	return v
}
