package store_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/lablnk"
	"poplarrouter.example/poplarrouter/internal/store"
)

// TestWatchOnASilentConnectionEnds guards against a proxy that never hears of the store
// again, because the connection of its watch went silent and the watch had no time-out.
func TestWatchOnASilentConnectionEnds(t *testing.T) {
	g := NewWithT(t)
	memory := labkv.New()
	server := httptest.NewServer(memory)
	t.Cleanup(server.CloseClientConnections)
	link, closeLink, err := lablnk.New(strings.TrimPrefix(server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeLink)
	client, cleanUp := store.New(link.Address(), 100*time.Millisecond)
	t.Cleanup(cleanUp)
	first, err := client.Put(t.Context(), "Sheet", []byte("one"), "")
	g.Expect(err).NotTo(HaveOccurred())
	link.Silence()
	ended := make(chan error, 1)
	go func() {
		_, err := client.Watch(t.Context(), "Sheet", first)
		ended <- err
	}()
	second, err := memory.Put(t.Context(), "Sheet", []byte("two"), first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(ended, 5*time.Second).Should(Receive(HaveOccurred()))
	o, err := client.Watch(t.Context(), "Sheet", first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Version).To(Equal(second))
}
