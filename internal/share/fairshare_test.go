package share_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/share"
)

// TestFairShareOfBurstInOneDataCentre puts a burst on two of nine proxies. They must
// receive the connections for which the others have no demand.
func TestFairShareOfBurstInOneDataCentre(t *testing.T) {
	g := NewWithT(t)
	demand := map[string]int{"a1": 40, "a2": 40, "b1": 2, "b2": 2, "b3": 2, "b4": 2, "c1": 2, "c2": 2, "c3": 2}
	g.Expect(share.FairShare(58, "a1", demand)).To(Equal(22))
	g.Expect(share.FairShare(58, "b1", demand)).To(Equal(2))
}

func TestFairShareDividesSpareCapacity(t *testing.T) {
	g := NewWithT(t)
	demand := map[string]int{"a": 2, "b": 3, "c": 1}
	g.Expect(share.FairShare(30, "a", demand)).To(Equal(10))
	g.Expect(share.FairShare(30, "b", demand)).To(Equal(11))
	g.Expect(share.FairShare(30, "c", demand)).To(Equal(9))
}

func TestFairSharesDoNotExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 200).Draw(t, "total")
		demand := rapid.MapOfN(rapid.StringN(1, 3, 3), rapid.IntRange(0, 60), 1, 20).Draw(t, "demand")
		sum, demanded, minimal := 0, 0, 0
		for host, need := range demand {
			got := share.FairShare(total, host, demand)
			sum += got
			demanded += need
			if got == 1 {
				minimal++
			}
			if got < 1 {
				t.Fatalf("host %q: got %d, want at least 1", host, got)
			}
		}
		if sum-minimal > total {
			t.Fatalf("got %d in total beside the minimum shares of 1, want at most %d", sum-minimal, total)
		}
		if demanded <= total {
			for host, need := range demand {
				if share.FairShare(total, host, demand) < need {
					t.Fatalf("host %q: got less than its demand of %d, although the total covers all demand", host, need)
				}
			}
		}
	})
}
