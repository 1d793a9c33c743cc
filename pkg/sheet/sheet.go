// Package sheet holds the sheet, which is the routing configuration: the services, the
// callers allowed on each, and the rank, deadline, worth and staleness bound of each kind
// of work.
//
// A sheet is exported as CSV with one row for each kind of work that a caller may do on
// a service. Its columns are, in this order:
//
//	Service       the name that callers give as their database
//	Database      the database that holds the service's data
//	Caller        the user name that callers give
//	Secret        the caller's SCRAM-SHA-256 verifier, the same on all its rows
//	Kind          the name of the kind of work, which callers send as a label
//	Access        "read" or "write"
//	Idempotent    "yes" or "no": whether the work may be retried when its answer is lost
//	Rank          1 for the most urgent work, up to MaxRank for the least urgent
//	DeadlineMs    the time within which the work must be done, in milliseconds
//	Worth         the worth of one request that is done in time
//	AcceptedAgeMs the staleness bound of a read in milliseconds, 0 to require fresh data
//
// A parsed sheet is immutable.
package sheet

import (
	"slices"
	"time"
)

// MaxRank is the number of the least urgent rank.
const MaxRank = 3

// Limits of one sheet.
const (
	// MaxBytes is the largest size of a sheet in bytes. As it is stored, a sheet is larger.
	MaxBytes = 1 << 20
	// MaxDeadline is the longest deadline that a row may have.
	MaxDeadline = time.Hour
	// MaxStalenessBound is the greatest staleness bound that a row may have.
	MaxStalenessBound = 24 * time.Hour
)

// Access is whether a kind of work reads or writes.
type Access string

// The kinds of access.
const (
	Read  Access = "read"
	Write Access = "write"
)

// Rank orders kinds of work by urgency; 1 is the most urgent.
type Rank int

// Valid reports whether there is such a rank. Another host may send a different one.
func (r Rank) Valid() bool { return r >= 1 && r <= MaxRank }

// Row is a kind of work that a caller may do on a service. The package documentation
// describes its fields by their columns.
type Row struct {
	Service    string
	Database   string
	Caller     string
	Secret     string
	Kind       string
	Access     Access
	Idempotent bool
	Rank       Rank
	Deadline   time.Duration
	Worth      int
	// StalenessBound is the greatest age of the data that a read may return, or 0 if the
	// data must be fresh. Its column is AcceptedAgeMs.
	StalenessBound time.Duration `json:"AcceptedAge" msgpack:"AcceptedAge"`
	// LatencyObjective is the latency that callers are promised, or 0 if only the deadline
	// applies. The CSV export has no column for it.
	LatencyObjective time.Duration `json:"Aim,omitempty" msgpack:"Aim"`
	// KeyRequired is set if only callers with the key of a customer may use the service. The
	// CSV export has no column for it.
	KeyRequired bool `json:",omitempty" msgpack:",omitempty"`
}

// MaxQueueWait returns how long the work may wait for a slot at a member before it is
// refused: a quarter of its latency objective, but at most two fifths of its deadline, so
// that its caller still has time to try another proxy. Work without a latency objective
// may wait until its deadline.
func (r Row) MaxQueueWait() time.Duration {
	if r.LatencyObjective == 0 {
		return r.Deadline
	}
	return min(r.LatencyObjective/4, r.Deadline*2/5)
}

// Unlabelled returns the row to apply to requests without a label, derived from the least
// urgent row of a caller on a service: a write that must not be repeated, with the rank
// and deadline of r.
func (r Row) Unlabelled() Row {
	r.Kind = ""
	r.Access = Write
	r.Idempotent = false
	r.StalenessBound = 0
	return r
}

// Sheet is a set of rows. It is immutable, and the zero Sheet has no rows.
type Sheet struct {
	rows      []Row
	customers *customers
}

// Rows returns a copy of the rows in the order of the sheet.
func (s Sheet) Rows() []Row { return slices.Clone(s.rows) }

// AnyCaller is the caller name in rows that apply to every caller, for services that are
// open to all.
const AnyCaller = "*"

// FromRows returns a sheet with the given rows. It does not validate them.
func FromRows(rows []Row) Sheet { return Sheet{rows: slices.Clone(rows)} }

// RowsFor returns the rows that apply to a caller on a service, and whether there are any.
func (s Sheet) RowsFor(service, caller string) ([]Row, bool) {
	var list []Row
	for _, r := range s.rows {
		if r.Service == service && (r.Caller == caller || r.Caller == AnyCaller) {
			list = append(list, r)
		}
	}
	return list, len(list) > 0
}

// Secret returns the SCRAM-SHA-256 verifier of a caller, and whether the sheet lists the
// caller.
func (s Sheet) Secret(caller string) (string, bool) {
	for _, r := range s.rows {
		if r.Caller == caller {
			return r.Secret, true
		}
	}
	return "", false
}

// Databases returns the names of the databases in the sheet, sorted and without
// duplicates.
func (s Sheet) Databases() []string {
	var names []string
	for _, r := range s.rows {
		names = append(names, r.Database)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RowForLabel returns the row for the label of a request, from the rows that apply to its
// caller. An empty label selects the single row of a service that is open to all, and
// otherwise the Unlabelled form of the least urgent row. RowForLabel returns false if no
// row has the label.
func RowForLabel(rows []Row, label string) (Row, bool) {
	if label == "" && len(rows) == 1 && rows[0].Caller == AnyCaller {
		return rows[0], true
	}
	if label == "" && len(rows) > 0 {
		return leastUrgent(rows).Unlabelled(), true
	}
	for _, r := range rows {
		if r.Kind == label {
			return r, true
		}
	}
	return Row{}, false
}

func leastUrgent(rows []Row) Row {
	return slices.MaxFunc(rows, func(a, b Row) int { return int(a.Rank - b.Rank) })
}
