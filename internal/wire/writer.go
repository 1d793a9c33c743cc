package wire

import (
	"bytes"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushBytes is the number of buffered bytes from which a Writer writes them out.
const flushBytes = 16 << 10

// Writer buffers messages for a caller. After an error it writes nothing more, and Flush returns
// the error.
type Writer struct {
	conn     net.Conn
	buffer   []byte
	holding  bool
	heldFrom int
	sent     bool
	err      error
	// beforeFlush is called with the number of bytes before they are written, and afterFlush
	// afterwards. hold is called with the number of buffered bytes before the part that is held
	// back grows. They may be nil.
	beforeFlush func(size int, latest time.Time)
	afterFlush  func()
	hold        func(size int) error
	// deadline is that of later writes, or zero.
	deadline time.Time
}

// NewWriter returns a writer to a caller's connection.
func NewWriter(conn net.Conn) *Writer { return &Writer{conn: conn} }

// OnFlush sets the functions that are called before and after buffered bytes are written. The
// first one sets the deadline of the write, which must not be after latest unless that is zero.
func (w *Writer) OnFlush(before func(size int, latest time.Time), after func()) {
	w.beforeFlush, w.afterFlush = before, after
}

// OnHold sets a function that accounts for the buffered bytes while messages are held back. If
// it returns an error, Reserve returns it.
func (w *Writer) OnHold(hold func(size int) error) { w.hold = hold }

// Reserve accounts for the bytes that are held back.
func (w *Writer) Reserve() error {
	if !w.holding || w.hold == nil {
		return nil
	}
	return w.hold(len(w.buffer))
}

// Put adds a message. It may write out messages, but none that are held back.
func (w *Writer) Put(message pgproto3.BackendMessage) {
	if w.err != nil {
		return
	}
	w.buffer, w.err = message.Encode(w.buffer)
	if !w.holding && len(w.buffer) >= flushBytes {
		_ = w.Flush()
	}
}

// PutBeforeHeld adds a message before those that are held back.
func (w *Writer) PutBeforeHeld(message pgproto3.BackendMessage) {
	if !w.holding || w.err != nil {
		w.Put(message)
		return
	}
	held := bytes.Clone(w.buffer[w.heldFrom:])
	w.buffer, w.err = message.Encode(w.buffer[:w.heldFrom])
	w.heldFrom = len(w.buffer)
	w.buffer = append(w.buffer, held...)
}

// StartHolding holds back all messages added from now on.
func (w *Writer) StartHolding() {
	if !w.holding {
		w.holding, w.heldFrom = true, len(w.buffer)
	}
}

// HeldBytes returns how many bytes are held back.
func (w *Writer) HeldBytes() int {
	if !w.holding {
		return 0
	}
	return len(w.buffer) - w.heldFrom
}

// Drop discards the messages that are held back.
func (w *Writer) Drop() {
	if w.holding {
		w.buffer, w.holding = w.buffer[:w.heldFrom], false
	}
}

// SetDeadline sets the deadline of all later writes to the caller, so that a caller that does not
// read cannot occupy a member's connection.
func (w *Writer) SetDeadline(t time.Time) {
	w.deadline = t
	if err := w.conn.SetWriteDeadline(t); err != nil && w.err == nil {
		w.err = err
	}
}

// Sent reports whether any byte was written since the last call of Begin.
func (w *Writer) Sent() bool { return w.sent }

// Begin marks the start of an answer.
func (w *Writer) Begin() { w.sent = false }

// idleBufferBytes is the size of the largest buffer that a Writer keeps between answers.
const idleBufferBytes = 4 << 10

// Release drops a large buffer, so that an idle session does not keep it.
func (w *Writer) Release() {
	if cap(w.buffer) > idleBufferBytes && len(w.buffer) == 0 {
		w.buffer = nil
	}
}

// Discard discards all messages that have not been written.
func (w *Writer) Discard() { w.buffer, w.holding = w.buffer[:0], false }

// Flush writes all buffered messages, including those that are held back.
func (w *Writer) Flush() error {
	if w.err != nil || len(w.buffer) == 0 {
		w.holding = false
		return w.err
	}
	if w.beforeFlush != nil {
		w.beforeFlush(len(w.buffer), w.deadline)
		defer w.afterFlush()
	}
	_, w.err = w.conn.Write(w.buffer)
	w.sent, w.holding = true, false
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > 4*flushBytes {
		w.buffer = nil
	}
	return w.err
}
