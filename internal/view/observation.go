package view

import (
	"slices"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// observations are positions that one primary reported, oldest first.
//
// A replica that holds an entry which the primary did not have yet at an observation
// received the entry later. At the time of the observation the replica had thus made no
// promise that prevents this, so no majority had promised a later term, and no other
// primary had acknowledged a write.
type observations struct {
	primary string
	points  []Point
}

// maxObservations bounds the observations that are not proven yet.
const maxObservations = 64

// withObservation records the position of the primary, or uses the position of a replica
// to prove earlier observations of the primary.
func (v View) withObservation(r Report) View {
	primary, found := v.Primary()
	if !found || !primary.State.Leading || primary.State.Fenced() {
		return v
	}
	if v.observed.primary != primary.Member {
		v.observed = observations{primary: primary.Member}
	}
	end := r.State.LastEntry()
	switch {
	case r.Member != primary.Member:
		return v.withReplicaEntry(primary, end)
	case r.State.Confirmed:
		// The position may lie beyond the acknowledged entry, so it does not prove the
		// observations made since.
		v.points = withPoint(v.points, Point{Floor: end, SentAt: r.SentAt})
		return v
	}
	v.observed.points = appendObservation(v.observed.points, Point{Floor: end, SentAt: r.SentAt})
	return v
}

// appendObservation adds an observation. The first and the last observation of a
// position carry as much information as all those between them, which are dropped.
func appendObservation(points []Point, p Point) []Point {
	points = slices.Clone(points)
	if n := len(points); n > 1 && points[n-1].Floor == p.Floor && points[n-2].Floor == p.Floor {
		points = points[:n-1]
	}
	if len(points) >= maxObservations {
		points = points[1:]
	}
	return append(points, p)
}

// withReplicaEntry proves the observations that precede a replica's last entry, if that
// entry is of the primary's term.
func (v View) withReplicaEntry(primary Report, entry group.Floor) View {
	if entry.Term != primary.State.Term {
		return v
	}
	points := v.observed.points
	proven := 0
	for proven < len(points) && points[proven].Floor.Less(entry) {
		proven++
	}
	if proven == 0 {
		return v
	}
	for _, p := range points[:proven] {
		v.points = withPoint(v.points, p)
	}
	v.observed.points = slices.Clone(points[proven:])
	return v
}
