package peer_test

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/peer"
)

// TestRefusedValueIsDiscarded guards against a connection that is out of step after a value for
// which there was no memory, and against a buffer of the size that a value claims.
func TestRefusedValueIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	var in bytes.Buffer
	for _, text := range []string{string(bytes.Repeat([]byte("x"), 1<<18)), "small"} {
		raw, err := peer.EncodeArray(text)
		g.Expect(err).NotTo(HaveOccurred())
		in.Write(raw)
	}
	exhausted := errors.New("exhausted")
	largest := 0
	var text string
	err := peer.DecodeReserved(&in, peer.MaxFrame, &text, func(arrived int) error {
		if arrived > 1<<15 {
			return exhausted
		}
		largest = max(largest, arrived)
		return nil
	})
	var refused *peer.RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(err).To(MatchError(exhausted))
	g.Expect(largest).To(Equal(1 << 15))
	g.Expect(peer.DecodeReserved(&in, peer.MaxFrame, &text, nil)).To(Succeed())
	g.Expect(text).To(Equal("small"))
}
