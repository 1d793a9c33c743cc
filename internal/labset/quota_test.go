package labset_test

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/labset"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

var ordering = map[string]string{"poplarrouter.kind": "order"}

// arrive opens so many connections of one kind at the first proxy, and returns
// those that were let in. The others must have been refused as overloaded.
func arrive(ctx context.Context, set *labset.Set, count int, settings map[string]string) []*pgx.Conn {
	var let []*pgx.Conn
	for range count {
		conn, err := tryConnect(ctx, set, settings)
		if err == nil {
			let = append(let, conn)
			continue
		}
		var told *pgconn.PgError
		Expect(errors.As(err, &told)).To(BeTrue(), "%v", err)
		Expect(told.Code).To(Equal(fault.Overloaded.SQLState()))
	}
	return let
}

func tryConnect(ctx context.Context, set *labset.Set, settings map[string]string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(set.URL(0))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range settings {
		c.RuntimeParams[name] = value
	}
	conn, err := pgx.ConnectConfig(ctx, c)
	if err == nil {
		DeferCleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

var _ = Describe("a proxy with more callers than places", func() {
	const places = 32

	It("keeps connections for each rank in a flood of the others", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1, Settings: func(s *config.Settings) { s.Limits.CallerConnections = places }})
		least := arrive(ctx, set, 2*places, counting)
		Expect(len(least)).To(Equal(places - places/4 - places/8))
		urgent := arrive(ctx, set, 2*places, ordering)
		Expect(urgent).To(HaveLen(places / 4))
		Expect(arrive(ctx, set, places, stock)).To(HaveLen(places / 8))
		_, err := urgent[0].Exec(ctx, "SELECT 1")
		Expect(err).NotTo(HaveOccurred())
		Expect(urgent[0].Close(ctx)).To(Succeed())
		Eventually(func() error { _, err := tryConnect(ctx, set, ordering); return err }).Should(Succeed(), "a place is free again")
	}, SpecTimeout(time.Minute))

	It("keeps room in the chain for urgent requests, and does not end a transaction for want of it", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{
			Members: 3, Proxies: 1, Member: labdb.Options{Slots: memberSlots, ServiceTime: 50 * time.Millisecond},
			Settings: func(s *config.Settings) { s.Limits.InFlight = places },
		})
		open := connect(ctx, set, 0, stock)
		_, err := open.Exec(ctx, "BEGIN READ ONLY")
		Expect(err).NotTo(HaveOccurred())
		_, stop := loopers(ctx, set, 1, 4*places, counting)
		defer stop()
		urgent := connect(ctx, set, 0, ordering)
		for range 20 {
			_, err := urgent.Exec(ctx, "SELECT 1")
			Expect(err).NotTo(HaveOccurred())
			_, err = open.Exec(ctx, "SELECT 1")
			Expect(err).NotTo(HaveOccurred())
		}
	}, SpecTimeout(time.Minute))
})
