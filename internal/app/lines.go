package app

import (
	"context"
	"net"
	"time"

	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/place"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/internal/share"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/platform/caller"
	"poplarrouter.example/poplarrouter/platform/memb"
	"poplarrouter.example/poplarrouter/platform/objst"
)

// dialTimeout ends the opening of a connection to the store or the platform.
const dialTimeout = time.Second

func newObjects(lc fx.Lifecycle, s config.Settings) store.Store {
	client, cleanUp := objst.New(objst.Options{
		Address: s.StoreAddress, Wait: s.Timing.WatchMs.Duration(), Regions: s.Regions, Dial: plainDial(dialTimeout),
	})
	onStop(lc, cleanUp)
	return client
}

// lines holds the parts of a proxy that are built after its ports.
type lines struct {
	// bound closes when the parts are there. Duties that these start wait for it.
	bound chan struct{}
	bases *ctrl.Controllers
	books *ctrl.Documents
}

func (l *lines) bind(bases *ctrl.Controllers, books *ctrl.Documents) {
	l.bases, l.books = bases, books
	close(l.bound)
}

// parts returns the parts that are built after the ports.
func (l *lines) parts() (*ctrl.Controllers, *ctrl.Documents) {
	<-l.bound
	return l.bases, l.books
}

func (l *lines) book() book.Book {
	_, books := l.parts()
	return books.Book()
}

// pool returns the pool of connections to a member.
func (l *lines) pool(m view.Member) *member.Pool {
	bases, _ := l.parts()
	return bases.Pool(m.Database, m)
}

// newLinePorts returns the parts for members that answer typed statements.
func newLinePorts(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, mesh *peer.Mesh, bytes *meter.Meter) *ports {
	l := &lines{bound: make(chan struct{})}
	promoter, closePromoter := memb.NewPromoter(s.PromoteAddress, s.Host, plainDial(dialTimeout))
	onStop(lc, closePromoter)
	onStop(lc, ctrl.Register(st, log, hostOf(s, mesh.Address()), storeRetry))
	shares := share.New(share.Options{
		Host: s.Host, QueueLimit: s.Limits.Queue, Connections: l.connections, Slots: l.slots, Hosts: l.hosts, Listed: l.listed, OnResize: l.resized,
	})
	relays, closeRelays := relay.New(relay.Options{Host: s.Host, Region: s.Region, Dial: mesh.Dial, Homes: l.homes, Deputies: l.deputies, Hosts: l.listedHosts})
	onStop(lc, closeRelays)
	p := &ports{
		protocol: flow.Protocol{Wrap: caller.New},
		relayed:  relay.Protocol{},
		relay:    relays,
		homes:    place.Owners,
		rules:    lineRules(s),
		everyone: true,
		rest:     map[book.Kind]time.Duration{book.Hosts: listRest, book.Databases: listRest, book.Sheet: sheetRest},
		hold:     memberHold,
		lease:    readLease,
		spacing:  lineSpacing,
		proof:    readLease * 7 / 10,
		seal: func(ctx context.Context, database string, token uint64) error {
			return flow.Seal(ctx, promoter, database, token)
		},
		slots:   func(*gate.LeaseManager) chain.PermitPool { return shares },
		queues:  shares.Queues,
		wants:   shares,
		watched: noDispatcher{duty.NewCell[[]ctrl.Watched](nil)},
		bind:    l.bind,
	}
	dial := func(ctx context.Context, m view.Member, kind meter.Kind) (flow.Orders, error) {
		return memb.Dial(ctx, bytes.Dial(kind, m.Region), m.Database, m, s.Host)
	}
	p.open = func(_ string, m view.Member) (*member.Pool, func()) {
		return member.NewPool(member.PoolOptions{
			Address:  m.Address,
			Modeless: true,
			Limit:    maxLines,
			IdleCheck:    s.Timing.IdleCheckMs.Duration(),
			Open: func(ctx context.Context, _ member.Mode) (member.ProtocolConn, error) {
				conn, err := dial(ctx, m, meter.Work)
				if err != nil {
					return nil, err
				}
				return flow.NewLine(conn), nil
			},
		})
	}
	p.control = func(m view.Member) member.Control {
		return flow.NewControl(flow.ControlOptions{
			Database: m.Database,
			Member:   m,
			Pool:     func() *member.Pool { return l.pool(m) },
			Dial:     func(ctx context.Context) (flow.Orders, error) { return dial(ctx, m, meter.Control) },
			Promoter: promoter,
		})
	}
	return p
}

const (
	// lineSpacing is the pause between questions to a member while requests wait: about
	// the time between two commits of a database.
	lineSpacing = 20 * time.Millisecond
	// readLease is how long reads at a primary rest on the last proof that it leads.
	// The nearest replica is asked twice within it.
	readLease = time.Second
	// leaseMargin covers the drift between the clocks of two hosts over a lease.
	leaseMargin = 50 * time.Millisecond
)

const (
	// listRest is the pause after the list of hosts or of members has changed: those that
	// start together enter themselves within a few seconds. A member that is leaving is
	// heard of later by as much at the most, of the seconds for which it still serves.
	listRest = time.Second / 2
	// sheetRest is the pause after the sheet has changed. Operators write several in a
	// row, each of which is to be in force within seconds.
	sheetRest = time.Second / 4
)

// memberHold is how long a member that is missing from the list is kept: entries that
// lapsed come back within about two seconds of the store's return.
const memberHold = 4 * time.Second

// maxLines is how many connections a pool holds at most, whatever the members take.
const maxLines = 1000

// lineRules returns the rules of elections. A promotion takes effect a while after the
// order, which an attempt must outlast.
func lineRules(s config.Settings) elect.Rules {
	rules := elect.RulesFor(s.Timing.SuspectMs.Duration())
	rules.SharedTerms = true
	rules.AttemptTimeout = 4 * s.Timing.SuspectMs.Duration()
	rules.Lease = readLease + leaseMargin
	// Another watcher's claim shows in the promises of members, which are asked for each
	// few hundred milliseconds.
	rules.Stagger = s.Timing.SuspectMs.Duration() / 2
	return rules
}

// connections returns how many connections a member of a database takes.
func (l *lines) connections(database string) int { return l.book().Connections(database) }

// slots returns how many statements a member of a database runs at a time, or 0 if the
// database is not listed.
func (l *lines) slots(database string) int {
	d, _ := l.book().Database(database)
	return d.Slots
}

// homes returns the proxies that serve a database, and whether this one does.
func (l *lines) homes(database string) (hosts []string, here bool) {
	bases, _ := l.parts()
	return bases.Owners(database)
}

func (l *lines) deputies(database string) []string {
	bases, _ := l.parts()
	return bases.StandbyOwners(database)
}

func (l *lines) listedHosts() []book.Host { return l.book().Hosts() }

// hosts returns the proxies that share the connections to a database's members.
func (l *lines) hosts(database string) []string {
	bases, _ := l.parts()
	hosts, _ := bases.Owners(database)
	return hosts
}

func (l *lines) listed(m view.Member) bool {
	bases, _ := l.parts()
	base, found := bases.Get(m.Database)
	if found {
		_, found = base.View().Member(m.Name)
	}
	return found
}

func (l *lines) resized(m view.Member, size int) { l.pool(m).Resize(size) }

// noDispatcher lists no database, since the members know no dispatcher.
type noDispatcher struct{ *duty.Cell[[]ctrl.Watched] }

// Watched implements gate.Bases.
func (n noDispatcher) Watched() ([]ctrl.Watched, <-chan struct{}) { return n.Watch() }

// plainDial opens connections within a time.
func plainDial(timeout time.Duration) memb.DialFunc {
	return (&net.Dialer{Timeout: timeout}).DialContext
}
