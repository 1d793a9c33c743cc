package gate

import (
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// TestGrantWithAnUnknownRefusalIsNotRun guards against a process that ends because a lease holder
// names a fault that this release does not have, and against "unknown" for work that was never sent.
func TestGrantWithAnUnknownRefusalIsNotRun(t *testing.T) {
	for _, refusal := range []fault.Kind{fault.Kind(len(fault.Kinds())), 255, fault.Severed} {
		g := NewWithT(t)
		lm, _, ids := newRequester(1)
		r := lm.requests[ids[0]]
		lm.HandleGrant(holder, peer.Grant{ID: ids[0], Refusal: refusal, Detail: "a new fault"})
		err := fault.FromError((<-r.answer).err)
		g.Expect(err.Message()).To(And(ContainSubstring("a new fault"), ContainSubstring("outcome: not run")))
		g.Expect(err.Kind).To(Equal(fault.Undispatched))
	}
}
