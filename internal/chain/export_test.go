package chain

import (
	"context"

	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
)

// RunLeased runs a request that may write on a connection lent from a pool, with a
// slot, without the filters before that step.
func RunLeased(ctx context.Context, o Options, r *Request, pool *member.Pool, conn *member.Conn, slot Permit) error {
	r.Lease = &Lease{Conn: conn, Member: view.Member{Name: "m"}, MayWrite: true, pool: pool, slot: slot}
	return (&filters{Options: o}).run(ctx, r)
}

// CannotServe and SkippedMembers are exported for tests.
var (
	CannotServe = cannotServe
	SkippedMembers     = skippedMembers
)
