package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pick"
	"poplarrouter.example/poplarrouter/internal/roster"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// maxWatchers bounds how many proxies watch one database for its failure. The
// bound is odd, so that a cut leaves a majority on one side.
const maxWatchers = 9

// BasesOptions are what a Bases depends on.
type BasesOptions struct {
	Base  BaseOptions
	Books *Books
	// Open returns the pool of connections to a member of a database for callers'
	// work, and its clean-up function.
	Open func(database string, m view.Member) (*member.Pool, func())
	// Hold is how long a member that is missing from the list is kept.
	Hold time.Duration
	// Hosts is told of each new list of hosts.
	Hosts func([]book.Host)
	// Homes returns the hosts that serve a database, and those that do while none of these
	// can be reached, given the list of hosts. Where it is nil, every proxy serves every
	// database.
	Homes func(database string, hosts []book.Host) (homes, deputies []string)
}

// Bases keeps a Base and the pools of connections for each listed database.
type Bases struct {
	options BasesOptions

	watched *duty.Cell[[]Watched]
	// roster belongs to the duty that follows the documents.
	roster roster.Roster

	mu    sync.Mutex
	bases map[string]*served
	pools map[poolKey]ownedPool
	// listed are the databases that the platform lists, homes the hosts that serve each
	// of them, and deputies those that stand in for these.
	listed   map[string]book.Database
	homes    map[string][]string
	deputies map[string][]string
	// placed tells that all of these are known.
	placed bool
	// guests are the databases that this proxy serves since it was asked to, though it
	// is none of their homes, with the time at which it was asked last.
	guests map[string]time.Time
}

// guestTime is how long a proxy goes on to watch a database that it does not home
// after the last request: opening connections anew costs more than a few questions.
const guestTime = 20 * time.Second

// Watched is a listed database and the watch over it.
type Watched struct {
	book.Database
	Base *Base
}

type served struct {
	base *Base
	stop func()
}

type poolKey struct {
	database string
	member   string
	address  string
}

type ownedPool struct {
	pool *member.Pool
	stop func()
}

// NewBases starts the controller and returns it with its clean-up function.
func NewBases(options BasesOptions) (*Bases, func()) {
	b := &Bases{options: options, watched: duty.NewCell[[]Watched](nil), bases: make(map[string]*served), pools: make(map[poolKey]ownedPool), guests: make(map[string]time.Time)}
	b.options.Base.Replaced = b.sever
	b.roster = roster.New(options.Hold)
	stop := duty.Run(b.follow)
	return b, func() {
		stop()
		b.close()
	}
}

// Base returns the watch over a database.
func (b *Bases) Base(name string) (*Base, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, found := b.bases[name]
	if !found {
		return nil, false
	}
	return s.base, true
}

// Need returns the watch over a listed database, and begins it if this proxy is none of
// the database's homes.
func (b *Bases) Need(name string) (*Base, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, listed := b.listed[name]
	if !listed {
		return nil, false
	}
	if !b.home(name) {
		b.guests[name] = time.Now()
	}
	if _, found := b.bases[name]; !found {
		b.serve(d)
		b.options.Base.Log.Emit(event.GuestServed, event.Fields{"Database": name, "Homes": b.homes[name]})
	}
	return b.bases[name].base, true
}

// Placed tells whether the lists of databases and, where databases have homes, of hosts are
// known, so that a database that is not found is not listed.
func (b *Bases) Placed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placed
}

// AwaitPlaced waits until Placed, or until the context ends.
func (b *Bases) AwaitPlaced(ctx context.Context) {
	for {
		_, changed := b.watched.Watch()
		if b.Placed() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Homes tells which hosts serve a database, and whether this proxy is one of them. A
// database that is not listed has none.
func (b *Bases) Homes(name string) (hosts []string, here bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.homes[name], b.home(name)
}

// Deputies tells which hosts serve a database while none of its homes can be reached.
func (b *Bases) Deputies(name string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deputies[name]
}

// home tells whether this proxy is one of a database's homes. The lock must be held.
func (b *Bases) home(name string) bool {
	return b.options.Homes == nil || slices.Contains(b.homes[name], b.options.Base.Host)
}

// Partners returns the hosts that serve the databases that this proxy homes.
func (b *Bases) Partners() []string {
	if b.options.Homes == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var partners []string
	for name := range b.bases {
		for _, host := range b.homes[name] {
			if host != b.options.Base.Host && !slices.Contains(partners, host) {
				partners = append(partners, host)
			}
		}
	}
	return partners
}

// Watched returns the databases that are watched, and a channel that closes when
// they change.
func (b *Bases) Watched() ([]Watched, <-chan struct{}) { return b.watched.Watch() }

// Names returns the names of the databases that are watched.
func (b *Bases) Names() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make([]string, 0, len(b.bases))
	for name := range b.bases {
		names = append(names, name)
	}
	return names
}

// Pool returns the pool of connections to a member.
func (b *Bases) Pool(database string, m view.Member) *member.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := poolKey{database: database, member: m.Name, address: m.Address}
	owned, found := b.pools[key]
	if !found {
		owned.pool, owned.stop = b.options.Open(database, m)
		b.pools[key] = owned
	}
	return owned.pool
}

// severDelay leaves the answers of a replaced primary that are under way time to
// arrive.
const severDelay = 500 * time.Millisecond

// sever ends the work that is still on a primary that was replaced.
func (b *Bases) sever(database string, was view.Member) {
	time.AfterFunc(severDelay, func() {
		severed := b.Pool(database, was).Sever()
		b.options.Base.Log.Emit(event.WorkSevered, event.Fields{"Database": database, "Member": was.Name, "Connections": severed})
	})
}

// PoolCount is the use of one pool.
type PoolCount struct {
	Database string
	Address  string
	Lent     int
	Idle     int
}

// Pools returns the use of all pools.
func (b *Bases) Pools() []PoolCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make([]PoolCount, 0, len(b.pools))
	for key, owned := range b.pools {
		lent, idle := owned.pool.Counts()
		counts = append(counts, PoolCount{Database: key.database, Address: key.address, Lent: lent, Idle: idle})
	}
	return counts
}

// Judge answers another proxy's question about a database's primary.
func (b *Bases) Judge(database string, term group.Term) bool {
	base, found := b.Base(database)
	return found && base.Judge(term)
}

// TakeVote passes another proxy's answer on.
func (b *Bases) TakeVote(database string, v elect.Vote) {
	if base, found := b.Base(database); found {
		base.Vote(v)
	}
}

// TakeClaim passes another proxy's claim on.
func (b *Bases) TakeClaim(database string, c elect.Claim) {
	if base, found := b.Base(database); found {
		base.Rival(c)
	}
}

// follow is the duty that brings the watches in line with the documents.
func (b *Bases) follow(ctx context.Context) error {
	for {
		held, changed := b.options.Books.Watch()
		b.apply(held)
		select {
		case <-changed:
		case <-b.due():
		case <-b.guestsLeave():
		case <-ctx.Done():
			return nil
		}
	}
}

// due returns a channel that tells when the next missing member counts as gone.
func (b *Bases) due() <-chan time.Time {
	due, waits := b.roster.Due()
	if !waits {
		return nil
	}
	return time.After(time.Until(due))
}

// guestsLeave returns a channel that tells when to look for databases that are no
// longer asked for.
func (b *Bases) guestsLeave() <-chan time.Time {
	if b.options.Homes == nil {
		return nil
	}
	return time.After(guestTime / 4)
}

func (b *Bases) apply(held book.DocumentSet) {
	b.roster = b.roster.With(held.Databases(), time.Now())
	if held.Serial(book.Hosts) > 0 {
		b.options.Hosts(held.Hosts())
	}
	for _, stop := range b.update(held) {
		stop()
	}
}

// update brings the watches and the pools in line with the documents, and
// returns what stops those that are no longer listed. Stopping waits for their
// duties, which requests must not.
func (b *Bases) update(held book.DocumentSet) (stops []func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place(held)
	var watched []Watched
	for _, d := range b.roster.Databases() {
		if !b.wanted(d.Name, time.Now()) {
			continue
		}
		watched = append(watched, Watched{Database: d, Base: b.serve(d)})
	}
	listed := make(map[string]bool)
	for _, w := range watched {
		listed[w.Name] = true
	}
	for name, s := range b.bases {
		if !listed[name] {
			stops = append(stops, s.stop)
			delete(b.bases, name)
		}
	}
	b.watched.Store(watched)
	return append(stops, b.dropPools(watched)...)
}

// place works out the homes of all listed databases. The lock must be held.
func (b *Bases) place(held book.DocumentSet) {
	b.listed, b.homes, b.deputies = make(map[string]book.Database), make(map[string][]string), make(map[string][]string)
	b.placed = held.Serial(book.Databases) > 0 && (b.options.Homes == nil || held.Serial(book.Hosts) > 0)
	hosts := held.LiveHosts()
	for _, d := range b.roster.Databases() {
		b.listed[d.Name] = d
		if b.options.Homes == nil {
			b.homes[d.Name] = pick.First(d.Name, hosts, maxWatchers)
			continue
		}
		b.homes[d.Name], b.deputies[d.Name] = b.options.Homes(d.Name, held.Hosts())
	}
}

// wanted tells whether this proxy is to watch a database. The lock must be held.
func (b *Bases) wanted(name string, now time.Time) bool {
	asked, guest := b.guests[name]
	if guest && now.Sub(asked) > guestTime {
		delete(b.guests, name)
		guest = false
	}
	return guest || b.home(name)
}

// serve returns the watch over a database with its members and watchers brought up to
// date. The lock must be held.
func (b *Bases) serve(d book.Database) *Base {
	s, found := b.bases[d.Name]
	if !found {
		s = &served{}
		s.base, s.stop = NewBase(b.options.Base, d.Name, d.Members)
		b.bases[d.Name] = s
	}
	s.base.SetMembers(d.Members)
	watchers := b.homes[d.Name]
	if !b.home(d.Name) {
		// A guest that is asked because no home answers must be able to replace the
		// primary.
		watchers = append(slices.Clone(watchers), b.options.Base.Host)
	}
	s.base.SetWatchers(watchers)
	return s.base
}

// dropPools takes out the pools of members that are no longer listed, and returns
// what closes them. The connections that they have lent are closed when they are
// given back. The lock must be held.
func (b *Bases) dropPools(watched []Watched) (stops []func()) {
	listed := make(map[poolKey]bool, len(watched))
	for _, w := range watched {
		for _, m := range w.Members {
			listed[poolKey{database: w.Name, member: m.Name, address: m.Address}] = true
		}
	}
	for key, owned := range b.pools {
		if !listed[key] {
			stops = append(stops, owned.stop)
			delete(b.pools, key)
		}
	}
	return stops
}

// close ends all watches, and then the pools that they may still be using.
func (b *Bases) close() {
	b.mu.Lock()
	var watches []func()
	for _, s := range b.bases {
		watches = append(watches, s.stop)
	}
	b.mu.Unlock()
	for _, stop := range watches {
		stop()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, owned := range b.pools {
		owned.stop()
	}
}
