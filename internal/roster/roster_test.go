package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/roster"
	"poplarrouter.example/poplarrouter/internal/view"
)

const grace = 4 * time.Second

func stock(members ...view.Member) []book.Database {
	return []book.Database{{Name: "stock", Members: members}}
}

func names(m roster.Membership) []string {
	var list []string
	for _, d := range m.Databases() {
		for _, member := range d.Members {
			list = append(list, member.Name)
		}
	}
	return list
}

var (
	first  = view.Member{Name: "m1", Address: "a:1"}
	second = view.Member{Name: "m2", Address: "a:2"}
	third  = view.Member{Name: "m3", Address: "a:3"}
)

// When the platform's store recovers, its list is empty at first, partial a second later
// and complete after two seconds. The members must stay in use throughout.
func TestMembersAreRetainedWhileTheStoreRecovers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	m := roster.New(grace).With(stock(first, second, third), now)
	m = m.With(nil, now.Add(time.Second))
	g.Expect(names(m)).To(ConsistOf("m1", "m2", "m3"))
	m = m.With(stock(second), now.Add(2*time.Second))
	g.Expect(names(m)).To(ConsistOf("m1", "m2", "m3"))
	m = m.With(stock(first, second, third), now.Add(3*time.Second))
	g.Expect(names(m)).To(ConsistOf("m1", "m2", "m3"))
	_, pending := m.NextExpiry()
	g.Expect(pending).To(BeFalse())
}

func TestMissingMemberIsRemovedAfterTheGracePeriod(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	m := roster.New(grace).With(stock(first, second), now).With(stock(second), now)
	expiry, pending := m.NextExpiry()
	g.Expect(pending).To(BeTrue())
	g.Expect(expiry).To(Equal(now.Add(grace)))
	g.Expect(names(m.With(stock(second), expiry.Add(-time.Millisecond)))).To(ConsistOf("m1", "m2"))
	g.Expect(names(m.With(stock(second), expiry))).To(ConsistOf("m2"))
}

func TestDrainingMemberAndReusedAddressAreNotRetained(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	draining := first
	draining.Draining = true
	m := roster.New(grace).With(stock(draining, second), now)
	replacement := view.Member{Name: "m9", Address: second.Address}
	g.Expect(names(m.With(stock(replacement), now))).To(ConsistOf("m9"))
}
