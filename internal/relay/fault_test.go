package relay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/internal/stmt"
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

// TestReplyThatCannotBeToldToTheCallerIsUnknown guards against an answer without an error code or a
// state, which the caller reads as another one, because another host sent a number that this
// release does not have.
func TestReplyThatCannotBeToldToTheCallerIsUnknown(t *testing.T) {
	for _, reply := range []flow.Reply{{Refusal: flow.Unauthorized + 1, Text: "new"}, {Refusal: 255}, {Phase: stmt.Failed + 1}, {Phase: 255}} {
		g := NewWithT(t)
		o := newFakeOwner(t)
		conn, ownerEnd := o.open(t)
		go func() { _, _ = answer(ownerEnd, relay.Outcome{Reply: reply}) }()
		r := write()
		err := conn.Run(t.Context(), r)
		g.Expect(err).To(HaveOccurred())
		g.Expect(fault.FromError(err).Kind).To(Equal(fault.Severed))
		g.Expect(r.Answer.Whole).To(BeFalse())
	}
}
