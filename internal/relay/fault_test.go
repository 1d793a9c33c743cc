package relay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// TestOutcomeWithAnUnknownFaultIsUnknown guards against a process that ends, or a caller that is
// told "not run", because another host names a fault that this release does not have.
func TestOutcomeWithAnUnknownFaultIsUnknown(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	go func() {
		_, _ = answer(ownerEnd, relay.Outcome{Failed: true, Fault: fault.Kind(len(fault.Kinds())), Text: "a new fault"})
	}()
	err := fault.FromError(conn.Run(t.Context(), write()))
	g.Expect(err.Message()).To(And(ContainSubstring("a new fault"), ContainSubstring("outcome: unknown")))
	g.Expect(err.Kind).To(Equal(fault.Severed))
}
