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

// The word that a request got another one's slot may be lost, and the word that
// yet another follows it may come all the same.
func TestARequestIsFollowedThatWasGivenNoSlot(t *testing.T) {
	g := NewWithT(t)
	d := &Dispatch{remotes: make(map[remoteKey]*remote)}
	owner := New(slots.DefaultRules(3), 1, time.Now())
	given := make(map[uint64]bool)
	ask := func(number uint64) {
		r := &remote{dispatch: d, gate: owner, answer: func(a peer.Grant) { given[a.ID] = given[a.ID] || a.Granted }}
		r.work = slots.Work{ID: owner.Reserve(), Host: "host-2", Number: number, Deadline: time.Now().Add(time.Minute)}
		d.addRemote(r)
		owner.Ask(r.work, r)
	}
	const first, second, third, fourth = 1, 2, 3, 4
	ask(first)
	ask(second)
	ask(third)
	d.HandleRelease("host-2", peer.Release{ID: second, ReuseID: third})
	ask(fourth)
	d.HandleRelease("host-2", peer.Release{ID: first})
	d.HandleRelease("host-2", peer.Release{ID: third})
	free, lent, waiting := owner.Counts()
	g.Expect([]int{free, lent, waiting}).To(Equal([]int{0, 1, 0}))
	g.Expect(given).To(HaveKeyWithValue(uint64(fourth), true))
}
