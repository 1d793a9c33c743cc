package gate

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Peers connects to the other proxies.
type Peers interface {
	// Send queues a frame for a peer, and reports whether it was accepted.
	Send(host string, f peer.Frame) bool
	// Heard returns when the last frame from a peer was received.
	Heard(host string) time.Time
}

// Documents provides the list of hosts.
type Documents interface {
	// Book returns the newest documents.
	Book() book.DocumentSet
}

// Databases provides the databases that this proxy watches.
type Databases interface {
	// Watched returns the databases, and a channel that is closed when they change.
	Watched() ([]ctrl.Watched, <-chan struct{})
}

var (
	_ Peers     = (*peer.Connections)(nil)
	_ Documents = (*ctrl.Documents)(nil)
	_ Databases = (*ctrl.Controllers)(nil)
)

// Dialer returns a control connection to a member. Tests replace it.
type Dialer func(m view.Member) member.SlotControl

// Options configure a LeaseManager.
type Options struct {
	Host string
	// QueueLimit is how many requests may wait for each member.
	QueueLimit int
	// FailureTimeout is how long a lease holder must be unresponsive before it is
	// evicted.
	FailureTimeout time.Duration
	// Timeout limits each request to a member.
	Timeout   time.Duration
	Peers     Peers
	Documents Documents
	Databases Databases
	Dial      Dialer
	Log       *event.Log
}

// LeaseManager grants permits for the members whose slot lease this proxy holds, and
// requests permits for the other members from their lease holders.
type LeaseManager struct {
	options Options

	// mu may be locked while a gate's lock is held, but not the other way round.
	mu             sync.Mutex
	leases         map[string]*runningLease
	remoteRequests map[remoteKey]*remoteRequest
	votes          map[voteKey]vote
	requests       map[uint64]*permitRequest
	permits        map[uint64]*heldPermit
	// lastID is the number of this proxy's last request. The first number is random,
	// so that a peer does not take a request for one of an earlier process.
	lastID uint64
}

// runningLease is a memberLease with the function that stops its worker.
type runningLease struct {
	*memberLease
	stop func()
}

var _ chain.PermitPool = (*LeaseManager)(nil)

// NewLeaseManager starts a worker for each listed member, and returns the manager with
// its clean-up function.
func NewLeaseManager(options Options) (*LeaseManager, func()) {
	lm := &LeaseManager{
		options:        options,
		leases:         make(map[string]*runningLease),
		remoteRequests: make(map[remoteKey]*remoteRequest),
		votes:          make(map[voteKey]vote),
		requests:       make(map[uint64]*permitRequest),
		permits:        make(map[uint64]*heldPermit),
		lastID:         randomID(),
	}
	return lm, duty.Run(lm.followDatabases)
}

// randomID returns a random number in the lower half of the range, so that at least as
// many numbers follow it.
func randomID() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) >> 1
}

// followDatabases is the background task that runs a worker for each member of the
// watched databases.
func (lm *LeaseManager) followDatabases(ctx context.Context) error {
	defer lm.updateLeases(nil)
	for {
		watched, changed := lm.options.Databases.Watched()
		lm.updateLeases(watched)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// updateLeases starts the workers that are missing, and stops those of members that
// are no longer listed or whose entry changed.
func (lm *LeaseManager) updateLeases(watched []ctrl.Watched) {
	listed := make(map[string]*memberLease)
	for _, w := range watched {
		for _, m := range w.Members {
			l := newMemberLease(lm, w, m)
			listed[l.key()] = l
		}
	}
	for _, stopped := range lm.removeUnlisted(listed) {
		stopped.stop()
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for key, l := range listed {
		if lm.leases[key] == nil {
			lm.leases[key] = &runningLease{memberLease: l, stop: duty.Run(l.run)}
		}
	}
}

// removeUnlisted removes and returns the leases that are not listed, or listed
// otherwise.
func (lm *LeaseManager) removeUnlisted(listed map[string]*memberLease) []*runningLease {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	var stopped []*runningLease
	for key, running := range lm.leases {
		if l, found := listed[key]; !found || !running.equal(l) {
			stopped = append(stopped, running)
			delete(lm.leases, key)
		}
	}
	return stopped
}

// memberLease returns this proxy's state for a member, or nil if it has none yet.
func (lm *LeaseManager) memberLease(database, name string) *memberLease {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if running, found := lm.leases[leaseKey(database, name)]; found {
		return running.memberLease
	}
	return nil
}

// candidates returns the proxies that may hold the lease of a member: the hosts of its
// region that are not draining, or those of all regions if there are none, without the
// current holder.
func (lm *LeaseManager) candidates(region, holder string) []string {
	var local, all []string
	for _, h := range lm.options.Documents.Book().Hosts() {
		if h.Draining || h.Name == holder {
			continue
		}
		all = append(all, h.Name)
		if h.Region == region {
			local = append(local, h.Name)
		}
	}
	if len(local) == 0 {
		return all
	}
	return local
}

// Queues returns the gates of the leases that this proxy holds, by database and
// member.
func (lm *LeaseManager) Queues() map[string]*Gate {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	list := make(map[string]*Gate)
	for key, l := range lm.leases {
		if g := l.gate.Load(); g != nil {
			list[key] = g
		}
	}
	return list
}

// SpareCapacity implements chain.Slots. Only the lease holder of a member knows its free
// capacity, and asking it would cost as much as waiting.
func (lm *LeaseManager) SpareCapacity(string, view.Member) int { return 1 }

// Acquire implements chain.Slots. A request whose lease holder changes while it waits
// asks the new holder. It does not wait for a lease holder of a member that does not
// answer, since another member may serve the request.
func (lm *LeaseManager) Acquire(ctx context.Context, database string, m view.Member, r *chain.Request) (chain.Permit, error) {
	for {
		l := lm.memberLease(database, m.Name)
		slot, err := lm.acquireOnce(ctx, l, r)
		if err == nil || fault.FromError(err).Kind != fault.Undispatched || ctx.Err() != nil {
			return slot, err
		}
		if l != nil && l.base.View().Silent(m.Name) {
			return chain.Permit{}, fault.New(fault.Unreachable, "wait for slot", "member %s does not answer", l.key())
		}
		if !l.awaitChange(ctx) {
			return chain.Permit{}, err
		}
	}
}

func (lm *LeaseManager) acquireOnce(ctx context.Context, l *memberLease, r *chain.Request) (chain.Permit, error) {
	if l == nil {
		return chain.Permit{}, fault.New(fault.Undispatched, "wait for slot", "the member is not watched yet")
	}
	l.base.Touch()
	work := slots.Work{Caller: r.Caller.Name, Rank: r.Work.Rank, Arrived: r.Arrived, Deadline: r.Deadline}
	if g := l.gate.Load(); g != nil {
		return g.Acquire(ctx, work)
	}
	holder := l.holder.Load()
	if holder == "" || holder == lm.options.Host {
		return chain.Permit{}, fault.New(fault.Undispatched, "wait for slot", "no proxy holds the slot lease of %s", l.key())
	}
	return lm.acquireFrom(ctx, l, holder, work)
}

// reportedHolder returns the host that the member last named as its lease holder.
func (l *memberLease) reportedHolder() string {
	report, _ := l.base.View().Report(l.member.Name)
	return report.State.LeaseHolder
}

// retryDelay is the longest time after which a request without a lease holder looks
// for one again.
const retryDelay = 50 * time.Millisecond

// awaitChange waits until the lease holder may have changed, and returns false if the
// context has ended. The receiver is nil if the member is not watched yet.
func (l *memberLease) awaitChange(ctx context.Context) bool {
	var gateChanged, holderChanged <-chan struct{}
	if l != nil {
		_, gateChanged = l.gate.Watch()
		_, holderChanged = l.holder.Watch()
	}
	select {
	case <-gateChanged:
	case <-holderChanged:
	case <-time.After(retryDelay):
	case <-ctx.Done():
		return false
	}
	return true
}
