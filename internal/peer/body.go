package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// RefusedError reports a value that was discarded because its size was refused. The next value
// can be read.
type RefusedError struct{ Cause error }

// Error implements error.
func (e *RefusedError) Error() string { return "peer frame: refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// initialBody is the size in bytes of the first buffer of a value. Most values fit into it.
const initialBody = 4 << 10

// DecodeReserved reads a length-prefixed value of at most limit bytes. The buffer grows with the
// data that has arrived. Before it does, reserve is called with its new size; it may wait. If
// reserve returns an error, the value is discarded, and the error is a *RefusedError. A nil
// reserve accepts any size.
func DecodeReserved(r io.Reader, limit uint32, into any, reserve func(arrived int) error) error {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > limit {
		return &FrameError{Got: fmt.Sprintf("%d bytes", size), Want: fmt.Sprintf("1 to %d", limit)}
	}
	body, err := readBody(r, int(size), reserve)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, into); err != nil {
		return &FrameError{Got: err.Error(), Want: "a msgpack value"}
	}
	return nil
}

func readBody(r io.Reader, size int, reserve func(arrived int) error) ([]byte, error) {
	var body []byte
	for len(body) < size {
		next := min(size, max(2*len(body), initialBody))
		if reserve != nil && next > initialBody {
			if err := reserve(next); err != nil {
				if _, discardErr := io.CopyN(io.Discard, r, int64(size-len(body))); discardErr != nil {
					return nil, discardErr
				}
				return nil, &RefusedError{Cause: err}
			}
		}
		grown := make([]byte, next)
		have := copy(grown, body)
		if _, err := io.ReadFull(r, grown[have:]); err != nil {
			return nil, err
		}
		body = grown
	}
	return body, nil
}
