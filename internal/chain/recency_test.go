package chain_test

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

type noBroadcast struct{}

func (noBroadcast) Spread(book.Doc) {}

// changingKeys reports that the sheet is recent, and puts another one in force before it
// returns. Of that sheet it reports that it is not recent.
type changingKeys struct {
	put   func()
	calls int
}

func (k *changingKeys) Recent() bool {
	k.calls++
	if k.calls == 1 {
		k.put()
		return true
	}
	return false
}

// TestRecencyBelongsToTheSheetThatIsRead guards against a key of a sheet that came into force
// after the recency of another one was determined.
func TestRecencyBelongsToTheSheetThatIsRead(t *testing.T) {
	g := NewWithT(t)
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	documents, stop := ctrl.NewDocuments(ctrl.DocumentsOptions{
		Host: "h", Store: labkv.New(), Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), Broadcaster: noBroadcast{},
		LastHeard: time.Now, WatchersPerRegion: 1, Retry: time.Second,
	})
	t.Cleanup(stop)
	put := func(serial uint64, key string) {
		raw, err := json.Marshal(book.SheetDoc{Serial: serial, Rows: []sheet.Row{{Service: "s"}}, Customers: []sheet.Customer{{Name: "kranz", KeyDigests: []string{sheet.KeyDigest(key)}}}})
		g.Expect(err).NotTo(HaveOccurred())
		documents.Receive(book.Doc{Kind: book.Sheet, Serial: serial, Body: raw}, "peer")
		g.Eventually(func() uint64 { return documents.Book().Serial(book.Sheet) }).Should(Equal(serial))
	}
	put(1, "one")
	k := &changingKeys{put: func() { put(2, "two") }}
	keys, recent := chain.KeysInForce(chain.Options{Documents: documents, Keys: k})
	_, found := keys.CustomerOfKey(sheet.KeyDigest("two"))
	g.Expect(found).To(BeTrue())
	g.Expect(recent).To(BeFalse())
	g.Expect(k.calls).To(Equal(2))
}
