// Package view holds what one proxy knows of one database, and the decisions
// that follow from it: which member is the primary, whether a write is
// confirmed, and which members may serve a read.
//
// A View is built from reports: answers of members to the question for their
// state, each with the time at which the question was sent. Two rules carry all
// decisions.
//
// A majority of members that share a term, none of which has promised a later
// one, proves the term: a promotion must first fence a majority, so no other
// primary can have acknowledged anything before the oldest of these questions
// was sent.
//
// A position that a majority has received within one term is kept by every
// later promotion, since a promoter takes the longest log of a fenced majority.
//
// A View is immutable; With methods return a changed copy. It holds no clock.
package view

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// Member describes one member of a database.
type Member struct {
	Name string
	// Database is the name of the member's database.
	Database   string `json:",omitempty"`
	Address    string
	DataCentre string
	Region     string
	// Leaving tells that the platform takes the member out of service. It gets
	// no further reads, and its place as the primary is handed over.
	Leaving bool
	// Closed tells that the member has been leaving for so long that it gets no
	// further work at all.
	Closed bool `json:"-"`
}

// Report is a member's answer to the question for its state.
type Report struct {
	Member string
	// Asked is when the question was sent.
	Asked time.Time
	// Heard is when the answer arrived.
	Heard time.Time
	State group.State
}

// Point is a proof that the log of the database ended at Floor or before, and
// that no other primary had acknowledged anything, when the question was sent.
type Point struct {
	Floor group.Floor
	Asked time.Time
}

const (
	// pointSpacing is the least time between two kept points.
	pointSpacing = 100 * time.Millisecond
	// maxPoints bounds the kept points; with the spacing it bounds the age for
	// which freshness can be proven.
	maxPoints = 128
)

// View is what is known of one database.
type View struct {
	name    string
	members []Member
	reports map[string]Report
	silent  map[string]bool
	// refusing are the silent members at whose address nothing listens.
	refusing map[string]bool
	points   []Point
	// shown are where the primary stood at times for which no proof has come yet.
	shown sightings
}

// New returns the view of a database of which nothing has been heard.
func New(name string, members []Member) View {
	return View{name: name, members: slices.Clone(members)}
}

// Name returns the name of the database.
func (v View) Name() string { return v.name }

// Members returns the database's members.
func (v View) Members() []Member { return slices.Clone(v.members) }

// Member returns the description of a member.
func (v View) Member(name string) (Member, bool) {
	i := slices.IndexFunc(v.members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return v.members[i], true
}

// Report returns the last report of a member.
func (v View) Report(member string) (Report, bool) {
	r, found := v.reports[member]
	return r, found
}

// Silent tells whether the member did not answer the last question.
func (v View) Silent(member string) bool {
	_, heard := v.reports[member]
	return v.silent[member] || !heard
}

// Blind tells whether no member answered the last question.
func (v View) Blind() bool {
	return len(v.members) > 0 && !slices.ContainsFunc(v.members, func(m Member) bool { return !v.silent[m.Name] })
}

// Refusing tells whether nothing listened at the member's address when it was
// asked last: its process has ended.
func (v View) Refusing(member string) bool { return v.refusing[member] }

// WithMembers returns the view with another list of members. Reports of members
// that are gone, or have moved to another address, are dropped. A member that
// was closed stays so for as long as it is leaving.
func (v View) WithMembers(members []Member) View {
	next := v
	next.members = slices.Clone(members)
	for i, m := range members {
		was, found := v.Member(m.Name)
		next.members[i].Closed = found && was.Closed && m.Leaving
	}
	next.reports = maps.Clone(v.reports)
	maps.DeleteFunc(next.reports, func(name string, _ Report) bool {
		was, _ := v.Member(name)
		is, found := next.Member(name)
		return !found || is.Address != was.Address
	})
	return next
}

// WithClosed returns the view after a member has been leaving for too long.
func (v View) WithClosed(member string) View {
	v.members = slices.Clone(v.members)
	for i := range v.members {
		if v.members[i].Name == member {
			v.members[i].Closed = true
		}
	}
	return v
}

// WithSilence returns the view after a member left a question unanswered.
func (v View) WithSilence(member string) View {
	v.silent = cloneWith(v.silent, member, true)
	return v.withRefusing(member, false)
}

// WithRefusal returns the view after nothing listened at a member's address.
func (v View) WithRefusal(member string) View {
	return v.WithSilence(member).withRefusing(member, true)
}

func (v View) withRefusing(member string, is bool) View {
	if v.refusing[member] != is {
		v.refusing = cloneWith(v.refusing, member, is)
	}
	return v
}

// WithReport returns the view after an answer. An answer to an older question
// than the one known changes nothing.
func (v View) WithReport(r Report) View {
	if _, known := v.Member(r.Member); !known {
		return v
	}
	if old, found := v.reports[r.Member]; found && !r.Asked.After(old.Asked) {
		return v
	}
	v.reports = cloneWith(v.reports, r.Member, r)
	if v.silent[r.Member] {
		v.silent = cloneWith(v.silent, r.Member, false)
		v = v.withRefusing(r.Member, false)
	}
	if p, proven := v.prove(); proven {
		v.points = withPoint(v.points, p)
	}
	return v.withSighting(r)
}

func cloneWith[V any](m map[string]V, key string, value V) map[string]V {
	c := maps.Clone(m)
	if c == nil {
		c = make(map[string]V, 1)
	}
	c[key] = value
	return c
}

// Term returns the highest term that any member reported.
func (v View) Term() group.Term {
	var highest group.Term
	for _, r := range v.reports {
		highest = max(highest, r.State.Term)
	}
	return highest
}

// Fence returns the highest term that any member has promised or reached.
func (v View) Fence() group.Term {
	highest := v.Term()
	for _, r := range v.reports {
		highest = max(highest, r.State.Fence)
	}
	return highest
}

// Primary returns the report of the primary of the highest known term, and
// false if no member is known to be that. Of two that claim the same term, it is the
// one that was asked last.
func (v View) Primary() (primary Report, found bool) {
	term := v.Term()
	for _, m := range v.members {
		r, heard := v.reports[m.Name]
		if heard && r.State.Role == group.Primary && r.State.Term == term && (!found || r.Asked.After(primary.Asked)) {
			primary, found = r, true
		}
	}
	return primary, found
}

// Contested tells whether a member leads in its own eyes, and another one too. A new
// primary shows its term only with its promises, or once it has written.
func (v View) Contested(member string) bool {
	leaders, leads, term := 0, false, v.Term()
	for _, m := range v.members {
		r, heard := v.reports[m.Name]
		if heard && r.State.Role == group.Primary && r.State.Term == term && !v.silent[m.Name] {
			leaders++
			leads = leads || m.Name == member
		}
	}
	return leads && leaders > 1
}

// Proven returns the time up to which a majority is known to have had no other
// primary.
func (v View) Proven() time.Time {
	if len(v.points) == 0 {
		return time.Time{}
	}
	return v.points[len(v.points)-1].Asked
}

// Writable returns the primary if it answered the last question and has not
// promised a later term.
func (v View) Writable() (Member, bool) {
	r, found := v.Primary()
	if !found || r.State.Fenced() || v.silent[r.Member] {
		return Member{}, false
	}
	m, known := v.Member(r.Member)
	return m, known && !m.Closed
}

// prove looks for the newest point that the reports prove.
func (v View) prove() (Point, bool) {
	primary, found := v.Primary()
	if !found || primary.State.Fenced() {
		return Point{}, false
	}
	floor := group.Floor{Term: primary.State.Term, Position: primary.State.Received}
	if primary.State.Leading {
		// Members that check floors themselves know them by their entries.
		floor = primary.State.LastEntry()
	}
	var asked []time.Time
	for _, r := range v.reports {
		promises := !r.State.Partial || r.Member == primary.Member
		if r.State.Term == primary.State.Term && !r.State.Fenced() && promises {
			asked = append(asked, r.Asked)
		}
	}
	majority := group.Majority(len(v.members))
	if len(asked) < majority {
		return Point{}, false
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	since := asked[majority-1]
	if primary.Asked.Before(since) {
		since = primary.Asked
	}
	return Point{Floor: floor, Asked: since}, true
}

// withPoint adds a point. The last point gives way to a new one with the same
// floor, or if it lies too close to the one before it.
func withPoint(points []Point, p Point) []Point {
	n := len(points)
	if n > 0 && !p.Asked.After(points[n-1].Asked) {
		return points
	}
	same := n > 0 && points[n-1].Floor == p.Floor
	dense := n > 1 && points[n-1].Asked.Sub(points[n-2].Asked) < pointSpacing
	if same || dense {
		points = points[:n-1]
	}
	if len(points) >= maxPoints {
		points = points[1:]
	}
	return append(slices.Clone(points), p)
}
