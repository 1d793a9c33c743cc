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
	// Token distinguishes claims of the same term where members promise a term to every
	// promoter.
	Token    uint64 `json:",omitempty"`
	Promoter string
	// Attempt is a random identifier by which a promoter recognises its own write.
	Attempt string
	// Target is the member to which a primary in service hands over, or empty.
	Target string `json:",omitempty" msgpack:",omitempty"`
}

// Announced returns what the claim tells other proxies about commits of the present
// primary.
func (c Claim) Announced() view.Handover {
	return view.Handover{Term: c.Term, Token: c.Token, Target: c.Target}
}

// Vote is a voter's answer about the primary of a term.
type Vote struct {
	From string
	Term group.Term
	// Down is set if the primary does not respond to this voter either.
	Down bool
	// Unlisted holds the members that answer the voter although its list lacks them. A
	// promoter that started later may not know them.
	Unlisted []view.Member `json:",omitempty" msgpack:",omitempty"`
}

// Event is the input of one step. Exactly one field is set, or none for the passing of
// time.
type Event struct {
	// Vote is another voter's answer.
	Vote *Vote `json:",omitempty"`
	// Claimed is the result of a claim.
	Claimed *ClaimResult `json:",omitempty"`
	// Answer is a member's answer to an order.
	Answer *Answer `json:",omitempty"`
	// Rival is a claim that another voter won.
	Rival *Claim `json:",omitempty"`
	// Handover is an operator's request to change the primary.
	Handover *Handover `json:",omitempty"`
}

// Handover names the member that is to become the primary.
type Handover struct{ Target string }

// ClaimResult is the result of a ClaimTerm action.
type ClaimResult struct {
	// Won is set if the store holds the claim of this machine.
	Won bool
	// Conflict is set if another voter's claim was written first. If neither Won nor
	// Conflict is set, the store could not be reached.
	Conflict bool
	Claim    Claim
}

// Answer is a member's answer to Fence or Promote.
type Answer struct {
	Member string
	Term   group.Term
	// Refused is set if the member's promises forbid the order.
	Refused bool
	// Failed is set if the order was refused or no answer was received. Unless it was
	// refused, it may have taken effect.
	Failed bool
	// State is the member's state after the order.
	State group.State
}

// Action is a step that the driver of a machine performs. Exactly one field is set.
type Action struct {
	// RequestVotes asks the other voters about the primary of a term.
	RequestVotes *VoteRequest `json:"AskWatchers,omitempty"`
	// ClaimTerm writes a claim of a term after the given one to the store.
	ClaimTerm *ClaimTerm `json:",omitempty"`
	// Fence asks a member to promise a term.
	Fence *Order `json:",omitempty"`
	// Promote makes a member the primary of a term.
	Promote *Order `json:",omitempty"`
	// Follow makes a member a replica of the primary.
	Follow *Follow `json:",omitempty"`
	// AnnounceClaim notifies the other voters of a claim that was won.
	AnnounceClaim *Claim `json:"TellClaim,omitempty"`
	// Note is a log entry.
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

// FormatActions returns the actions in short form, in order.
func FormatActions(actions []Action) string {
	words := make([]string, 0, len(actions))
	for _, a := range actions {
		words = append(words, a.String())
	}
	return strings.Join(words, ", ")
}

// VoteRequest names the term of the suspected primary.
type VoteRequest struct{ Term group.Term }

// ClaimTerm requests a term later than After.
type ClaimTerm struct{ After group.Term }

// Order is an order to a member in a claimed term.
type Order struct {
	Member string
	Claim  Claim
}

// Follow names a member and the primary that it follows.
type Follow struct {
	Member string
	Term   group.Term
	Leader view.Member
	Starts []group.Start
}

// NoteKind is the kind of a Note.
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

// String returns the external name of the kind, in one word.
func (k NoteKind) String() string {
	return [...]string{"suspected", "ended", "won", "lost", "promoted", "failed"}[k]
}

// Note is a log entry about a step of a promotion.
type Note struct {
	Kind   NoteKind
	Term   group.Term
	Member string
}
