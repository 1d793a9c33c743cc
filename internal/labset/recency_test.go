package labset_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labset"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// putCustomers loads a sheet with the given customers.
func putCustomers(ctx SpecContext, set *labset.Set, customers ...sheet.Customer) {
	GinkgoHelper()
	object, err := set.Store().Get(ctx, string(book.Sheet))
	Expect(err).NotTo(HaveOccurred())
	var doc book.SheetDoc
	Expect(json.Unmarshal(object.Value, &doc)).To(Succeed())
	doc.Serial++
	doc.Customers = customers
	Expect(set.Put(book.Sheet, doc)).To(Succeed())
}

var _ = Describe("the recency of the list of keys", func() {
	// Guards against proxies that stay ready although no one can prove that a key was not
	// removed, and against a proxy without a path to the store that does not learn from its
	// peers that the list is recent.
	It("decides whether a proxy is ready", func(ctx SpecContext) {
		const revoke = 2500
		set := startSet(ctx, labset.Options{Members: 1, Proxies: 4, Settings: func(s *config.Settings) {
			s.Customers.StrictRevocation, s.Customers.RevokeMs = true, revoke
			s.Timing.BeatMs = 200
			if s.Host == "host-4" {
				s.StoreAddress = "127.0.0.1:1"
				s.Timing.ApplyMs = 500
			}
		}})
		ready := func() (n int) {
			for _, p := range set.Proxies() {
				if labset.Ready(ctx, p.Settings.OperatorAddress) {
					n++
				}
			}
			return n
		}
		putCustomers(ctx, set, sheet.Customer{Name: "kranz", KeyDigests: []string{sheet.KeyDigest("one")}})
		// host-4 needs an answer of a peer.
		time.Sleep(2 * revoke * time.Millisecond)
		Eventually(ready, 10*time.Second).Should(Equal(4))
		Consistently(ready, 2*revoke*time.Millisecond, 20*time.Millisecond).Should(Equal(4))
		set.Store().SetDown(true)
		Eventually(ready, 2*revoke*time.Millisecond, 20*time.Millisecond).Should(BeZero())
		set.Store().SetDown(false)
		Eventually(ready, 10*time.Second).Should(Equal(4))
		// Without customers no proof is needed.
		putCustomers(ctx, set)
		time.Sleep(revoke * time.Millisecond)
		set.Store().SetDown(true)
		Consistently(ready, 2*revoke*time.Millisecond, 20*time.Millisecond).Should(Equal(4))
	}, SpecTimeout(time.Minute))
})
