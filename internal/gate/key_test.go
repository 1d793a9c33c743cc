package gate

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestKeysOfMembersDiffer guards against a member that is taken for one of another database, so that
// its lease is not watched and the other one's permits are given out for it.
func TestKeysOfMembersDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", `"`, `"a`, `a"`, `\`}), 2, 5).Draw(t, "parts")
		split := func(label string) [2]string {
			i := rapid.IntRange(1, len(parts)-1).Draw(t, label)
			return [2]string{strings.Join(parts[:i], "/"), strings.Join(parts[i:], "/")}
		}
		first, second := split("first"), split("second")
		if a, b := leaseKey(first[0], first[1]), leaseKey(second[0], second[1]); (a == b) != (first == second) {
			t.Fatalf("got keys %s and %s of %q and %q", a, b, first, second)
		}
	})
	if got := leaseKey("stock", "m0"); got != "stock/m0" {
		t.Fatalf("got key %s, want stock/m0", got)
	}
}
