package ctrl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/pick"
	"poplarrouter.example/poplarrouter/internal/recent"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// recencyHost is a host without peers. Its clock counts the time for which it was suspended.
type recencyHost struct {
	*labkv.Memory
	documents *ctrl.Documents
	recency   *ctrl.Recency
	log       bytes.Buffer
	mu        sync.Mutex
	slept     atomic.Int64
	// unwatched is set while watches of the store wait in vain.
	unwatched atomic.Bool
	// slow is how long the answer to a confirmation takes to arrive.
	slow atomic.Int64
	// queried receives a value when a query is sent, if it is not nil. The sender is blocked
	// until then, or until unblocked is closed.
	queried, unblocked chan struct{}
	serial             uint64
}

func (h *recencyHost) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.Write(p)
}

// lines returns the number of log lines that contain all of some texts.
func (h *recencyHost) lines(texts ...string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for line := range strings.Lines(h.log.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			count++
		}
	}
	return count
}

// Watch implements store.Store.
func (h *recencyHost) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	if h.unwatched.Load() {
		<-ctx.Done()
		return store.Object{}, ctx.Err()
	}
	return h.Memory.Watch(ctx, key, seen)
}

// Confirm implements store.Confirmer.
func (h *recencyHost) Confirm(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	o, err := h.Memory.Confirm(ctx, key, seen)
	time.Sleep(time.Duration(h.slow.Load()))
	return o, err
}

// QueryProof implements ctrl.ProofPeers.
func (h *recencyHost) QueryProof(string, uint64) bool {
	if h.queried != nil {
		select {
		case h.queried <- struct{}{}:
		case <-h.unblocked:
		}
	}
	return true
}

// load loads a sheet whose customer has the given keys.
func (h *recencyHost) load(keys ...string) {
	h.serial++
	var digests []string
	for _, k := range keys {
		digests = append(digests, sheet.KeyDigest(k))
	}
	raw, err := json.Marshal(book.SheetDoc{Serial: h.serial, Rows: []sheet.Row{{Service: "s", Database: "d"}}, Customers: []sheet.Customer{{Name: "kranz", KeyDigests: digests}}})
	if err != nil {
		panic(err)
	}
	old, _ := h.Get(context.Background(), string(book.Sheet))
	if _, err := h.Put(context.Background(), string(book.Sheet), raw, old.Version); err != nil {
		panic(err)
	}
}

const testRevoke = 5 * time.Second

// newRecencyHost starts a host with a sheet of one key, and waits until the key is accepted.
func newRecencyHost(t *testing.T) *recencyHost {
	h := &recencyHost{Memory: labkv.New()}
	h.load("one")
	return h.start(t, "h")
}

// start starts the host under a name.
func (h *recencyHost) start(t *testing.T, name string) *recencyHost {
	log, stopLog := event.New(h)
	documents, stopDocuments := ctrl.NewDocuments(ctrl.DocumentsOptions{
		Host: name, Store: h, Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), Broadcaster: noBroadcast{},
		LastHeard: time.Now, WatchersPerRegion: 3, Retry: time.Second,
	})
	began := time.Now()
	recency, stopRecency := ctrl.NewRecency(ctrl.RecencyOptions{
		Host: name, Rules: recent.RulesFor(testRevoke), Documents: documents, Store: h, Peers: h, Log: log,
		Clock: func() time.Duration { return time.Hour + time.Since(began) + time.Duration(h.slept.Load()) },
	})
	h.documents, h.recency = documents, recency
	t.Cleanup(func() {
		stopRecency()
		stopDocuments()
		stopLog()
	})
	return h
}

// TestKeysAreRefusedWithoutTheStore guards against keys that are accepted for longer than
// RevokeMs after the last answer of the store, and against a host that does not recover when
// the store answers again.
func TestKeysAreRefusedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newRecencyHost(t)
		time.Sleep(time.Minute)
		g.Expect(h.recency.Recent()).To(BeTrue())
		h.SetDown(true)
		time.Sleep(2 * time.Second)
		g.Expect(h.recency.Recent()).To(BeTrue())
		time.Sleep(testRevoke - 2*time.Second)
		g.Expect(h.recency.Recent()).To(BeFalse())
		g.Expect(h.recency.Status().Age).To(BeNumerically("<", testRevoke+2100*time.Millisecond), "the last read was up to 2 s before the failure")
		time.Sleep(time.Minute)
		g.Expect(h.lines("key-proof-expired")).To(Equal(1))
		g.Expect(h.lines("key-proof-expired", "the store is down")).To(Equal(1))
		g.Expect(h.recency.Status().FailedReads).To(BeNumerically("<=", 66))
		h.SetDown(false)
		time.Sleep(1100 * time.Millisecond)
		g.Expect(h.recency.Recent()).To(BeTrue())
		g.Expect(h.lines("key-proof-renewed")).To(Equal(1))
	})
}

// TestLogOfAnUnsteadyStoreIsBounded guards against a log that is flooded while proofs come and
// go.
func TestLogOfAnUnsteadyStoreIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newRecencyHost(t)
		const rounds = 20
		for range rounds {
			time.Sleep(1100 * time.Millisecond)
			h.SetDown(true)
			// A suspension makes the proof too old at once.
			h.slept.Add(int64(testRevoke))
			time.Sleep(500 * time.Millisecond)
			g.Expect(h.recency.Recent()).To(BeFalse())
			h.SetDown(false)
		}
		time.Sleep(time.Second)
		// The clock has advanced by 20 x (5 + 1.6) s.
		g.Expect(h.lines("key-proof-expired")).To(BeNumerically("<=", 14))
		g.Expect(h.lines("Suppressed")).To(BeNumerically(">", 0))
	})
}

// TestSuspensionMakesTheProofOld guards against a host that accepts a key after a suspension
// because its monotonic clock did not count it.
func TestSuspensionMakesTheProofOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newRecencyHost(t)
		time.Sleep(10 * time.Second)
		g.Expect(h.recency.Recent()).To(BeTrue())
		h.slept.Add(int64(testRevoke))
		g.Expect(h.recency.Recent()).To(BeFalse())
		time.Sleep(time.Second)
		g.Expect(h.recency.Recent()).To(BeTrue())
	})
}

// TestConfirmedNewsComesIntoForce guards against a removal that a confirmation of the sheet
// returned, and that was lost because the watch of the sheet is silent.
func TestConfirmedNewsComesIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newRecencyHost(t)
		h.load("one", "two")
		time.Sleep(10 * time.Second)
		h.unwatched.Store(true)
		// Ends the watch in progress.
		h.load("one")
		time.Sleep(10 * time.Second)
		h.load("two")
		time.Sleep(time.Second)
		_, found := h.documents.Book().Sheet().CustomerOfKey(sheet.KeyDigest("one"))
		g.Expect(found).To(BeFalse())
		g.Expect(h.recency.Recent()).To(BeTrue())
	})
}

// TestReadCountsFromTheTimeOfSending guards against a proof that appears younger than it is,
// by the time that the store's answer took.
func TestReadCountsFromTheTimeOfSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newRecencyHost(t)
		const slow = 1500 * time.Millisecond
		h.slow.Store(int64(slow))
		time.Sleep(5 * time.Second)
		for range 500 {
			time.Sleep(20 * time.Millisecond)
			g.Expect(h.recency.Status().Age).To(BeNumerically(">=", slow))
		}
	})
}

// TestSheetOfAPeerIsNotTrustedUnproven guards against a proof of one sheet that is taken for
// another one: a sheet from before the store was restored, which a peer still holds, has a
// greater serial and a key that was removed since. It must not be trusted even before the
// background task learns of it.
func TestSheetOfAPeerIsNotTrustedUnproven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &recencyHost{Memory: labkv.New(), queried: make(chan struct{}), unblocked: make(chan struct{})}
		h.load("one")
		hosts := book.HostsDoc{Serial: 1}
		var names []string
		for i := range 9 {
			names = append(names, fmt.Sprint("h", i))
			hosts.Hosts = append(hosts.Hosts, book.Host{Name: names[i]})
		}
		raw, err := json.Marshal(hosts)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = h.Put(t.Context(), string(book.Hosts), raw, "")
		g.Expect(err).NotTo(HaveOccurred())
		// A host that is no reader queries its peers.
		h.start(t, pick.Order("watch/Sheet", names)[2])
		unblock := sync.OnceFunc(func() { close(h.unblocked) })
		t.Cleanup(unblock)
		time.Sleep(500 * time.Millisecond)
		for !h.recency.Recent() {
			<-h.queried
			synctest.Wait()
		}
		// The task waits for the first query after the read to be taken.
		time.Sleep(2 * time.Second)
		g.Expect(h.recency.Recent()).To(BeTrue())
		raw, err = json.Marshal(book.SheetDoc{Serial: 7, Rows: []sheet.Row{{Service: "s", Database: "d"}}, Customers: []sheet.Customer{{Name: "kranz", KeyDigests: []string{sheet.KeyDigest("one"), sheet.KeyDigest("removed")}}}})
		g.Expect(err).NotTo(HaveOccurred())
		h.documents.Receive(book.Doc{Kind: book.Sheet, Serial: 7, Body: raw}, "peer")
		synctest.Wait()
		g.Expect(h.documents.Book().Serial(book.Sheet)).To(BeEquivalentTo(7))
		g.Expect(h.recency.Recent()).To(BeFalse())
		unblock()
		time.Sleep(20 * time.Second)
		g.Expect(h.recency.Recent()).To(BeFalse())
	})
}
