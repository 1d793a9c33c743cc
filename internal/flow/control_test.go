package flow_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
)

// asked asks a member whose connections cannot be opened for a reason.
func asked(t *testing.T, reason error) error {
	pool, closePool := member.NewPool(member.PoolOptions{
		Address: "m", Limit: 1, IdleCheck: time.Minute, Modeless: true,
		Open: func(context.Context, member.Mode) (member.ProtocolConn, error) { return nil, reason },
	})
	t.Cleanup(closePool)
	control := flow.NewControl(flow.ControlOptions{Member: view.Member{Name: "m"}, Pool: func() *member.Pool { return pool }})
	_, err := control.Ask(t.Context(), false)
	return err
}

// TestAFullMemberIsNotSilent is the restart of all proxies at once: the connections of
// the ended processes still fill the members, which answer that they take no more.
func TestAFullMemberIsNotSilent(t *testing.T) {
	g := NewWithT(t)
	var busy *member.BusyError
	g.Expect(asked(t, &flow.DeniedError{Refusal: flow.Full})).To(BeAssignableToTypeOf(busy))
	g.Expect(asked(t, &flow.DeniedError{Refusal: flow.Elsewhere})).NotTo(BeAssignableToTypeOf(busy))
	g.Expect(asked(t, errCut)).To(MatchError(errCut))
}
