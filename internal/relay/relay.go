// Package relay carries callers' requests between proxies: from the one that a caller
// is connected to, to one that serves the caller's database.
//
// A connection carries one request at a time, a Job, which an Outcome answers. The proxy
// of the caller keeps the session and looks the kind of work up; the proxy that serves
// the database runs the statement through its own filter chain, and keeps the member's
// connection while a transaction is open. So a session roams between the proxies that
// serve its database from one transaction to the next.
//
// Invariants: a job of which all bytes were written may have run, unless its outcome
// says that it has not; a connection on which an outcome is missing is closed; a
// transaction lives and ends with the connection that opened it.
package relay

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Job is one request on its way to a proxy that serves its database.
type Job struct {
	// Number tells the jobs of a connection apart.
	Number uint64
	// Request is the request's name in the log.
	Request string
	Service string
	Caller  string
	// Waited is the time since the request arrived, since clocks differ.
	Waited time.Duration
	// Work is the sheet's row by which the request was classified.
	Work       sheet.Row
	Replicated bool
	// LastAttempt tells that no other proxy is asked if this one cannot serve the database.
	LastAttempt bool
	// Floor is what the caller's reads must see.
	Floor  group.Floor
	Payload flow.Payload
}

// Outcome answers a Job.
type Outcome struct {
	// Number is that of the job, or 0 for a notice that answers none.
	Number uint64
	// Failed tells that the request ended with a fault, and Fault and Text which one.
	// Otherwise Reply is the answer.
	Failed bool
	Fault  fault.Kind
	Text   string
	Reply  flow.Reply
	// Confirmed is the position of the request's write, or zero.
	Confirmed group.Floor
	// Draining tells that the proxy is about to leave. Its notice comes on connections on
	// which no job is under way, so that none is sent over them when they end.
	Draining bool
}

// maxBytes bounds a job and an outcome: the longest message of a caller or a member,
// and what goes with it.
const maxBytes = 1<<20 + 1<<16
