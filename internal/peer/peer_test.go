package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// recorder is a Handler that records documents and votes.
type recorder struct {
	peer.NoProofs
	peer.NoCaps

	mu    sync.Mutex
	book  book.DocumentSet
	votes []elect.Vote
}

func (r *recorder) HandleDoc(_ string, doc book.Doc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book, _, _ = r.book.With(doc)
}

func (r *recorder) DocumentSet() book.DocumentSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book
}

func (r *recorder) TakeVote(_ string, v elect.Vote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.votes = append(r.votes, v)
}

func (r *recorder) Votes() []elect.Vote {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.votes
}

func (r *recorder) VoteOn(_ string, term group.Term) elect.Vote {
	return elect.Vote{Term: term, Down: true}
}
func (r *recorder) Cancel(uint32, []byte)      {}
func (r *recorder) StoreAge() time.Duration    { return 0 }
func (r *recorder) TakeStoreAge(time.Duration) {}
func (r *recorder) Partners() []string         { return nil }

func (r *recorder) ServeRelay(context.Context, net.Conn, string) error { return nil }

func (r *recorder) HandlePermitRequest(string, peer.PermitRequest, func(peer.Grant)) {}
func (r *recorder) HandleGrant(string, peer.Grant)                                   {}
func (r *recorder) HandleRelease(string, peer.Release)                               {}
func (r *recorder) HandleDisconnect(string)                                          {}
func (r *recorder) TakeClaim(string, elect.Claim)                                    {}
func (r *recorder) Wants() map[string]int                                            { return nil }
func (r *recorder) TakeWants(string, map[string]int)                                 {}
func (r *recorder) HandleSuspicionQuery(d peer.SuspicionQuery) peer.SuspicionVote {
	return peer.SuspicionVote{Host: d.Host}
}
func (r *recorder) TakeOpinion(string, peer.SuspicionVote) {}

var _ peer.Handler = (*recorder)(nil)

const heartbeatInterval = 20 * time.Millisecond

func newConnections(t *testing.T, host, secret string) *peer.Connections {
	return newConnectionsWithTimeout(t, host, secret, time.Second)
}

func newConnectionsWithTimeout(t *testing.T, host, secret string, timeout time.Duration) *peer.Connections {
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	m, cleanUp, err := peer.New(peer.Options{Host: host, Region: "r", Secret: secret, HeartbeatInterval: heartbeatInterval, Timeout: timeout, Log: log, Meter: meter.New(prometheus.NewRegistry())}, "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	return m
}

func hostsDoc() book.Doc {
	return book.Doc{Kind: book.Hosts, Serial: 7, Body: []byte(`{"Serial":7}`)}
}

func TestHeartbeatFetchesMissingDocuments(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	holder, empty := &recorder{}, &recorder{}
	holder.HandleDoc("", hostsDoc())
	// The connection is opened before Start, as it is when the list of hosts is received
	// before the proxy has started.
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: one.Address()}})
	two.AskWatchers("stock", 3, []string{"one"})
	t.Cleanup(one.Start(holder))
	t.Cleanup(two.Start(empty))
	g.Eventually(func() uint64 { return empty.DocumentSet().Serial(book.Hosts) }).Should(BeEquivalentTo(7))
	g.Eventually(empty.Votes).Should(ContainElement(elect.Vote{From: "one", Term: 3, Down: true}))
}

// TestPeerWithWrongSecretIsDenied checks that two proxies with different secrets exchange
// no documents in either direction.
func TestPeerWithWrongSecretIsDenied(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "another secret")
	holder, empty := &recorder{}, &recorder{}
	holder.HandleDoc("", hostsDoc())
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: one.Address()}})
	one.SetHosts([]book.Host{{Name: "two", PeerAddress: two.Address()}})
	t.Cleanup(one.Start(holder))
	t.Cleanup(two.Start(empty))
	g.Consistently(func() uint64 { return empty.DocumentSet().Serial(book.Hosts) }, 10*heartbeatInterval).Should(BeZero())
}

// TestMalformedFrameClosesOnlyItsConnection checks that a proxy that received garbage on
// one connection still serves the others.
func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	holder, empty := &recorder{}, &recorder{}
	holder.HandleDoc("", hostsDoc())
	t.Cleanup(one.Start(holder))
	conn, err := net.Dial("tcp", one.Address())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(bytes.Repeat([]byte{0xff}, 64))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(conn)
	g.Expect(conn.Close()).To(Succeed())
	_ = err
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: one.Address()}})
	t.Cleanup(two.Start(empty))
	g.Eventually(func() uint64 { return empty.DocumentSet().Serial(book.Hosts) }).Should(BeEquivalentTo(7))
}

func FuzzDecode(f *testing.F) {
	doc, err := peer.NewDocFrame(hostsDoc())
	if err != nil {
		f.Fatal(err)
	}
	for _, frame := range []peer.Frame{
		{Heartbeat: &peer.Heartbeat{Sheet: 3}},
		{Doc: &doc},
		{Doc: &peer.DocFrame{Kind: book.Hosts, Serial: 8, Deflated: []byte("not compressed")}},
		{Offer: &peer.Offer{Kind: book.Sheet, Serial: 9}},
		{Fetch: &peer.Fetch{Kind: book.Sheet}},
		{Vote: &peer.VoteFrame{Database: "stock", Vote: elect.Vote{From: "one", Term: 2}}},
	} {
		raw, err := peer.Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := peer.Decode(bytes.NewReader(raw), peer.MaxFrame)
		if err != nil {
			return
		}
		if _, err := peer.Encode(frame); err != nil {
			t.Fatal("a decoded frame cannot be encoded:", err)
		}
		if frame.Doc != nil {
			_, _ = frame.Doc.Doc()
		}
	})
}

// TestDialChecksPeerName guards against relaying requests to the wrong host: it dials a
// host, and then the address of a host that another one now uses.
func TestDialChecksPeerName(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	t.Cleanup(one.Start(&recorder{}))
	t.Cleanup(two.Start(&recorder{}))
	conn, err := two.Dial(t.Context(), book.Host{Name: "one", PeerAddress: one.Address()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	_, err = two.Dial(t.Context(), book.Host{Name: "gone", PeerAddress: one.Address()})
	var frameError *peer.FrameError
	g.Expect(errors.As(err, &frameError)).To(BeTrue())
	g.Expect(frameError.Got).To(Equal("a greeting of one"))
}
