package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/peer"
)

const holder = "host-2"

// outbox records the frames that a proxy sends, and whether the manager was locked at
// each frame.
type outbox struct {
	manager *LeaseManager
	done    []peer.Release
	locked  []bool
}

func (o *outbox) Heard(string) time.Time { return time.Now() }

func (o *outbox) Send(_ string, f peer.Frame) bool {
	o.done = append(o.done, *f.Release)
	free := o.manager.mu.TryLock()
	if free {
		o.manager.mu.Unlock()
	}
	o.locked = append(o.locked, !free)
	return true
}

// newRequester returns a proxy with the given number of outstanding permit requests.
func newRequester(count int) (lm *LeaseManager, sent *outbox, ids []uint64) {
	sent = &outbox{}
	lm = &LeaseManager{options: Options{Peers: sent}, requests: make(map[uint64]*permitRequest), permits: make(map[uint64]*heldPermit)}
	sent.manager = lm
	l := &memberLease{manager: lm, holder: duty.NewCell(holder)}
	for range count {
		r := &permitRequest{memberLease: l, host: holder, answer: make(chan answer, 1), requestedAt: time.Now()}
		ids = append(ids, lm.addRequest(r))
	}
	return lm, sent, ids
}

// grantTo grants a permit to a request, and names the request that may reuse it.
func grantTo(lm *LeaseManager, id, next uint64) {
	lm.HandleGrant(holder, peer.Grant{ID: id, Granted: true, ReuseID: next, ValidFor: time.Minute})
}

// A lease holder's update of a permit may cross the message that another request
// reuses that permit, and that message may be lost. If the proxy then released the
// permit, the slot would be granted to others while the other request runs.
func TestReusedPermitIsNotReleased(t *testing.T) {
	g := NewWithT(t)
	lm, sent, ids := newRequester(3)
	first, second, third := ids[0], ids[1], ids[2]
	grantTo(lm, first, second)
	lm.releaseRequest(first)
	grantTo(lm, first, 0)
	g.Expect(sent.done).To(Equal([]peer.Release{{ID: first, ReuseID: second}, {ID: first, ReuseID: second}}))
	grantTo(lm, second, third)
	lm.releaseRequest(second)
	grantTo(lm, first, 0)
	g.Expect(sent.done[2:]).To(Equal([]peer.Release{{ID: second, ReuseID: third}, {ID: first, ReuseID: third}}))
	lm.releaseRequest(third)
	grantTo(lm, first, 0)
	g.Expect(sent.done[4:]).To(Equal([]peer.Release{{ID: third}, {ID: first}}), "nothing uses the permit any more")
}

// A request that reuses a permit may end at once. The lease holder must not receive
// its end before its beginning.
func TestEndsAreSentInOrder(t *testing.T) {
	g := NewWithT(t)
	lm, sent, ids := newRequester(2)
	first, second := ids[0], ids[1]
	grantTo(lm, first, second)
	lm.releaseRequest(first)
	lm.releaseRequest(second)
	g.Expect(sent.done).To(Equal([]peer.Release{{ID: first, ReuseID: second}, {ID: second}}))
	g.Expect(sent.locked).To(Equal([]bool{true, true}), "no other end is noted before the frame is sent")
}
