package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/roster"
	"poplarrouter.example/poplarrouter/internal/view"
)

const hold = 4 * time.Second

func stock(members ...view.Member) []book.Database {
	return []book.Database{{Name: "stock", Members: members}}
}

func names(r roster.Membership) []string {
	var list []string
	for _, d := range r.Databases() {
		for _, m := range d.Members {
			list = append(list, m.Name)
		}
	}
	return list
}

var (
	first  = view.Member{Name: "m1", Address: "a:1"}
	second = view.Member{Name: "m2", Address: "a:2"}
	third  = view.Member{Name: "m3", Address: "a:3"}
)

// TestEntriesThatLapseWithTheStore follows a list that is empty when the store comes
// back, and full again two seconds later.
func TestEntriesThatLapseWithTheStore(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := roster.New(hold).With(stock(first, second, third), now)
	r = r.With(nil, now.Add(time.Second))
	g.Expect(names(r)).To(ConsistOf("m1", "m2", "m3"))
	r = r.With(stock(second), now.Add(2*time.Second))
	g.Expect(names(r)).To(ConsistOf("m1", "m2", "m3"))
	r = r.With(stock(first, second, third), now.Add(3*time.Second))
	g.Expect(names(r)).To(ConsistOf("m1", "m2", "m3"))
	_, due := r.NextExpiry()
	g.Expect(due).To(BeFalse())
}

func TestAMemberThatStaysMissingIsGone(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := roster.New(hold).With(stock(first, second), now).With(stock(second), now)
	due, waits := r.NextExpiry()
	g.Expect(waits).To(BeTrue())
	g.Expect(due).To(Equal(now.Add(hold)))
	g.Expect(names(r.With(stock(second), due.Add(-time.Millisecond)))).To(ConsistOf("m1", "m2"))
	g.Expect(names(r.With(stock(second), due))).To(ConsistOf("m2"))
}

func TestALeavingMemberAndAUsedAddressAreNotKept(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	leaving := first
	leaving.Leaving = true
	r := roster.New(hold).With(stock(leaving, second), now)
	heir := view.Member{Name: "m9", Address: second.Address}
	g.Expect(names(r.With(stock(heir), now))).To(ConsistOf("m9"))
}
