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

// Peers reaches the other proxies.
type Peers interface {
	// Send offers a frame to a peer, and tells whether it was taken.
	Send(host string, f peer.Frame) bool
	// Heard returns when the last frame came from a peer.
	Heard(host string) time.Time
}

// Books holds the list of hosts.
type Books interface {
	// Book returns the newest documents.
	Book() book.Book
}

// Bases tells which databases this proxy watches.
type Bases interface {
	// Watched returns the databases, and a channel that closes when they change.
	Watched() ([]ctrl.Watched, <-chan struct{})
}

var (
	_ Peers = (*peer.Connections)(nil)
	_ Books = (*ctrl.Books)(nil)
	_ Bases = (*ctrl.Bases)(nil)
)

// Dialer returns the control of a member. Tests replace it.
type Dialer func(m view.Member) member.Dispatcher

// Options are what a Dispatch depends on.
type Options struct {
	Host string
	// Queue is how many requests may wait for each member.
	Queue int
	// Silence is how long a dispatcher must be silent before it is evicted.
	Silence time.Duration
	// Timeout ends a question to a member.
	Timeout time.Duration
	Peers   Peers
	Books   Books
	Bases   Bases
	Dial    Dialer
	Log     *event.Log
}

// Dispatch gives out the slots of the members that this proxy leads, and asks
// for those of the others.
type Dispatch struct {
	options Options

	// mu may be taken while a gate's lock is held, but not the other way round.
	mu       sync.Mutex
	stations map[string]*ownedStation
	remotes  map[remoteKey]*remote
	opinions map[opinionKey]opinion
	wants    map[uint64]*want
	holds    map[uint64]*hold
	// lastID is the number of this proxy's last request. The numbers begin at
	// random, so that a peer takes none for one of an earlier process.
	lastID uint64
}

type ownedStation struct {
	*station
	stop func()
}

var _ chain.PermitPool = (*Dispatch)(nil)

// NewDispatch starts the stations of all listed members, and returns the
// dispatch with its clean-up function.
func NewDispatch(options Options) (*Dispatch, func()) {
	d := &Dispatch{
		options:  options,
		stations: make(map[string]*ownedStation),
		remotes:  make(map[remoteKey]*remote),
		opinions: make(map[opinionKey]opinion),
		wants:    make(map[uint64]*want),
		holds:    make(map[uint64]*hold),
		lastID:   randomID(),
	}
	return d, duty.Run(d.followList)
}

// randomID returns a number that leaves as many again above it.
func randomID() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) >> 1
}

// followList is the duty that keeps a station for each member of the watched
// databases.
func (d *Dispatch) followList(ctx context.Context) error {
	defer d.keep(nil)
	for {
		watched, changed := d.options.Bases.Watched()
		d.keep(watched)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// keep starts the stations that are missing, and ends those of members that are
// no longer listed as they were.
func (d *Dispatch) keep(watched []ctrl.Watched) {
	wanted := make(map[string]*station)
	for _, w := range watched {
		for _, m := range w.Members {
			s := newStation(d, w, m)
			wanted[s.key()] = s
		}
	}
	for _, ended := range d.exchange(wanted) {
		ended.stop()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, s := range wanted {
		if d.stations[key] == nil {
			d.stations[key] = &ownedStation{station: s, stop: duty.Run(s.run)}
		}
	}
}

// exchange takes the stations out that are not wanted as they are, and returns
// them.
func (d *Dispatch) exchange(wanted map[string]*station) []*ownedStation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ended []*ownedStation
	for key, owned := range d.stations {
		if s, found := wanted[key]; !found || !owned.same(s) {
			ended = append(ended, owned)
			delete(d.stations, key)
		}
	}
	return ended
}

// station returns this proxy's part for a member, or nil if it has none yet.
func (d *Dispatch) station(database, name string) *station {
	d.mu.Lock()
	defer d.mu.Unlock()
	if owned, found := d.stations[stationKey(database, name)]; found {
		return owned.station
	}
	return nil
}

// candidates returns the proxies that may lead a member: the live hosts of its
// region, or all if there are none, without the present dispatcher.
func (d *Dispatch) candidates(region, dispatcher string) []string {
	var near, all []string
	for _, h := range d.options.Books.Book().Hosts() {
		if h.Leaving || h.Name == dispatcher {
			continue
		}
		all = append(all, h.Name)
		if h.Region == region {
			near = append(near, h.Name)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// Queues returns the gates that this proxy leads, by database and member.
func (d *Dispatch) Queues() map[string]*Gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make(map[string]*Gate)
	for key, s := range d.stations {
		if g := s.gate.Load(); g != nil {
			list[key] = g
		}
	}
	return list
}

// SpareCapacity implements chain.Slots. Only the dispatcher of a member knows, and asking it
// would cost as much as waiting.
func (d *Dispatch) SpareCapacity(string, view.Member) int { return 1 }

// Acquire implements chain.Slots. A request whose dispatcher changes while it
// waits asks the next one. It does not wait for the dispatcher of a member that
// does not answer, since another member may serve it.
func (d *Dispatch) Acquire(ctx context.Context, database string, m view.Member, r *chain.Request) (chain.Permit, error) {
	for {
		s := d.station(database, m.Name)
		slot, err := d.acquireOnce(ctx, s, r)
		if err == nil || fault.Of(err).Kind != fault.Undispatched || ctx.Err() != nil {
			return slot, err
		}
		if s != nil && s.base.View().Silent(m.Name) {
			return chain.Permit{}, fault.New(fault.Unreachable, "wait for slot", "member %s does not answer", s.key())
		}
		if !s.awaitChange(ctx) {
			return chain.Permit{}, err
		}
	}
}

func (d *Dispatch) acquireOnce(ctx context.Context, s *station, r *chain.Request) (chain.Permit, error) {
	if s == nil {
		return chain.Permit{}, fault.New(fault.Undispatched, "wait for slot", "the member is not watched yet")
	}
	s.base.Touch()
	work := slots.Work{Caller: r.Caller.Name, Rank: r.Work.Rank, Arrived: r.Arrived, Deadline: r.Deadline}
	if g := s.gate.Load(); g != nil {
		return g.Acquire(ctx, work)
	}
	dispatcher := s.holder.Load()
	if dispatcher == "" || dispatcher == d.options.Host {
		return chain.Permit{}, fault.New(fault.Undispatched, "wait for slot", "no proxy gives out the slots of %s", s.key())
	}
	return d.acquireFrom(ctx, s, dispatcher, work)
}

// dispatcher returns the host that the member named as its dispatcher last.
func (s *station) dispatcher() string {
	report, _ := s.base.View().Report(s.member.Name)
	return report.State.Dispatcher
}

// retryDelay is how long a request without a dispatcher waits at most before it
// looks again.
const retryDelay = 50 * time.Millisecond

// awaitChange waits until the member's dispatch may have changed. A nil station
// is one that is not there yet.
func (s *station) awaitChange(ctx context.Context) bool {
	var led, named <-chan struct{}
	if s != nil {
		_, led = s.gate.Watch()
		_, named = s.holder.Watch()
	}
	select {
	case <-led:
	case <-named:
	case <-time.After(retryDelay):
	case <-ctx.Done():
		return false
	}
	return true
}
