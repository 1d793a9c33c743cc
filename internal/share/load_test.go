package share_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestLoadOfMembersAndHosts covers a choice between members whose load other proxies reported.
// It guards against reports of a proxy that is gone, and against idle transactions that
// count as work.
func TestLoadOfMembersAndHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		shares := newLimitedShares(150)
		shares.TakeWants("b", map[string]int{near.Name: 7, "other": 2})
		time.Sleep(time.Second)
		shares.TakeWants("c", map[string]int{near.Name: 3})
		slot, err := shares.Acquire(t.Context(), "stock", near, request())
		g.Expect(err).NotTo(HaveOccurred())
		load := shares.MemberLoad("stock", near)
		g.Expect(load.Own).To(Equal(1))
		g.Expect(load.Others).To(BeNumerically("==", 10))
		g.Expect(load.Age).To(Equal(time.Second / 2))
		g.Expect(load.Capacity).To(BeNumerically("==", 5))
		slot.SetIdle(true)
		g.Expect(shares.MemberLoad("stock", near).Own).To(BeZero())
		demand, age, found := shares.HostLoad("b")
		g.Expect([]any{demand, age, found}).To(Equal([]any{9.0, time.Second, true}))
		time.Sleep(2500 * time.Millisecond)
		_, _, found = shares.HostLoad("b")
		g.Expect(found).To(BeFalse())
		g.Expect(shares.MemberLoad("stock", near).Others).To(BeNumerically("==", 3))
		time.Sleep(time.Second)
		g.Expect(shares.MemberLoad("stock", near).Reported).To(BeFalse())
	})
}
