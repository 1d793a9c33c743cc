package ctrl_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/pkg/group"
)

func TestTokensGrowWithTermsAndAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := ctrl.NewTokens("a")
		now := time.Unix(1_800_000_000, 0)
		term, last := group.Term(1), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "attempts") {
			term += group.Term(rapid.IntRange(0, 1).Draw(t, "terms")) //nolint:gosec // 0 or 1
			// The clock may be set back between two attempts.
			now = now.Add(time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "passed")) * time.Millisecond)
			token := tokens.Next(term, now)
			if token <= last {
				t.Fatalf("got token %d after %d, want a higher one", token, last)
			}
			if token >= 1<<53 {
				t.Fatalf("got token %d, want one below 2^53", token)
			}
			last = token
		}
	})
}

func TestHostsHaveDifferentTokens(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	g.Expect(ctrl.NewTokens("front-a-1").Next(2, now)).NotTo(Equal(ctrl.NewTokens("front-a-2").Next(2, now)))
	later := ctrl.NewTokens("front-a-1").Next(3, now.Add(-time.Hour))
	g.Expect(later).To(BeNumerically(">", ctrl.NewTokens("front-a-2").Next(2, now)), "a later term outranks an earlier one, whatever the clock shows")
}

// TestLaterAttemptOfAnotherHostOutranksAnEarlierOne covers an order that the platform carries
// out seconds late. If the token of a later claim, made by another host in the same second,
// is lower, the promotion of that claim is refused once the late order has been carried out.
func TestLaterAttemptOfAnotherHostOutranksAnEarlierOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.StringMatching("front-[a-z]{2}-[0-9]{1,3}")
		earlier, later := ctrl.NewTokens(host.Draw(t, "earlier")), ctrl.NewTokens(host.Draw(t, "later"))
		now := time.Unix(1_800_000_000, rapid.Int64Range(0, 999_999_999).Draw(t, "nanoseconds"))
		// The stagger of the next voter.
		first, second := earlier.Next(2, now), later.Next(2, now.Add(500*time.Millisecond))
		if second <= first {
			t.Fatalf("got token %d after %d, want a higher one", second, first)
		}
	})
}
