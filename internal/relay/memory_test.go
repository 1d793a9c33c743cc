package relay_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/budget"
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
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// TestOwnerRefusesAJobForWhichItHasNoMemory guards against a relayed request whose outcome is
// reported as unknown although it did not run, and against a connection that is out of step
// afterwards.
func TestOwnerRefusesAJobForWhichItHasNoMemory(t *testing.T) {
	g := NewWithT(t)
	const largest = 1 << 20
	memory := budget.New(budget.Options{Memory: 8_000_000, MaxMessage: largest})
	holder := memory.Open(func(budget.Class) {})
	g.Expect(holder.Reserve(largest)).To(Succeed())
	holder.Complete()
	log, closeLog := event.New(io.Discard)
	t.Cleanup(closeLog)
	registry := prometheus.NewRegistry()
	documents, stopDocuments := ctrl.NewDocuments(ctrl.DocumentsOptions{
		Host: "h", Store: labkv.New(), Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), LastHeard: time.Now, WatchersPerRegion: 1, Retry: time.Second,
	})
	t.Cleanup(stopDocuments)
	ran := make(chan string, 4)
	f, closeFront, err := front.New(front.Options{
		Address: "127.0.0.1:0", RelayProtocol: relay.Protocol{}, MaxConnections: 10, Memory: memory,
		CallerQuota: quota.New(10, quota.MinimumShares{}), Log: log, Guard: guard.New(log, registry, nil), Registry: registry, Documents: documents,
		Handler: func(_ context.Context, r *chain.Request) error {
			ran <- r.Name
			return nil
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeFront)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() { _ = f.ServeRelay(t.Context(), far, "other") }()
	send := func(number uint64, name, item string) relay.Outcome {
		query := flow.Query{ID: name, Statement: stmt.Statement{Kind: stmt.Read, Text: "READ " + item}}
		raw, err := peer.EncodeArray(relay.Job{Number: number, Request: name, Work: sheet.Row{Rank: 1}, Payload: flow.Payload{Query: query}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = near.Write(raw)
		g.Expect(err).NotTo(HaveOccurred())
		var o relay.Outcome
		g.Expect(peer.DecodeInto(near, peer.MaxFrame, &o)).To(Succeed())
		return o
	}
	g.Expect(send(1, "first", "item").Failed).To(BeFalse())
	o := send(2, "second", strings.Repeat("x", largest/2))
	g.Expect(o.Failed).To(BeTrue())
	g.Expect(o.Fault).To(Equal(fault.Overloaded))
	g.Expect(o.Number).To(BeEquivalentTo(2))
	g.Expect(send(3, "third", "item").Failed).To(BeFalse())
	holder.Close()
	g.Expect(send(4, "fourth", strings.Repeat("x", largest/2)).Failed).To(BeFalse())
	close(ran)
	var names []string
	for name := range ran {
		names = append(names, name)
	}
	g.Expect(names).To(Equal([]string{"first", "third", "fourth"}))
}
