package roster_test

import (
	"slices"
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

// answers returns the contacts with members of which the named ones have just answered, and
// the others have never answered.
func answers(now time.Time, members ...string) roster.Contacts {
	return func(database, member string) roster.Contact {
		if database != "stock" || !slices.Contains(members, member) {
			return roster.Contact{Silent: true}
		}
		return roster.Contact{LastAnswer: now}
	}
}

// silentSince returns the contacts with members of which none has answered since the given time.
func silentSince(last time.Time) roster.Contacts {
	return func(string, string) roster.Contact { return roster.Contact{LastAnswer: last, Silent: true} }
}

// firstOf returns the member m1.
func firstOf(m roster.Membership) view.Member {
	for _, d := range m.Databases() {
		for _, member := range d.Members {
			if member.Name == first.Name {
				return member
			}
		}
	}
	return view.Member{}
}

// When the platform's store recovers, its list is empty at first, partial a second later
// and complete after two seconds. The members must stay in use throughout.
func TestMembersAreRetainedWhileTheStoreRecovers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	never := answers(now)
	m := roster.New(grace).With(stock(first, second, third), never, now)
	m = m.With(nil, never, now.Add(time.Second))
	g.Expect(names(m)).To(ConsistOf("m1", "m2", "m3"))
	m = m.With(stock(second), never, now.Add(2*time.Second))
	g.Expect(names(m)).To(ConsistOf("m1", "m2", "m3"))
	g.Expect(firstOf(m)).To(Equal(view.Member{Name: "m1", Address: "a:1", Unlisted: true}))
	m = m.With(stock(first, second, third), never, now.Add(3*time.Second))
	g.Expect(names(m)).To(ConsistOf("m1", "m2", "m3"))
	g.Expect(firstOf(m)).To(Equal(first))
	_, missing := m.NextCheck()
	g.Expect(missing).To(BeFalse())
}

func TestMissingMemberThatDoesNotAnswerIsRemovedAfterTheGracePeriod(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	never := answers(now)
	m := roster.New(grace).With(stock(first, second), never, now).With(stock(second), never, now)
	due, missing := m.NextCheck()
	g.Expect(missing).To(BeTrue())
	g.Expect(due).To(BeNumerically("<", grace))
	expiry := now.Add(grace)
	g.Expect(names(m.With(stock(second), never, expiry.Add(-time.Millisecond)))).To(ConsistOf("m1", "m2"))
	g.Expect(names(m.With(stock(second), never, expiry))).To(ConsistOf("m2"))
}

// TestMissingMemberThatAnswersIsRetained guards against a lost commit: members that lose their
// path to the store go on to confirm commits to each other, and a promotion that no longer asks
// them takes a log without these.
func TestMissingMemberThatAnswersIsRetained(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	m := roster.New(grace).With(stock(first, second), answers(now), now).With(stock(second), answers(now), now)
	last := now.Add(3 * grace)
	m = m.With(stock(second), answers(last, "m1"), last)
	g.Expect(firstOf(m)).To(Equal(view.Member{Name: "m1", Address: "a:1", Unlisted: true, Draining: true}))
	m = m.With(stock(second), silentSince(last), last.Add(grace-time.Millisecond))
	g.Expect(names(m)).To(ConsistOf("m1", "m2"))
	g.Expect(names(m.With(stock(first, second), silentSince(last), last.Add(grace)))).To(ConsistOf("m1", "m2"))
	g.Expect(names(m.With(stock(second), silentSince(last), last.Add(grace)))).To(ConsistOf("m2"))
}

func TestDrainingMemberIsRetainedWhileItAnswers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	draining := first
	draining.Draining = true
	m := roster.New(grace).With(stock(draining, second), answers(now), now)
	answering := m.With(stock(second), answers(now, "m1"), now)
	g.Expect(firstOf(answering)).To(Equal(view.Member{Name: "m1", Address: "a:1", Unlisted: true, Draining: true}))
	g.Expect(names(answering.With(stock(second), silentSince(now), now.Add(time.Second)))).To(ConsistOf("m2"), "it has ended")
}

func TestDrainingMemberAndReusedAddressAreNotRetained(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	draining := first
	draining.Draining = true
	m := roster.New(grace).With(stock(draining, second), answers(now), now)
	replacement := view.Member{Name: "m9", Address: second.Address}
	g.Expect(names(m.With(stock(replacement), answers(now, "m2"), now))).To(ConsistOf("m9"))
}

func TestMembershipWithoutGracePeriodIsTheList(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	m := roster.New(0).With(stock(first, second), answers(now), now)
	g.Expect(names(m.With(stock(second), answers(now, "m1"), now))).To(ConsistOf("m2"))
}

// TestMemberThatAnotherProxyRetainsIsAsked guards against a lost commit: a promoter that started
// after a member had left the list does not know it.
func TestMemberThatAnotherProxyRetainsIsAsked(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	never := answers(now)
	m := roster.New(grace).With(stock(second), never, now)
	retained := m.WithRetained("stock", []view.Member{first, second, {Name: "m9", Address: second.Address}}, now).WithRetained("other", []view.Member{third}, now)
	g.Expect(names(retained)).To(ConsistOf("m1", "m2"))
	g.Expect(firstOf(retained).Unlisted).To(BeTrue())
	g.Expect(names(m)).To(ConsistOf("m2"), "the membership is immutable")
	g.Expect(names(retained.With(stock(second), never, now.Add(grace-time.Millisecond)))).To(ConsistOf("m1", "m2"))
	g.Expect(names(retained.With(stock(second), never, now.Add(grace)))).To(ConsistOf("m2"))
}
