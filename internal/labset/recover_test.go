package labset_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"

	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/labset"
)

var _ = Describe("a rank whose work held slots for longer than its deadline", func() {
	It("is served again at once when the member is idle", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 1, Proxies: 1, Member: labdb.Options{Slots: memberSlots}})
		conn := connect(ctx, set, 0, stock)
		exec(ctx, conn, "BEGIN")
		// The caller pauses, and the open transaction holds its slot. The bound that the
		// estimate derives from this first hold time exceeds the deadline of 10 s.
		time.Sleep(5 * time.Second)
		exec(ctx, conn, "COMMIT")
		for range 10 {
			exec(ctx, conn, "SELECT 1")
		}
	}, SpecTimeout(time.Minute))
})
