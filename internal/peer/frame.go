// Package peer joins the proxies to one another: heartbeats that carry the
// serials of documents, the documents themselves, questions about a suspected
// primary with their answers, and cancel requests that reached another proxy.
//
// Proxies talk over TCP. A frame is a length of four bytes, most significant
// first, and a msgpack map with Pascal-case keys. A connection begins with a
// challenge on each side: the accepting side sends a random nonce, the opening
// side answers with its name, a nonce of its own and an HMAC-SHA256 of nonce and
// name under the shared secret, and the accepting side proves itself likewise.
// After that the opening side sends, and the accepting side answers.
package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// MaxFrame is the size in bytes of the largest frame: a document of the size
// that the store holds, and its envelope.
const MaxFrame = 1<<20 + 1<<12

// maxGreeting is the size in bytes of the largest frame before the peer has
// proven who it is.
const maxGreeting = 1 << 10

// Frame is one message. Exactly one field is set.
type Frame struct {
	Challenge *Challenge  `msgpack:",omitempty"`
	Hello     *Hello      `msgpack:",omitempty"`
	Welcome   *Welcome    `msgpack:",omitempty"`
	Heartbeat *Heartbeat  `msgpack:"Beat,omitempty"`
	Claim     *ClaimNotice `msgpack:",omitempty"`
	// ConnectionDemand is how many connections a proxy wants to each member.
	ConnectionDemand map[string]int  `msgpack:"Wants,omitempty"`
	Doc              *book.Doc       `msgpack:",omitempty"`
	VoteRequest      *VoteRequest    `msgpack:"Ask,omitempty"`
	Vote             *VoteFrame      `msgpack:",omitempty"`
	Cancel           *Cancel         `msgpack:",omitempty"`
	PermitRequest    *PermitRequest  `msgpack:"Want,omitempty"`
	Grant            *Grant          `msgpack:",omitempty"`
	Release          *Release        `msgpack:"Done,omitempty"`
	SuspicionQuery   *SuspicionQuery `msgpack:"Doubt,omitempty"`
	SuspicionVote    *SuspicionVote  `msgpack:"Opinion,omitempty"`
	// Relay hands the connection over to callers' requests for databases that the
	// accepting proxy serves. It is the first frame of such a connection.
	Relay bool `msgpack:",omitempty"`
}

// PermitRequest asks a dispatcher for a slot of a member.
type PermitRequest struct {
	// ID names the request among those of the asking proxy.
	ID       uint64
	Database string
	Member   string
	Caller   string
	Rank     sheet.Rank
	// TimeLeft is the time until the deadline, since clocks differ.
	TimeLeft time.Duration `msgpack:"Left"`
	// Waited is how long before the proxy asked first.
	Waited time.Duration `msgpack:",omitempty"`
}

// Grant answers a Want. It comes again when Next changes.
type Grant struct {
	ID uint64
	// Granted tells that the slot is given. Otherwise Refusal tells why not.
	Granted bool       `msgpack:"Given"`
	Refusal fault.Kind `msgpack:",omitempty"`
	Detail  string     `msgpack:",omitempty"`
	// ReuseID is the Want that may use the slot next without asking, or 0.
	ReuseID uint64 `msgpack:"Next,omitempty"`
	// Waited is how long before the proxy asked first.
	Waited time.Duration `msgpack:",omitempty"`
	// ValidFor is how long the slot may be used to begin work from now on.
	ValidFor time.Duration `msgpack:"Life,omitempty"`
}

// Release gives a slot back, or withdraws a Want.
type Release struct {
	ID uint64
	// ReuseID is the Want that uses the slot now, or 0.
	ReuseID uint64 `msgpack:"Next,omitempty"`
}

// SuspicionQuery asks whether a proxy has been silent. The proxy itself is asked too.
type SuspicionQuery struct {
	Host string
}

// SuspicionVote answers a Doubt.
type SuspicionVote struct {
	Host   string
	Silent bool
}

// Challenge asks the opening side for a proof.
type Challenge struct {
	Nonce []byte
}

// Hello answers a Challenge and asks for a proof in turn.
type Hello struct {
	Host  string
	Nonce []byte
	Proof []byte
}

// Welcome answers a Hello.
type Welcome struct {
	Host  string
	Proof []byte
}

// ClaimNotice tells of a claim that was won.
type ClaimNotice struct {
	Database string
	Claim    elect.Claim
}

// Heartbeat is a heartbeat. It tells the serials of the documents that the peer holds,
// and goes as an array, since it is sent often.
type Heartbeat struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Sheet     uint64
	Databases uint64
	Hosts     uint64
}

// NewHeartbeat returns the heartbeat of a proxy that holds a book.
func NewHeartbeat(b book.Book) Heartbeat {
	return Heartbeat{Sheet: b.Serial(book.Sheet), Databases: b.Serial(book.Databases), Hosts: b.Serial(book.Hosts)}
}

// Serial returns the serial of the document of a kind, or 0.
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

// VoteRequest asks whether the primary of a term has been silent.
type VoteRequest struct {
	Database string
	Term     group.Term
}

// VoteFrame is a vote with the name of the database it is about.
type VoteFrame struct {
	Database string
	Vote     elect.Vote
}

// Cancel passes on a caller's cancel request.
type Cancel struct {
	ProcessID uint32
	SecretKey []byte
}

// FrameError reports a frame that breaks the protocol.
type FrameError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("peer frame: got %s, want %s", e.Got, e.Want) }

const lengthBytes = 4

// Encode returns the frame as it goes over the wire.
func Encode(f Frame) ([]byte, error) { return pack(f, false) }

// EncodeArray returns a value of a connection that was handed over, with its length
// before it. Structures go as arrays, without the names of their fields.
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

// DecodeInto reads a value of at most limit bytes with its length before it.
func DecodeInto(r io.Reader, limit uint32, into any) error {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > limit {
		return &FrameError{Got: fmt.Sprintf("%d bytes", size), Want: fmt.Sprintf("1 to %d", limit)}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, into); err != nil {
		return &FrameError{Got: err.Error(), Want: "a msgpack value"}
	}
	return nil
}
