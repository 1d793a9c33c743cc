package peer_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/peer"
)

// silentLink forwards connections to a target. Those that are open when it is silenced
// carry nothing from then on and are never closed, while new ones work.
type silentLink struct {
	net.Listener
	target string
	mu     sync.Mutex
	gates  []*sync.Mutex
}

func newSilentLink(t *testing.T, target string) *silentLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	l := &silentLink{Listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go l.serve()
	return l
}

func (l *silentLink) serve() {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		gate := &sync.Mutex{}
		l.mu.Lock()
		l.gates = append(l.gates, gate)
		l.mu.Unlock()
		go forward(near, far, gate)
		go forward(far, near, gate)
	}
}

// forward copies bytes, and the end of the connection, until the gate is locked for good.
func forward(from, to net.Conn, gate *sync.Mutex) {
	buffer := make([]byte, 1<<14)
	for {
		n, err := from.Read(buffer)
		gate.Lock()
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
		}
		gate.Unlock()
		if err != nil {
			return
		}
	}
}

// silence stops all open connections.
func (l *silentLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, gate := range l.gates {
		gate.Lock() //nolint:staticcheck // held for good
	}
	l.gates = nil
}

// TestSilentConnectionIsReplaced guards against a document that a proxy never fetches: the
// connection that it opened to its peer goes silent without a reset, and it keeps sending
// heartbeats into it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	holder, follower := &recorder{}, &recorder{}
	holder.HandleDoc("", hostsDoc())
	l := newSilentLink(t, one.Address())
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: l.Addr().String()}})
	t.Cleanup(one.Start(holder))
	t.Cleanup(two.Start(follower))
	g.Eventually(func() uint64 { return follower.DocumentSet().Serial(book.Hosts) }).Should(BeEquivalentTo(7))
	l.silence()
	holder.HandleDoc("", book.Doc{Kind: book.Hosts, Serial: 8, Body: []byte(`{"Serial":8}`)})
	g.Eventually(func() uint64 { return follower.DocumentSet().Serial(book.Hosts) }, 10*time.Second).Should(BeEquivalentTo(8))
}

// TestPeerThatDoesNotAcknowledgeHeartbeatsKeepsItsConnection guards the connections between
// proxies of two releases: one that sends no acknowledgements must not be taken for silent.
func TestPeerThatDoesNotAcknowledgeHeartbeatsKeepsItsConnection(t *testing.T) {
	g := NewWithT(t)
	const timeout = 20 * time.Millisecond
	m := newConnectionsWithTimeout(t, "new", "a shared secret", timeout)
	accepted := make(chan net.Conn, 4)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			go func() {
				if welcomeWithoutAcknowledgements(conn, "a shared secret") == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
			}()
		}
	}()
	m.SetHosts([]book.Host{{Name: "old", PeerAddress: listener.Addr().String()}})
	t.Cleanup(m.Start(&recorder{}))
	g.Eventually(accepted).Should(Receive())
	g.Consistently(accepted, 10*(heartbeatInterval+timeout)).ShouldNot(Receive())
}

// welcomeWithoutAcknowledgements performs the accepting side of a handshake as a release
// without acknowledgements does.
func welcomeWithoutAcknowledgements(conn net.Conn, secret string) error {
	send := func(f peer.Frame) error {
		raw, err := peer.Encode(f)
		if err != nil {
			return err
		}
		_, err = conn.Write(raw)
		return err
	}
	if err := send(peer.Frame{Challenge: &peer.Challenge{Nonce: make([]byte, 32)}}); err != nil {
		return err
	}
	f, err := peer.Decode(conn, peer.MaxFrame)
	if err != nil {
		return err
	}
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(f.Hello.Nonce)
	mac.Write([]byte("welcome\x00old"))
	return send(peer.Frame{Welcome: &peer.Welcome{Host: "old", Proof: mac.Sum(nil)}})
}
