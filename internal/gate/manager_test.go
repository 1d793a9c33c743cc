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

// noPeers is a cluster of one host.
type noPeers struct{}

func (noPeers) Book() book.DocumentSet {
	docs, _, _ := book.DocumentSet{}.With(book.Doc{Kind: book.Hosts, Serial: 1, Body: []byte(`{"Serial":1,"Hosts":[{"Name":"` + self + `"}]}`)})
	return docs
}
func (noPeers) Send(string, peer.Frame) bool { return false }
func (noPeers) Heard(string) time.Time       { return time.Time{} }

func (noPeers) TellClaim(string, elect.Claim, []string) {}
func (noPeers) MemberList(string) (serial uint64, at time.Time) {
	return 0, time.Now()
}

func (noPeers) AskWatchers(string, group.Term, []string) {}

// databaseList is the list of databases that the proxy watches.
type databaseList struct{ *duty.Cell[[]ctrl.Watched] }

func (l databaseList) Watched() ([]ctrl.Watched, <-chan struct{}) { return l.Watch() }

// fakeMemberState is a member that knows only its lease holder.
type fakeMemberState struct {
	member.SlotControl
	mu     sync.Mutex
	holder string
	// evictsAtOnce makes the member drop its lease holder right after it accepted it.
	evictsAtOnce bool
	stopped      bool
}

// maxIdleRenewal is longer than an idle gate waits before it confirms its lease.
const maxIdleRenewal = 10 * time.Second

// stopAnswering makes the member answer no further requests.
func (d *fakeMemberState) stopAnswering() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
}

// connection is one connection to the member.
type connection struct {
	*fakeMemberState
	hasLease bool
}

// Close ends the lease if this is the lease connection.
func (c *connection) Close() {
	if !c.hasLease {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = ""
}

func (d *fakeMemberState) Ask(context.Context, bool) (group.State, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return group.State{}, &member.StatusError{Got: "nothing", Want: "a state"}
	}
	return group.State{Role: group.Primary, Term: 1, LeaseHolder: d.holder}, nil
}

func (c *connection) AcquireSlotLease(ctx context.Context, host string) (group.State, error) {
	c.hasLease = true
	c.mu.Lock()
	c.holder = host
	c.mu.Unlock()
	state, err := c.Ask(ctx, true)
	if c.evictsAtOnce {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.holder = ""
	}
	return state, err
}

// startSingle starts the lease manager of a single host, which watches nothing yet.
func startSingle(t *testing.T) (*gate.LeaseManager, func(slots int)) {
	leases, setSlots, _ := startSingleWith(t, &fakeMemberState{})
	return leases, setSlots
}

func startSingleWith(t *testing.T, target *fakeMemberState) (*gate.LeaseManager, func(slots int), *fakeMemberState) {
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	peers := noPeers{}
	dial := func(view.Member) member.SlotControl { return &connection{fakeMemberState: target} }
	dbMember := view.Member{Name: "m0", Address: "a"}
	base, stopBase := ctrl.NewController(ctrl.ControllerOptions{
		Host: self, Rules: elect.RulesFor(time.Second), Poll: time.Second, Timeout: time.Second, Voters: peers, Log: log, Dial: func(m view.Member) member.Control { return dial(m) },
	}, "stock", []view.Member{dbMember})
	t.Cleanup(stopBase)
	watched := databaseList{duty.NewCell[[]ctrl.Watched](nil)}
	leases, cleanUp := gate.NewLeaseManager(gate.Options{
		Host: self, QueueLimit: 10, FailureTimeout: time.Second, Timeout: time.Second, Peers: peers, Documents: peers, Databases: watched, Dial: dial, Log: log,
	})
	t.Cleanup(cleanUp)
	return leases, func(slots int) {
		if slots == 0 {
			watched.Store(nil)
			return
		}
		watched.Store([]ctrl.Watched{{Database: book.Database{Name: "stock", Slots: slots, Members: []view.Member{dbMember}}, Controller: base}})
	}, target
}

// freeSlots returns the number of free slots that the host can grant, or -1 if it does
// not hold the lease.
func freeSlots(leases *gate.LeaseManager) int {
	time.Sleep(time.Minute)
	g, hasLease := leases.Queues()["stock/m0"]
	if !hasLease {
		return -1
	}
	count, _, _ := g.Counts()
	return count
}

func TestGrantedSlotsFollowTheDatabaseList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leases, setSlots := startSingle(t)
		g.Expect(freeSlots(leases)).To(Equal(-1))
		setSlots(5)
		g.Expect(freeSlots(leases)).To(Equal(5), "a database that is watched later, with no request for it")
		setSlots(7)
		g.Expect(freeSlots(leases)).To(Equal(7), "another number of slots")
		setSlots(0)
		g.Expect(freeSlots(leases)).To(Equal(-1), "a database that is no longer listed")
	})
}

func TestRequestWaitsForALeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leases, setSlots := startSingle(t)
		time.AfterFunc(time.Second, func() { setSlots(5) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r := &chain.Request{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
		slot, err := leases.Acquire(ctx, "stock", view.Member{Name: "m0"}, r)
		g.Expect(err).NotTo(HaveOccurred())
		slot.Release()
		setSlots(0)
		time.Sleep(time.Second)
		short, cancelShort := context.WithTimeout(t.Context(), time.Second)
		defer cancelShort()
		_, err = leases.Acquire(short, "stock", view.Member{Name: "m0"}, r)
		g.Expect(err).To(HaveOccurred())
	})
}

func TestRequestWakesAnIdleGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leases, setSlots := startSingle(t)
		setSlots(5)
		g.Expect(freeSlots(leases)).To(Equal(5))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		slot, err := leases.Acquire(ctx, "stock", view.Member{Name: "m0"}, &chain.Request{Arrived: start, Deadline: start.Add(time.Second)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(slot.Expired(time.Now())).To(BeFalse(), "the lease was confirmed before the grant")
		g.Expect(time.Since(start)).To(BeZero(), "without a delay")
		slot.Release()
	})
}

func TestHolderEvictedDuringTakeoverDelayGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leases, setSlots, _ := startSingleWith(t, &fakeMemberState{evictsAtOnce: true})
		setSlots(5)
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			NewWithT(t).Expect(leases.Queues()).To(BeEmpty())
		}
	})
}

func TestRequestDoesNotWaitForAnUnresponsiveMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leases, setSlots, target := startSingleWith(t, &fakeMemberState{})
		setSlots(5)
		g.Expect(freeSlots(leases)).To(Equal(5))
		target.stopAnswering()
		time.Sleep(maxIdleRenewal)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := leases.Acquire(ctx, "stock", view.Member{Name: "m0"}, &chain.Request{Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)})
		g.Expect(fault.FromError(err).Kind).To(Equal(fault.Unreachable), "long before the deadline")
	})
}
