package gate_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
)

const self = "host-1"

// alone is the one host, with no peers.
type alone struct{}

func (alone) Book() book.DocumentSet {
	held, _, _ := book.DocumentSet{}.With(book.Doc{Kind: book.Hosts, Serial: 1, Body: []byte(`{"Serial":1,"Hosts":[{"Name":"` + self + `"}]}`)})
	return held
}
func (alone) Send(string, peer.Frame) bool { return false }
func (alone) Heard(string) time.Time       { return time.Time{} }

func (alone) TellClaim(string, elect.Claim, []string) {}

func (alone) AskWatchers(string, group.Term, []string) {}

// listing is what the proxy watches.
type listing struct{ *duty.Cell[[]ctrl.Watched] }

func (l listing) Watched() ([]ctrl.Watched, <-chan struct{}) { return l.Watch() }

// dispatched is a member that only knows its dispatcher.
type dispatched struct {
	member.Dispatcher
	mu    sync.Mutex
	named string
	// evicts makes the member name nobody after it was asked to name a host.
	evicts bool
	ended  bool
}

// sleepsAtMost is longer than a sleeping gate waits until it asks its member.
const sleepsAtMost = 10 * time.Second

// end makes the member answer no more.
func (d *dispatched) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
}

// connection is the member as one connection reaches it.
type connection struct {
	*dispatched
	leads bool
}

// Close ends the dispatch if this is the leading connection.
func (c *connection) Close() {
	if !c.leads {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.named = ""
}

func (d *dispatched) Ask(context.Context, bool) (group.State, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return group.State{}, &member.StatusError{Got: "nothing", Want: "a state"}
	}
	return group.State{Role: group.Primary, Term: 1, LeaseHolder: d.named}, nil
}

func (c *connection) Lead(ctx context.Context, host string) (group.State, error) {
	c.leads = true
	c.mu.Lock()
	c.named = host
	c.mu.Unlock()
	state, err := c.Ask(ctx, true)
	if c.evicts {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.named = ""
	}
	return state, err
}

// lone starts the dispatch of one host, which watches nothing yet.
func lone(t *testing.T) (*gate.Dispatch, func(slots int)) {
	d, list, _ := loneOf(t, &dispatched{})
	return d, list
}

func loneOf(t *testing.T, target *dispatched) (*gate.Dispatch, func(slots int), *dispatched) {
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	peers := alone{}
	dial := func(view.Member) member.Dispatcher { return &connection{dispatched: target} }
	only := view.Member{Name: "m0", Address: "a"}
	base, stopBase := ctrl.NewBase(ctrl.BaseOptions{
		Host: self, Rules: elect.RulesFor(time.Second), Poll: time.Second, Timeout: time.Second, Watchers: peers, Log: log, Dial: func(m view.Member) member.Control { return dial(m) },
	}, "stock", []view.Member{only})
	t.Cleanup(stopBase)
	watched := listing{duty.NewCell[[]ctrl.Watched](nil)}
	d, cleanUp := gate.NewDispatch(gate.Options{
		Host: self, Queue: 10, Silence: time.Second, Timeout: time.Second, Peers: peers, Books: peers, Bases: watched, Dial: dial, Log: log,
	})
	t.Cleanup(cleanUp)
	return d, func(slots int) {
		if slots == 0 {
			watched.Store(nil)
			return
		}
		watched.Store([]ctrl.Watched{{Database: book.Database{Name: "stock", Slots: slots, Members: []view.Member{only}}, Base: base}})
	}, target
}

// free returns how many slots the host gives out, or -1 if it does not.
func free(d *gate.Dispatch) int {
	time.Sleep(time.Minute)
	g, leads := d.Queues()["stock/m0"]
	if !leads {
		return -1
	}
	count, _, _ := g.Counts()
	return count
}

func TestSlotsAreGivenOutAsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, list := lone(t)
		g.Expect(free(d)).To(Equal(-1))
		list(5)
		g.Expect(free(d)).To(Equal(5), "a database that is watched later, with no request for it")
		list(7)
		g.Expect(free(d)).To(Equal(7), "another number of slots")
		list(0)
		g.Expect(free(d)).To(Equal(-1), "a database that is no longer listed")
	})
}

func TestARequestWaitsForADispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, list := lone(t)
		time.AfterFunc(time.Second, func() { list(5) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r := &chain.Request{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
		slot, err := d.Acquire(ctx, "stock", view.Member{Name: "m0"}, r)
		g.Expect(err).NotTo(HaveOccurred())
		slot.Release()
		list(0)
		time.Sleep(time.Second)
		short, cancelShort := context.WithTimeout(t.Context(), time.Second)
		defer cancelShort()
		_, err = d.Acquire(short, "stock", view.Member{Name: "m0"}, r)
		g.Expect(err).To(HaveOccurred())
	})
}

func TestASleepingGateWakesForARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, list := lone(t)
		list(5)
		g.Expect(free(d)).To(Equal(5))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		slot, err := d.Acquire(ctx, "stock", view.Member{Name: "m0"}, &chain.Request{Arrived: began, Deadline: began.Add(time.Second)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(slot.Expired(time.Now())).To(BeFalse(), "the member was asked again first")
		g.Expect(time.Since(began)).To(BeZero(), "and at once")
		slot.Release()
	})
}

func TestADispatcherThatWasEvictedWhileItWaitedGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, list, _ := loneOf(t, &dispatched{evicts: true})
		list(5)
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			NewWithT(t).Expect(d.Queues()).To(BeEmpty())
		}
	})
}

func TestARequestDoesNotWaitForASilentMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, list, target := loneOf(t, &dispatched{})
		list(5)
		g.Expect(free(d)).To(Equal(5))
		target.end()
		time.Sleep(sleepsAtMost)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := d.Acquire(ctx, "stock", view.Member{Name: "m0"}, &chain.Request{Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
		g.Expect(fault.FromError(err).Kind).To(Equal(fault.Unreachable), "long before the deadline")
	})
}
