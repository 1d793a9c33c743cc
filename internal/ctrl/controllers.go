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

// maxVoters limits how many proxies vote on the primary of one database. It is odd, so
// that one side of a network partition has a majority.
const maxVoters = 9

// ControllersOptions are the dependencies of Controllers.
type ControllersOptions struct {
	Controller ControllerOptions
	Documents  *Documents
	// Open returns the connection pool to a member of a database for callers' work, and
	// its clean-up function.
	Open func(database string, m view.Member) (*member.Pool, func())
	// RemovalDelay is how long a member that is missing from the list and does not answer is
	// kept.
	RemovalDelay time.Duration
	// OnHosts is called with each new list of hosts.
	OnHosts func([]book.Host)
	// Owners returns the hosts that serve a database, and those that serve it while none
	// of the owners is reachable, given the list of hosts. If it is nil, every proxy
	// serves every database.
	Owners func(database string, hosts []book.Host) (owners, standbyOwners []string)
	// SettleDelay is how long the list of hosts must be unchanged before this proxy serves
	// the databases that it owns without a request for them, unless the first list already
	// has this proxy. While a fleet starts, each host takes itself for an owner of most
	// databases.
	SettleDelay time.Duration
}

// Controllers keeps a Controller and the connection pools of each database that this proxy
// serves.
type Controllers struct {
	options ControllersOptions

	watched *duty.Cell[[]Watched]
	// roster and settling are owned by the background task that follows the documents.
	roster   roster.Membership
	settling settling
	// retained holds members that other proxies have retained.
	retained *duty.Ring[retainedMembers]

	mu          sync.Mutex
	controllers map[string]*entry
	pools       map[poolKey]ownedPool
	// listed are the databases that the platform lists, owners the hosts that serve each
	// of them, and standbyOwners the hosts that replace these when none is reachable.
	listed        map[string]book.Database
	owners        map[string][]string
	standbyOwners map[string][]string
	// listSerial is the serial of the list of databases in listed.
	listSerial uint64
	// settled is set once this proxy serves the databases that it owns.
	settled bool
	// ownersKnown is set once listed, owners and standbyOwners are all known.
	ownersKnown bool
	// nonOwned are the databases that this proxy serves on request, without being one of
	// their owners or before it is settled, with the time of the last request.
	nonOwned map[string]time.Time
}

// nonOwnedIdleTime is how long a proxy keeps the controller of a database that it does not
// own after the last request. Opening connections again costs more than a few polls.
const nonOwnedIdleTime = 20 * time.Second

// Watched is a listed database and its controller.
type Watched struct {
	book.Database
	Controller *Controller
}

type entry struct {
	controller *Controller
	stop       func()
}

// retainedMembers are members of a database that answer another proxy although they are not
// listed.
type retainedMembers struct {
	database string
	members  []view.Member
}

// retainedQueue is the number of retainedMembers that wait for the background task.
const retainedQueue = 64

type poolKey struct {
	database string
	member   string
	address  string
}

type ownedPool struct {
	pool *member.Pool
	stop func()
}

// NewControllers starts the background task and returns the controllers with their
// clean-up function.
func NewControllers(options ControllersOptions) (*Controllers, func()) {
	c := &Controllers{options: options, watched: duty.NewCell[[]Watched](nil), controllers: make(map[string]*entry), pools: make(map[poolKey]ownedPool), nonOwned: make(map[string]time.Time), retained: duty.NewRing[retainedMembers](retainedQueue)}
	c.options.Controller.OnReplaced = c.closeReplaced
	c.options.Controller.StoreList = options.Documents.MemberList
	// Another proxy that sees a change at once removes a member no sooner than RemovalDelay.
	c.options.Controller.StoreListTimeout = options.RemovalDelay * 3 / 4
	c.roster = roster.New(options.RemovalDelay)
	c.settling = newSettling(options.Controller.Host, options.SettleDelay)
	stop := duty.Run(c.run)
	return c, func() {
		stop()
		c.close()
	}
}

// Get returns the controller of a database, if it is running.
func (c *Controllers) Get(name string) (*Controller, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.controllers[name]
	if !found {
		return nil, false
	}
	return e.controller, true
}

// GetOrStart returns the controller of a listed database. If this proxy is not an owner of
// the database, GetOrStart starts the controller.
func (c *Controllers) GetOrStart(name string) (*Controller, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, listed := c.listed[name]
	if !listed {
		return nil, false
	}
	if !c.isOwner(name) || !c.settled {
		c.nonOwned[name] = time.Now()
	}
	if _, found := c.controllers[name]; !found {
		c.ensure(d)
		c.options.Controller.Log.Emit(event.NonOwnedServed, event.Fields{"Database": name, "Homes": c.owners[name]})
	}
	return c.controllers[name].controller, true
}

// OwnersKnown reports whether the list of databases and, where databases have owners, the
// list of hosts are known. If so, a database that is not found is not listed.
func (c *Controllers) OwnersKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownersKnown
}

// AwaitOwners waits until OwnersKnown returns true or the context ends.
func (c *Controllers) AwaitOwners(ctx context.Context) {
	for {
		_, changed := c.watched.Watch()
		if c.OwnersKnown() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Owners returns the hosts that serve a database, and whether this proxy is one of them. A
// database that is not listed has none.
func (c *Controllers) Owners(name string) (hosts []string, local bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[name], c.isOwner(name)
}

// StandbyOwners returns the hosts that serve a database while none of its owners is
// reachable.
func (c *Controllers) StandbyOwners(name string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standbyOwners[name]
}

// isOwner reports whether this proxy is one of a database's owners. The lock must be held.
func (c *Controllers) isOwner(name string) bool {
	return c.options.Owners == nil || slices.Contains(c.owners[name], c.options.Controller.Host)
}

// Partners returns the other hosts that own a database which this proxy serves.
func (c *Controllers) Partners() []string {
	if c.options.Owners == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var partners []string
	for name := range c.controllers {
		for _, host := range c.owners[name] {
			if host != c.options.Controller.Host && !slices.Contains(partners, host) {
				partners = append(partners, host)
			}
		}
	}
	return partners
}

// Watched returns the databases with a running controller, and a channel that closes when
// they change.
func (c *Controllers) Watched() ([]Watched, <-chan struct{}) { return c.watched.Watch() }

// Names returns the names of the databases with a running controller.
func (c *Controllers) Names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.controllers))
	for name := range c.controllers {
		names = append(names, name)
	}
	return names
}

// Pool returns the connection pool to a member.
func (c *Controllers) Pool(database string, m view.Member) *member.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey{database: database, member: m.Name, address: m.Address}
	owned, found := c.pools[key]
	if !found {
		owned.pool, owned.stop = c.options.Open(database, m)
		c.pools[key] = owned
	}
	return owned.pool
}

// replacedPoolDelay gives answers of a replaced primary that are in transit time to
// arrive.
const replacedPoolDelay = 500 * time.Millisecond

// closeReplaced closes the connections that still have work on a replaced primary.
func (c *Controllers) closeReplaced(database string, replaced view.Member) {
	time.AfterFunc(replacedPoolDelay, func() {
		closed := c.Pool(database, replaced).CloseWriteConns()
		c.options.Controller.Log.Emit(event.RequestInterrupted, event.Fields{"Database": database, "Member": replaced.Name, "Connections": closed})
	})
}

// PoolCount is the number of connections of one pool that are in use and idle.
type PoolCount struct {
	Database string
	Address  string
	Lent     int
	Idle     int
}

// Pools returns the connection counts of all pools.
func (c *Controllers) Pools() []PoolCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]PoolCount, 0, len(c.pools))
	for key, owned := range c.pools {
		inUse, idle := owned.pool.Counts()
		counts = append(counts, PoolCount{Database: key.database, Address: key.address, Lent: inUse, Idle: idle})
	}
	return counts
}

// VoteOn answers a vote request of another proxy on a database's primary.
func (c *Controllers) VoteOn(database string, term group.Term) elect.Vote {
	controller, found := c.Get(database)
	if !found {
		return elect.Vote{Term: term}
	}
	return controller.VoteOn(term)
}

// TakeVote passes a vote of another proxy to the controller of a database, and adds the
// members to the membership that the voter has retained.
func (c *Controllers) TakeVote(database string, v elect.Vote) {
	controller, found := c.Get(database)
	if !found {
		return
	}
	if len(v.Unlisted) > 0 {
		c.retained.Offer(retainedMembers{database: database, members: v.Unlisted})
	}
	controller.ReceiveVote(v)
}

// TakeClaim passes a claim of another proxy to the controller of a database.
func (c *Controllers) TakeClaim(database string, claim elect.Claim) {
	if controller, found := c.Get(database); found {
		controller.ReceiveClaim(claim)
	}
}

// run is the background task that updates the controllers when the documents change.
func (c *Controllers) run(ctx context.Context) error {
	for {
		documents, changed := c.options.Documents.Watch()
		c.apply(documents)
		select {
		case <-changed:
		case <-c.settling.due():
		case <-c.missingCheck():
		case r := <-c.retained.Items():
			c.roster = c.roster.WithRetained(r.database, r.members, time.Now())
		case <-c.nonOwnedCheck():
		case <-ctx.Done():
			return nil
		}
	}
}

// missingCheck returns a channel that fires when to look whether members that are missing from
// the list still answer.
func (c *Controllers) missingCheck() <-chan time.Time {
	due, missing := c.roster.NextCheck()
	if !missing {
		return nil
	}
	return time.After(due)
}

// contact returns the contact with a member of a database. A proxy that does not serve the
// database has none.
func (c *Controllers) contact(database, member string) roster.Contact {
	controller, found := c.Get(database)
	if !found {
		return roster.Contact{Silent: true}
	}
	v := controller.View()
	return roster.Contact{LastAnswer: v.LastAnswer(member), Silent: v.Silent(member)}
}

// nonOwnedCheck returns a channel that fires when to look for databases that this proxy
// does not own and that are no longer requested.
func (c *Controllers) nonOwnedCheck() <-chan time.Time {
	if c.options.Owners == nil {
		return nil
	}
	return time.After(nonOwnedIdleTime / 4)
}

func (c *Controllers) apply(documents book.DocumentSet) {
	c.roster = c.roster.With(documents.Databases(), c.contact, time.Now())
	if documents.Serial(book.Hosts) > 0 {
		c.options.OnHosts(documents.Hosts())
	}
	c.settling = c.settling.with(documents, time.Now())
	for _, stop := range c.update(documents) {
		stop()
	}
}

// update brings the controllers and the pools in line with the documents, and returns the
// functions that stop those no longer listed. Stopping waits for background tasks, which
// requests must not do, so the caller stops them without the lock.
func (c *Controllers) update(documents book.DocumentSet) (stops []func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assignOwners(documents)
	c.settled = c.settling.settled()
	var watched []Watched
	for _, d := range c.roster.Databases() {
		if !c.shouldServe(d.Name, time.Now()) {
			continue
		}
		watched = append(watched, Watched{Database: d, Controller: c.ensure(d)})
	}
	listed := make(map[string]bool)
	for _, w := range watched {
		listed[w.Name] = true
	}
	for name, e := range c.controllers {
		if !listed[name] {
			stops = append(stops, e.stop)
			delete(c.controllers, name)
		}
	}
	c.watched.Store(watched)
	return append(stops, c.removePools(watched)...)
}

// assignOwners computes the owners of all listed databases. The lock must be held.
func (c *Controllers) assignOwners(documents book.DocumentSet) {
	c.listed, c.owners, c.standbyOwners = make(map[string]book.Database), make(map[string][]string), make(map[string][]string)
	c.listSerial = documents.Serial(book.Databases)
	c.ownersKnown = documents.Serial(book.Databases) > 0 && (c.options.Owners == nil || documents.Serial(book.Hosts) > 0)
	hosts := documents.LiveHosts()
	for _, d := range c.roster.Databases() {
		c.listed[d.Name] = d
		if c.options.Owners == nil {
			c.owners[d.Name] = pick.First(d.Name, hosts, maxVoters)
			continue
		}
		c.owners[d.Name], c.standbyOwners[d.Name] = c.options.Owners(d.Name, documents.Hosts())
	}
}

// shouldServe reports whether this proxy is to run the controller of a database. The lock
// must be held.
func (c *Controllers) shouldServe(name string, now time.Time) bool {
	lastRequest, nonOwner := c.nonOwned[name]
	if nonOwner && now.Sub(lastRequest) > nonOwnedIdleTime {
		delete(c.nonOwned, name)
		nonOwner = false
	}
	return nonOwner || c.settled && c.isOwner(name)
}

// ensure returns the controller of a database, started if needed, with its members and
// voters updated. The lock must be held.
func (c *Controllers) ensure(d book.Database) *Controller {
	e, found := c.controllers[d.Name]
	if !found {
		e = &entry{}
		e.controller, e.stop = NewController(c.options.Controller, d.Name, d.Members)
		c.controllers[d.Name] = e
	}
	e.controller.SetMembers(d.Members, c.listSerial)
	voters := c.owners[d.Name]
	if !c.isOwner(d.Name) {
		// A proxy that serves the database because no owner answers must be able to
		// replace the primary.
		voters = append(slices.Clone(voters), c.options.Controller.Host)
	}
	e.controller.SetVoters(voters)
	return e.controller
}

// removePools removes the pools of members that are no longer listed, and returns the
// functions that close them. Their connections that are in use are closed on release. The
// lock must be held.
func (c *Controllers) removePools(watched []Watched) (stops []func()) {
	listed := make(map[poolKey]bool, len(watched))
	for _, w := range watched {
		for _, m := range w.Members {
			listed[poolKey{database: w.Name, member: m.Name, address: m.Address}] = true
		}
	}
	for key, owned := range c.pools {
		if !listed[key] {
			stops = append(stops, owned.stop)
			delete(c.pools, key)
		}
	}
	return stops
}

// close stops all controllers, and then the pools, which the controllers may use until
// they have stopped.
func (c *Controllers) close() {
	c.mu.Lock()
	var watches []func()
	for _, e := range c.controllers {
		watches = append(watches, e.stop)
	}
	c.mu.Unlock()
	for _, stop := range watches {
		stop()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, owned := range c.pools {
		owned.stop()
	}
}
