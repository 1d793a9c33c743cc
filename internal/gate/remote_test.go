package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
)

// A request may be ended while the gate is making its grant. Its slot is taken
// back then, so that its proxy must not hear of it.
func TestAnEndedRequestIsToldNothing(t *testing.T) {
	g := NewWithT(t)
	d := &Dispatch{remotes: make(map[remoteKey]*remote)}
	told := 0
	r := &remote{
		dispatch: d, gate: New(slots.DefaultRules(1), 1, time.Now()), work: slots.Work{Host: "host-2", Number: 7},
		answer: func(peer.Grant) { told++ },
	}
	r.Granted()
	r.MayFollow(8)
	r.Refused(errClosed())
	g.Expect(told).To(BeZero())
	d.remotes[r.key()] = r
	r.Granted()
	r.MayFollow(8)
	r.Refused(errClosed())
	g.Expect(told).To(Equal(3), "one that still waits is told")
	g.Expect(d.remotes).To(BeEmpty())
}
