package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/peer"
)

const lender = "host-2"

// outbox takes what a proxy sends, and tells whether the dispatch was locked at
// each frame.
type outbox struct {
	dispatch *Dispatch
	done     []peer.Release
	locked   []bool
}

func (o *outbox) Heard(string) time.Time { return time.Now() }

func (o *outbox) Send(_ string, f peer.Frame) bool {
	o.done = append(o.done, *f.Release)
	free := o.dispatch.mu.TryLock()
	if free {
		o.dispatch.mu.Unlock()
	}
	o.locked = append(o.locked, !free)
	return true
}

// asks returns a proxy that has asked for a slot for so many requests.
func asks(count int) (d *Dispatch, sent *outbox, ids []uint64) {
	sent = &outbox{}
	d = &Dispatch{options: Options{Peers: sent}, wants: make(map[uint64]*want), holds: make(map[uint64]*hold)}
	sent.dispatch = d
	s := &station{dispatch: d, holder: duty.NewCell(lender)}
	for range count {
		w := &want{station: s, dispatcher: lender, answer: make(chan answer, 1), asked: time.Now()}
		ids = append(ids, d.addWant(w))
	}
	return d, sent, ids
}

// tell tells the proxy that a request has a slot, and which one may follow.
func tell(d *Dispatch, id, next uint64) {
	d.HandleGrant(lender, peer.Grant{ID: id, Granted: true, ReuseID: next, ValidFor: time.Minute})
}

// The dispatcher's word on a slot may cross the word that other work follows on
// it, which may even be lost. If the slot were given back then, it would be lent
// to others while that work runs.
func TestASlotThatIsFollowedIsNotGivenBack(t *testing.T) {
	g := NewWithT(t)
	d, sent, ids := asks(3)
	first, second, third := ids[0], ids[1], ids[2]
	tell(d, first, second)
	d.giveBack(first)
	tell(d, first, 0)
	g.Expect(sent.done).To(Equal([]peer.Release{{ID: first, ReuseID: second}, {ID: first, ReuseID: second}}))
	tell(d, second, third)
	d.giveBack(second)
	tell(d, first, 0)
	g.Expect(sent.done[2:]).To(Equal([]peer.Release{{ID: second, ReuseID: third}, {ID: first, ReuseID: third}}))
	d.giveBack(third)
	tell(d, first, 0)
	g.Expect(sent.done[4:]).To(Equal([]peer.Release{{ID: third}, {ID: first}}), "nothing runs on the slot any more")
}

// Work that follows may end at once. The dispatcher must not hear of its end
// before it hears of its beginning.
func TestEndsAreSentInTheirOrder(t *testing.T) {
	g := NewWithT(t)
	d, sent, ids := asks(2)
	first, second := ids[0], ids[1]
	tell(d, first, second)
	d.giveBack(first)
	d.giveBack(second)
	g.Expect(sent.done).To(Equal([]peer.Release{{ID: first, ReuseID: second}, {ID: second}}))
	g.Expect(sent.locked).To(Equal([]bool{true, true}), "no other end is noted before the frame is sent")
}
