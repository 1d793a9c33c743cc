package budget_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/budget"
)

const (
	memory     = 136_000_000
	maxMessage = 1 << 20
)

func newBudget() *budget.Budget {
	return budget.New(budget.Options{Memory: memory, MaxMessage: maxMessage})
}

func unevicted(budget.Class) {}

// TestLedgerStaysWithinItsCapacity guards against grants beyond the capacity, bytes that are lost
// or counted twice, and a request that still waits although it fits.
func TestLedgerStaysWithinItsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		l := budget.NewLedger(capacity, budget.Slowest(time.Second))
		held, waiting := make(map[uint64]int64), make(map[uint64]int64)
		now := time.Unix(0, 0)
		apply := func(d budget.Decision) {
			for _, id := range d.Granted {
				held[id] += waiting[id]
				delete(waiting, id)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := rapid.Uint64Range(1, 8).Draw(t, "id")
			bytes := rapid.Int64Range(1, 600).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				if _, waits := waiting[id]; waits {
					continue
				}
				granted, d := l.Acquire(now, id, bytes, now)
				if granted {
					held[id] += bytes
				} else {
					waiting[id] = bytes
				}
				apply(d)
			case 1:
				held[id] = 0
				apply(l.Release(id))
			case 2:
				delete(waiting, id)
				apply(l.Withdraw(id))
			case 3:
				if l.TryAcquire(id, bytes) {
					held[id] += bytes
				}
			default:
				apply(l.Tick(now))
			}
			checkLedger(t, l, held, len(waiting))
		}
	})
}

// checkLedger compares a ledger of at least 600 bytes with the bytes that its holders hold.
func checkLedger(t *rapid.T, l *budget.Ledger, held map[uint64]int64, waiting int) {
	sum := int64(0)
	for id, n := range held {
		sum += n
		if got := l.Held(id); got != n {
			t.Fatalf("held by %d: got %d, want %d", id, got, n)
		}
	}
	if l.Used() != sum || sum > l.Capacity() {
		t.Fatalf("used: got %d, want %d, at most %d", l.Used(), sum, l.Capacity())
	}
	if sum == 0 && waiting > 0 {
		t.Fatalf("%d requests wait although nothing is held", waiting)
	}
}

// TestSlowestHolderIsEvicted guards against eviction of a holder that makes progress, and against
// waiting behind one that does not.
func TestSlowestHolderIsEvicted(t *testing.T) {
	g := NewWithT(t)
	l := budget.NewLedger(100, budget.Slowest(time.Second))
	now := time.Unix(0, 0)
	l.Acquire(now, 1, 50, now)
	l.Acquire(now.Add(time.Second/2), 2, 50, now.Add(time.Second/2))
	granted, d := l.Acquire(now.Add(time.Second*9/10), 3, 50, now)
	g.Expect(granted).To(BeFalse())
	g.Expect(d.Evicted).To(BeEmpty(), "nobody has been slow for a second")
	g.Expect(l.Tick(now.Add(time.Second)).Evicted).To(Equal([]uint64{1}))
	g.Expect(l.Tick(now.Add(2*time.Second)).Evicted).To(BeEmpty(), "the bytes of the first suffice")
	g.Expect(l.Release(1).Granted).To(Equal([]uint64{3}))
	l.SetSince(2, time.Time{})
	l.Acquire(now, 4, 50, now)
	g.Expect(l.Tick(now.Add(time.Minute)).Evicted).To(BeEmpty(), "a holder that does not wait for its caller is kept")
}

// TestAnswersBeyondTheCapacityEvictTheSlowestReader guards against ready answers that add up
// without limit for callers that do not read them.
func TestAnswersBeyondTheCapacityEvictTheSlowestReader(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	evicted := 0
	for range 100 {
		h := b.Open(func(c budget.Class) {
			g.Expect(c).To(Equal(budget.Sending))
			evicted++
		})
		h.Send(maxMessage)
		g.Expect(h.Evicted()).To(BeFalse(), "the newest is not the slowest")
	}
	fit := int(b.Capacity(budget.Sending) / maxMessage)
	g.Expect(evicted).To(Equal(100 - fit))
}

// TestOneLargestMessageAndItsAnswerFit guards against shares that are too small on the smallest
// host.
func TestOneLargestMessageAndItsAnswerFit(t *testing.T) {
	g := NewWithT(t)
	for _, m := range []int64{8_000_000, memory, 4 * memory} {
		b := budget.New(budget.Options{Memory: m, MaxMessage: maxMessage})
		h := b.Open(unevicted)
		for arrived := 1 << 10; arrived <= maxMessage; arrived *= 2 {
			g.Expect(h.Reserve(arrived)).To(Succeed())
		}
		h.Complete()
		g.Expect(h.Receive(maxMessage)).To(Succeed())
		h.Send(maxMessage)
		h.Close()
		for _, c := range budget.Classes() {
			g.Expect(b.Used(c)).To(BeZero(), c.String())
		}
	}
}

// TestUsualMessagesAreServedBesideLargeOnes guards against large messages that use up the
// memory for those of the usual size.
func TestUsualMessagesAreServedBesideLargeOnes(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	var waiting sync.WaitGroup
	for range 50 {
		h := b.Open(unevicted)
		waiting.Go(func() { _ = h.Reserve(maxMessage) })
	}
	g.Eventually(func() int64 { return b.Used(budget.Bulk) }).Should(BeNumerically(">", b.Capacity(budget.Bulk)*3/4))
	usual := b.Open(unevicted)
	began := time.Now()
	g.Expect(usual.Reserve(16 << 10)).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", budget.Patience/2), "it does not wait")
	waiting.Wait()
}

// TestWaitingMessageTakesTheBytesOfASlowOne guards against a message that is never finished and
// keeps others out.
func TestWaitingMessageTakesTheBytesOfASlowOne(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for b.Used(budget.Bulk)+4*maxMessage <= b.Capacity(budget.Bulk) {
		var h *budget.Hold
		h = b.Open(func(budget.Class) { go h.Close() })
		g.Expect(h.Reserve(maxMessage)).To(Succeed())
	}
	next := b.Open(unevicted)
	g.Expect(next.Reserve(maxMessage)).To(Succeed())
	g.Expect(b.Evicted(budget.Bulk)).To(BeEquivalentTo(1))
}

// TestStateIsRefusedNotQueued guards against a session that waits for other sessions to end.
func TestStateIsRefusedNotQueued(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	h, other := b.Open(unevicted), b.Open(unevicted)
	g.Expect(h.SetState(int(b.Capacity(budget.State)))).To(Succeed())
	g.Expect(other.SetState(budget.FreeBytes)).To(Succeed(), "a little state is always possible")
	g.Expect(other.SetState(budget.FreeBytes * 3)).To(MatchError(budget.ErrExhausted))
	g.Expect(h.SetState(0)).To(Succeed())
	g.Expect(other.SetState(budget.FreeBytes * 3)).To(Succeed())
}

// TestNoBudgetLimitsNothing guards against limits where the memory of the machine is not known.
func TestNoBudgetLimitsNothing(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Options{MaxMessage: maxMessage})
	g.Expect(b).To(BeNil())
	h := b.Open(unevicted)
	g.Expect(h.Reserve(1 << 40)).To(Succeed())
	g.Expect(h.SetState(1 << 40)).To(Succeed())
	h.Send(1 << 40)
	h.Close()
	g.Expect(h.Evicted()).To(BeFalse())
	g.Expect(b.Used(budget.Bulk)).To(BeZero())
}

// BenchmarkUsualMessage measures what a message of a usual size costs.
func BenchmarkUsualMessage(b *testing.B) {
	h := newBudget().Open(unevicted)
	b.ReportAllocs()
	for b.Loop() {
		_ = h.Reserve(2 << 10)
		h.Complete()
		h.Send(1 << 10)
		h.Sent()
		h.Done()
	}
}
