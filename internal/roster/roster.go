// Package roster bridges gaps in the platform's membership list.
//
// The entries of members expire while the platform's store is unavailable, although the
// members run, and reappear some time after the store has recovered. A member that is
// missing from the list is therefore retained for a grace period before it is removed,
// unless it was draining or another member uses its address now. A Membership is
// immutable and has no clock.
package roster

import (
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
	// missingSince is keyed by the member's name.
	missingSince map[string]time.Time
}

// New returns an empty membership list that retains missing members for the grace period.
func New(grace time.Duration) Membership { return Membership{grace: grace} }

// Databases returns the databases with their listed members and those that have been
// missing for less than the grace period.
func (m Membership) Databases() []book.Database { return m.databases }

// NextExpiry returns when the next missing member is removed, and false if none is
// missing.
func (m Membership) NextExpiry() (time.Time, bool) {
	var first time.Time
	for _, since := range m.missingSince {
		if expiry := since.Add(m.grace); first.IsZero() || expiry.Before(first) {
			first = expiry
		}
	}
	return first, !first.IsZero()
}

// With returns the membership updated with a list from the platform.
func (m Membership) With(listed []book.Database, now time.Time) Membership {
	next := Membership{grace: m.grace, missingSince: make(map[string]time.Time)}
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
			if names[member.Name] || member.Draining || addresses[member.Address] {
				continue
			}
			since, found := m.missingSince[member.Name]
			if !found {
				since = now
			}
			if now.Sub(since) < m.grace {
				next.missingSince[member.Name] = since
				next.retain(d, member)
			}
		}
	}
	return next
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
