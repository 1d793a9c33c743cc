package peer_test

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/lablnk"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// TestSilentConnectionIsReplaced guards against a document that a proxy never fetches: the
// connection that it opened to its peer goes silent without a reset, and it keeps sending
// heartbeats into it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	holder, follower := &recorder{}, &recorder{}
	holder.HandleDoc("", hostsDoc())
	link, closeLink, err := lablnk.New(one.Address())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeLink)
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: link.Address()}})
	t.Cleanup(one.Start(holder))
	t.Cleanup(two.Start(follower))
	g.Eventually(func() uint64 { return follower.DocumentSet().Serial(book.Hosts) }).Should(BeEquivalentTo(7))
	link.Silence()
	holder.HandleDoc("", book.Doc{Kind: book.Hosts, Serial: 8, Body: []byte(`{"Serial":8}`)})
	g.Eventually(func() uint64 { return follower.DocumentSet().Serial(book.Hosts) }, 10*time.Second).Should(BeEquivalentTo(8))
}

// TestPeerThatDoesNotAcknowledgeHeartbeatsKeepsItsConnection guards the connections between
// proxies of two releases: one that sends no acknowledgements must not be taken for silent.
// A proxy that the machine does not run for a while closes its connections as idle, whatever
// the peer sends. So a connection has to last, and one that ended is judged by the cause.
func TestPeerThatDoesNotAcknowledgeHeartbeatsKeepsItsConnection(t *testing.T) {
	g := NewWithT(t)
	const timeout = 20 * time.Millisecond
	var lines bytes.Buffer
	log, stopLog := event.New(&lines)
	m, cleanUp, err := peer.New(peer.Options{
		Host: "new", Region: "r", Secret: "a shared secret", HeartbeatInterval: heartbeatInterval, Timeout: timeout, Log: log, Meter: meter.New(prometheus.NewRegistry()),
	}, "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	old := &earlierRelease{listener: listener, arrivals: make(chan arrival, 1<<12)}
	old.tasks.Go(old.accept)
	m.SetHosts([]book.Host{{Name: "old", PeerAddress: listener.Addr().String()}})
	stop := m.Start(&recorder{})
	t.Cleanup(func() {
		_ = listener.Close()
		stop()
		old.tasks.Wait()
		stopLog()
		g.Expect(old.takenForSilent(g, lines.String())).To(BeEmpty())
	})
	round := group.Term(0)
	g.Eventually(func() bool {
		round++
		// A frame after the handshake shows that the other side has not given it up.
		conn := old.next(func(f peer.Frame) bool { return f.Heartbeat != nil })
		time.Sleep(10 * (heartbeatInterval + timeout))
		m.AskWatchers("stock", round, []string{"old"})
		asked := old.next(func(f peer.Frame) bool { return f.VoteRequest != nil && f.VoteRequest.Term == round })
		return conn != nil && asked == conn
	}, 10*time.Second).Should(BeTrue())
}

// earlierRelease is the accepting side of a release without acknowledgements.
type earlierRelease struct {
	listener net.Listener
	arrivals chan arrival
	tasks    sync.WaitGroup

	mu sync.Mutex
	// established are the addresses of the other side on the connections that carried a frame.
	established []string
}

// arrival is a frame with the connection over which it came.
type arrival struct {
	conn  net.Conn
	frame peer.Frame
}

func (r *earlierRelease) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() {
			defer func() { _ = conn.Close() }()
			if welcomeWithoutAcknowledgements(conn, "a shared secret") != nil {
				return
			}
			for {
				f, err := peer.Decode(conn, peer.MaxFrame)
				if err != nil {
					return
				}
				r.mu.Lock()
				r.established = append(r.established, conn.RemoteAddr().String())
				r.mu.Unlock()
				r.arrivals <- arrival{conn: conn, frame: f}
			}
		})
	}
}

// next returns the connection of the next frame that is wanted, or nil if none arrives.
func (r *earlierRelease) next(wanted func(peer.Frame) bool) net.Conn {
	expired := time.After(time.Second)
	for {
		select {
		case a := <-r.arrivals:
			if wanted(a.frame) {
				return a.conn
			}
		case <-expired:
			return nil
		}
	}
}

// takenForSilent returns the causes of established connections that ended because nothing was
// read in time. After the handshake only the time-out of an acknowledgement limits that time.
func (r *earlierRelease) takenForSilent(g *WithT, lines string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var causes []string
	for text := range strings.Lines(lines) {
		var line struct{ Name, Cause string }
		g.Expect(json.Unmarshal([]byte(text), &line)).To(Succeed())
		local, _, _ := strings.Cut(strings.TrimPrefix(line.Cause, "read tcp "), "->")
		if strings.HasSuffix(line.Cause, "i/o timeout") && slices.Contains(r.established, local) {
			causes = append(causes, line.Cause)
		}
	}
	return causes
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

// TestFieldsOfALaterReleaseAreIgnored guards the connections between proxies of two releases:
// a frame of a kind that this one does not know must not end the connection.
func TestFieldsOfALaterReleaseAreIgnored(t *testing.T) {
	g := NewWithT(t)
	raw, err := peer.EncodeArray(map[string]any{"Unknown": true})
	g.Expect(err).NotTo(HaveOccurred())
	f, err := peer.Decode(bytes.NewReader(raw), peer.MaxFrame)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f).To(Equal(peer.Frame{}))
}
