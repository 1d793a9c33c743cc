// Package elect decides when a primary is replaced, and by which member.
//
// One Machine watches one database for one proxy. It does no I/O and has no
// clock: Step takes the time, the view and one event, and returns the next
// machine and the actions to carry out. The result of each action comes back as
// an event.
//
// The stages of a promotion, each of which may be lost, doubled or late:
//
//	Watching  the primary answers, or nothing is known yet
//	Polling   the primary is silent: the other watchers are asked
//	Claiming  a majority of watchers agrees: a term is claimed in the store
//	Fencing   the members are asked to promise the claimed term
//	Choosing  a majority has promised: the longest log among them is promoted
//
// Safety rests on the members' promises alone. The store's claim keeps watchers
// from disturbing one another, and lets a lost answer be recognised.
package elect

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
)

// Stage is how far a machine has come with a promotion.
type Stage uint8

// The stages.
const (
	Watching Stage = iota
	Polling
	Claiming
	Fencing
	Promoting
)

// String returns the stage in lower case.
func (s Stage) String() string {
	return [...]string{"watching", "polling", "claiming", "fencing", "choosing"}[s]
}

// Rules are the periods of a machine.
type Rules struct {
	// SuspectAfter is how long a primary must be silent before it is suspected.
	SuspectAfter time.Duration `json:"Suspect"`
	// VoteDownAfter is how long a primary must be silent to a watcher that is asked by
	// another, before it agrees.
	VoteDownAfter time.Duration `json:"Doubt"`
	// RefusedSuspectAfter and RefusedDoubt are the same for a primary at whose address
	// nothing listens: a process that has ended is not merely slow.
	RefusedSuspectAfter  time.Duration `json:"RefusedSuspect"`
	RefusedVoteDownAfter time.Duration `json:"RefusedDoubt"`
	// VoteInterval is the period between questions to the other watchers.
	VoteInterval time.Duration `json:"Repoll"`
	// Stagger is how much later each further watcher claims a term.
	Stagger time.Duration
	// AttemptTimeout is how long one attempt may take before another may begin.
	AttemptTimeout time.Duration `json:"Attempt"`
	// ReducedQuorumAfter is how long most watchers must have given no answer, and no replica have
	// received an entry, before those that answer decide alone; 0 stands for never.
	ReducedQuorumAfter time.Duration `json:"Desert"`
	// FenceGrace is how long a promoter waits for further members after a majority
	// has promised.
	FenceGrace time.Duration `json:"Grace"`
	// Lease is how long after a majority was proven to have no other primary reads may
	// rest on that. A promotion waits it out, unless the former primary has promised to
	// step down.
	Lease time.Duration `json:",omitempty"`
	// SharedTerms tells that members promise a term to every promoter, and that a
	// promotion begins the next term whatever was promised: claims are told apart by
	// their tokens. A planned change then leaves the primary in service: the other
	// replicas are fenced, so that the target receives all that is acknowledged.
	SharedTerms bool `json:",omitempty"`
}

// suspect returns how long a member must be silent before it is suspected.
func (r Rules) suspect(v view.View, member string) time.Duration {
	if v.ConnectionRefused(member) {
		return r.RefusedSuspectAfter
	}
	return r.SuspectAfter
}

// doubt returns how long a member must be silent before a watcher that is asked
// agrees.
func (r Rules) doubt(v view.View, member string) time.Duration {
	if v.ConnectionRefused(member) {
		return r.RefusedVoteDownAfter
	}
	return r.VoteDownAfter
}

// RulesFor returns the rules for a primary that may be silent for suspect.
func RulesFor(suspect time.Duration) Rules {
	return Rules{
		SuspectAfter:         suspect,
		VoteDownAfter:        suspect * 6 / 10,
		RefusedSuspectAfter:  suspect / 4,
		RefusedVoteDownAfter: suspect * 3 / 20,
		VoteInterval:         suspect / 4,
		Stagger:              suspect / 4,
		AttemptTimeout:       suspect * 3 / 2,
		ReducedQuorumAfter:   suspect * 5 / 2,
		FenceGrace:           suspect / 10,
	}
}
