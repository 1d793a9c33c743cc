package gate

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// want is a request of this proxy that waits for a slot of another proxy.
type want struct {
	station    *station
	dispatcher string
	// answer has room for one answer.
	answer chan peer.Grant
}

// hold is a slot that this proxy has of another one.
type hold struct {
	*want
	// next is the request that may use the slot next without asking, or 0.
	next uint64
	// run holds the earlier requests that used the slot.
	run []uint64
}

// askAgain is how long a request waits before it asks once more, since the
// question or its answer may have been lost with a connection.
const askAgain = time.Second

// acquireFrom asks another proxy for a slot, for as long as it is the
// dispatcher.
func (d *Dispatch) acquireFrom(ctx context.Context, s *station, dispatcher string, work slots.Work) (func(), error) {
	w := &want{station: s, dispatcher: dispatcher, answer: make(chan peer.Grant, 1)}
	id := d.addWant(w)
	release := func() { d.giveBack(id) }
	ask := func() bool {
		return d.options.Peers.Send(dispatcher, peer.Frame{Want: &peer.Want{
			ID: id, Database: s.database, Member: s.member.Name, Caller: work.Caller, Rank: work.Rank, Left: time.Until(work.Deadline),
		}})
	}
	if !ask() {
		release()
		return nil, fault.New(fault.Undispatched, "wait for slot", "dispatcher %s cannot be reached", dispatcher)
	}
	again := time.NewTicker(askAgain)
	defer again.Stop()
	for {
		holder, changed := s.holder.Watch()
		if holder != dispatcher {
			release()
			return nil, errReplaced(dispatcher)
		}
		select {
		case g := <-w.answer:
			return d.answered(w, g, release)
		case <-changed:
		case <-again.C:
			ask()
		case <-ctx.Done():
			release()
			return nil, fault.New(fault.Late, "wait for slot", "dispatcher %s gave no slot within the deadline", dispatcher)
		}
	}
}

func errReplaced(dispatcher string) error {
	return fault.New(fault.Undispatched, "wait for slot", "dispatcher %s was replaced", dispatcher)
}

func (d *Dispatch) answered(w *want, g peer.Grant, release func()) (func(), error) {
	switch {
	case !g.Given:
		return nil, fault.New(g.Refusal, "wait for slot", "%s", g.Detail)
	case w.station.dispatcher() != w.dispatcher:
		// The next dispatcher may have given the slot to another.
		release()
		return nil, errReplaced(w.dispatcher)
	default:
		return release, nil
	}
}

func (d *Dispatch) addWant(w *want) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	d.wants[d.lastID] = w
	return d.lastID
}

// giveBack ends a request: it withdraws it, or gives its slot back, or uses the
// slot for the request that may follow.
func (d *Dispatch) giveBack(id uint64) {
	done, dispatcher, follower := d.endWant(id)
	if dispatcher == "" {
		return
	}
	d.options.Peers.Send(dispatcher, peer.Frame{Done: &done})
	if follower != nil {
		follower.answer <- peer.Grant{ID: done.Next, Given: true}
	}
}

func (d *Dispatch) endWant(id uint64) (done peer.Done, dispatcher string, follower *want) {
	d.mu.Lock()
	defer d.mu.Unlock()
	done.ID = id
	if w, waits := d.wants[id]; waits {
		delete(d.wants, id)
		return done, w.dispatcher, nil
	}
	h, held := d.holds[id]
	if !held {
		return done, "", nil
	}
	delete(d.holds, id)
	follower = d.wants[h.next]
	if follower == nil || follower.station != h.station || h.station.holder.Load() != h.dispatcher {
		return done, h.dispatcher, nil
	}
	delete(d.wants, h.next)
	d.holds[h.next] = &hold{want: follower, run: append(slices.Clone(h.run), id)}
	done.Next = h.next
	return done, h.dispatcher, follower
}

// TakeGrant takes a dispatcher's answer, or its word on a slot that this proxy
// has. A slot that no request uses is given back.
func (d *Dispatch) TakeGrant(host string, g peer.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, waits := d.wants[g.ID]
	h, held := d.holds[g.ID]
	switch {
	case waits:
		delete(d.wants, g.ID)
		if g.Given {
			d.holds[g.ID] = &hold{want: w, next: g.Next}
		}
		w.answer <- g
	case held:
		h.next = g.Next
	case g.Given:
		done := peer.Done{ID: g.ID, Next: d.successor(g.ID), Unknown: g.ID <= d.firstID || g.ID > d.lastID}
		d.options.Peers.Send(host, peer.Frame{Done: &done})
	}
}

// successor returns the request that uses the slot of one that has ended, or 0.
// The lock must be held.
func (d *Dispatch) successor(id uint64) uint64 {
	for number, h := range d.holds {
		if slices.Contains(h.run, id) {
			return number
		}
	}
	return 0
}
