// Package peer implements the authenticated connections between proxies. They carry
// heartbeats with the serials of documents, offers and fetches of documents, vote requests
// about a suspected primary and the votes, permit requests for the slots of members,
// and cancel requests that arrived at another proxy.
//
// The transport is TCP. A frame is a length of four bytes, most significant byte
// first, followed by a msgpack map with Pascal-case keys. A connection starts with
// mutual authentication by a shared secret: the accepting side sends a random nonce;
// the opening side answers with its name, a nonce of its own and an HMAC-SHA256 of the
// first nonce and the name; the accepting side answers with its own proof. After that
// the opening side sends requests, and the accepting side answers them.
package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// MaxFrame is the size in bytes of the largest frame: the sheet of a configuration of 1 MiB that
// consists of short keys, compressed, and its envelope.
const MaxFrame = 6 << 20

// maxHandshake is the size in bytes of the largest frame before the peer is
// authenticated.
const maxHandshake = 1 << 10

// Frame is one message. Exactly one field is set, but a heartbeat may carry
// ConnectionDemand. The encoded names of the fields are part of the wire protocol.
type Frame struct {
	Challenge *Challenge   `msgpack:",omitempty"`
	Hello     *Hello       `msgpack:",omitempty"`
	Welcome   *Welcome     `msgpack:",omitempty"`
	Heartbeat *Heartbeat   `msgpack:"Beat,omitempty"`
	Claim     *ClaimNotice `msgpack:",omitempty"`
	// ConnectionDemand is the number of connections that a proxy needs to each member,
	// by the member's name. It is sent with a heartbeat.
	ConnectionDemand map[string]int `msgpack:"Wants,omitempty"`
	// HeartbeatAck acknowledges a heartbeat.
	HeartbeatAck   bool            `msgpack:"BeatAck,omitempty"`
	Offer          *Offer          `msgpack:",omitempty"`
	Fetch          *Fetch          `msgpack:",omitempty"`
	Doc            *DocFrame       `msgpack:",omitempty"`
	VoteRequest    *VoteRequest    `msgpack:"Ask,omitempty"`
	Vote           *VoteFrame      `msgpack:",omitempty"`
	Cancel         *Cancel         `msgpack:",omitempty"`
	PermitRequest  *PermitRequest  `msgpack:"Want,omitempty"`
	Grant          *Grant          `msgpack:",omitempty"`
	Release        *Release        `msgpack:"Done,omitempty"`
	SuspicionQuery *SuspicionQuery `msgpack:"Doubt,omitempty"`
	SuspicionVote  *SuspicionVote  `msgpack:"Opinion,omitempty"`
	ProofQuery     *ProofQuery     `msgpack:",omitempty"`
	ProofAnswer    *ProofAnswer    `msgpack:",omitempty"`
	CapAsk         *CapAsk         `msgpack:",omitempty"`
	CapGrant       *CapGrant       `msgpack:",omitempty"`
	// Relay dedicates the connection to relayed requests of callers for databases that
	// the accepting proxy owns. It is the first frame of such a connection.
	Relay bool `msgpack:",omitempty"`
}

// PermitRequest asks the lease holder for a permit to use a slot of a member.
type PermitRequest struct {
	// ID identifies the request among those of the requesting proxy.
	ID       uint64
	Database string
	Member   string
	Caller   string
	Rank     sheet.Rank
	// TimeLeft is the time until the deadline. It is relative because the clocks of
	// hosts differ.
	TimeLeft time.Duration `msgpack:"Left"`
	// Waited is the time since the proxy first sent this request.
	Waited time.Duration `msgpack:",omitempty"`
}

// Grant answers a PermitRequest. It is sent again when ReuseID changes.
type Grant struct {
	ID uint64
	// Granted reports whether the permit is granted. If not, Refusal is the reason.
	Granted bool       `msgpack:"Given"`
	Refusal fault.Kind `msgpack:",omitempty"`
	Detail  string     `msgpack:",omitempty"`
	// ReuseID is the ID of the request of the same proxy that may reuse the permit without
	// a further request, or 0.
	ReuseID uint64 `msgpack:"Next,omitempty"`
	// Waited is the time since the proxy first sent the request.
	Waited time.Duration `msgpack:",omitempty"`
	// ValidFor is how long from now work may be started under the permit.
	ValidFor time.Duration `msgpack:"Life,omitempty"`
}

// Release releases a permit, or withdraws a PermitRequest.
type Release struct {
	ID uint64
	// ReuseID is the ID of the request that now reuses the permit, or 0.
	ReuseID uint64 `msgpack:"Next,omitempty"`
}

// SuspicionQuery asks whether a proxy is unresponsive. It is also sent to that proxy.
type SuspicionQuery struct {
	Host string
}

// SuspicionVote answers a SuspicionQuery. Silent reports whether the host is
// unresponsive to the voter.
type SuspicionVote struct {
	Host   string
	Silent bool
}

// Challenge asks the opening side to prove that it holds the shared secret.
type Challenge struct {
	Nonce []byte
}

// Hello answers a Challenge, and its nonce is a challenge to the accepting side.
type Hello struct {
	Host  string
	Nonce []byte
	Proof []byte
}

// Welcome answers a Hello with the proof of the accepting side.
type Welcome struct {
	Host  string
	Proof []byte
	// AcksHeartbeats is set if the accepting side acknowledges heartbeats. Earlier releases
	// do not.
	AcksHeartbeats bool `msgpack:",omitempty"`
}

// ClaimNotice announces a claim that was won.
type ClaimNotice struct {
	Database string
	Claim    elect.Claim
}

// Heartbeat carries the serials of the documents that the sender holds. It is encoded as
// an array, which is smaller, because it is sent often. The order of the fields is part
// of the wire protocol.
type Heartbeat struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Sheet     uint64
	Databases uint64
	Hosts     uint64
	// StoreAgeMs is the time in milliseconds since the store answered the sender, or a
	// proxy from which the sender learned this.
	StoreAgeMs uint32
}

// NewHeartbeat returns the heartbeat of a proxy that holds a set of documents, given the
// time since the store's last known answer.
func NewHeartbeat(b book.DocumentSet, storeAge time.Duration) Heartbeat {
	age := uint32(min(storeAge.Milliseconds(), math.MaxUint32)) //nolint:gosec // an age is not negative
	return Heartbeat{Sheet: b.Serial(book.Sheet), Databases: b.Serial(book.Databases), Hosts: b.Serial(book.Hosts), StoreAgeMs: age}
}

// StoreAge returns the time since the store's last answer that the sender knows of.
func (b Heartbeat) StoreAge() time.Duration { return time.Duration(b.StoreAgeMs) * time.Millisecond }

// Serial returns the serial of the document of a kind, or 0 if the sender has none.
func (b Heartbeat) Serial(kind book.Kind) uint64 {
	switch kind {
	case book.Sheet:
		return b.Sheet
	case book.Databases:
		return b.Databases
	case book.Hosts:
		return b.Hosts
	default:
		return 0
	}
}

// VoteRequest asks whether the primary of a term is unresponsive.
type VoteRequest struct {
	Database string
	Term     group.Term
}

// ProofQuery asks how recently the sheet was proven to be the store's newest.
type ProofQuery struct {
	// ID identifies the query among those of the sender.
	ID uint64
}

// ProofAnswer answers a ProofQuery: AgeMs milliseconds before the answer was sent, the store's
// newest sheet had the given serial. The age is rounded up.
type ProofAnswer struct {
	ID     uint64
	Serial uint64
	// Keys is the fingerprint of the sheet's keys. Sheets with the same serial may differ in
	// it if the store was restored from an older copy.
	Keys  uint64
	AgeMs uint32
}

// VoteFrame is a vote on a primary, with the name of its database.
type VoteFrame struct {
	Database string
	Vote     elect.Vote
}

// Cancel forwards a caller's cancel request.
type Cancel struct {
	ProcessID uint32
	SecretKey []byte
}

// FrameError reports a frame that violates the protocol.
type FrameError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("peer frame: got %s, want %s", e.Got, e.Want) }

const lengthBytes = 4

// Encode returns the wire encoding of a frame.
func Encode(f Frame) ([]byte, error) { return pack(f, false) }

// EncodeArray returns the length-prefixed encoding of a value on a relay connection.
// Structs are encoded as arrays, without the names of their fields.
func EncodeArray(value any) ([]byte, error) { return pack(value, true) }

func pack(value any, arrays bool) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(arrays)
	encoder.UseCompactInts(arrays)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	body := buffer.Bytes()
	if len(body) > MaxFrame {
		return nil, &FrameError{Got: fmt.Sprintf("%d bytes", len(body)), Want: fmt.Sprintf("at most %d", MaxFrame)}
	}
	size := uint32(len(body)) //nolint:gosec // the length was checked against MaxFrame
	raw := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(body)), size)
	return append(raw, body...), nil
}

// Decode reads one frame of at most limit bytes.
func Decode(r io.Reader, limit uint32) (Frame, error) {
	var f Frame
	err := DecodeInto(r, limit, &f)
	return f, err
}

// DecodeInto reads a length-prefixed value of at most limit bytes.
func DecodeInto(r io.Reader, limit uint32, into any) error {
	return DecodeReserved(r, limit, into, nil)
}
