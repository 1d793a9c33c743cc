package labdb

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

	arrived time.Time
}

// replog is a member's replicated log and its promises. It does no I/O.
type replog struct {
	role     group.Role
	term     group.Term
	fence    group.Term
	promoter string
	leader   string
	entries  []Entry
	applied  int
	starts   []group.Start
	// rebuild asks for a replay from the start, because applied entries were
	// cut off.
	rebuild bool
}

// keptStarts bounds the term history that a member reports.
const keptStarts = 16

func newReplog(role group.Role, leader string) replog {
	return replog{role: role, term: 1, leader: leader, starts: []group.Start{{Term: 1}}}
}

func (r *replog) state() group.State {
	s := group.State{
		Role:     r.role,
		Term:     r.term,
		Fence:    r.fence,
		Received: group.Position(len(r.entries)),
		Applied:  group.Position(r.applied),
		Starts:   slices.Clone(r.starts),
	}
	if len(r.entries) > 0 {
		s.EntryTerm = r.entries[len(r.entries)-1].Term
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

// promise fences the member for a promoter's term. The same promoter may repeat
// its order; another promoter needs a later term.
func (r *replog) promise(term group.Term, promoter string) error {
	repeated := term == r.fence && promoter == r.promoter
	if !repeated && term <= max(r.term, r.fence) {
		return &OrderError{Order: "fence", Got: fmt.Sprintf("term %d", term), Want: fmt.Sprintf("a term after %d", max(r.term, r.fence))}
	}
	r.fence, r.promoter = term, promoter
	return nil
}

// promote makes the member the primary of a term that it promised. The order
// may be repeated.
func (r *replog) promote(term group.Term, promoter string) error {
	if r.fence != term || r.promoter != promoter {
		return &OrderError{Order: "promote", Got: fmt.Sprintf("term %d by %s", term, promoter), Want: fmt.Sprintf("term %d by %s", r.fence, r.promoter)}
	}
	if r.term == term {
		return nil
	}
	r.role, r.term, r.leader = group.Primary, term, ""
	r.begin(term, len(r.entries))
	r.entries = append(r.entries, Entry{Term: term})
	return nil
}

// follow makes the member a replica in a term whose history is given, and cuts
// off the entries that the history does not hold.
func (r *replog) follow(term group.Term, leader string, starts []group.Start) error {
	if term < max(r.term, r.fence) || (term == r.term && r.role == group.Primary) {
		return &OrderError{Order: "follow", Got: fmt.Sprintf("term %d", term), Want: fmt.Sprintf("term %d or later", max(r.term, r.fence))}
	}
	keep := len(r.entries)
	for _, s := range starts {
		if s.Term > r.term {
			keep = min(keep, int(s.Position))
		}
	}
	r.entries = r.entries[:keep:keep]
	r.rebuild = r.rebuild || keep < r.applied
	r.role, r.term, r.leader = group.Replica, term, leader
	r.fence = max(r.fence, term)
	r.starts = slices.Clone(starts)
	return nil
}

func (r *replog) begin(term group.Term, at int) {
	r.starts = append(r.starts, group.Start{Term: term, Position: group.Position(at)})
	if len(r.starts) > keptStarts {
		r.starts = slices.Delete(r.starts, 0, len(r.starts)-keptStarts)
	}
}

// writable returns an error unless the member may commit.
func (r *replog) writable() error {
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
