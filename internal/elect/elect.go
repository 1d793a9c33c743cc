// Package elect decides when a primary is replaced, and by which member.
//
// One Machine monitors one database for one proxy. It does no I/O and has no clock: Step
// takes the time, the view and one event, and returns the next machine and the actions
// to perform. The result of each action is passed back as an event.
//
// The stages of a promotion follow. Any message of a stage may be lost, duplicated or
// delayed.
//
//	Watching   the primary answers, or nothing is known yet
//	Polling    the primary does not respond: the other voters are asked to vote
//	Claiming   a majority of the voters agrees: a term is claimed in the store
//	Fencing    the members are asked to promise the claimed term
//	Promoting  a majority has promised: the member with the longest log is promoted
//
// Safety depends on the promises of the members alone. The claim in the store keeps
// voters from interfering with one another, and lets a voter recognise its own claim if
// the answer of the store was lost.
package elect

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
)

// Stage is a stage of a promotion.
type Stage uint8

// The stages of a promotion, in order.
const (
	Watching Stage = iota
	Polling
	Claiming
	Fencing
	Promoting
)

// String returns the external name of the stage. It is the name of the constant in lower
// case, except that Promoting is written as choosing.
func (s Stage) String() string {
	return [...]string{"watching", "polling", "claiming", "fencing", "choosing"}[s]
}

// Rules are the periods and modes of a machine.
type Rules struct {
	// SuspectAfter is how long a primary may be unresponsive before it is suspected.
	SuspectAfter time.Duration `json:"Suspect"`
	// VoteDownAfter is how long a primary must be unresponsive to a voter before the voter
	// confirms another voter's suspicion.
	VoteDownAfter time.Duration `json:"Doubt"`
	// RefusedSuspectAfter and RefusedVoteDownAfter replace SuspectAfter and VoteDownAfter
	// for a primary whose address refuses connections: its process has ended and is not
	// merely slow.
	RefusedSuspectAfter  time.Duration `json:"RefusedSuspect"`
	RefusedVoteDownAfter time.Duration `json:"RefusedDoubt"`
	// VoteInterval is the period between vote requests to the other voters, and between
	// retries of other steps.
	VoteInterval time.Duration `json:"Repoll"`
	// Stagger is the delay that each further voter adds before it claims a term.
	Stagger time.Duration
	// AttemptTimeout is how long an attempt may take before another one may begin.
	AttemptTimeout time.Duration `json:"Attempt"`
	// ReducedQuorumAfter is how long most voters must have been unresponsive, and no
	// replica have received an entry, before the responding voters decide alone; 0
	// disables this.
	ReducedQuorumAfter time.Duration `json:"Desert"`
	// FenceGrace is how long a promoter waits for further members after a majority has
	// promised.
	FenceGrace time.Duration `json:"Grace"`
	// Lease is how long reads may rely on the proof that a majority had no other primary.
	// A promotion waits for it to expire, unless the former primary has promised to step
	// down.
	Lease time.Duration `json:",omitempty"`
	// SharedTerms is set if members promise a term to every promoter, and if a promotion
	// starts the next term regardless of promises; claims are then distinguished by their
	// tokens. A planned handover in this mode fences the replicas other than the target
	// first, so that the target receives every acknowledged entry.
	SharedTerms bool `json:",omitempty"`
	// PromotionDeposes is set if the former primary stops leading when another member is
	// promoted. A planned handover then leaves it in service until that moment. Otherwise
	// it is told to step down first, because it would go on answering reads.
	PromotionDeposes bool `json:",omitempty"`
}

// suspectAfter returns how long a member may be unresponsive before it is suspected.
func (r Rules) suspectAfter(v view.View, member string) time.Duration {
	if v.ConnectionRefused(member) {
		return r.RefusedSuspectAfter
	}
	return r.SuspectAfter
}

// voteDownAfter returns how long a member must be unresponsive before this voter votes
// that it is down.
func (r Rules) voteDownAfter(v view.View, member string) time.Duration {
	if v.ConnectionRefused(member) {
		return r.RefusedVoteDownAfter
	}
	return r.VoteDownAfter
}

// RulesFor returns the rules for a primary that is suspected after the given period.
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

// SharedTermRules returns the rules for members that promise a term to every promoter, with
// the given read lease.
func SharedTermRules(suspect, lease time.Duration) Rules {
	r := RulesFor(suspect)
	r.SharedTerms, r.Lease = true, lease
	// A promotion takes effect some time after its order.
	r.AttemptTimeout = 4 * suspect
	// Another voter's claim is visible in the fences of the members, which are queried
	// every few hundred milliseconds.
	r.Stagger = suspect / 2
	// Callers wait out the quorum and the lease one after the other.
	r.ReducedQuorumAfter = suspect * 3 / 2
	return r
}
