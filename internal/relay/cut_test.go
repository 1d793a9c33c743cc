package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/internal/stmt"
)

// cutConn is a connection of which one write times out after a part of it.
type cutConn struct {
	net.Conn
	// cutAt is the number of the write that is cut off, from 1 on, and after the number of its
	// bytes that are written.
	cutAt, after int64
	writes       atomic.Int64
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) != c.cutAt {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.after])
	return n, errors.Join(err, context.DeadlineExceeded)
}

// newOwnerFront returns a front that answers each job with a receipt.
func newOwnerFront(t *testing.T) *front.Front {
	g := NewWithT(t)
	log, closeLog := event.New(io.Discard)
	t.Cleanup(closeLog)
	registry := prometheus.NewRegistry()
	documents, stopDocuments := ctrl.NewDocuments(ctrl.DocumentsOptions{
		Host: "h", Store: labkv.New(), Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), LastHeard: time.Now, WatchersPerRegion: 1, Retry: time.Second,
	})
	t.Cleanup(stopDocuments)
	f, closeFront, err := front.New(front.Options{
		Address: "127.0.0.1:0", RelayProtocol: relay.Protocol{}, MaxConnections: 10,
		CallerQuota: quota.New(10, quota.MinimumShares{}), Log: log, Guard: guard.New(log, registry, nil), Registry: registry, Documents: documents,
		Handler: func(context.Context, *chain.Request) error { return nil },
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeFront)
	return f
}

// TestNothingFollowsAnOutcomeThatWasCutOff guards against outcomes that the caller's proxy reads
// from the parts of two messages, because an owner wrote the next one after a write that timed out
// half-way.
func TestNothingFollowsAnOutcomeThatWasCutOff(t *testing.T) {
	g := NewWithT(t)
	f := newOwnerFront(t)
	near, far := net.Pipe()
	const part = 6
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { _ = near.Close() })
	serving.Go(func() {
		_ = f.ServeRelay(t.Context(), &cutConn{Conn: far, cutAt: 1, after: part}, "other")
		_ = far.Close()
	})
	raw, err := peer.EncodeArray(relay.Job{Number: 1, Request: "q1", Payload: flow.Payload{Query: flow.Query{ID: "q1", Statement: stmt.Statement{Kind: stmt.Read, Text: "READ k"}}}})
	g.Expect(err).NotTo(HaveOccurred())
	// The drain notice, which is the first write, is cut off. Then a job arrives.
	drainCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	head := make(chan []byte, 1)
	go func() {
		b := make([]byte, part)
		_, _ = io.ReadFull(near, b)
		head <- b
	}()
	f.Drain(drainCtx)
	g.Eventually(head, "5s").Should(Receive())
	// It fails if the owner has closed the connection.
	_ = near.SetDeadline(time.Now().Add(time.Second))
	_, _ = near.Write(raw)
	received, _ := io.ReadAll(near)
	g.Expect(received).To(BeEmpty(), "nothing follows the part that was written")
}
