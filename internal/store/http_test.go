package store_test

import (
	"errors"
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

// TestObjectOverTheLimitIsRefused guards against an object of another writer that is cut at the limit
// and read as a whole one.
func TestObjectOverTheLimitIsRefused(t *testing.T) {
	g := NewWithT(t)
	memory := labkv.New()
	server := httptest.NewServer(memory)
	t.Cleanup(server.Close)
	client, cleanUp := store.New(strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond)
	t.Cleanup(cleanUp)
	largest := strings.Repeat("x", store.MaxValue)
	for key, value := range map[string]string{"Sheet": largest, "Hosts": largest + "y"} {
		_, err := memory.Put(t.Context(), key, []byte(value), "")
		g.Expect(err).NotTo(HaveOccurred())
	}
	o, err := client.Get(t.Context(), "Sheet")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Value).To(HaveLen(store.MaxValue))
	for _, read := range []func() (store.Object, error){
		func() (store.Object, error) { return client.Get(t.Context(), "Hosts") },
		func() (store.Object, error) { return client.Watch(t.Context(), "Hosts", "") },
		func() (store.Object, error) { return client.Confirm(t.Context(), "Hosts", "") },
	} {
		_, err := read()
		var size *store.SizeError
		g.Expect(errors.As(err, &size)).To(BeTrue(), "%v", err)
		g.Expect(size.Key).To(Equal("Hosts"))
		g.Expect(size.Got).To(BeNumerically(">", store.MaxValue))
	}
}

// TestKeysReachTheStoreAsTheyAre guards against keys with characters of URLs that name another object.
func TestKeysReachTheStoreAsTheyAre(t *testing.T) {
	g := NewWithT(t)
	memory := labkv.New()
	server := httptest.NewServer(memory)
	t.Cleanup(server.Close)
	client, cleanUp := store.New(strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond)
	t.Cleanup(cleanUp)
	for _, key := range []string{"a", "a/b", "a?Seen=x&WaitMs=0", "a%2fb", "a%", "a#b", "a b", "a+b", "ö", "a/../b", "//a", "a;b", "a\x00b", `a"b`} {
		version, err := client.Put(t.Context(), key, []byte(key), "")
		g.Expect(err).NotTo(HaveOccurred(), key)
		o, err := memory.Get(t.Context(), key)
		g.Expect(err).NotTo(HaveOccurred(), key)
		g.Expect(string(o.Value)).To(Equal(key))
		o, err = client.Get(t.Context(), key)
		g.Expect(err).NotTo(HaveOccurred(), key)
		g.Expect(o).To(Equal(store.Object{Version: version, Value: []byte(key)}))
	}
}
