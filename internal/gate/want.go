package gate

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// want is a request of this proxy that waits for a slot of another proxy.
type want struct {
	station    *station
	dispatcher string
	// answer has room for one answer.
	answer chan answer
	// asked is when the dispatcher was asked first.
	asked time.Time
}

// answer is what a request is told: that it has a slot until a time, or why not.
type answer struct {
	until time.Time
	err   error
}

// hold is a slot that this proxy has of another one.
type hold struct {
	*want
	// next is the request that may use the slot next without asking, or 0.
	next uint64
	// past are the ended requests that had the slot before, since it was given.
	past []uint64
	// until is when the slot lapses.
	until time.Time
}

// askAgain is how long a request waits before it asks once more, since the
// question or its answer may have been lost with a connection.
const askAgain = time.Second

// acquireFrom asks another proxy for a slot, for as long as it is the
// dispatcher.
func (d *Dispatch) acquireFrom(ctx context.Context, s *station, dispatcher string, work slots.Work) (chain.Permit, error) {
	w := &want{station: s, dispatcher: dispatcher, answer: make(chan answer, 1), asked: time.Now()}
	id := d.addWant(w)
	release := func() { d.giveBack(id) }
	ask := func() bool {
		return d.options.Peers.Send(dispatcher, peer.Frame{PermitRequest: &peer.PermitRequest{
			ID: id, Database: s.database, Member: s.member.Name, Caller: work.Caller, Rank: work.Rank, TimeLeft: time.Until(work.Deadline), Waited: time.Since(w.asked),
		}})
	}
	if !ask() {
		release()
		return chain.Permit{}, fault.New(fault.Undispatched, "wait for slot", "dispatcher %s cannot be reached", dispatcher)
	}
	again := time.NewTicker(askAgain)
	defer again.Stop()
	for {
		holder, changed := s.holder.Watch()
		if holder != dispatcher {
			release()
			return chain.Permit{}, errReplaced(dispatcher)
		}
		select {
		case a := <-w.answer:
			return chain.Permit{ExpiresAt: a.until, Release: release}, a.err
		case <-changed:
		case <-again.C:
			ask()
		case <-ctx.Done():
			release()
			return chain.Permit{}, fault.New(fault.Late, "wait for slot", "dispatcher %s gave no slot within the deadline", dispatcher)
		}
	}
}

func errReplaced(dispatcher string) error {
	return fault.New(fault.Undispatched, "wait for slot", "dispatcher %s was replaced", dispatcher)
}

// lapses returns when a slot lapses by the dispatcher's word. The two clocks are
// not compared: both count from the request, which this proxy sent before the
// dispatcher received it.
func (w *want) lapses(g peer.Grant) time.Time { return w.asked.Add(g.Waited + g.ValidFor) }

func (d *Dispatch) addWant(w *want) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	d.wants[d.lastID] = w
	return d.lastID
}

// giveBack ends a request: it withdraws it, or gives its slot back, or uses the
// slot for the request that may follow.
//
// The lock is held until the frame is sent, so that the dispatcher hears of all
// ends in the order in which they happened.
func (d *Dispatch) giveBack(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	done, dispatcher, follower := d.endWant(id, time.Now())
	if dispatcher == "" {
		return
	}
	d.options.Peers.Send(dispatcher, peer.Frame{Release: &done})
	if follower != nil {
		follower.answer <- answer{until: follower.until}
	}
}

// endWant notes the end of a request, and returns what its dispatcher must be
// told, if there is one, and the request that follows on its slot, if any. The
// lock must be held.
func (d *Dispatch) endWant(id uint64, now time.Time) (done peer.Release, dispatcher string, follower *hold) {
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
	w := d.wants[h.next]
	if w == nil || w.station != h.station || h.station.holder.Load() != h.dispatcher || !now.Before(h.until) {
		return done, h.dispatcher, nil
	}
	delete(d.wants, h.next)
	follower = &hold{want: w, until: h.until, past: append(slices.Clip(h.past), id)}
	d.holds[h.next] = follower
	done.ReuseID = h.next
	return done, h.dispatcher, follower
}

// HandleGrant takes a dispatcher's answer, or its word on a slot that this proxy
// has. If the request has ended, the dispatcher is told so again, since its word
// may have been lost.
func (d *Dispatch) HandleGrant(host string, g peer.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, waits := d.wants[g.ID]
	h, held := d.holds[g.ID]
	switch {
	case waits && g.Granted:
		delete(d.wants, g.ID)
		until := w.lapses(g)
		d.holds[g.ID] = &hold{want: w, next: g.ReuseID, until: until}
		w.answer <- answer{until: until}
	case waits:
		delete(d.wants, g.ID)
		w.answer <- answer{err: fault.New(g.Refusal, "wait for slot", "%s", g.Detail)}
	case held:
		h.next = g.ReuseID
		if until := h.lapses(g); until.After(h.until) {
			h.until = until
		}
	case g.Granted:
		d.options.Peers.Send(host, peer.Frame{Release: &peer.Release{ID: g.ID, ReuseID: d.heir(g.ID)}})
	}
}

// heir returns the request that runs by now on the slot of one that has ended, or
// 0 if none does. The lock must be held.
func (d *Dispatch) heir(ended uint64) uint64 {
	for id, h := range d.holds {
		if slices.Contains(h.past, ended) {
			return id
		}
	}
	return 0
}
