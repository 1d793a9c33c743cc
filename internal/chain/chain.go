// Package chain implements the filter chain that every request of a caller passes:
// the sheet row of its kind is looked up, the request is admitted, relayed to an owner of
// its database or routed to a member, granted a permit and a connection, run, and, if it
// wrote, confirmed.
//
// A filter may end a request with a fault, whose kind decides whether the work may have
// run. A request inside an open transaction is pinned: it keeps its connection and skips
// the filters that would choose one.
package chain

import (
	"context"
	"time"

	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Caller is the client of one connection to this proxy.
type Caller struct {
	// ID identifies the connection within this proxy.
	ID uint64
	// Name is the caller's user name.
	Name string
	// Service is the service that the caller selected at login.
	Service string
	// Customer is the name of the customer whose key the caller presented, or empty, and
	// KeyDigest the digest of that key.
	Customer  string
	KeyDigest string
}

// Lease is a pooled connection that is reserved for one request, or for the transaction that
// the request is part of.
type Lease struct {
	*member.Conn
	Member view.Member
	// MayWrite is set if the work may write, so that its end must be confirmed.
	MayWrite bool
	// CallerID is the ID of the caller for which the connection is reserved.
	CallerID uint64

	pool   *member.Pool
	permit Permit
	// idle is set while no statement of the open transaction is running.
	idle       bool
	controller *ctrl.Controller
	// remote is the connection to the proxy that runs the transaction, or nil if this proxy
	// runs it.
	remote RelayConn
	// work is the sheet row that was in force when the transaction began, and replicated
	// the replication setting of its database at that time.
	work       sheet.Row
	replicated bool
}

// Release returns the connection to its pool, or closes it if it is not clean.
func (l *Lease) Release(clean bool) {
	if l.remote != nil {
		l.remote.Release(clean)
		return
	}
	l.setIdle(false)
	l.pool.Put(l.Conn, clean)
	l.permit.Release()
}

// Request is one request of a caller and what the filters determine about it.
type Request struct {
	Caller Caller
	// Name is the request's name in the log, given by the caller or by the proxy.
	Name string
	// Exchange holds the request and its answer.
	Exchange Exchange
	// Label is the kind of work that the caller set, or empty.
	Label string
	// Floor is the lowest position that the caller's reads may be served at. HasToken is set if
	// the caller keeps the floor itself, so that no read index is needed.
	Floor    group.Floor
	HasToken bool
	// Track is called with the lease on which the request runs, and with nil when the
	// request no longer runs there.
	Track func(*Lease)
	// Arrived is when the request was completely received.
	Arrived time.Time
	// Relayed is set if another proxy sent the request. That proxy has already determined Work
	// and Replicated.
	Relayed bool
	// LastAttempt is set if no other proxy is tried when the one that receives the request
	// cannot run it.
	LastAttempt bool

	// Work is the sheet row that applies to the request.
	Work sheet.Row
	// Deadline is the time by which the work must be done.
	Deadline time.Time
	// Lease is the lease of the open transaction, or the one on which the request runs.
	Lease *Lease
	// Answer summarizes the member's answer.
	Answer Answer
	// Committed is the position of the request's confirmed write, or zero.
	Committed group.Floor

	controller *ctrl.Controller
	pinned     bool
	// proveLeadership is set if the member must prove that it is the primary, since no floor
	// is known.
	proveLeadership bool
	// Replicated is set if the database acknowledges a write only once a replica has received it.
	Replicated bool
	candidates []view.Member
	readFloor  group.Floor
	member     view.Member
	sends      int
}

// Exchange is one request of a caller and its answer, in the protocol that the caller and
// the members speak. A request that is refused before any of it took effect may be run
// again on another connection.
type Exchange interface {
	// Access returns the access that the request needs, given the access that the sheet lists
	// for its kind. A request that opens a read-only transaction is a read.
	Access(listed sheet.Access) sheet.Access
	// ProvesLeadership reports whether a primary proves in the answer itself that it leads, so
	// that a read there needs no floor.
	ProvesLeadership() bool
	// Run sends the request over a connection and passes the answer on, except for the part
	// that is buffered until confirmed. After an error the connection is unusable and the
	// outcome of the request unknown.
	Run(line member.ProtocolConn, o RunOptions) (Answer, error)
	// Sent reports whether any of the answer has reached the caller.
	Sent() bool
	// Discard discards the part of the answer that has not reached the caller.
	Discard()
	// Drop discards the part of the answer that is buffered until confirmed.
	Drop()
}

// RunOptions specify how an Exchange runs a request.
type RunOptions struct {
	// Write is set if the request may write, so that the end of its answer is buffered until
	// the write is confirmed.
	Write bool
	// Pinned is set if the request is part of an open transaction.
	Pinned bool
	// Floor is the position that the member must have applied, as far as the member can check
	// it itself.
	Floor group.Floor
	// Replicated is set if the primary acknowledges a write only once a replica has received
	// it.
	Replicated bool
	// ProveLeadership is set if the answer to a read must prove that the member leads.
	ProveLeadership bool
	// BufferBytes limits the part of the answer that is buffered until confirmed.
	BufferBytes int
	// Deadline is the time at which waiting for the answer ends.
	Deadline time.Time
}

// Answer summarizes a member's answer.
type Answer struct {
	// Idle is set if no transaction is open after the request.
	Idle bool
	// Whole is set if the member answered the entire request, or answered with an error after
	// which it skips the remainder.
	Whole bool
	// Dirty is set if the request left session state behind on the connection.
	Dirty bool
	// NotPrimary is set if the member refused the request because it is not the primary, and
	// nothing of the request took effect.
	NotPrimary bool
	// Rejection is the reason for which the member rejected the request before any of it ran,
	// or nil. The connection can be reused unless it is dirty.
	Rejection *fault.Error
	// Unsent is set if Run failed before it sent any of the request.
	Unsent bool
	// Committed is the position of the request's write that is still to be confirmed, or zero.
	Committed group.Floor
	// Confirmed is the position of a write that the member confirmed itself, or zero.
	Confirmed group.Floor
	// UnderLease is set if the answer is valid only while the primary's lease holds.
	UnderLease bool
	// MemberPosition is the log position that the member reported with the answer, or zero.
	MemberPosition group.Floor
	// MemberState is what the answer reveals of the member's state, if anything.
	MemberState group.State
}

// Sent reports whether any of the request was sent to a member that did not refuse all of
// it.
func (r *Request) Sent() bool { return r.sends > 0 }

// Write reports whether the request may write.
func (r *Request) Write() bool { return r.Work.Access != sheet.Read }

// Handler processes a request to its end.
type Handler func(ctx context.Context, r *Request) error

// Filter wraps a handler with a step that runs before it.
type Filter func(next Handler) Handler

// Options are the dependencies and limits of the filters.
type Options struct {
	Controllers *ctrl.Controllers
	Documents   *ctrl.Documents
	Log         *event.Log
	Guard       *guard.Guard
	Region      string
	// DataCentre is the data centre whose members are preferred for reads.
	DataCentre string
	// InFlight limits the number of requests in the chain. Requests of open transactions do
	// not count.
	InFlight *quota.Quota
	// BufferBytes limits the part of an answer that is buffered until the write is confirmed.
	BufferBytes int
	// AnswerGrace is how long after its deadline a request may still run before its connection
	// is treated as unresponsive. An answer that arrives within the grace is passed on.
	AnswerGrace time.Duration
	// ReplicaWait is how long a read waits for a replica of its own region to reach its floor
	// before it considers other members.
	ReplicaWait time.Duration
	// Suspended returns the total time for which the host has been suspended since it started,
	// which its monotonic clock does not count. Nil means never.
	Suspended func() time.Duration
	// LeadershipLease is how long the last proof that a primary leads stays valid for work whose
	// answer does not prove it.
	LeadershipLease time.Duration
	// ConfirmTimeout is how long a write waits for its confirmation.
	ConfirmTimeout time.Duration
	// Draining reports whether the proxy is draining.
	Draining func() bool
	// Permits limits the number of requests that run on each member.
	Permits PermitPool
	// Balances is the state of the choice among members that are equally suitable. Nil means a
	// new one.
	Balances *even.Balances
	// Relay sends requests to the owners of their databases. Nil means that this proxy serves
	// every database.
	Relay Relay
	// Keys reports whether keys can be accepted. Nil means always.
	Keys KeyRecency
	// Caps limits the usage of customers. Nil means that it is not limited.
	Caps CapLimiter
}

// Permit is the right to run one request on a member: it holds one of the member's slots.
type Permit struct {
	// ExpiresAt is when the permit expires, unless the request has been sent by then.
	ExpiresAt time.Time
	// Release returns the permit. It must be called exactly once.
	Release func()
	// SetIdle reports whether the transaction that holds the permit is idle between two
	// statements. ReportOverload reports that the member had no capacity for the work. Both
	// may be nil.
	SetIdle        func(idle bool)
	ReportOverload func()
}

// setIdle records whether the transaction is idle between two statements, and reports a
// change to the permit pool.
func (l *Lease) setIdle(idle bool) {
	if l.permit.SetIdle != nil && l.idle != idle {
		l.permit.SetIdle(idle)
		l.idle = idle
	}
}

// Expired reports whether the permit may no longer be used to begin work.
func (s Permit) Expired(now time.Time) bool { return !now.Before(s.ExpiresAt) }

// PermitPool limits the number of requests that run on a member at a time.
type PermitPool interface {
	// Acquire waits until the request's deadline for a permit of a member. The outcome of its
	// faults is always NotRun.
	Acquire(ctx context.Context, database string, m view.Member, r *Request) (Permit, error)
	// SpareCapacity returns the number of requests that may begin at a member without waiting,
	// or minus the number of requests that wait for one.
	SpareCapacity(database string, m view.Member) int
}

// New returns the handler that runs all filters in order.
func New(o Options) Handler {
	if o.Suspended == nil {
		o.Suspended = func() time.Duration { return 0 }
	}
	if o.Balances == nil {
		o.Balances = even.NewBalances()
	}
	f := &filters{Options: o, suspensions: &suspensionDetector{suspended: o.Suspended}}
	h := f.run
	for _, filter := range []Filter{f.confirm, f.acquire, f.route, f.attachController, f.relay, f.admit, f.limitUsage, f.authenticate, f.classify} {
		h = filter(h)
	}
	return h
}

type filters struct {
	Options
	suspensions *suspensionDetector
}
