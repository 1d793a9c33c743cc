package wire_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/wire"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

const readerLimit = 1 << 20

// TestReaderBufferGrowsWithTheData guards against buffers of the length that a header claims.
func TestReaderBufferGrowsWithTheData(t *testing.T) {
	g := NewWithT(t)
	raw, err := (&pgproto3.Query{String: strings.Repeat("x", 1<<18)}).Encode(nil)
	g.Expect(err).NotTo(HaveOccurred())
	largest := 0
	reserve := func(arrived int) error {
		largest = max(largest, arrived)
		return nil
	}
	_, err = wire.NewReader(bytes.NewReader(raw[:9<<10]), readerLimit, reserve).Receive()
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(largest).To(BeNumerically("<=", 2*9<<10))
	message, err := wire.NewReader(bytes.NewReader(raw), readerLimit, reserve).Receive()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(message.(*pgproto3.Query).String).To(HaveLen(1 << 18))
	g.Expect(largest).To(BeNumerically("<=", len(raw)))
}

// TestReaderStopsWhenNothingIsLeft guards against reading on when the memory is used up.
func TestReaderStopsWhenNothingIsLeft(t *testing.T) {
	g := NewWithT(t)
	exhausted := errors.New("exhausted")
	raw, _ := (&pgproto3.Query{String: strings.Repeat("x", 1<<18)}).Encode(nil)
	in := bytes.NewReader(raw)
	_, err := wire.NewReader(in, readerLimit, func(arrived int) error {
		if arrived > 1<<14 {
			return exhausted
		}
		return nil
	}).Receive()
	g.Expect(err).To(MatchError(exhausted))
	g.Expect(in.Len()).To(BeNumerically(">", len(raw)-1<<15), "the remainder was not read")
}

// TestReaderRefusesLargeMessages guards against messages over the limit, and over the smaller
// limit of a log-in.
func TestReaderRefusesLargeMessages(t *testing.T) {
	g := NewWithT(t)
	accept := func(int) error { return nil }
	raw, _ := (&pgproto3.Query{String: strings.Repeat("x", readerLimit)}).Encode(nil)
	_, err := wire.NewReader(bytes.NewReader(raw), readerLimit, accept).Receive()
	var exceeded *pgproto3.ExceededMaxBodyLenErr
	g.Expect(errors.As(err, &exceeded)).To(BeTrue())
	raw, _ = (&pgproto3.SASLResponse{Data: make([]byte, 20_000)}).Encode(nil)
	g.Expect(errors.As(wire.NewReader(bytes.NewReader(raw), readerLimit, accept).ReceiveInto(&pgproto3.SASLResponse{}), &exceeded)).To(BeTrue())
	_, err = wire.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0}), readerLimit, accept).Startup()
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Protocol))
}

// FuzzReader compares a Reader, which gets its input in single bytes, with the reader of pgproto3.
func FuzzReader(f *testing.F) {
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Sync{}, &pgproto3.Terminate{},
		&pgproto3.Parse{Name: "n", Query: strings.Repeat("q", 9000), ParameterOIDs: []uint32{20}},
		&pgproto3.Bind{PreparedStatement: "n", Parameters: [][]byte{[]byte("a"), nil}},
	} {
		raw, err := m.Encode(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(append(raw, raw...))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		const limit = 1 << 14
		ours := wire.NewReader(iotest.OneByteReader(bytes.NewReader(raw)), limit, func(arrived int) error {
			if arrived > limit {
				t.Fatalf("the buffer grows to %d bytes", arrived)
			}
			return nil
		})
		theirs := pgproto3.NewBackend(bytes.NewReader(raw), io.Discard)
		theirs.SetMaxBodyLen(limit)
		for {
			want, wantErr := theirs.Receive()
			got, err := ours.Receive()
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("got %v, want %v", err, wantErr)
			}
			if err != nil {
				return
			}
			gotRaw, _ := got.Encode(nil)
			wantRaw, _ := want.Encode(nil)
			if !bytes.Equal(gotRaw, wantRaw) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
			ours.Release()
		}
	})
}

// TestPreparedStatementsOfASessionAreBounded guards against names without end, and against a
// bound that refuses the largest statement or that does not notice closed statements.
func TestPreparedStatementsOfASessionAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := wire.NewCollector(readerLimit)
	text := strings.Repeat("x", readerLimit-64)
	for i := range 3 {
		_, err := c.Add(&pgproto3.Parse{Name: "same", Query: text})
		g.Expect(err).NotTo(HaveOccurred(), "a statement that replaces an earlier one is prepared, turn %d", i)
		c.Reset()
	}
	_, err := c.Add(&pgproto3.Parse{Name: "other", Query: text})
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Overloaded))
	c.Reset()
	_, err = c.Add(&pgproto3.Close{ObjectType: 'S', Name: "same"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.StateBytes()).To(BeZero())
	_, err = c.Add(&pgproto3.Parse{Name: "other", Query: text[:1<<10]})
	g.Expect(err).NotTo(HaveOccurred())
	c.Reset()
	c.OnState(func(int) error { return errors.New("exhausted") })
	_, err = c.Add(&pgproto3.Parse{Name: "third", Query: "SELECT 1"})
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Overloaded))
}
