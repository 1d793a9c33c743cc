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
	lm := &LeaseManager{remoteRequests: make(map[remoteKey]*remoteRequest)}
	notifiedAt := 0
	r := &remoteRequest{
		manager: lm, gate: New(slots.DefaultRules(1), 1, time.Now()), work: slots.Work{Host: "host-2", Number: 7},
		reply: func(peer.Grant) { notifiedAt++ },
	}
	r.Granted()
	r.ReuseAssigned(8)
	r.Refused(errClosed())
	g.Expect(notifiedAt).To(BeZero())
	lm.remoteRequests[r.key()] = r
	r.Granted()
	r.ReuseAssigned(8)
	r.Refused(errClosed())
	g.Expect(notifiedAt).To(Equal(3), "one that still waits is told")
	g.Expect(lm.remoteRequests).To(BeEmpty())
}

// The word that a request got another one's slot may be lost, and the word that
// yet another follows it may come all the same.
func TestARequestIsFollowedThatWasGivenNoSlot(t *testing.T) {
	g := NewWithT(t)
	lm := &LeaseManager{remoteRequests: make(map[remoteKey]*remoteRequest)}
	owner := New(slots.DefaultRules(3), 1, time.Now())
	granted := make(map[uint64]bool)
	ask := func(number uint64) {
		r := &remoteRequest{manager: lm, gate: owner, reply: func(a peer.Grant) { granted[a.ID] = granted[a.ID] || a.Given }}
		r.work = slots.Work{ID: owner.ReserveID(), Host: "host-2", Number: number, Deadline: time.Now().Add(time.Minute)}
		lm.addRemote(r)
		owner.Request(r.work, r)
	}
	const first, second, third, fourth = 1, 2, 3, 4
	ask(first)
	ask(second)
	ask(third)
	lm.TakeDone("host-2", peer.Done{ID: second, Next: third})
	ask(fourth)
	lm.TakeDone("host-2", peer.Done{ID: first})
	lm.TakeDone("host-2", peer.Done{ID: third})
	free, lent, waiting := owner.Counts()
	g.Expect([]int{free, lent, waiting}).To(Equal([]int{0, 1, 0}))
	g.Expect(granted).To(HaveKeyWithValue(uint64(fourth), true))
}
