// Package roster keeps the members of databases through gaps in the platform's list.
//
// Entries of members lapse while the platform's store is away, although the members
// live, and come back a while after its return. A member that is missing from the list
// is therefore kept for some time before it counts as gone, unless it was leaving or
// another member has taken its address. A Roster is immutable and has no clock.
package roster

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/view"
)

// Membership holds the databases as they are used, and since when members are missing.
type Membership struct {
	hold      time.Duration
	databases []book.Database
	missing   map[string]time.Time
}

// New returns an empty roster that keeps missing members for a time.
func New(hold time.Duration) Membership { return Membership{hold: hold} }

// Databases returns the databases with the members that are missing for less than the
// time for which they are kept.
func (r Membership) Databases() []book.Database { return r.databases }

// NextExpiry returns when the next missing member counts as gone, and false if none is missing.
func (r Membership) NextExpiry() (time.Time, bool) {
	var first time.Time
	for _, since := range r.missing {
		if due := since.Add(r.hold); first.IsZero() || due.Before(first) {
			first = due
		}
	}
	return first, !first.IsZero()
}

// With returns the roster after a list of the platform.
func (r Membership) With(listed []book.Database, now time.Time) Membership {
	next := Membership{hold: r.hold, missing: make(map[string]time.Time)}
	known, addresses := make(map[string]bool), make(map[string]bool)
	for _, d := range listed {
		d.Members = slices.Clone(d.Members)
		next.databases = append(next.databases, d)
		for _, m := range d.Members {
			known[m.Name], addresses[m.Address] = true, true
		}
	}
	for _, d := range r.databases {
		for _, m := range d.Members {
			if known[m.Name] || m.Leaving || addresses[m.Address] {
				continue
			}
			since, missed := r.missing[m.Name]
			if !missed {
				since = now
			}
			if now.Sub(since) < r.hold {
				next.missing[m.Name] = since
				next.keep(d, m)
			}
		}
	}
	return next
}

// keep adds a missing member to its database.
func (r *Membership) keep(d book.Database, m view.Member) {
	i := slices.IndexFunc(r.databases, func(is book.Database) bool { return is.Name == d.Name })
	if i < 0 {
		d.Members = nil
		r.databases = append(r.databases, d)
		i = len(r.databases) - 1
	}
	r.databases[i].Members = append(r.databases[i].Members, m)
}
