// Package view holds what one proxy knows of one database, and the decisions that follow
// from it: which member is the primary, whether a write is confirmed, and which members
// may serve a read.
//
// A View is built from reports: answers of members to state queries, each with the time
// at which the query was sent. Two rules are the basis of all decisions.
//
// A majority of members that share a term, none of which has promised a later one,
// proves the term: a promotion must first fence a majority, so no other primary can have
// acknowledged a write before the oldest of these queries was sent.
//
// A position that a majority has received within one term is retained by every later
// promotion, since a promoter takes the longest log of a fenced majority.
//
// A View is immutable; the With methods return a changed copy. It holds no clock.
package view

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// Member describes a member of a database.
type Member struct {
	Name string
	// Database is the name of the member's database.
	Database   string `json:",omitempty"`
	Address    string
	DataCentre string
	Region     string
	// Draining is set while the platform takes the member out of service. The member gets
	// no further reads, and if it is the primary, its role is handed over.
	Draining bool `json:"Leaving" msgpack:"Leaving"`
	// Closed is set once the member has been draining for so long that it gets no further
	// requests.
	Closed bool `json:"-"`
	// Unlisted is set while the platform's list lacks the member, although it may still be
	// running. A promotion needs its promise, but its copy confirms no commit: another proxy
	// may have removed the member.
	Unlisted bool `json:",omitempty" msgpack:",omitempty"`
}

// Report is a member's answer to a state query.
type Report struct {
	Member string
	// SentAt is when the query was sent.
	SentAt time.Time `json:"Asked" msgpack:"Asked"`
	// ReceivedAt is when the answer was received.
	ReceivedAt time.Time `json:"Heard" msgpack:"Heard"`
	State      group.State
	// Interrupted is set if a connection to the member has ended since the last report, as
	// it does when the member restarts.
	Interrupted bool `json:",omitempty" msgpack:",omitempty"`
}

// overtakenBy reports whether a member gave the answer before the one of the stored report,
// although its query was sent later. The term of a member does not decrease unless it restarts.
func (r Report) overtakenBy(stored Report) bool {
	return r.State.Term < stored.State.Term && r.SentAt.Before(stored.ReceivedAt) && !r.Interrupted
}

// Busy is an answer of a member that had no capacity for a state query. It shows that the
// member is running, but not its state.
type Busy struct {
	Member string
	At     time.Time
}

// Point is a proof that the log of the database ended at or before Floor, and that no
// other primary had acknowledged a write, when the query was sent at SentAt.
type Point struct {
	Floor  group.Floor
	SentAt time.Time
}

const (
	// pointSpacing is the minimum interval between two stored points.
	pointSpacing = 100 * time.Millisecond
	// maxPoints bounds the number of stored points; together with pointSpacing it bounds
	// the age for which freshness can be proven.
	maxPoints = 128
)

// View is the state of one database as known to one proxy.
type View struct {
	name    string
	members []Member
	reports map[string]Report
	silent  map[string]bool
	// refusing holds the silent members whose address refuses connections.
	refusing map[string]bool
	// busyAt is when a member last answered that it had no capacity for a query.
	busyAt map[string]time.Time
	points []Point
	// marks are ends of the primary's log after recent commits of this proxy.
	marks []mark
	// unpromisedAt is when a member is last known to have made no promise.
	unpromisedAt map[string]time.Time
	// changedAt is when a member answered for the first time, or again after an
	// interruption, or after it was listed again.
	changedAt map[string]time.Time
	// relisted holds the members that have not answered since they were listed again.
	relisted map[string]bool
	// isolated is set if this proxy may lack a newer list of members.
	isolated bool
	// claim is the highest claim that was announced.
	claim Handover
}

// New returns the view of a database from which no report has been received.
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

// Silent reports whether the member did not answer the last query.
func (v View) Silent(member string) bool {
	_, reported := v.reports[member]
	return v.silent[member] || !reported
}

// AllSilent reports whether no member answered the last query.
func (v View) AllSilent() bool {
	return len(v.members) > 0 && !slices.ContainsFunc(v.members, func(m Member) bool { return !v.silent[m.Name] })
}

// ConnectionRefused reports whether the member's address refused the last connection:
// its process has ended.
func (v View) ConnectionRefused(member string) bool { return v.refusing[member] }

// WithMembers returns the view with another list of members. Reports of members that
// were removed or moved to another address are dropped. A closed member stays closed
// while it is draining.
func (v View) WithMembers(members []Member) View {
	next := v
	next.members = slices.Clone(members)
	for i, m := range members {
		previous, found := v.Member(m.Name)
		next.members[i].Closed = found && previous.Closed && m.Draining
		if found && previous.Unlisted && !m.Unlisted {
			next.relisted = cloneWith(next.relisted, m.Name, true)
		}
	}
	next.reports = maps.Clone(v.reports)
	maps.DeleteFunc(next.reports, func(name string, _ Report) bool {
		previous, _ := v.Member(name)
		current, found := next.Member(name)
		return !found || current.Address != previous.Address
	})
	return next
}

// WithIsolation returns the view with whether this proxy may lack a newer list of members.
func (v View) WithIsolation(isolated bool) View {
	v.isolated = isolated
	return v
}

// WithClosed returns the view after a member has been draining for too long.
func (v View) WithClosed(member string) View {
	v.members = slices.Clone(v.members)
	for i := range v.members {
		if v.members[i].Name == member {
			v.members[i].Closed = true
		}
	}
	return v
}

// WithSilence returns the view after a member did not answer a query.
func (v View) WithSilence(member string) View {
	v.silent = cloneWith(v.silent, member, true)
	return v.withRefusing(member, false)
}

// WithBusy returns the view after a member had no capacity for a query. A member that was
// silent has answered again.
func (v View) WithBusy(b Busy) View {
	v.busyAt = cloneWith(v.busyAt, b.Member, b.At)
	if v.silent[b.Member] {
		v.silent = cloneWith(v.silent, b.Member, false)
	}
	return v.withRefusing(b.Member, false)
}

// LastAnswer returns when a member last answered a query, or zero if it has not.
func (v View) LastAnswer(member string) time.Time {
	return later(v.reports[member].ReceivedAt, v.busyAt[member])
}

// UnreportedBusySince reports whether a member whose state is unknown has answered since
// the given time that it had no capacity for a query. It may be the primary.
func (v View) UnreportedBusySince(since time.Time) bool {
	return slices.ContainsFunc(v.members, func(m Member) bool {
		_, reported := v.reports[m.Name]
		return !reported && v.busyAt[m.Name].After(since)
	})
}

// WithRefusal returns the view after a member's address refused a connection.
func (v View) WithRefusal(member string) View {
	return v.WithSilence(member).withRefusing(member, true)
}

func (v View) withRefusing(member string, refusing bool) View {
	if v.refusing[member] != refusing {
		v.refusing = cloneWith(v.refusing, member, refusing)
	}
	return v
}

// WithReport returns the view after an answer. An answer to a query that is not newer
// than the stored report changes nothing, nor does an answer of an earlier term to a query
// that was sent before the stored report arrived: the member gave it first.
func (v View) WithReport(r Report) View {
	if _, known := v.Member(r.Member); !known {
		return v
	}
	old, found := v.reports[r.Member]
	if found && (!r.SentAt.After(old.SentAt) || r.overtakenBy(old)) {
		return v
	}
	if !found || r.Interrupted || v.silent[r.Member] || v.relisted[r.Member] {
		v.changedAt = cloneWith(v.changedAt, r.Member, r.ReceivedAt)
	}
	if v.relisted[r.Member] {
		v.relisted = cloneWith(v.relisted, r.Member, false)
	}
	v.reports = cloneWith(v.reports, r.Member, r)
	if v.silent[r.Member] {
		v.silent = cloneWith(v.silent, r.Member, false)
		v = v.withRefusing(r.Member, false)
	}
	if p, proven := v.prove(); proven {
		v.points = withPoint(v.points, p)
	}
	if primary, found := v.Primary(); found && primary.Member == r.Member && r.State.Confirmed {
		v.marks = withMark(v.marks, r)
	}
	return v.withPromise(r).withAcknowledgement(r)
}

// withAcknowledgement returns the view after an answer of the primary to a commit that a
// replica has received: the replica had then made no promise, so that no other primary had
// acknowledged a write when the commit was sent. An entry of a replica that the primary had
// not reported yet proves nothing of the kind. The primary reports an entry only once it is
// acknowledged, which may be long after the replica has received it.
func (v View) withAcknowledgement(r Report) View {
	primary, found := v.Primary()
	if found && r.Member == primary.Member && r.State.Confirmed && primary.State.Leading && !primary.State.Fenced() {
		v.points = withPoint(v.points, Point{Floor: r.State.LastEntry(), SentAt: r.SentAt})
	}
	return v
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

// Primary returns the report of the primary of the highest known term, or false if none
// is known. If two members claim that term, it returns the one that was queried last.
func (v View) Primary() (primary Report, found bool) {
	term := v.Term()
	for _, m := range v.members {
		r, reported := v.reports[m.Name]
		if reported && r.State.Role == group.Primary && r.State.Term == term && (!found || r.SentAt.After(primary.SentAt)) {
			primary, found = r, true
		}
	}
	return primary, found
}

// Contested reports whether a member and at least one other both report that they are
// the primary. A new primary reports its term only together with its promises, or after
// its first write.
func (v View) Contested(member string) bool {
	leaders, leads, term := 0, false, v.Term()
	for _, m := range v.members {
		r, reported := v.reports[m.Name]
		if reported && r.State.Role == group.Primary && r.State.Term == term && !v.silent[m.Name] {
			leaders++
			leads = leads || m.Name == member
		}
	}
	return leads && leaders > 1
}

// ProvenUntil returns the time up to which a majority is proven to have had no other
// primary.
func (v View) ProvenUntil() time.Time {
	if len(v.points) == 0 {
		return time.Time{}
	}
	return v.points[len(v.points)-1].SentAt
}

// Writable returns the primary if it answered the last query, has not promised a later
// term and is not closed.
func (v View) Writable() (Member, bool) {
	r, found := v.Primary()
	if !found || r.State.Fenced() || v.silent[r.Member] {
		return Member{}, false
	}
	m, known := v.Member(r.Member)
	return m, known && !m.Closed
}

// prove returns the newest point that the reports prove.
func (v View) prove() (Point, bool) {
	primary, found := v.Primary()
	if !found || primary.State.Fenced() {
		return Point{}, false
	}
	floor := group.Floor{Term: primary.State.Term, Position: primary.State.Received}
	if primary.State.Leading {
		// Members that check floors themselves identify them by log entries.
		floor = primary.State.LastEntry()
	}
	var sent []time.Time
	for _, r := range v.reports {
		complete := !r.State.Partial || r.Member == primary.Member
		if r.State.Term == primary.State.Term && !r.State.Fenced() && complete {
			sent = append(sent, r.SentAt)
		}
	}
	majority := group.Majority(len(v.members))
	if len(sent) < majority {
		return Point{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	since := sent[majority-1]
	if primary.SentAt.Before(since) {
		since = primary.SentAt
	}
	return Point{Floor: floor, SentAt: since}, true
}

// withPoint adds a point. It replaces the last point if both have the same floor, or if
// the last point is too close to the one before it.
func withPoint(points []Point, p Point) []Point {
	n := len(points)
	if n > 0 && !p.SentAt.After(points[n-1].SentAt) {
		return points
	}
	same := n > 0 && points[n-1].Floor == p.Floor
	dense := n > 1 && points[n-1].SentAt.Sub(points[n-2].SentAt) < pointSpacing
	if same || dense {
		points = points[:n-1]
	}
	if len(points) >= maxPoints {
		points = points[1:]
	}
	return append(slices.Clone(points), p)
}
