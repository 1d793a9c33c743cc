package peer_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/lablnk"
	"poplarrouter.example/poplarrouter/internal/peer"
)

// prover answers queries for proofs, and keeps the ID of the last answer that it received.
type prover struct {
	*recorder
	answered atomic.Uint64
}

func (*prover) HandleProofQuery(q peer.ProofQuery) (peer.ProofAnswer, bool) {
	return peer.ProofAnswer{ID: q.ID, Serial: 3, AgeMs: 40}, true
}

func (p *prover) TakeProof(_ string, a peer.ProofAnswer) { p.answered.Store(a.ID) }

// TestSilentConnectionForProofsIsReplaced guards against a proxy that queries a peer for good
// over a connection that went silent: the peer is not one of those that receive its heartbeats,
// so that no missing acknowledgement shows it.
func TestSilentConnectionForProofsIsReplaced(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	link, closeLink, err := lablnk.New(one.Address())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeLink)
	hosts := []book.Host{{Name: "one", PeerAddress: link.Address()}}
	for i := 0; len(hosts) == 1 || slices.Contains(two.ConnectedPeers(), "one"); i++ {
		// Nothing listens there.
		hosts = append(hosts, book.Host{Name: fmt.Sprint("gone-", i), PeerAddress: "127.0.0.1:1"})
		two.SetHosts(hosts)
	}
	asking := &prover{recorder: &recorder{}}
	t.Cleanup(one.Start(&prover{recorder: &recorder{}}))
	t.Cleanup(two.Start(asking))
	var id uint64
	answered := func() uint64 {
		id++
		two.QueryProof("one", id)
		time.Sleep(10 * time.Millisecond)
		return asking.answered.Load()
	}
	g.Eventually(answered, 5*time.Second).Should(BeNumerically(">", 3))
	link.Silence()
	before := id
	g.Eventually(answered, 10*time.Second).Should(BeNumerically(">", before))
}
