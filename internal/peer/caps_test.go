package peer_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/usage"
)

// The frames about caps have an encoding of their own. A field that it leaves out or reorders
// would void delegations without an error.
func TestCapFramesAreDecodedAsEncoded(t *testing.T) {
	g := NewWithT(t)
	for _, f := range []peer.Frame{
		{CapAsk: &peer.CapAsk{Ask: usage.Ask{ID: 1 << 40, Boot: 1<<32 - 1, Partition: 3, Ticket: 1 << 50, Hosts: 89, Tokens: map[string]uint32{"a": 1, "b": 1 << 20}, Again: map[string]uint32{"b": 7}}}},
		{CapAsk: &peer.CapAsk{Ask: usage.Ask{ID: 1}}},
		{CapGrant: &peer.CapGrant{Grant: usage.Grant{ID: 1 << 40, Partition: 3, Ticket: 1 << 50, Tokens: map[string]uint32{"a": 1}, Beyond: []string{"b", "c"}}}},
		{CapAsk: &peer.CapAsk{Target: "one", Origin: "two"}},
		{CapGrant: &peer.CapGrant{Target: "one", Origin: "two"}},
		{CapGrant: &peer.CapGrant{}},
	} {
		raw, err := peer.Encode(f)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := peer.Decode(bytes.NewReader(raw), peer.MaxFrame)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(f))
	}
}

// A frame that claims more entries than it contains must be an error, without memory for them.
func TestTruncatedCapFrameIsRefused(t *testing.T) {
	g := NewWithT(t)
	raw, err := peer.Encode(peer.Frame{CapAsk: &peer.CapAsk{Ask: usage.Ask{ID: 1, Tokens: map[string]uint32{"a": 1}}}})
	g.Expect(err).NotTo(HaveOccurred())
	at := bytes.LastIndexByte(raw, 0x81)
	g.Expect(at).To(BeNumerically(">", 0))
	huge := append(bytes.Clone(raw[:at]), 0xdf, 0x7f, 0xff, 0xff, 0xff)
	huge = append(huge, raw[at+1:]...)
	huge[3] += 4
	_, err = peer.Decode(bytes.NewReader(huge), peer.MaxFrame)
	g.Expect(err).To(HaveOccurred())
}
