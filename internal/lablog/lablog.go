// Package lablog is the replicated log of a stand-in member, with the promises
// by which members are fenced and promoted. It does no I/O.
package lablog

import (
	"fmt"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// Statement is one SQL statement with its arguments in text form; nil is NULL.
type Statement struct {
	SQL  string
	Args []*string
}

// Entry is one committed transaction in the log.
type Entry struct {
	Term       group.Term
	Statements []Statement

	// Arrived is when the member stored the entry. It is not replicated.
	Arrived time.Time `msgpack:"-"`
}

// Log is a member's replicated log and its promises. It is not for concurrent
// use.
type Log struct {
	// Entries are the committed transactions, oldest first.
	Entries []Entry
	// Applied counts the entries that the member's reads see.
	Applied int
	// Rebuild asks for a replay from the start, because applied entries were
	// cut off.
	Rebuild bool

	role     group.Role
	term     group.Term
	fence    group.Term
	promoter string
	leader   string
	starts   []group.Start
}

// keptStarts bounds the term history that a member reports.
const keptStarts = 16

// New returns the empty log of a member in term 1 that is a primary, or follows
// the member at address leader.
func New(role group.Role, leader string) Log {
	return Log{role: role, term: 1, leader: leader, starts: []group.Start{{Term: 1}}}
}

// State returns what the member reports of itself.
func (r *Log) State() group.State {
	s := group.State{
		Role:     r.role,
		Term:     r.term,
		Fence:    r.fence,
		Received: group.Position(len(r.Entries)),
		Applied:  group.Position(r.Applied),
		Starts:   slices.Clone(r.starts),
	}
	if len(r.Entries) > 0 {
		s.EntryTerm = r.Entries[len(r.Entries)-1].Term
	}
	return s
}

// OrderError reports an order that a member's promises forbid.
type OrderError struct {
	Order string
	Got   string
	Want  string
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("%s: got %s, want %s", e.Order, e.Got, e.Want)
}

// Promise fences the member for a promoter's term. The same promoter may repeat
// its order; another promoter needs a later term.
func (r *Log) Promise(term group.Term, promoter string) error {
	repeated := term == r.fence && promoter == r.promoter
	if !repeated && term <= max(r.term, r.fence) {
		return &OrderError{Order: "fence", Got: fmt.Sprintf("term %d", term), Want: fmt.Sprintf("a term after %d", max(r.term, r.fence))}
	}
	r.fence, r.promoter = term, promoter
	return nil
}

// Promote makes the member the primary of a term that it promised. The order
// may be repeated.
func (r *Log) Promote(term group.Term, promoter string) error {
	if r.fence != term || r.promoter != promoter {
		return &OrderError{Order: "promote", Got: fmt.Sprintf("term %d by %s", term, promoter), Want: fmt.Sprintf("term %d by %s", r.fence, r.promoter)}
	}
	if r.term == term {
		return nil
	}
	r.role, r.term, r.leader = group.Primary, term, ""
	r.begin(term, len(r.Entries))
	r.Entries = append(r.Entries, Entry{Term: term})
	return nil
}

// Follow makes the member a replica in a term whose history is given, and cuts
// off the entries that the history does not hold.
func (r *Log) Follow(term group.Term, leader string, starts []group.Start) error {
	if term < max(r.term, r.fence) || (term == r.term && r.role == group.Primary) {
		return &OrderError{Order: "follow", Got: fmt.Sprintf("term %d", term), Want: fmt.Sprintf("term %d or later", max(r.term, r.fence))}
	}
	keep := len(r.Entries)
	for _, s := range starts {
		if s.Term > r.term {
			keep = min(keep, int(s.Position))
		}
	}
	r.Entries = r.Entries[:keep:keep]
	r.Rebuild = r.Rebuild || keep < r.Applied
	r.role, r.term, r.leader = group.Replica, term, leader
	r.fence = max(r.fence, term)
	r.starts = slices.Clone(starts)
	return nil
}

func (r *Log) begin(term group.Term, at int) {
	r.starts = append(r.starts, group.Start{Term: term, Position: group.Position(at)})
	if len(r.starts) > keptStarts {
		r.starts = slices.Delete(r.starts, 0, len(r.starts)-keptStarts)
	}
}

// Append adds a transaction in the member's own term. It returns *ReadOnlyError
// unless the member may commit.
func (r *Log) Append(statements []Statement) error {
	if err := r.Writable(); err != nil {
		return err
	}
	r.Entries = append(r.Entries, Entry{Term: r.term, Statements: statements, Arrived: time.Now()})
	return nil
}

// Following returns the leader and term whose entries the member fetches, and
// false if it fetches none.
func (r *Log) Following() (leader string, term group.Term, follows bool) {
	follows = r.role == group.Replica && r.leader != "" && r.fence <= r.term
	return r.leader, r.term, follows
}

// Tail returns the entries after a position, for a replica in the given term.
func (r *Log) Tail(term group.Term, after int) ([]Entry, error) {
	if r.term != term || r.role != group.Primary {
		return nil, &ReadOnlyError{Term: r.term}
	}
	return r.Entries[min(after, len(r.Entries)):], nil
}

// Store appends entries that were fetched from a leader, unless the member's
// promises have changed since they were asked for.
func (r *Log) Store(leader string, term group.Term, from int, entries []Entry, now time.Time) error {
	if r.term != term || r.leader != leader || r.fence > r.term || len(r.Entries) != from {
		return &OrderError{Order: "store", Got: "entries of an earlier leader", Want: "entries of the leader in force"}
	}
	for _, e := range entries {
		e.Arrived = now
		r.Entries = append(r.Entries, e)
	}
	return nil
}

// Writable returns an error unless the member may commit.
func (r *Log) Writable() error {
	if r.role != group.Primary || r.fence > r.term {
		return &ReadOnlyError{Term: r.term}
	}
	return nil
}

// ReadOnlyError reports a write on a member that is not a serving primary.
type ReadOnlyError struct{ Term group.Term }

// Error implements error.
func (e *ReadOnlyError) Error() string {
	return fmt.Sprintf("write: the member is no serving primary in term %d", e.Term)
}
