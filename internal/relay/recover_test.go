package relay

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
)

// TestBackoffRecovers guards against owners that stay behind substitutes after a long
// partition. Whatever the number of failures, maxBackoff after the last one an owner is
// the first choice again, and its first answer lets any number of requests follow.
func TestBackoffRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &owner{host: book.Host{Name: "a", Region: "north"}}
		order := func() []string {
			return OrderCandidates([]Candidate{o.candidate(), {Host: "substitute", Region: "north", Substitute: true}}, "north", 0, time.Now())
		}
		for range 600 {
			sent := o.begin(time.Now())
			time.Sleep(100 * time.Millisecond)
			o.end(sent)
			o.recordFailure()
		}
		time.Sleep(maxBackoff)
		g.Expect(order()[0]).To(Equal("a"))
		sent := o.begin(time.Now())
		g.Expect(order()[0]).To(Equal("substitute"), "one request tests the owner")
		o.recordAnswer()
		o.end(sent)
		for range 100 {
			o.begin(time.Now())
			g.Expect(order()[0]).To(Equal("a"))
		}
	})
}

// TestDrainNoticeExpires guards against an owner that stays behind all others because it
// announced a drain that was called off, or ended in a restart at the same address.
func TestDrainNoticeExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &owner{host: book.Host{Name: "a", Region: "north"}}
		o.setDraining()
		time.Sleep(drainTime)
		list := []Candidate{o.candidate(), {Host: "b", Region: "north"}}
		g.Expect(OrderCandidates(list, "north", 0, time.Now())).To(Equal([]string{"a", "b"}))
	})
}
