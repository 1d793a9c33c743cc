package app

import (
	"context"
	"time"

	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/gate"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/pgfrt"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
)

// ports are the parts of a proxy that depend on the protocol of its callers and
// members.
type ports struct {
	protocol front.Protocol
	// relayed serves what other proxies send, and relay sends them what they serve; both
	// are nil where every proxy serves all databases. homes tells who serves which.
	relayed front.Protocol
	relay   chain.Relay
	homes   func(database string, hosts []book.Host) (homes, deputies []string)
	// open returns the pool of connections to a member, and control its control.
	open    func(database string, m view.Member) (*member.Pool, func())
	control ctrl.Dialer
	rules   elect.Rules
	// everyone tells that every proxy watches the store.
	everyone bool
	// rest is the pause after a document has changed before the store is asked again.
	rest map[book.Kind]time.Duration
	// slots returns what rations the members' slots.
	slots func(d *gate.LeaseManager) chain.PermitPool
	// queues returns the queues in front of the slots, by the names of the members.
	queues func() map[string]*gate.Gate
	// wants is what proxies tell one another of the connections that they want.
	wants wanting
	// watched tells which databases have a dispatcher.
	watched gate.Databases
	// hold is how long a member that is missing from the list is kept.
	hold time.Duration
	// bind is told of the parts that are built after the ports.
	bind        func(*ctrl.Controllers, *ctrl.Documents)
	answerGrace time.Duration
	lease       time.Duration
	// spacing and proof are those of the watch over a database.
	spacing time.Duration
	proof   time.Duration
	// seal makes sure that no earlier order for a promotion is carried out any more.
	seal        func(ctx context.Context, database string, token uint64) error
	replicaWait time.Duration
}

// wanting is the part of a proxy that shares connections with others.
type wanting interface {
	Wants() map[string]int
	TakeWants(host string, wants map[string]int)
}

// nothing wants nothing, where members know who gives out their slots.
type nothing struct{}

// Wants implements wanting.
func (nothing) Wants() map[string]int { return nil }

// TakeWants implements wanting.
func (nothing) TakeWants(string, map[string]int) {}

// newStore returns the client of the platform's store.
func newStore(lc fx.Lifecycle, s config.Settings) store.Store {
	if s.Protocol == config.Lines {
		return newObjects(lc, s)
	}
	client, cleanUp := store.New(s.StoreAddress, s.Timing.WatchMs.Duration())
	onStop(lc, cleanUp)
	return client
}

// newPorts returns the parts for the protocol of the settings.
func newPorts(lc fx.Lifecycle, s config.Settings, st store.Store, log *event.Log, mesh *peer.Mesh, bytes *meter.Meter) *ports {
	if s.Protocol == config.Lines {
		return newLinePorts(lc, s, st, log, mesh, bytes)
	}
	return newPostgresPorts(s, bytes)
}

// Over PostgreSQL, an answer that comes a little late is passed on, and a read waits a
// little for a near replica.
const (
	postgresAnswerGrace = 2 * time.Second
	postgresReplicaWait = 20 * time.Millisecond
	// postgresSpacing is the pause between questions while requests wait.
	postgresSpacing = time.Millisecond
)

func newPostgresPorts(s config.Settings, bytes *meter.Meter) *ports {
	p := &ports{
		protocol:    pgfrt.Protocol{},
		control:     func(m view.Member) member.Control { return postgresControl(s, m, bytes) },
		rules:       elect.RulesFor(s.Timing.SuspectMs.Duration()),
		answerGrace: postgresAnswerGrace,
		replicaWait: postgresReplicaWait,
		spacing:     postgresSpacing,
		wants:       nothing{},
	}
	p.open = func(database string, m view.Member) (*member.Pool, func()) {
		login := loginOf(s, m, meter.Work, bytes)
		login.Database = database
		return pgmem.NewPool(m.Address, login, s.Limits.MemberConnections, s.Timing.IdleCheckMs.Duration())
	}
	p.slots = func(d *gate.LeaseManager) chain.PermitPool {
		p.queues = d.Queues
		return d
	}
	p.bind = func(bases *ctrl.Controllers, _ *ctrl.Documents) { p.watched = bases }
	return p
}

func postgresControl(s config.Settings, m view.Member, bytes *meter.Meter) member.SlotControl {
	return pgmem.NewControlConn(m.Address, loginOf(s, m, meter.Control, bytes))
}

// loginOf returns how to log in at a member for one kind of traffic.
func loginOf(s config.Settings, m view.Member, kind meter.Kind, bytes *meter.Meter) pgmem.Login {
	return pgmem.Login{User: s.MemberUser, Password: s.MemberPassword, Host: s.Host, Dial: bytes.Dial(kind, m.Region)}
}

// newDispatch returns the dispatch of slots. It watches nothing if the members know no
// dispatcher.
func newDispatch(lc fx.Lifecycle, s config.Settings, books *ctrl.Documents, _ *ctrl.Controllers, log *event.Log, mesh *peer.Mesh, bytes *meter.Meter, p *ports) *gate.LeaseManager {
	dispatch, cleanUp := gate.NewLeaseManager(gate.Options{
		Host:           s.Host,
		QueueLimit:     s.Limits.Queue,
		FailureTimeout: silence(s),
		Timeout:        s.Timing.AskTimeoutMs.Duration(),
		Peers:          mesh,
		Documents:      books,
		Databases:      p.watched,
		Dial:           func(m view.Member) member.SlotControl { return postgresControl(s, m, bytes) },
		Log:            log,
	})
	onStop(lc, cleanUp)
	return dispatch
}

// hostOf returns the entry of this proxy in the list of hosts.
func hostOf(s config.Settings, peerAddress string) book.Host {
	return book.Host{Name: s.Host, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: peerAddress, Capacity: s.ProcessorShare * s.ProcessorSpeed}
}
