package elect

import (
	"fmt"
	"strings"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Claim is the value of a database's claim in the store.
type Claim struct {
	Term group.Term
	// Token tells claims of the same term apart, where members do not.
	Token    uint64 `json:",omitempty"`
	Promoter string
	// Attempt is a random name, by which a promoter knows its own write again.
	Attempt string
}

// Vote is a watcher's answer about the primary of a term.
type Vote struct {
	From string
	Term group.Term
	// Down tells that the primary has been silent to this watcher too.
	Down bool
}

// Event is what a machine is told. Exactly one field is set, or none for the
// passing of time.
type Event struct {
	// Vote is another watcher's answer.
	Vote *Vote `json:",omitempty"`
	// Claimed is the end of a claim.
	Claimed *ClaimResult `json:",omitempty"`
	// Answer is a member's answer to an order.
	Answer *Answer `json:",omitempty"`
	// Rival is another watcher's claim that was won.
	Rival *Claim `json:",omitempty"`
	// Handover is an operator's order to change the primary.
	Handover *Handover `json:",omitempty"`
}

// Handover names the member that is to become the primary.
type Handover struct{ Target string }

// ClaimResult is the result of a ClaimTerm action.
type ClaimResult struct {
	// Won tells that the store holds the machine's claim.
	Won bool
	// Conflict tells that another watcher's claim came first. If neither is set,
	// the store could not be reached.
	Conflict bool
	Claim    Claim
}

// Answer is a member's answer to Fence or Promote.
type Answer struct {
	Member string
	Term   group.Term
	// Refused tells that the member's promises forbid the order.
	Refused bool
	// Failed tells that no answer came; the order may have taken effect.
	Failed bool
	// State is the member's state after the order.
	State group.State
}

// Action is what the shell must do. Exactly one field is set.
type Action struct {
	// RequestVotes asks the other watchers about the primary of a term.
	RequestVotes *VoteRequest `json:"AskWatchers,omitempty"`
	// ClaimTerm writes a claim of a term after the given one to the store.
	ClaimTerm *ClaimTerm `json:",omitempty"`
	// Fence asks a member to promise a term.
	Fence *Order `json:",omitempty"`
	// Promote makes a member the primary of a term.
	Promote *Order `json:",omitempty"`
	// Follow makes a member a replica of the primary.
	Follow *Follow `json:",omitempty"`
	// AnnounceClaim tells the other watchers of a claim that was won.
	AnnounceClaim *Claim `json:"TellClaim,omitempty"`
	// Note is something to log.
	Note *Note `json:",omitempty"`
}

// String returns the action in short form, such as "fence member-2 7".
func (a Action) String() string {
	switch {
	case a.RequestVotes != nil:
		return fmt.Sprint("ask ", a.RequestVotes.Term)
	case a.ClaimTerm != nil:
		return fmt.Sprint("claim after ", a.ClaimTerm.After)
	case a.Fence != nil:
		return fmt.Sprint("fence ", a.Fence.Member, " ", a.Fence.Claim.Term)
	case a.Promote != nil:
		return fmt.Sprint("promote ", a.Promote.Member, " ", a.Promote.Claim.Term)
	case a.Follow != nil:
		return fmt.Sprint("follow ", a.Follow.Member, " ", a.Follow.Leader.Name, " ", a.Follow.Term)
	case a.AnnounceClaim != nil:
		return fmt.Sprint("tell ", a.AnnounceClaim.Term)
	case a.Note != nil:
		return a.Note.Kind.String()
	default:
		return "nothing"
	}
}

// FormatActions returns actions in short form, in their order.
func FormatActions(actions []Action) string {
	words := make([]string, 0, len(actions))
	for _, a := range actions {
		words = append(words, a.String())
	}
	return strings.Join(words, ", ")
}

// VoteRequest names the term whose primary is suspected.
type VoteRequest struct{ Term group.Term }

// ClaimTerm names the term after which a term is to be claimed.
type ClaimTerm struct{ After group.Term }

// Order is an order to a member in a claimed term.
type Order struct {
	Member string
	Claim  Claim
}

// Follow names a member and the primary that it is to follow.
type Follow struct {
	Member string
	Term   group.Term
	Leader view.Member
	Starts []group.Start
}

// NoteKind tells what a Note reports.
type NoteKind uint8

// The kinds of notes.
const (
	Suspected NoteKind = iota
	SuspicionEnded
	ClaimWon
	ClaimLost
	MemberPromoted
	AttemptFailed
)

// String returns the kind in one word.
func (k NoteKind) String() string {
	return [...]string{"suspected", "ended", "won", "lost", "promoted", "failed"}[k]
}

// Note is a step of a promotion, for the log.
type Note struct {
	Kind   NoteKind
	Term   group.Term
	Member string
}
