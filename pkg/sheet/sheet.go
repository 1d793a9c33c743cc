// Package sheet holds the morning sheet: the services, the callers allowed on
// each, and the rank, deadline, worth and accepted age of each kind of work.
//
// A sheet is a CSV export with one row for each kind of work that a caller may
// do on a service. Its columns are, in this order:
//
//	Service       the name that callers give as their database
//	Database      the database that holds the service's data
//	Caller        the user name that callers give
//	Secret        the caller's SCRAM-SHA-256 verifier, the same on all its rows
//	Kind          the name of the kind of work, given as a label by callers
//	Access        "read" or "write"
//	Idempotent    "yes" or "no": whether a lost answer permits another try
//	Rank          1 for the most urgent work, up to MaxRank
//	DeadlineMs    milliseconds within which the work must be done
//	Worth         the worth of one piece of work done in time
//	AcceptedAgeMs age in milliseconds that a read accepts, 0 for none
//
// A parsed sheet is immutable.
package sheet

import (
	"slices"
	"time"
)

// MaxRank is the least urgent rank.
const MaxRank = 3

// Limits of one sheet.
const (
	// MaxBytes is the size of a sheet that still fits one value of the store.
	MaxBytes = 1 << 20
	// MaxDeadline is the longest deadline that a row may ask for.
	MaxDeadline = time.Hour
	// MaxStalenessBound is the greatest age that a read may accept.
	MaxStalenessBound = 24 * time.Hour
)

// Access tells whether a kind of work reads or writes.
type Access string

// The kinds of access.
const (
	Read  Access = "read"
	Write Access = "write"
)

// Rank orders kinds of work by urgency; 1 is the most urgent.
type Rank int

// Row is one kind of work that a caller may do on a service.
type Row struct {
	Service        string
	Database       string
	Caller         string
	Secret         string
	Kind           string
	Access         Access
	Idempotent     bool
	Rank           Rank
	Deadline       time.Duration
	Worth          int
	StalenessBound time.Duration `json:"AcceptedAge" msgpack:"AcceptedAge"`
	// LatencyObjective is the latency that callers are promised, or 0 if there is none besides the
	// deadline.
	LatencyObjective time.Duration `json:"Aim,omitempty" msgpack:"Aim"`
}

// MaxQueueWait returns how long the work may wait for its turn at a member before it is
// refused, so that its caller can try another proxy while that still helps: a quarter
// of its aim, and less than half of its deadline. Work without an aim waits until its
// deadline.
func (r Row) MaxQueueWait() time.Duration {
	if r.LatencyObjective == 0 {
		return r.Deadline
	}
	return min(r.LatencyObjective/4, r.Deadline*2/5)
}

// Unlabelled returns the work assumed of a caller on a service when it gives no
// label: a write that must not be repeated, at the service's least urgent rank.
func (r Row) Unlabelled() Row {
	r.Kind = ""
	r.Access = Write
	r.Idempotent = false
	r.StalenessBound = 0
	return r
}

// Sheet is the set of rows in force.
type Sheet struct {
	rows []Row
}

// Rows returns a copy of the rows in the order of the export.
func (s Sheet) Rows() []Row { return slices.Clone(s.rows) }

// AnyCaller stands for every caller, on services that are open to all.
const AnyCaller = "*"

// FromRows returns the sheet of rows that were checked elsewhere.
func FromRows(rows []Row) Sheet { return Sheet{rows: slices.Clone(rows)} }

// RowsFor returns the rows of a caller on a service, and whether it has any.
func (s Sheet) RowsFor(service, caller string) ([]Row, bool) {
	var list []Row
	for _, r := range s.rows {
		if r.Service == service && (r.Caller == caller || r.Caller == AnyCaller) {
			list = append(list, r)
		}
	}
	return list, len(list) > 0
}

// Secret returns the verifier of a caller.
func (s Sheet) Secret(caller string) (string, bool) {
	for _, r := range s.rows {
		if r.Caller == caller {
			return r.Secret, true
		}
	}
	return "", false
}

// Databases returns the names of the databases that the sheet mentions, sorted.
func (s Sheet) Databases() []string {
	var names []string
	for _, r := range s.rows {
		names = append(names, r.Database)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RowForLabel returns the row for the label that a caller gave. An empty label selects
// unlabelled work, and on a service that is open to all its one kind of work. It
// returns false if the sheet does not list the kind.
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
