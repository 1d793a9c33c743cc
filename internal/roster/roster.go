// Package roster bridges gaps in the platform's membership list.
//
// The entries of members expire while the platform's store is unavailable, or while the
// members do not reach it, although they run. A member that is missing from the list is
// therefore retained as an unlisted one. It is removed once it has neither been listed nor
// answered for a grace period: until then it may hold commits that no listed member has, and
// a promotion has to ask it. A member that answers although it has been missing for the grace
// period is treated as draining.
//
// A member that was draining when it was last listed is expected to end. It is removed as soon
// as it does not answer. So is a member whose address another one uses now. A Membership is
// immutable and has no clock.
package roster

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/view"
)

// Membership is the list of databases and members in use. It records when missing
// members were first missed.
type Membership struct {
	grace     time.Duration
	databases []book.Database
	missing   map[string]absence
}

// absence describes a member that is missing from the list.
type absence struct {
	// since is when the member was first missed.
	since time.Time
	// draining is set if the member was draining when it was last listed.
	draining bool
}

// Contact is what is known of the answers of a member.
type Contact struct {
	// LastAnswer is when the member last answered a query, or zero.
	LastAnswer time.Time
	// Silent is set if the member did not answer the last query, or never answered one.
	Silent bool
}

// Contacts returns the contact with a member of a database.
type Contacts func(database, member string) Contact

// New returns an empty membership list that retains missing members for the grace period. If it
// is 0, the membership is the platform's list.
func New(grace time.Duration) Membership { return Membership{grace: grace} }

// Databases returns the databases with their listed members and the unlisted ones that are
// retained.
func (m Membership) Databases() []book.Database { return m.databases }

// recheckInterval is the interval at which it is checked whether unlisted members still answer.
const recheckInterval = 500 * time.Millisecond

// NextCheck returns how long after the last update the next one is due, and false if no
// member is missing.
func (m Membership) NextCheck() (time.Duration, bool) {
	return min(recheckInterval, m.grace), len(m.missing) > 0
}

// With returns the membership updated with a list from the platform and the contacts with
// members.
func (m Membership) With(listed []book.Database, contacts Contacts, now time.Time) Membership {
	next := Membership{grace: m.grace, missing: make(map[string]absence)}
	names, addresses := make(map[string]bool), make(map[string]bool)
	for _, d := range listed {
		d.Members = slices.Clone(d.Members)
		next.databases = append(next.databases, d)
		for _, member := range d.Members {
			names[member.Name], addresses[member.Address] = true, true
		}
	}
	for _, d := range m.databases {
		for _, member := range d.Members {
			if names[member.Name] || addresses[member.Address] {
				continue
			}
			gap, found := m.missing[member.Name]
			if !found {
				gap = absence{since: now, draining: member.Draining}
			}
			if m.removable(gap, contacts(d.Name, member.Name), now) {
				continue
			}
			member.Unlisted = true
			member.Draining = gap.draining || now.Sub(gap.since) >= m.grace
			next.missing[member.Name] = gap
			next.retain(d, member)
		}
	}
	return next
}

// WithRetained returns the membership with members of a database that another proxy has
// retained, as far as it lacks them. They are given the grace period to answer this one too.
func (m Membership) WithRetained(database string, members []view.Member, now time.Time) Membership {
	i := slices.IndexFunc(m.databases, func(d book.Database) bool { return d.Name == database })
	if i < 0 || m.grace == 0 {
		return m
	}
	next := Membership{grace: m.grace, databases: slices.Clone(m.databases), missing: maps.Clone(m.missing)}
	if next.missing == nil {
		next.missing = make(map[string]absence)
	}
	d := &next.databases[i]
	d.Members = slices.Clone(d.Members)
	for _, member := range members {
		known := slices.ContainsFunc(d.Members, func(o view.Member) bool { return o.Name == member.Name || o.Address == member.Address })
		if known {
			continue
		}
		member.Unlisted = true
		next.missing[member.Name] = absence{since: now}
		d.Members = append(d.Members, member)
	}
	return next
}

// removable reports whether a missing member is taken to have ended.
func (m Membership) removable(gap absence, c Contact, now time.Time) bool {
	switch {
	case m.grace == 0:
		return true
	case gap.draining:
		return c.Silent
	}
	return now.Sub(gap.since) >= m.grace && c.Silent && now.Sub(c.LastAnswer) >= m.grace
}

// retain adds a missing member to its database, and the database itself if it is missing
// too.
func (m *Membership) retain(d book.Database, missing view.Member) {
	i := slices.IndexFunc(m.databases, func(other book.Database) bool { return other.Name == d.Name })
	if i < 0 {
		d.Members = nil
		m.databases = append(m.databases, d)
		i = len(m.databases) - 1
	}
	m.databases[i].Members = append(m.databases[i].Members, missing)
}
