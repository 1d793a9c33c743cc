package flow_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// askError returns the error of a state request to a member to which connections fail with
// the given reason.
func askError(t *testing.T, reason error) error {
	pool, closePool := member.NewPool(member.PoolOptions{
		Address: "m", Limit: 1, IdleCheck: time.Minute, Modeless: true,
		Open: func(context.Context, member.Mode, string) (member.ProtocolConn, error) { return nil, reason },
	})
	t.Cleanup(closePool)
	control := flow.NewControl(flow.ControlOptions{Member: view.Member{Name: "m"}, Pool: func() *member.Pool { return pool }})
	_, err := control.Ask(t.Context(), false)
	return err
}

// TestMemberWithoutFreeConnectionsIsBusy guards against declaring members failed when all
// proxies restart at once: the connections of the ended processes still count against the
// members' limits, so the members refuse new ones.
func TestMemberWithoutFreeConnectionsIsBusy(t *testing.T) {
	g := NewWithT(t)
	var busy *member.BusyError
	g.Expect(askError(t, &flow.DeniedError{Refusal: flow.TooManyConnections})).To(BeAssignableToTypeOf(busy))
	g.Expect(askError(t, &flow.DeniedError{Refusal: flow.WrongMember})).NotTo(BeAssignableToTypeOf(busy))
	g.Expect(askError(t, errConnectionReset)).To(MatchError(errConnectionReset))
}

// probed asks a primary for its state over a pooled connection, and returns the error and how many
// connections are idle afterwards.
func probed(t *testing.T, refuses stmt.Kind) (state group.State, idle int, err error) {
	d := newGreyDatabase(func(q flow.Query) flow.Refusal {
		if q.Statement.Kind == refuses {
			return flow.Busy
		}
		return flow.Accepted
	})
	pool, closePool := member.NewPool(member.PoolOptions{
		Address: "m", Limit: 1, IdleCheck: time.Minute, Modeless: true,
		Open: func(context.Context, member.Mode, string) (member.ProtocolConn, error) {
			return flow.NewMemberConn(d), nil
		},
	})
	t.Cleanup(closePool)
	control := flow.NewControl(flow.ControlOptions{Member: view.Member{Name: "m"}, Pool: func() *member.Pool { return pool }})
	state, err = control.Ask(t.Context(), false)
	_, idle = pool.Counts()
	return state, idle, err
}

// TestProbeThatDoesNotEndClosesItsConnection guards against callers' statements that run inside the
// transaction of a probe: the member refuses to end it.
func TestProbeThatDoesNotEndClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	state, idle, err := probed(t, stmt.Rollback)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state.Role).To(Equal(group.Primary))
	g.Expect(idle).To(BeZero())
}

// TestPrimaryThatRefusesAProbeIsBusy guards against a primary that is taken for a replica because it
// refuses the BEGIN of a probe for another reason than its role.
func TestPrimaryThatRefusesAProbeIsBusy(t *testing.T) {
	g := NewWithT(t)
	_, idle, err := probed(t, stmt.Begin)
	var busy *member.BusyError
	g.Expect(err).To(BeAssignableToTypeOf(busy))
	g.Expect(idle).To(Equal(1))
}
