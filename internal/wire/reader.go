package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/pkg/fault"
)

const (
	messageHeaderBytes = 5
	lengthBytes        = 4
	// readerBytes is the size of a session's read buffer. Most messages fit into it, and it is
	// small so that an idle session uses little memory.
	readerBytes = 4 << 10
	// maxStartupBytes limits a start-up message and each message of the log-in, as PostgreSQL
	// itself does.
	maxStartupBytes = 10_000
	// idleBodyBytes is the size of the largest body buffer that a session keeps between
	// messages.
	idleBodyBytes = 4 << 10
)

// Reader reads the messages of a caller. The buffer of a message grows with the data that has
// arrived, not with the length that its header claims.
type Reader struct {
	in    *bufio.Reader
	limit int
	// reserve is called with the number of bytes of a message that are about to be held.
	reserve func(arrived int) error
	body    []byte
	// last holds the message that was received last.
	last messages
}

// NewReader returns a reader of messages of at most limit bytes. reserve is called before the
// buffer of a message grows, with its new size, and may wait or return an error.
func NewReader(in io.Reader, limit int, reserve func(arrived int) error) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readerBytes), limit: limit, reserve: reserve}
}

// Startup reads a start-up message: a *pgproto3.StartupMessage, a *pgproto3.CancelRequest, or a
// request for encryption.
func (r *Reader) Startup() (pgproto3.FrontendMessage, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[:])) - lengthBytes
	if size < lengthBytes || size > maxStartupBytes {
		return nil, fault.New(fault.Protocol, "log in", "got a start-up message of %d bytes, want %d to %d", size, lengthBytes, maxStartupBytes)
	}
	body, err := r.read(int(size))
	if err != nil {
		return nil, err
	}
	const cancelCode, tlsCode, gssCode = 80877102, 80877103, 80877104
	var message pgproto3.FrontendMessage
	switch binary.BigEndian.Uint32(body) {
	case pgproto3.ProtocolVersion30, pgproto3.ProtocolVersion32:
		message = &pgproto3.StartupMessage{}
	case cancelCode:
		message = &pgproto3.CancelRequest{}
	case tlsCode:
		message = &pgproto3.SSLRequest{}
	case gssCode:
		message = &pgproto3.GSSEncRequest{}
	default:
		return nil, fault.New(fault.Protocol, "log in", "got an unknown start-up message")
	}
	return message, message.Decode(body)
}

// ReceiveInto reads a message of the log-in, which must be of the type 'p', into message.
func (r *Reader) ReceiveInto(message pgproto3.FrontendMessage) error {
	kind, body, err := r.next(maxStartupBytes)
	if err != nil {
		return err
	}
	if kind != 'p' {
		return fault.New(fault.Protocol, "log in", "got message %q, want a response to the authentication", kind)
	}
	return message.Decode(body)
}

// Release drops the last message if it was large, so that an idle session does not keep it.
func (r *Reader) Release() {
	if cap(r.body) > idleBodyBytes {
		r.body, r.last = nil, messages{}
	}
}

// Receive reads a message. It is valid until the next call. A message over the limit is an
// Oversize fault, of which nothing but the header is read.
func (r *Reader) Receive() (pgproto3.FrontendMessage, error) {
	kind, body, err := r.next(r.limit)
	if err != nil {
		return nil, err
	}
	message := r.last.of(kind)
	if message == nil {
		return nil, fault.New(fault.Protocol, "read request", "got message of the unknown type %q", kind)
	}
	return message, message.Decode(body)
}

// messages holds one message of each type that callers send after the log-in. They are reused,
// so that receiving a message allocates nothing but its contents.
type messages struct {
	query     pgproto3.Query
	parse     pgproto3.Parse
	bind      pgproto3.Bind
	describe  pgproto3.Describe
	execute   pgproto3.Execute
	sync      pgproto3.Sync
	close     pgproto3.Close
	terminate pgproto3.Terminate
	flush     pgproto3.Flush
	function  pgproto3.FunctionCall
	copyData  pgproto3.CopyData
	copyDone  pgproto3.CopyDone
	copyFail  pgproto3.CopyFail
	password  pgproto3.PasswordMessage
}

// of returns the message of a type, or nil if callers send none of that type.
func (m *messages) of(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'Q':
		return &m.query
	case 'P':
		return &m.parse
	case 'B':
		return &m.bind
	case 'D':
		return &m.describe
	case 'E':
		return &m.execute
	case 'S':
		return &m.sync
	case 'C':
		return &m.close
	case 'X':
		return &m.terminate
	case 'H':
		return &m.flush
	default:
		return m.rare(kind)
	}
}

// rare returns the message of a type that the proxy does not serve.
func (m *messages) rare(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'F':
		return &m.function
	case 'd':
		return &m.copyData
	case 'c':
		return &m.copyDone
	case 'f':
		return &m.copyFail
	case 'p':
		return &m.password
	default:
		return nil
	}
}

func (r *Reader) next(limit int) (kind byte, body []byte, err error) {
	var head [messageHeaderBytes]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		return 0, nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[1:])) - lengthBytes
	if size < 0 {
		return 0, nil, fault.New(fault.Protocol, "read request", "got a message of %d bytes", size)
	}
	if size > int64(limit) {
		return 0, nil, &pgproto3.ExceededMaxBodyLenErr{MaxExpectedBodyLen: limit, ActualBodyLen: int(size)}
	}
	body, err = r.read(int(size))
	return head[0], body, err
}

// read reads a body of the given size. The buffer doubles as data arrives.
func (r *Reader) read(size int) ([]byte, error) {
	r.body = r.body[:0]
	for len(r.body) < size {
		if len(r.body) == cap(r.body) {
			next := min(size, max(2*cap(r.body), idleBodyBytes))
			if err := r.reserve(next); err != nil {
				return nil, err
			}
			r.body = append(make([]byte, 0, next), r.body...)
		}
		n, err := io.ReadFull(r.in, r.body[len(r.body):min(size, cap(r.body))])
		r.body = r.body[:len(r.body)+n]
		if err != nil {
			if err == io.EOF { //nolint:errorlint // io.ReadFull returns it as it is
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return r.body, nil
}
