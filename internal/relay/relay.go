// Package relay forwards callers' requests from the proxy that a caller is connected to
// to an owner, which is a proxy that serves the caller's database.
//
// A connection carries one request at a time: a Job, which is answered by an Outcome. The
// caller's proxy keeps the session and looks up the kind of work. The owner runs the
// statement through its own filter chain and keeps the member's connection while a
// transaction is open. Successive transactions of a session may therefore run at
// different owners.
//
// Invariants: a job that was written completely may have run, unless its outcome or a
// closing notice says that it has not; a connection is closed if an outcome is missing on
// it; a transaction ends with the relay connection on which it was opened.
package relay

import (
	"fmt"
	"time"

	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Job is one relayed request. It is encoded as an array, so the order and the types of
// its fields are part of the protocol.
type Job struct {
	// Number identifies the job among those of its connection.
	Number uint64
	// Request is the request's name in the log.
	Request string
	Service string
	Caller  string
	// Waited is the time since the request arrived. It is a duration because the clocks of
	// hosts differ.
	Waited time.Duration
	// Work is the sheet's row by which the request was classified.
	Work       sheet.Row
	Replicated bool
	// LastAttempt is set if no other proxy is tried when this one cannot serve the database.
	LastAttempt bool
	// Floor is the lowest position at which the caller's reads may be served.
	Floor   group.Floor
	Payload flow.Payload
	// Customer and KeyDigest are those of the caller, and SheetSerial is the serial of the
	// sheet by which the sender determined them.
	Customer    string
	KeyDigest   string
	SheetSerial uint64
}

// Outcome is the answer to a Job. It is encoded as an array, so the order and the types of
// its fields are part of the protocol.
type Outcome struct {
	// Number is that of the job, or 0 for a drain notice, which answers no job.
	Number uint64
	// Failed is set if the request ended with a fault, which Fault and Text describe.
	// Otherwise Reply is the answer.
	Failed bool
	Fault  fault.Kind
	Text   string
	Reply  flow.Reply
	// Confirmed is the position of the request's confirmed write, or zero.
	Confirmed group.Floor
	// Draining is set once the proxy has started to drain. The notice is sent on connections
	// without a job in flight, so that no job is sent over them when they end.
	Draining bool
	// Closing is set in the last message of a proxy that closes the connection. No job that
	// it has not answered before has run or will run.
	Closing bool
}

// maxBytes limits the size of an encoded job or outcome: the longest message of a caller
// or a member is 1 MiB, and 64 KiB are for the other fields.
const maxBytes = 1<<20 + 1<<16

// encode returns the encoding of a job or an outcome. It returns a *peer.FrameError for one that
// the other side would not accept.
func encode(value any) ([]byte, error) {
	raw, err := peer.EncodeArray(value)
	if err == nil && len(raw) > maxBytes {
		return nil, &peer.FrameError{Got: fmt.Sprintf("%d bytes", len(raw)), Want: fmt.Sprintf("at most %d", maxBytes)}
	}
	return raw, err
}
