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

// counted counts the watches of the list of hosts.
type counted struct {
	*labkv.Memory

	watches atomic.Int64
}

func (c *counted) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	if key == string(book.Hosts) {
		c.watches.Add(1)
	}
	return c.Memory.Watch(ctx, key, seen)
}

// TestHostsThatStartTogetherAreReadTogether is the start of a fleet: a host enters itself
// each 20 ms, and each proxy asks the store a few times, not once for each host.
func TestHostsThatStartTogetherAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log, stopLog := event.New(io.Discard)
		defer stopLog()
		kv := &counted{Memory: labkv.New()}
		books, stop := ctrl.NewDocuments(ctrl.DocumentsOptions{
			Host: "h", Store: kv, Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), Broadcaster: noSpread{},
			LastHeard: time.Now, WatchAlways: true, Retry: time.Second, ChangePause: map[book.Kind]time.Duration{book.Hosts: time.Second / 2},
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
		g.Expect(books.Book().Hosts()).To(HaveLen(66))
		g.Expect(kv.watches.Load()).To(BeNumerically("<=", 6))
	})
}
