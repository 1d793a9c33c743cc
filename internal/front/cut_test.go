package front_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/quota"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// lateAnswer is a protocol that waits for a drain and then sends a message of the given size,
// with a short time limit.
type lateAnswer struct {
	size    int
	refused atomic.Int64
	err     chan error
}

func (p *lateAnswer) Refuse(net.Conn, *fault.Error) { p.refused.Add(1) }

func (p *lateAnswer) Serve(ctx context.Context, s *front.Session) error {
	for !s.Ending() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	message := make([]byte, p.size)
	_ = s.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := s.Write(message)
	p.err <- err
	return err
}

// TestNothingFollowsAnAnswerThatWasCutOff guards against callers that read the notice of a drain
// as the rest of an answer, because it was sent after a write that timed out half-way.
func TestNothingFollowsAnAnswerThatWasCutOff(t *testing.T) {
	for _, c := range []struct {
		size    int
		fails   bool
		refused int64
	}{{size: 10, refused: 1}, {size: 64 << 20, fails: true}} {
		g := NewWithT(t)
		log, closeLog := event.New(io.Discard)
		t.Cleanup(closeLog)
		registry := prometheus.NewRegistry()
		p := &lateAnswer{size: c.size, err: make(chan error, 1)}
		f, closeFront, err := front.New(front.Options{
			Address: "127.0.0.1:0", Protocol: p, MaxConnections: 10, CallerQuota: quota.New(10, quota.MinimumShares{}),
			Log: log, Guard: guard.New(log, registry, nil), Registry: registry,
		})
		g.Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp", f.Address())
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(f.Callers).Should(Equal(1))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		f.Drain(ctx)
		cancel()
		err = <-p.err
		g.Expect(err != nil).To(Equal(c.fails))
		closeFront()
		_ = conn.Close()
		g.Expect(p.refused.Load()).To(Equal(c.refused), "after a message of %d bytes", c.size)
	}
}
