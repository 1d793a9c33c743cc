package pick_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/pick"
)

func TestEqualWeightsGiveTheUnweightedOrder(t *testing.T) {
	g := NewWithT(t)
	names := []string{"a", "b", "c", "d", "e"}
	for _, key := range []string{"stock", "order", "tally"} {
		for _, weight := range []float64{0, 1, 0.4} {
			var hosts []pick.Host
			for _, name := range names {
				hosts = append(hosts, pick.Host{Name: name, Weight: weight})
			}
			g.Expect(pick.WeightedOrder(key, hosts)).To(Equal(pick.Order(key, names)))
		}
	}
}

// Two hosts whose weights differ fourfold, as processor capacities in a fleet do, get
// keys in that proportion.
func TestKeysAreProportionalToWeight(t *testing.T) {
	g := NewWithT(t)
	hosts := []pick.Host{{Name: "strong", Weight: 0.8}, {Name: "weak", Weight: 0.2}}
	strong := 0
	for i := range 10_000 {
		if pick.WeightedOrder(fmt.Sprint("key", i), hosts)[0] == "strong" {
			strong++
		}
	}
	g.Expect(strong).To(BeNumerically("~", 8_000, 150))
}

func TestLossOfAHostMovesOnlyItsKeys(t *testing.T) {
	g := NewWithT(t)
	hosts := []pick.Host{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 3}}
	for i := range 1_000 {
		key := fmt.Sprint("key", i)
		if first := pick.WeightedOrder(key, hosts)[0]; first != "c" {
			g.Expect(pick.WeightedOrder(key, hosts[:2])[0]).To(Equal(first))
		}
	}
}
