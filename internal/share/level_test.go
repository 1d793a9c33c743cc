package share_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/share"
)

// TestABurstInOneDataCentreGetsWhatOthersLeave is the load of a burst at two of nine
// proxies: they get the connections that the others do not want.
func TestABurstInOneDataCentreGetsWhatOthersLeave(t *testing.T) {
	g := NewWithT(t)
	wants := map[string]int{"a1": 40, "a2": 40, "b1": 2, "b2": 2, "b3": 2, "b4": 2, "c1": 2, "c2": 2, "c3": 2}
	g.Expect(share.FairShare(58, "a1", wants)).To(Equal(22))
	g.Expect(share.FairShare(58, "b1", wants)).To(Equal(2))
}

func TestWithoutABurstAllHaveSpareShares(t *testing.T) {
	g := NewWithT(t)
	wants := map[string]int{"a": 2, "b": 3, "c": 1}
	g.Expect(share.FairShare(30, "a", wants)).To(Equal(10))
	g.Expect(share.FairShare(30, "b", wants)).To(Equal(11))
	g.Expect(share.FairShare(30, "c", wants)).To(Equal(9))
}

func TestLevelsKeepTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 200).Draw(t, "total")
		wants := rapid.MapOfN(rapid.StringN(1, 3, 3), rapid.IntRange(0, 60), 1, 20).Draw(t, "wants")
		sum, wanted, least := 0, 0, 0
		for host, want := range wants {
			level := share.FairShare(total, host, wants)
			sum += level
			wanted += want
			if level == 1 {
				least++
			}
			if level < 1 {
				t.Fatalf("host %q: got %d, want at least 1", host, level)
			}
		}
		if sum-least > total {
			t.Fatalf("got %d in all beside the least shares, want at most %d", sum-least, total)
		}
		if wanted <= total {
			for host, want := range wants {
				if share.FairShare(total, host, wants) < want {
					t.Fatalf("host %q: got less than the %d it wants, though all wants fit", host, want)
				}
			}
		}
	})
}
