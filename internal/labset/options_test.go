package labset_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labset"
)

// These specs guard against start-up options that the proxy splits in other places than PostgreSQL
// does, so that part of one setting's value is read as another setting, or a setting is not read.
var _ = Describe("start-up options", func() {
	It("are split as PostgreSQL splits them", func(ctx context.Context) {
		set := startSet(ctx, labset.Options{Members: 1, Proxies: 1})
		for options, want := range map[string]string{
			`-c poplarrouter.kind=stock`:                              "stock",
			`-cpoplarrouter.kind=stock`:                               "stock",
			`--poplarrouter.kind=stock`:                               "stock",
			`-c  application_name=x  -c  poplarrouter.kind=stock `:    "stock",
			`-c application_name=x-c -c poplarrouter.kind=stock`:      "stock",
			`-c poplarrouter.kind=st\ock`:                             "stock",
			`-c application_name=x\ poplarrouter.kind=stock`:          "",
			`-c application_name=x\ -c\ poplarrouter.kind=stock`:      "",
			`-c application_name=x\\ -c poplarrouter.kind=stock`:      "stock",
			`-c application_name=x\ --poplarrouter.kind=stock -c x=y`: "",
		} {
			conn, err := tryConnect(ctx, set, map[string]string{"options": options})
			Expect(err).NotTo(HaveOccurred(), options)
			results, err := conn.PgConn().Exec(ctx, "SHOW poplarrouter.kind").ReadAll()
			Expect(err).NotTo(HaveOccurred(), options)
			Expect(string(results[0].Rows[0][0])).To(Equal(want), options)
		}
	})
})
