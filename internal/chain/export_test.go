package chain

import (
	"context"

	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/sheet"
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

// KeysInForce returns the sheet in force and whether its keys can be accepted.
func KeysInForce(o Options) (sheet.Sheet, bool) { return (&filters{Options: o}).keys() }
