package app

import (
	"cmp"
	"context"
	"net"
	"time"

	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/place"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/internal/share"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/platform/caller"
	"poplarrouter.example/poplarrouter/platform/codec"
	"poplarrouter.example/poplarrouter/platform/memb"
	"poplarrouter.example/poplarrouter/platform/objst"
)

// dialTimeout limits the time to open a connection to the store or the platform.
const dialTimeout = time.Second

func newObjects(lc fx.Lifecycle, s config.Settings, log *event.Log) store.Store {
	client, cleanUp := objst.New(objst.Options{
		Address: s.StoreAddress, Wait: s.Timing.StoreWait(), Regions: s.Regions, Dial: plainDial(dialTimeout), Clock: bootTime,
		OnIgnored: func(kind, name string, cause error) {
			log.Emit(event.EntryIgnored, event.Fields{"Kind": kind, "Entry": name, "Cause": cause.Error()})
		},
	})
	onStop(lc, cleanUp)
	return client
}

// lateParts gives the line protocol access to the components of a proxy that are built
// after its protocolParts.
type lateParts struct {
	// bound is closed when controllers and documents are set. Workers that start earlier
	// wait for it.
	bound       chan struct{}
	controllers *ctrl.Controllers
	documents   *ctrl.Documents
}

func (l *lateParts) bind(controllers *ctrl.Controllers, documents *ctrl.Documents) {
	l.controllers, l.documents = controllers, documents
	close(l.bound)
}

// get waits until bind has been called and returns the components.
func (l *lateParts) get() (*ctrl.Controllers, *ctrl.Documents) {
	<-l.bound
	return l.controllers, l.documents
}

func (l *lateParts) book() book.DocumentSet {
	_, documents := l.get()
	return documents.Book()
}

// HostListed implements ctrl.HostList.
func (l *lateParts) HostListed(ctx context.Context, host book.Host) bool {
	select {
	case <-l.bound:
		return l.documents.HostListed(ctx, host)
	case <-ctx.Done():
		return false
	}
}

// AwaitUnlisted implements ctrl.HostList.
func (l *lateParts) AwaitUnlisted(ctx context.Context, host string) {
	select {
	case <-l.bound:
		l.documents.AwaitUnlisted(ctx, host)
	case <-ctx.Done():
	}
}

// pool returns the connection pool of a member.
func (l *lateParts) pool(m view.Member) *member.Pool {
	controllers, _ := l.get()
	return controllers.Pool(m.Database, m)
}

// newLineParts returns the parts for members that use the line protocol of typed
// statements. The host's name is sent with each connection to a member, so that newLineParts
// returns a fault if it cannot be.
func newLineParts(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, mesh *peer.Connections, bytes *meter.Meter, memory *budget.Budget, g *guard.Guard) (*protocolParts, error) {
	if !codec.IsName(s.Host) {
		return nil, fault.New(fault.Protocol, "start", "got the host name %q, want up to %d bytes without blanks and control characters", s.Host, codec.MaxName)
	}
	tokens, err := ctrl.NewTokens(mesh.Address())
	if err != nil {
		return nil, err
	}
	l := &lateParts{bound: make(chan struct{})}
	promoter, closePromoter := memb.NewPromoter(s.PromoteAddress, s.Host, plainDial(dialTimeout))
	onStop(lc, closePromoter)
	onStop(lc, ctrl.Register(st, log, hostOf(s, mesh.Address()), storeRetry, l))
	shares := share.New(share.Options{
		Host: s.Host, Region: s.Region, QueueLimit: s.Limits.Queue, Connections: l.connections, Slots: l.slots, Hosts: l.hosts, Listed: l.listed, OnResize: l.resize,
	})
	ownerBalances := even.NewBalances()
	relays, closeRelays := relay.New(relay.Options{Host: s.Host, Region: s.Region, Dial: mesh.Dial, Owners: l.owners, Substitutes: l.standbyOwners, Hosts: l.listedHosts, SheetSerial: l.sheetSerial, Load: shares.HostLoad, Balances: ownerBalances, Memory: memory})
	onStop(lc, closeRelays)
	p := &protocolParts{
		protocol:        flow.Protocol{NewCaller: caller.New},
		relayed:         relay.Protocol{},
		relay:           relays,
		owners:          place.Owners,
		rules:           lineRules(s),
		storeWatchers:   lineStoreWatchers,
		firstWait:       firstDocumentWait,
		maxStoreAge:     4 * s.Timing.StoreWait(),
		changePause:     map[book.Kind]time.Duration{book.Hosts: listChangePause, book.Databases: listChangePause, book.Sheet: sheetChangePause},
		removalDelay:    memberRemovalDelay,
		settleDelay:     hostSettleDelay,
		leadershipLease: readLease,
		activePoll:      lineActivePoll,
		maxProofAge:     readLease * 7 / 10,
		tokens:          tokens,
		fenceBelow: func(ctx context.Context, database string, token uint64) error {
			return flow.InvalidateLowerTokens(ctx, promoter, database, token)
		},
		permits:       func(*gate.LeaseManager) chain.PermitPool { return shares },
		queues:        shares.Queues,
		demand:        shares,
		ownerBalances: ownerBalances,
		leased:        noLeases{duty.NewCell[[]ctrl.Watched](nil)},
		bind:          l.bind,
	}
	// A member is told the customer for which a connection is opened, or else this host.
	dial := func(ctx context.Context, m view.Member, kind meter.Kind, customer string) (flow.ControlConn, error) {
		return memb.Dial(ctx, bytes.Dial(kind, m.Region), m.Database, m, cmp.Or(customer, s.Host))
	}
	p.open = func(_ string, m view.Member) (*member.Pool, func()) {
		return member.NewPool(member.PoolOptions{
			Address:   m.Address,
			Modeless:  true,
			Limit:     maxLines,
			IdleCheck: s.Timing.IdleCheckMs.Duration(),
			Listed:    l.customerListed,
			Open: func(ctx context.Context, _ member.Mode, customer string) (member.ProtocolConn, error) {
				conn, err := dial(ctx, m, meter.Work, customer)
				if err != nil {
					return nil, err
				}
				return flow.NewMemberConn(memb.WithCheck(memb.WithBudget(conn, memory), reportAltered(g, m.Name))), nil
			},
		})
	}
	p.control = func(m view.Member) member.Control {
		return flow.NewControl(flow.ControlOptions{
			Database: m.Database,
			Member:   m,
			Pool:     func() *member.Pool { return l.pool(m) },
			Dial:     func(ctx context.Context) (flow.ControlConn, error) { return dial(ctx, m, meter.Control, "") },
			Promoter: promoter,
		})
	}
	return p, nil
}

// maxLoggedText is the length in bytes of the longest part of a statement that is logged.
const maxLoggedText = 64

// reportAltered returns a function that reports a statement which a member would read differently
// from its caller.
func reportAltered(g *guard.Guard, member string) func(q flow.Query, text string) {
	return func(q flow.Query, text string) {
		g.Assert(guard.UnalteredStatement, false, event.Fields{
			"Request": q.ID, "Member": member,
			"Got": text[:min(len(text), maxLoggedText)], "GotBytes": len(text),
			"Want": q.Statement.Text[:min(len(q.Statement.Text), maxLoggedText)], "WantBytes": len(q.Statement.Text),
		})
	}
}

const (
	// lineActivePoll is the pause between status queries to a member while requests wait.
	// It is about the time between two commits of a database.
	lineActivePoll = 20 * time.Millisecond
	// readLease is how long reads at a primary rely on the last proof of its leadership.
	// The nearest replica is queried twice within that time.
	readLease = time.Second
	// leaseMargin covers the clock drift between two hosts during a lease.
	leaseMargin = 50 * time.Millisecond
)

const (
	// listChangePause is the pause after a change of the list of hosts or of members,
	// because hosts that start together register within a few seconds. It delays the news
	// that a member is draining by at most this long; the member still serves for seconds.
	listChangePause = time.Second / 2
	// sheetChangePause is the pause after a change of the sheet. Operators may load several
	// sheets in a row, and each has to be in force within seconds.
	sheetChangePause = time.Second / 4
)

// hostSettleDelay is how long the list of hosts must be unchanged before a new host serves
// databases. The hosts of a fleet start within a fraction of a second of each other, and
// each reads their entries in a few batches.
const hostSettleDelay = 2 * time.Second

const (
	// lineStoreWatchers is the number of hosts in each region that watch the store. The
	// platform's store may turn many of them away while it serves others; the hosts of a
	// small site all watch it.
	lineStoreWatchers = 9
	// firstDocumentWait is how long a starting host waits for the documents of its peers. A
	// list of hosts takes several round trips between regions to read.
	firstDocumentWait = time.Second
)

// memberRemovalDelay is how long a member is kept after it disappears from the list.
// Entries that expired while the store was unavailable reappear within about two seconds
// of its recovery.
const memberRemovalDelay = 4 * time.Second

// maxLines is the maximum number of connections of a pool, even if a member accepts more.
const maxLines = 1000

// lineRules returns the election rules for the line protocol.
func lineRules(s config.Settings) elect.Rules {
	rules := elect.SharedTermRules(s.Timing.SuspectMs.Duration(), readLease+leaseMargin)
	rules.PromotionDeposes = s.PromotionDeposes
	return rules
}

// connections returns how many connections a member of a database accepts.
func (l *lateParts) connections(database string) int { return l.book().Connections(database) }

func (l *lateParts) sheetSerial() uint64 { return l.book().Serial(book.Sheet) }

// customerListed reports whether the sheet lists a customer.
func (l *lateParts) customerListed(name string) bool {
	_, found := l.book().Sheet().Customer(name)
	return found
}

// slots returns how many statements a member of a database runs concurrently, or 0 if
// the database is not listed.
func (l *lateParts) slots(database string) int {
	d, _ := l.book().Database(database)
	return d.Slots
}

// owners returns the owners of a database and whether this proxy is one of them.
func (l *lateParts) owners(database string) (hosts []string, local bool) {
	controllers, _ := l.get()
	return controllers.Owners(database)
}

// standbyOwners returns the standby owners of a database.
func (l *lateParts) standbyOwners(database string) []string {
	controllers, _ := l.get()
	return controllers.StandbyOwners(database)
}

func (l *lateParts) listedHosts() []book.Host { return l.book().Hosts() }

// hosts returns the proxies that share the connections to the members of a database.
func (l *lateParts) hosts(database string) []string {
	controllers, _ := l.get()
	hosts, _ := controllers.Owners(database)
	return hosts
}

// listed reports whether a member is in the membership of its database.
func (l *lateParts) listed(m view.Member) bool {
	controllers, _ := l.get()
	controller, found := controllers.Get(m.Database)
	if found {
		_, found = controller.View().Member(m.Name)
	}
	return found
}

// resize applies a new connection limit to the pool of a member.
func (l *lateParts) resize(m view.Member, size int) { l.pool(m).Resize(size) }

// noLeases provides no database, because the members do not support slot leases.
type noLeases struct{ *duty.Cell[[]ctrl.Watched] }

// Watched implements gate.Databases.
func (n noLeases) Watched() ([]ctrl.Watched, <-chan struct{}) { return n.Watch() }

// plainDial returns a function that opens connections within timeout and does not count
// their bytes.
func plainDial(timeout time.Duration) memb.DialFunc {
	return (&net.Dialer{Timeout: timeout}).DialContext
}
