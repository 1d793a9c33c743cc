package chain

import (
	"context"

	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
)

// RunLeased runs a request that may write on a connection and a permit, and skips the filters
// that would obtain them.
func RunLeased(ctx context.Context, o Options, r *Request, pool *member.Pool, conn *member.Conn, permit Permit) error {
	r.Lease = &Lease{Conn: conn, Member: view.Member{Name: "m"}, MayWrite: true, pool: pool, permit: permit}
	return (&filters{Options: o}).run(ctx, r)
}

// CannotServe, SkippedMembers and RelayTurn are exported for tests.
var (
	CannotServe    = cannotServe
	SkippedMembers = skippedMembers
	RelayTurn      = relayTurn
)
