package ctrl_test

import (
	"encoding/json"
	"io"
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
)

// TestStoreIsReadSoonAfterALongOutage guards against a pause between calls to the store that
// grows with the length of an outage. However long it was, the documents are read within
// four retry periods after its end.
func TestStoreIsReadSoonAfterALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log, stopLog := event.New(io.Discard)
		defer stopLog()
		kv := labkv.New()
		doc, err := json.Marshal(book.HostsDoc{Serial: 1, Hosts: []book.Host{{Name: "h"}}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = kv.Put(t.Context(), string(book.Hosts), doc, "")
		g.Expect(err).NotTo(HaveOccurred())
		kv.SetDown(true)
		documents, stop := ctrl.NewDocuments(ctrl.DocumentsOptions{
			Host: "h", Store: kv, Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), Broadcaster: noBroadcast{},
			LastHeard: time.Now, WatchersPerRegion: 100, Retry: time.Second,
		})
		defer stop()
		time.Sleep(time.Hour)
		g.Expect(documents.Book().Serial(book.Hosts)).To(BeZero())
		kv.SetDown(false)
		time.Sleep(4*time.Second + time.Millisecond)
		g.Expect(documents.Book().Serial(book.Hosts)).To(Equal(uint64(1)))
	})
}
