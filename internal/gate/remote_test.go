package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
)

// A request may end while the gate is granting its permit. The permit is released
// then, so its proxy must not receive the grant.
func TestEndedRequestGetsNoReply(t *testing.T) {
	g := NewWithT(t)
	lm := &LeaseManager{remoteRequests: make(map[remoteKey]*remoteRequest)}
	replies := 0
	r := &remoteRequest{
		manager: lm, gate: New(slots.DefaultRules(1), 1, time.Now()), work: slots.Work{Host: "host-2", Number: 7},
		reply: func(peer.Grant) { replies++ },
	}
	r.Granted()
	r.ReuseAssigned(8)
	r.Refused(errClosed())
	g.Expect(replies).To(BeZero())
	lm.remoteRequests[r.key()] = r
	r.Granted()
	r.ReuseAssigned(8)
	r.Refused(errClosed())
	g.Expect(replies).To(Equal(3), "a request that still waits gets its replies")
	g.Expect(lm.remoteRequests).To(BeEmpty())
}

// The message that a request reuses another one's permit may be lost, while the
// message that a third request reuses it in turn arrives.
func TestReuseOfAPermitThatWasNotGranted(t *testing.T) {
	g := NewWithT(t)
	lm := &LeaseManager{remoteRequests: make(map[remoteKey]*remoteRequest)}
	permits := New(slots.DefaultRules(3), 1, time.Now())
	granted := make(map[uint64]bool)
	ask := func(number uint64) {
		r := &remoteRequest{manager: lm, gate: permits, reply: func(a peer.Grant) { granted[a.ID] = granted[a.ID] || a.Granted }}
		r.work = slots.Work{ID: permits.ReserveID(), Host: "host-2", Number: number, Deadline: time.Now().Add(time.Minute)}
		lm.addRemote(r)
		permits.Request(r.work, r)
	}
	const first, second, third, fourth = 1, 2, 3, 4
	ask(first)
	ask(second)
	ask(third)
	lm.HandleRelease("host-2", peer.Release{ID: second, ReuseID: third})
	ask(fourth)
	lm.HandleRelease("host-2", peer.Release{ID: first})
	lm.HandleRelease("host-2", peer.Release{ID: third})
	free, lent, waiting := permits.Counts()
	g.Expect([]int{free, lent, waiting}).To(Equal([]int{0, 1, 0}))
	g.Expect(granted).To(HaveKeyWithValue(uint64(fourth), true))
}
