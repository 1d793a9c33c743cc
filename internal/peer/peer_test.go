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

// keeper is a Handler that keeps documents and votes.
type keeper struct {
	mu    sync.Mutex
	book  book.Book
	votes []elect.Vote
}

func (k *keeper) HandleDoc(doc book.Doc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book, _, _ = k.book.With(doc)
}

func (k *keeper) DocumentSet() book.Book {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book
}

func (k *keeper) TakeVote(_ string, v elect.Vote) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.votes = append(k.votes, v)
}

func (k *keeper) Votes() []elect.Vote {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.votes
}

func (k *keeper) SuspectsPrimary(string, group.Term) bool { return true }
func (k *keeper) Cancel(uint32, []byte)         {}
func (k *keeper) Partners() []string            { return nil }

func (k *keeper) ServeRelay(context.Context, net.Conn, string) error { return nil }

func (k *keeper) HandlePermitRequest(string, peer.PermitRequest, func(peer.Grant)) {}
func (k *keeper) HandleGrant(string, peer.Grant)                          {}
func (k *keeper) HandleRelease(string, peer.Release)                         {}
func (k *keeper) HandleDisconnect(string)                                       {}
func (k *keeper) TakeClaim(string, elect.Claim)                         {}
func (k *keeper) Wants() map[string]int                                 { return nil }
func (k *keeper) TakeWants(string, map[string]int)                      {}
func (k *keeper) HandleSuspicionQuery(d peer.SuspicionQuery) peer.SuspicionVote {
	return peer.SuspicionVote{Host: d.Host}
}
func (k *keeper) TakeOpinion(string, peer.SuspicionVote) {}

var _ peer.Handler = (*keeper)(nil)

const beat = 20 * time.Millisecond

func newMesh(t *testing.T, host, secret string) *peer.Connections {
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	m, cleanUp, err := peer.New(peer.Options{Host: host, Region: "r", Secret: secret, HeartbeatInterval: beat, Timeout: time.Second, Log: log, Meter: meter.New(prometheus.NewRegistry())}, "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	return m
}

func hostsDoc() book.Doc {
	return book.Doc{Kind: book.Hosts, Serial: 7, Body: []byte(`{"Serial":7}`)}
}

func TestDocumentsReachAPeerThatLacksThem(t *testing.T) {
	g := NewWithT(t)
	one, two := newMesh(t, "one", "a shared secret"), newMesh(t, "two", "a shared secret")
	has, lacks := &keeper{}, &keeper{}
	has.HandleDoc(hostsDoc())
	// The connection is opened before the mesh has started, as it is when the
	// list of hosts comes early.
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: one.Address()}})
	two.AskWatchers("stock", 3, []string{"one"})
	t.Cleanup(one.Start(has))
	t.Cleanup(two.Start(lacks))
	g.Eventually(func() uint64 { return lacks.DocumentSet().Serial(book.Hosts) }).Should(BeEquivalentTo(7))
	g.Eventually(lacks.Votes).Should(ContainElement(elect.Vote{From: "one", Term: 3, Down: true}))
}

func TestPeerWithoutTheSecretIsDenied(t *testing.T) {
	g := NewWithT(t)
	one, two := newMesh(t, "one", "a shared secret"), newMesh(t, "two", "another secret")
	has, lacks := &keeper{}, &keeper{}
	has.HandleDoc(hostsDoc())
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: one.Address()}})
	one.SetHosts([]book.Host{{Name: "two", PeerAddress: two.Address()}})
	t.Cleanup(one.Start(has))
	t.Cleanup(two.Start(lacks))
	g.Consistently(func() uint64 { return lacks.DocumentSet().Serial(book.Hosts) }, 10*beat).Should(BeZero())
}

func TestGarbageClosesOnlyItsConnection(t *testing.T) {
	g := NewWithT(t)
	one, two := newMesh(t, "one", "a shared secret"), newMesh(t, "two", "a shared secret")
	has, lacks := &keeper{}, &keeper{}
	has.HandleDoc(hostsDoc())
	t.Cleanup(one.Start(has))
	conn, err := net.Dial("tcp", one.Address())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(bytes.Repeat([]byte{0xff}, 64))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(conn)
	g.Expect(conn.Close()).To(Succeed())
	_ = err
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: one.Address()}})
	t.Cleanup(two.Start(lacks))
	g.Eventually(func() uint64 { return lacks.DocumentSet().Serial(book.Hosts) }).Should(BeEquivalentTo(7))
}

func FuzzDecode(f *testing.F) {
	doc := hostsDoc()
	for _, frame := range []peer.Frame{
		{Heartbeat: &peer.Heartbeat{Sheet: 3}},
		{Doc: &doc},
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
			t.Fatal("a frame that was read cannot be written:", err)
		}
	})
}

// TestARelayReachesTheHostThatItNames dials a host, and the address of one that another
// host has taken over.
func TestARelayReachesTheHostThatItNames(t *testing.T) {
	g := NewWithT(t)
	one, two := newMesh(t, "one", "a shared secret"), newMesh(t, "two", "a shared secret")
	t.Cleanup(one.Start(&keeper{}))
	t.Cleanup(two.Start(&keeper{}))
	conn, err := two.Dial(t.Context(), book.Host{Name: "one", PeerAddress: one.Address()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	_, err = two.Dial(t.Context(), book.Host{Name: "gone", PeerAddress: one.Address()})
	var wrong *peer.FrameError
	g.Expect(errors.As(err, &wrong)).To(BeTrue())
	g.Expect(wrong.Got).To(Equal("a greeting of one"))
}
