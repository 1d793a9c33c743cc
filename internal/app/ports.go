package app

import (
	"context"
	"time"

	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/pgfrt"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
)

// protocolParts holds the components and parameters of a proxy that depend on the
// protocol of its callers and members.
type protocolParts struct {
	protocol front.Protocol
	// relayed is the protocol of requests that other proxies relay to this one, and relay
	// sends requests to the owners of their databases. Both are nil if every proxy serves
	// all databases. owners returns the owners and standby owners of a database.
	relayed front.Protocol
	relay   chain.Relay
	owners  func(database string, hosts []book.Host) (owners, standbyOwners []string)
	// open returns the connection pool of a member and its clean-up function, and
	// control returns the control connection to a member.
	open    func(database string, m view.Member) (*member.Pool, func())
	control ctrl.Dialer
	rules   elect.Rules
	// storeWatchers is the number of proxies in each region that watch the store, firstWait
	// how long a starting proxy waits for the documents of its peers, and maxStoreAge the age
	// of the store's last answer to any proxy above which each reads it itself.
	storeWatchers int
	firstWait     time.Duration
	maxStoreAge   time.Duration
	// changePause is the pause after a change of a document before the store is queried
	// again.
	changePause map[book.Kind]time.Duration
	// permits returns the permit pool for the members' slots.
	permits func(d *gate.LeaseManager) chain.PermitPool
	// queues returns the queue of each member's slots, by member name.
	queues func() map[string]*gate.Gate
	// demand exchanges connection demand with other proxies.
	demand connectionDemand
	// ownerBalances is the state of the choice among owners, or nil if every proxy serves all
	// databases.
	ownerBalances *even.Balances
	// leased provides the databases for which this proxy manages slot leases.
	leased gate.Databases
	// removalDelay is how long a member is kept after it disappears from the list.
	removalDelay time.Duration
	// settleDelay is how long the list of hosts must be unchanged before this proxy, if it
	// is new, serves databases.
	settleDelay time.Duration
	// bind receives the components that are built after these parts.
	bind        func(*ctrl.Controllers, *ctrl.Documents)
	answerGrace time.Duration
	// leadershipLease is how long a proof of leadership is valid for reads at a primary.
	leadershipLease time.Duration
	// activePoll is the pause between status queries to a member while requests wait, and
	// maxProofAge is the age at which a proof of leadership is renewed.
	activePoll  time.Duration
	maxProofAge time.Duration
	// tokens generates the tokens of claims, and fenceBelow ensures that no promotion command
	// with an earlier token is executed. Both are nil if members refuse such commands.
	tokens      *ctrl.Tokens
	fenceBelow  func(ctx context.Context, database string, token uint64) error
	replicaWait time.Duration
}

// connectionDemand reports this proxy's demand for connections and receives that of
// other proxies.
type connectionDemand interface {
	Wants() map[string]int
	TakeWants(host string, wants map[string]int)
}

// noDemand reports no connection demand. It is used where members record which proxy
// holds their slot lease.
type noDemand struct{}

// Wants implements connectionDemand.
func (noDemand) Wants() map[string]int { return nil }

// TakeWants implements connectionDemand.
func (noDemand) TakeWants(string, map[string]int) {}

// newStore returns a client of the platform's store.
func newStore(lc fx.Lifecycle, s config.Settings, log *event.Log) store.Store {
	if s.Protocol == config.Lines {
		return newObjects(lc, s, log)
	}
	client, cleanUp := store.New(s.StoreAddress, s.Timing.StoreWait())
	onStop(lc, cleanUp)
	return client
}

// newProtocolParts returns the parts for the protocol in the settings.
func newProtocolParts(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, mesh *peer.Connections, bytes *meter.Meter, memory *budget.Budget, g *guard.Guard) (*protocolParts, error) {
	if s.Protocol == config.Lines {
		return newLineParts(lc, s, st, log, mesh, bytes, memory, g)
	}
	return newPostgresParts(s, bytes), nil
}

// With the PostgreSQL protocol, an answer that arrives up to postgresAnswerGrace after
// its deadline is still passed on, and a read waits up to postgresReplicaWait for a
// nearby replica.
const (
	postgresAnswerGrace = 2 * time.Second
	postgresReplicaWait = 20 * time.Millisecond
	// postgresActivePoll is the pause between status queries while requests wait.
	postgresActivePoll = time.Millisecond
	// postgresStoreWatchers is the number of proxies in each region that watch the store.
	postgresStoreWatchers = 3
)

func newPostgresParts(s config.Settings, bytes *meter.Meter) *protocolParts {
	p := &protocolParts{
		protocol:    pgfrt.Protocol{},
		control:     func(m view.Member) member.Control { return postgresControl(s, m, bytes) },
		rules:       elect.RulesFor(s.Timing.SuspectMs.Duration()),
		answerGrace: postgresAnswerGrace,
		replicaWait: postgresReplicaWait,
		activePoll:  postgresActivePoll,

		storeWatchers: postgresStoreWatchers,
		demand:        noDemand{},
	}
	p.open = func(database string, m view.Member) (*member.Pool, func()) {
		login := loginOf(s, m, meter.Work, bytes)
		login.Database = database
		return pgmem.NewPool(m.Address, login, s.Limits.MemberConnections, s.Timing.IdleCheckMs.Duration())
	}
	p.permits = func(d *gate.LeaseManager) chain.PermitPool {
		p.queues = d.Queues
		return d
	}
	p.bind = func(controllers *ctrl.Controllers, _ *ctrl.Documents) { p.leased = controllers }
	return p
}

func postgresControl(s config.Settings, m view.Member, bytes *meter.Meter) member.SlotControl {
	return pgmem.NewControlConn(m.Address, loginOf(s, m, meter.Control, bytes))
}

// loginOf returns the login parameters of a member for one kind of traffic.
func loginOf(s config.Settings, m view.Member, kind meter.Kind, bytes *meter.Meter) pgmem.Login {
	return pgmem.Login{User: s.MemberUser, Password: s.MemberPassword, Host: s.Host, Dial: bytes.Dial(kind, m.Region)}
}

// newLeaseManager returns the manager of slot leases. It manages no database if the
// members do not support slot leases.
func newLeaseManager(lc fx.Lifecycle, s config.Settings, documents *ctrl.Documents, _ *ctrl.Controllers, log *event.Log, mesh *peer.Connections, bytes *meter.Meter, p *protocolParts) *gate.LeaseManager {
	leases, cleanUp := gate.NewLeaseManager(gate.Options{
		Host:           s.Host,
		QueueLimit:     s.Limits.Queue,
		FailureTimeout: failureTimeout(s),
		Timeout:        s.Timing.AskTimeoutMs.Duration(),
		Peers:          mesh,
		Documents:      documents,
		Databases:      p.leased,
		Dial:           func(m view.Member) member.SlotControl { return postgresControl(s, m, bytes) },
		Log:            log,
	})
	onStop(lc, cleanUp)
	return leases
}

// hostOf returns the entry of this proxy in the hosts document.
func hostOf(s config.Settings, peerAddress string) book.Host {
	return book.Host{Name: s.Host, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: peerAddress, Capacity: s.ProcessorShare * s.ProcessorSpeed}
}
