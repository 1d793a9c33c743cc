package ctrl_test

import (
	"context"
	"encoding/json"
	"io"
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
	"poplarrouter.example/poplarrouter/internal/store"
)

// countingStore counts the watch calls for the list of hosts.
type countingStore struct {
	*labkv.Memory

	watches atomic.Int64
}

func (c *countingStore) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	if key == string(book.Hosts) {
		c.watches.Add(1)
	}
	return c.Memory.Watch(ctx, key, seen)
}

// TestHostsThatRegisterTogetherAreReadTogether simulates the start of a fleet, in which a
// host registers every 20 ms. Each proxy must call the store a few times only, not once
// for each host.
func TestHostsThatRegisterTogetherAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log, stopLog := event.New(io.Discard)
		defer stopLog()
		kv := &countingStore{Memory: labkv.New()}
		documents, stop := ctrl.NewDocuments(ctrl.DocumentsOptions{
			Host: "h", Store: kv, Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), Broadcaster: noBroadcast{},
			LastHeard: time.Now, WatchersPerRegion: 100, Retry: time.Second, ChangePause: map[book.Kind]time.Duration{book.Hosts: time.Second / 2},
		})
		defer stop()
		var version store.Version
		doc := book.HostsDoc{}
		for i := range 66 {
			doc.Serial++
			doc.Hosts = append(doc.Hosts, book.Host{Name: string(rune('a' + i))})
			raw, err := json.Marshal(doc)
			g.Expect(err).NotTo(HaveOccurred())
			version, err = kv.Put(t.Context(), string(book.Hosts), raw, version)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(documents.Book().Hosts()).To(HaveLen(66))
		g.Expect(kv.watches.Load()).To(BeNumerically("<=", 6))
	})
}
