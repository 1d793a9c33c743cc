package slots_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// slowFactor is how many times its deadline the work of the slow rank takes from
// floodStart to floodEnd.
const slowFactor = 3

// slowTrace returns a trace in which the work of one rank that arrives between floodStart and
// floodEnd takes longer than its deadline. No deadline is longer than maxLimit, so that the
// slow work ends within the trace.
func slowTrace(seed uint64, rank sheet.Rank, load float64) []*job {
	const maxLimit = 2 * time.Second
	jobs := trace(seed, flood{loadFactor: load})
	for _, j := range jobs {
		j.deadline = min(j.deadline, maxLimit)
		if j.rank == rank && j.inFlood() {
			j.duration = slowFactor * j.deadline
		}
	}
	return jobs
}

// TestRankIsServedAfterSlowPeriod guards against an estimate that refuses all work of a rank
// for good: it was learnt from work that took longer than the deadline, and nothing that
// could correct it was admitted. Once the last slow work has ended, a rank is served again
// within the time limit of its own work, at normal load and while other ranks keep the
// slots busy.
func TestRankIsServedAfterSlowPeriod(t *testing.T) {
	for _, k := range kinds {
		for _, load := range []float64{1, 1.5} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("rank %d/load %.1f/seed %d", k.rank, load, seed), func(t *testing.T) {
					g := NewWithT(t)
					jobs := slowTrace(seed, k.rank, load)
					simulate(strategies()[0], jobs)
					slowEnd := floodEnd
					for _, j := range jobs {
						if j.served && j.rank == k.rank && j.inFlood() {
							slowEnd = max(slowEnd, j.ended)
						}
					}
					offered, served := 0, 0
					for _, j := range jobs {
						if j.rank != k.rank || j.arrives < slowEnd+j.deadline {
							continue
						}
						offered++
						if j.inTime() {
							served++
						}
					}
					g.Expect(offered).To(BeNumerically(">", 0))
					g.Expect(served).To(Equal(offered))
				})
			}
		}
	}
}

// at returns a time of the virtual clock.
func at(d time.Duration) time.Time { return epoch.Add(d) }

// ranked returns rank 1 work that arrives at a time and has a second to its deadline.
func ranked(id uint64, arrives time.Duration) slots.Work {
	return slots.Work{ID: id, Rank: 1, Caller: "c", Arrived: at(arrives), Deadline: at(arrives + time.Second)}
}

// slowPool returns a pool of the given number of slots whose only work so far took 10 s.
func slowPool(count int) *slots.PermitPool {
	p := slots.NewPermitPool(slots.DefaultRules(queueLimit), count)
	p.Request(ranked(1, 0), at(0))
	p.Release(1, at(10*time.Second))
	return p
}

// TestIdleMemberServesFirstWorkAtOnce guards against callers of an idle member who are
// refused until some time has passed.
func TestIdleMemberServesFirstWorkAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := slowPool(5)
	g.Expect(p.Request(ranked(2, 11*time.Second), at(11*time.Second)).Granted).To(HaveLen(1))
	g.Expect(p.Request(ranked(3, 11*time.Second), at(11*time.Second)).Late).To(HaveLen(1), "one piece of work at a time tests the estimate")
	p.Release(2, at(11*time.Second+20*time.Millisecond))
	for id := uint64(4); id < 9; id++ {
		g.Expect(p.Request(ranked(id, 12*time.Second), at(12*time.Second)).Granted).To(HaveLen(1))
	}
}

// TestProbeThatNeverEndsDoesNotBlockItsRank guards against a transaction that keeps its
// permit while its caller pauses, and thereby the test of the estimate.
func TestProbeThatNeverEndsDoesNotBlockItsRank(t *testing.T) {
	g := NewWithT(t)
	p := slowPool(5)
	g.Expect(p.Request(ranked(2, 11*time.Second), at(11*time.Second)).Granted).To(HaveLen(1))
	g.Expect(p.Request(ranked(3, 12*time.Second), at(12*time.Second)).Granted).To(HaveLen(1))
}

// TestWithdrawnProbeIsReplaced guards against a caller that gives up while its work waits, and
// thereby ends the test of the estimate without a result.
func TestWithdrawnProbeIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := slowPool(1)
	other := ranked(2, 11*time.Second)
	other.Rank = 2
	g.Expect(p.Request(other, at(11*time.Second)).Granted).To(HaveLen(1))
	g.Expect(p.Request(ranked(3, 11*time.Second), at(11*time.Second)).Late).To(BeEmpty())
	p.Release(3, at(11*time.Second))
	g.Expect(p.Request(ranked(4, 11*time.Second), at(11*time.Second)).Late).To(BeEmpty())
	g.Expect(p.Release(2, at(11*time.Second+time.Millisecond)).Granted).To(HaveLen(1))
}

// TestSlowMemberGetsOneProbeAtATime guards against a member that stays slow and whose slots
// are filled with work that misses its deadline.
func TestSlowMemberGetsOneProbeAtATime(t *testing.T) {
	g := NewWithT(t)
	p := slowPool(5)
	id, most := uint64(1), 0
	var begun []uint64
	for ms := 11000; ms < 15000; ms += 10 {
		now := time.Duration(ms) * time.Millisecond
		id++
		for _, w := range p.Request(ranked(id, now), at(now)).Granted {
			begun = append(begun, w.ID)
		}
		most = max(most, p.InUse())
		// The work takes 0.9 s, which is in time but far too slow for the five slots.
		if len(begun) > 0 && ms%900 == 0 {
			p.Release(begun[0], at(now))
			begun = begun[1:]
		}
	}
	g.Expect(most).To(BeNumerically("<=", 2))
}

// TestWaitingWorkIsRefusedEarly guards against work that waits at a busy member until its
// deadline although the estimate says that it cannot end in time, so that its caller learns
// of it too late to try elsewhere.
func TestWaitingWorkIsRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	p := slots.NewPermitPool(slots.DefaultRules(queueLimit), 1)
	for id := uint64(1); id < 20; id++ {
		begin := time.Duration(id) * time.Second
		p.Request(ranked(id, begin), at(begin))
		p.Release(id, at(begin+300*time.Millisecond))
	}
	g.Expect(p.Request(ranked(30, time.Minute), at(time.Minute)).Granted).To(HaveLen(1))
	g.Expect(p.Request(ranked(31, time.Minute), at(time.Minute)).Late).To(BeEmpty())
	g.Expect(p.Schedule(at(time.Minute + 600*time.Millisecond)).Late).To(BeEmpty())
	g.Expect(p.Schedule(at(time.Minute + 750*time.Millisecond)).Late).To(HaveLen(1))
}
