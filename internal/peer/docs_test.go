package peer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// received returns the bytes that a proxy received from its peers.
func received(g *WithT, registry *prometheus.Registry) float64 {
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	sum := 0.0
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "direction" && label.GetValue() == "received" {
					sum += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}

// TestFleetThatRestartsSendsADocumentOnceToEachProxy has a proxy that starts without
// documents connect to eight peers that all hold the list of hosts. Proxies that each
// receive the list from all of their peers exchange more bytes the larger the list is and
// the more of them start, until their links are saturated. A proxy whose connection ends before
// the document has arrived fetches it again after FetchTimeout.
func TestFleetThatRestartsSendsADocumentOnceToEachProxy(t *testing.T) {
	g := NewWithT(t)
	const size = 100_000
	body := []byte(fmt.Sprintf(`{"Serial":7,"Filler":"%s"}`, incompressible(size)))
	registry := prometheus.NewRegistry()
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	starting, cleanUp, err := peer.New(peer.Options{
		Host: "starting", Region: "r", Secret: "a shared secret", HeartbeatInterval: heartbeatInterval, Timeout: time.Second, Log: log, Meter: meter.New(registry),
	}, "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	var hosts []book.Host
	for i := range 8 {
		name := fmt.Sprint("holder-", i)
		holder := newConnections(t, name, "a shared secret")
		r := &recorder{}
		r.HandleDoc("", book.Doc{Kind: book.Hosts, Serial: 7, Body: body})
		t.Cleanup(holder.Start(r))
		hosts = append(hosts, book.Host{Name: name, PeerAddress: holder.Address()})
	}
	starting.SetHosts(hosts)
	empty := &recorder{}
	started := time.Now()
	t.Cleanup(starting.Start(empty))
	g.Eventually(func() uint64 { return empty.DocumentSet().Serial(book.Hosts) }, 5*peer.FetchTimeout).Should(BeEquivalentTo(7))
	repeats := float64(time.Since(started) / peer.FetchTimeout)
	time.Sleep(10 * heartbeatInterval)
	g.Expect(received(g, registry)).To(BeNumerically("<", (repeats+1.5)*size))
}

// incompressible returns a text of the given length with little redundancy.
func incompressible(length int) string {
	rng := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a filler
	text := make([]byte, length)
	for i := range text {
		text[i] = byte('0' + rng.IntN(75))
		if text[i] == '\\' {
			text[i] = '0'
		}
	}
	return string(text)
}

// TestProxyWithAnOlderDocumentFetchesItFromTheOneThatConnects has the proxy with the newer
// document open the connection, so that the other one learns of it from a heartbeat.
func TestProxyWithAnOlderDocumentFetchesItFromTheOneThatConnects(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	holder, empty := &recorder{}, &recorder{}
	holder.HandleDoc("", hostsDoc())
	one.SetHosts([]book.Host{{Name: "two", PeerAddress: two.Address()}})
	t.Cleanup(one.Start(holder))
	t.Cleanup(two.Start(empty))
	g.Eventually(func() uint64 { return empty.DocumentSet().Serial(book.Hosts) }).Should(BeEquivalentTo(7))
}

// disconnects is a recorder that counts the connections of peers that have ended.
type disconnects struct {
	recorder
	count atomic.Int64
}

func (d *disconnects) HandleDisconnect(string) { d.count.Add(1) }

// TestLinkToAHostThatIsRarelyAddressedIsNotReopened has a proxy send a single frame to a
// host that gets no heartbeats from it, as with an offer to a host of another region. The
// other side closes the idle connection; if it were reopened each time, the connections of a
// large fleet would grow with each document.
func TestLinkToAHostThatIsRarelyAddressedIsNotReopened(t *testing.T) {
	g := NewWithT(t)
	const timeout = 50 * time.Millisecond
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	var members []*peer.Connections
	for i := range 2 {
		c, cleanUp, err := peer.New(peer.Options{
			Host: fmt.Sprint("p", i), Region: "r", Secret: "a shared secret", HeartbeatInterval: heartbeatInterval, Timeout: timeout, Log: log, Meter: meter.New(prometheus.NewRegistry()),
		}, "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(cleanUp)
		members = append(members, c)
	}
	// The other host is not among the eight that get heartbeats.
	hosts := []book.Host{{Name: "p1", PeerAddress: members[1].Address()}}
	for i := range 60 {
		hosts = append(hosts, book.Host{Name: fmt.Sprint("unused", i), PeerAddress: "127.0.0.1:1"})
	}
	members[0].SetHosts(hosts)
	g.Expect(members[0].ConnectedPeers()).NotTo(ContainElement("p1"))
	target := &disconnects{}
	t.Cleanup(members[1].Start(target))
	members[0].Send("p1", peer.Frame{Offer: &peer.Offer{Kind: book.Sheet, Serial: 1}})
	t.Cleanup(members[0].Start(&recorder{}))
	time.Sleep(40 * heartbeatInterval)
	g.Expect(target.count.Load()).To(BeNumerically("<=", 1))
}

// TestSheetOfTheLargestConfigurationIsExchanged guards against a sheet that only the hosts
// which watch the store have: the store takes a configuration of 1 MiB, whose sheet is larger
// than a frame before it is compressed.
func TestSheetOfTheLargestConfigurationIsExchanged(t *testing.T) {
	g := NewWithT(t)
	const size = 3 << 19
	doc := book.Doc{Kind: book.Sheet, Serial: 9, Body: []byte(`{"Serial":9,"CSV":"` + strings.Repeat("row ", size/4) + `"}`)}
	frame, err := peer.NewDocFrame(doc)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := peer.Encode(peer.Frame{Doc: &frame})
	g.Expect(err).NotTo(HaveOccurred())
	received, err := peer.Decode(bytes.NewReader(raw), peer.MaxFrame)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.Doc.Doc()).To(Equal(doc))
}

// TestSheetOfManyKeysIsExchanged guards against connections between hosts that end whenever the
// sheet is fetched: each key of a configuration of 1 MiB becomes a digest in the sheet, which is
// many times as long as a short key and cannot be compressed to its length.
func TestSheetOfManyKeysIsExchanged(t *testing.T) {
	g := NewWithT(t)
	const configuration, entry = 1 << 20, len(`"00000",`)
	keys := sheet.Customer{Name: "acme"}
	for i := range configuration / entry {
		keys.KeyDigests = append(keys.KeyDigests, sheet.KeyDigest(fmt.Sprintf("%05x", i)))
	}
	body, err := json.Marshal(book.SheetDoc{Serial: 9, Customers: []sheet.Customer{keys}})
	g.Expect(err).NotTo(HaveOccurred())
	doc := book.Doc{Kind: book.Sheet, Serial: 9, Body: body}
	frame, err := peer.NewDocFrame(doc)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := peer.Encode(peer.Frame{Doc: &frame})
	g.Expect(err).NotTo(HaveOccurred())
	received, err := peer.Decode(bytes.NewReader(raw), peer.MaxFrame)
	g.Expect(err).NotTo(HaveOccurred())
	exchanged, err := received.Doc.Doc()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(exchanged.Body, body)).To(BeTrue())
}

// TestDocumentLargerThanAFrameIsNotSent guards against connections between hosts that end, with
// heartbeats and votes, whenever a document is fetched that does not fit into a frame.
func TestDocumentLargerThanAFrameIsNotSent(t *testing.T) {
	g := NewWithT(t)
	random := rand.NewChaCha8([32]byte{})
	body := make([]byte, peer.MaxFrame)
	_, _ = random.Read(body)
	_, err := peer.NewDocFrame(book.Doc{Kind: book.Databases, Serial: 9, Body: body})
	g.Expect(err).To(BeAssignableToTypeOf(&peer.FrameError{}))
	frame, err := peer.NewDocFrame(book.Doc{Kind: book.Databases, Serial: 9, Body: body[:peer.MaxFrame-1<<13]})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = peer.Encode(peer.Frame{Doc: &frame})
	g.Expect(err).NotTo(HaveOccurred())
}

// busyOnce is a recorder that drops the first document, as a proxy does whose queue is full.
type busyOnce struct {
	recorder
	dropped atomic.Bool
}

func (b *busyOnce) HandleDoc(host string, doc book.Doc) {
	if b.dropped.Swap(true) {
		b.recorder.HandleDoc(host, doc)
	}
}

// TestDroppedDocumentIsFetchedAgain guards against a proxy that keeps an old sheet because it
// counts a document as received that found no room in its queue.
func TestDroppedDocumentIsFetchedAgain(t *testing.T) {
	g := NewWithT(t)
	one, two := newConnections(t, "one", "a shared secret"), newConnections(t, "two", "a shared secret")
	holder, busy := &recorder{}, &busyOnce{}
	holder.HandleDoc("", hostsDoc())
	two.SetHosts([]book.Host{{Name: "one", PeerAddress: one.Address()}})
	t.Cleanup(one.Start(holder))
	t.Cleanup(two.Start(busy))
	g.Eventually(func() uint64 { return busy.DocumentSet().Serial(book.Hosts) }, 5*time.Second).Should(BeEquivalentTo(7))
}
