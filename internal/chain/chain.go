// Package chain is the filter chain through which every request of a caller
// goes: its kind of work is looked up, it is admitted, routed to a member, lent
// a connection, run, and, if it wrote, confirmed.
//
// A Request travels down the chain. A filter may end it with a fault; the
// fault's kind then tells whether the work was run. Requests inside an open
// transaction keep their connection, and pass the filters that would choose one.
package chain

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Caller is who sends requests over one connection.
type Caller struct {
	// ID numbers the connection within this proxy.
	ID uint64
	// Name is the caller's user name.
	Name string
	// Service is the service that the caller asked for.
	Service string
}

// Lease is a connection lent to a request, or to the transaction it is part of.
type Lease struct {
	*member.Conn
	Member view.Member
	// MayWrite tells that the work may write, so that its end must be confirmed.
	MayWrite bool
	// Owner is the caller to whom the connection is lent.
	Owner uint64

	pool *member.Pool
	slot Slot
	// resting tells that no statement of the open transaction runs.
	resting bool
	base    *ctrl.Controller
	// away is the connection to the proxy that holds the lease, or nil if this one does.
	away Away
	// work is the sheet's row when the transaction began, and replicated what was known
	// of its database.
	work       sheet.Row
	replicated bool
}

// Release gives the connection back. A connection that is not clean is closed.
func (l *Lease) Release(clean bool) {
	if l.away != nil {
		l.away.Release(clean)
		return
	}
	l.rest(false)
	l.pool.Put(l.Conn, clean)
	l.slot.Release()
}

// Request is one request of a caller, with what the filters find out about it.
type Request struct {
	Caller Caller
	// Name is the request's name in the log, given by the caller or by the proxy.
	Name string
	// Exchange carries the request and its answer.
	Exchange Exchange
	// Label is the kind of work that the caller gave, or empty.
	Label string
	// Floor is what the caller's reads must see; Token tells that the caller
	// keeps it itself, so that nothing else need be asked.
	Floor group.Floor
	Token bool
	// Track is told of the connection on which the request runs, and of nil when
	// it no longer does.
	Track func(*Lease)
	// Arrived is when the request was complete.
	Arrived time.Time
	// Given tells that another proxy sent the request, which has looked Work and
	// Replicated up.
	Given bool
	// Last tells that no other proxy is asked to run the request if the one that it is
	// sent to cannot.
	Last bool

	// Work is the sheet's row for the request.
	Work sheet.Row
	// Deadline is when the work must be done.
	Deadline time.Time
	// Lease is the connection of the open transaction, or the one the request
	// is run on.
	Lease *Lease
	// Answer sums up the member's answer.
	Answer Answer
	// Committed is the position of the request's write, confirmed, or zero.
	Committed group.Floor

	base   *ctrl.Controller
	pinned bool
	// lead tells that the member must prove that it leads, since no floor is known.
	lead bool
	// Replicated tells that the database acknowledges only what a replica has received.
	Replicated bool
	targets    []view.Member
	need       group.Floor
	member     view.Member
	sends      int
}

// Exchange is one request of a caller with its answer, in the protocol that the
// caller and the members speak. A request that is refused before any of it took
// effect may be run again on another connection.
type Exchange interface {
	// Access returns what the request may do, given what the sheet says of its
	// kind: one that opens a read-only transaction is a read.
	Access(listed sheet.Access) sheet.Access
	// Proves tells whether a primary proves in the answer itself that it leads, so
	// that a read there needs no floor.
	Proves() bool
	// Run sends the request over a connection and passes the answer on, but for
	// what is held back. A failure leaves the connection unusable, and what became
	// of the request unknown.
	Run(line member.Line, o Order) (Answer, error)
	// Sent tells whether any of the answer has reached the caller.
	Sent() bool
	// Discard forgets all of the answer that has not reached the caller.
	Discard()
	// Drop forgets the part of the answer that is held back.
	Drop()
}

// Order tells how a request is to be run.
type Order struct {
	// Write tells that the request may write, so that the end of its answer is
	// held back until the write is confirmed.
	Write bool
	// Pinned tells that the request is part of an open transaction.
	Pinned bool
	// Floor is what the member must have applied, as far as it can tell itself.
	Floor group.Floor
	// Replicated tells that the primary acknowledges a write only once a replica has
	// received it.
	Replicated bool
	// Lead tells that the answer to a read must prove that the member leads.
	Lead bool
	// HeldBytes bounds what is held back.
	HeldBytes int
	// Deadline is when the answer is given up.
	Deadline time.Time
}

// Answer sums up a member's answer.
type Answer struct {
	// Idle tells that no transaction is open behind the request.
	Idle bool
	// Whole tells that the member answered all of the request, or an error after
	// which it skips the rest.
	Whole bool
	// Dirty tells that the request left something behind on the connection.
	Dirty bool
	// Refused tells that the member refused the request because it is no primary,
	// and that nothing of it is in effect.
	Refused bool
	// Turned tells why the member refused the request before any of it ran, or is
	// nil. The connection can be used again unless it is dirty.
	Turned *fault.Error
	// Committed is the position of the request's write that is to be confirmed, or
	// zero.
	Committed group.Floor
	// Kept is the position of a write that the member confirmed itself, or zero.
	Kept group.Floor
	// Leased tells that the answer rests on a lease of the primary.
	Leased bool
	// At is the position of the member that it told with the answer, or zero.
	At group.Floor
	// Shown is what the answer shows of the member's state, if anything.
	Shown group.State
}

// Sent tells whether any of the request was sent to a member that did not refuse
// all of it.
func (r *Request) Sent() bool { return r.sends > 0 }

// Write tells whether the request may write.
func (r *Request) Write() bool { return r.Work.Access != sheet.Read }

// Handler takes a request to its end.
type Handler func(ctx context.Context, r *Request) error

// Filter puts a step before a handler.
type Filter func(next Handler) Handler

// Options are what the filters depend on.
type Options struct {
	Bases  *ctrl.Controllers
	Books  *ctrl.Documents
	Log    *event.Log
	Guard  *guard.Guard
	Region string
	// DataCentre is preferred for reads.
	DataCentre string
	// InFlight bounds the requests in the chain, besides those of open
	// transactions.
	InFlight *quota.Quota
	// HeldBytes bounds what is held back until a write is confirmed.
	HeldBytes int
	// AnswerGrace is how much longer than its deadline a request may run before its
	// connection counts as silent. The answer that comes within it is passed on.
	AnswerGrace time.Duration
	// ReplicaWait is how long a read waits for a replica of its own region to reach
	// its floor before it goes further.
	ReplicaWait time.Duration
	// Suspended returns for how long the host has been suspended since it started, a
	// time that its steady clock does not count; nil stands for never.
	Suspended func() time.Duration
	// Lease is how long work at a primary may rest on the last proof that it leads,
	// where its answers alone do not prove it.
	Lease time.Duration
	// Confirm is how long a write waits for its confirmation.
	Confirm time.Duration
	// Draining tells whether the proxy is leaving.
	Draining func() bool
	// Slots rations the members' slots.
	Slots Slots
	// Relay sends requests to the proxies that serve their databases; nil stands for a
	// proxy that serves all.
	Relay Relay
}

// Slot is the right to run one request on a member.
type Slot struct {
	// Until is when the slot lapses, unless the request has been sent by then.
	Until time.Time
	// Release gives the slot back. It must be called once.
	Release func()
	// Rest tells whether the transaction that holds the slot rests between two
	// statements, and Crowded that the member had no room for the work. Both may be nil.
	Rest    func(resting bool)
	Crowded func()
}

// rest notes that the lease's transaction begins or ceases to rest between two statements.
func (l *Lease) rest(resting bool) {
	if l.slot.Rest != nil && l.resting != resting {
		l.slot.Rest(resting)
		l.resting = resting
	}
}

// Lapsed tells whether the slot may no longer be used to begin work.
func (s Slot) Lapsed(now time.Time) bool { return !now.Before(s.Until) }

// Slots rations how many requests run on a member at a time.
type Slots interface {
	// Acquire waits for a slot of a member until the request's deadline. Its
	// faults are not run.
	Acquire(ctx context.Context, database string, m view.Member, r *Request) (Slot, error)
	// Room returns how much more work may begin at a member at once, or minus the
	// amount of work that waits for it.
	Room(database string, m view.Member) int
}

// New returns the chain in the order in which its filters run.
func New(o Options) Handler {
	if o.Suspended == nil {
		o.Suspended = func() time.Duration { return 0 }
	}
	f := &filters{Options: o, resumes: &resumes{suspended: o.Suspended}}
	h := f.run
	for _, filter := range []Filter{f.confirm, f.lend, f.route, f.watch, f.relay, f.admit, f.classify} {
		h = filter(h)
	}
	return h
}

type filters struct {
	Options
	resumes *resumes
}
