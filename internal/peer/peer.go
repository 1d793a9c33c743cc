package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Handler handles the frames of peers.
type Handler interface {
	// HandleDoc handles a document that a peer sent, which may be older than the one held.
	HandleDoc(host string, doc book.Doc)
	// DocumentSet returns the documents that this proxy holds.
	DocumentSet() book.DocumentSet
	// StoreAge returns the time since the last answer of the store that this proxy knows
	// of, and TakeStoreAge handles that of a peer.
	StoreAge() time.Duration
	TakeStoreAge(age time.Duration)
	// VoteOn returns this proxy's vote on the primary of a term.
	VoteOn(database string, term group.Term) elect.Vote
	// TakeVote handles another proxy's vote on a primary.
	TakeVote(database string, v elect.Vote)
	// Wants returns this proxy's connection demand: the number of connections that it
	// needs to each member, by the member's name.
	Wants() map[string]int
	// TakeWants handles the connection demand of another proxy.
	TakeWants(host string, wants map[string]int)
	// TakeClaim handles another proxy's claim to a term of a database.
	TakeClaim(database string, c elect.Claim)
	// HandlePermitRequest handles a request for a permit. It may call answer after it
	// has returned, and more than once.
	HandlePermitRequest(host string, w PermitRequest, answer func(Grant))
	// HandleGrant handles the answer to a permit request.
	HandleGrant(host string, g Grant)
	// HandleRelease releases a permit.
	HandleRelease(host string, d Release)
	// HandleSuspicionQuery returns this proxy's vote on whether a proxy is unresponsive.
	HandleSuspicionQuery(d SuspicionQuery) SuspicionVote
	// TakeOpinion handles another proxy's vote on whether a proxy is unresponsive.
	TakeOpinion(host string, o SuspicionVote)
	// HandleProofQuery returns how recently this proxy's sheet was proven to be the store's
	// newest, or false if it has no proof. TakeProof handles the answer of a peer.
	HandleProofQuery(q ProofQuery) (ProofAnswer, bool)
	TakeProof(host string, a ProofAnswer)
	// HandleCapAsk returns the tokens that are granted to a peer, or false if the ask was passed
	// on to another host. TakeCapGrant handles the tokens that a peer granted.
	HandleCapAsk(host string, a CapAsk) (CapGrant, bool)
	TakeCapGrant(host string, g CapGrant)
	// HandleDisconnect is called when a connection that a peer had opened has ended.
	HandleDisconnect(host string)
	// ServeRelay serves the relayed requests that a peer sends over a connection, until
	// the connection ends.
	ServeRelay(ctx context.Context, conn net.Conn, host string) error
	// Partners returns the peers that serve the same databases as this proxy. They
	// receive heartbeats in addition to the connected peers.
	Partners() []string
	// Cancel cancels the request of a caller, if the caller is connected to this proxy.
	Cancel(processID uint32, secretKey []byte)
}

// NoProofs is the part of a Handler of a proxy that proves nothing about its sheet.
type NoProofs struct{}

// HandleProofQuery implements Handler.
func (NoProofs) HandleProofQuery(ProofQuery) (ProofAnswer, bool) { return ProofAnswer{}, false }

// TakeProof implements Handler.
func (NoProofs) TakeProof(string, ProofAnswer) {}

// NoCaps is the part of a Handler of a proxy that grants no tokens.
type NoCaps struct{}

// HandleCapAsk implements Handler.
func (NoCaps) HandleCapAsk(string, CapAsk) (CapGrant, bool) { return CapGrant{}, false }

// TakeCapGrant implements Handler.
func (NoCaps) TakeCapGrant(string, CapGrant) {}

// Options are the settings and dependencies of Connections.
type Options struct {
	Host   string
	Region string
	Secret string
	// Seeds are the addresses of peers that receive heartbeats while no list of hosts
	// is known, so that they send one.
	Seeds             []string
	HeartbeatInterval time.Duration
	Timeout           time.Duration
	Log               *event.Log
	Meter             *meter.Meter
}

const (
	// gossipPeers is the number of peers to which a proxy sends heartbeats and documents.
	gossipPeers = 8
	// gatewayPeers is the number of peers of each other region that receive a document.
	gatewayPeers = 2
	sendQueue    = 256
	nonceBytes   = 32
	// maxMissedHeartbeats is the number of missed heartbeats after which an accepted
	// connection is closed.
	maxMissedHeartbeats = 3
)

// Connections manages the connections to and from peers.
type Connections struct {
	options  Options
	listener net.Listener
	// started is closed when handler is set; connections wait for it.
	started chan struct{}
	handler Handler

	mu           sync.Mutex
	hosts        map[string]book.Host
	links        map[string]*link
	inbound      map[net.Conn]struct{}
	received     map[string]time.Time
	lastReceived time.Time
	// lists holds what the last heartbeat of each peer told of its list of members.
	lists     map[string]listNotice
	transfers transfers
	accepted  duty.Group
	closed    bool
}

// listNotice is the serial of the list of databases and members that a peer has, and when its
// heartbeat was received.
type listNotice struct {
	serial uint64
	at     time.Time
}

type link struct {
	frames *duty.Ring[Frame]
	stop   func()
}

// New listens on address (IP:port) and returns the connections with their clean-up
// function. Frames are handled after Start, which must be called once.
func New(options Options, address string) (*Connections, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	m := &Connections{
		options:  options,
		listener: listener,
		started:  make(chan struct{}),
		hosts:    make(map[string]book.Host),
		links:    make(map[string]*link),
		inbound:  make(map[net.Conn]struct{}),
		received: make(map[string]time.Time),
		lists:    make(map[string]listNotice),

		transfers: newTransfers(),
	}
	return m, m.close, nil
}

// Address returns the address on which the proxy listens for peers.
func (m *Connections) Address() string { return m.listener.Addr().String() }

// Start begins to handle frames with h, and returns the clean-up function.
func (m *Connections) Start(h Handler) func() {
	m.handler = h
	close(m.started)
	stopAccept := duty.Run(m.accept)
	stopHeartbeats := duty.Run(m.sendHeartbeats)
	return func() {
		m.close()
		stopHeartbeats()
		stopAccept()
	}
}

func (m *Connections) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	m.closed = true
	links := m.links
	m.links = make(map[string]*link)
	for conn := range m.inbound {
		_ = conn.Close()
	}
	m.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
	m.accepted.Wait()
}

// SetHosts replaces the list of proxies, and closes the connections to proxies that
// are no longer on it.
func (m *Connections) SetHosts(hosts []book.Host) {
	m.mu.Lock()
	m.hosts = make(map[string]book.Host, len(hosts))
	for _, h := range hosts {
		if h.Name != m.options.Host {
			m.hosts[h.Name] = h
		}
	}
	var removed []*link
	for name, l := range m.links {
		if _, found := m.hosts[name]; !found {
			removed = append(removed, l)
			delete(m.links, name)
		}
	}
	m.mu.Unlock()
	for _, l := range removed {
		l.stop()
	}
}

// Send queues a frame for a peer, and opens the connection if there is none. It
// reports whether the peer is known and its queue had capacity for the frame.
func (m *Connections) Send(host string, f Frame) bool {
	m.mu.Lock()
	h, known := m.hosts[host]
	m.mu.Unlock()
	return known && m.sendTo(h, f)
}

func (m *Connections) sendTo(h book.Host, f Frame) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	l, found := m.links[h.Name]
	if !found {
		l = &link{frames: duty.NewRing[Frame](sendQueue)}
		l.stop = duty.Run(func(ctx context.Context) error { return m.maintain(ctx, h, l) })
		m.links[h.Name] = l
	}
	return l.frames.Offer(f)
}

// AskWatchers implements ctrl.Watchers.
func (m *Connections) AskWatchers(database string, term group.Term, hosts []string) {
	for _, host := range hosts {
		m.Send(host, Frame{VoteRequest: &VoteRequest{Database: database, Term: term}})
	}
}

// TellClaim implements ctrl.Watchers.
func (m *Connections) TellClaim(database string, claim elect.Claim, hosts []string) {
	for _, host := range hosts {
		m.Send(host, Frame{Claim: &ClaimNotice{Database: database, Claim: claim}})
	}
}

// Cancel forwards a cancel request to every connected peer.
func (m *Connections) Cancel(processID uint32, secretKey []byte) {
	for _, host := range m.ConnectedPeers() {
		m.Send(host, Frame{Cancel: &Cancel{ProcessID: processID, SecretKey: secretKey}})
	}
}

func (m *Connections) recordReceived(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received[host] = time.Now()
	m.lastReceived = m.received[host]
}

// LastReceived returns the time at which the last frame of any peer was received.
func (m *Connections) LastReceived() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastReceived
}

// Heard returns the time at which the last frame of a peer was received.
func (m *Connections) Heard(host string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received[host]
}

// MemberList returns the serial of the list of databases and members that a peer has according
// to its last heartbeat, and when that was received.
func (m *Connections) MemberList(host string) (serial uint64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	notice := m.lists[host]
	return notice.serial, notice.at
}

func (m *Connections) recordMemberList(host string, serial uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists[host] = listNotice{serial: serial, at: time.Now()}
}

// handleFrame handles a frame of a peer. Answers are sent over the same connection.
func (m *Connections) handleFrame(host string, f Frame, answers *duty.Ring[Frame]) {
	switch {
	case f.Heartbeat != nil:
		if f.ConnectionDemand != nil {
			m.handler.TakeWants(host, f.ConnectionDemand)
		}
		m.handler.TakeStoreAge(f.Heartbeat.StoreAge())
		m.recordMemberList(host, f.Heartbeat.Databases)
		answers.Offer(Frame{HeartbeatAck: true})
		m.answerHeartbeat(*f.Heartbeat, answers)
	case f.Offer != nil:
		m.takeOffer(*f.Offer, answers)
	case f.Fetch != nil:
		m.answerFetch(*f.Fetch, answers)
	case f.Doc != nil:
		m.takeDoc(host, *f.Doc)
	case f.VoteRequest != nil:
		vote := m.handler.VoteOn(f.VoteRequest.Database, f.VoteRequest.Term)
		vote.From = m.options.Host
		answers.Offer(Frame{Vote: &VoteFrame{Database: f.VoteRequest.Database, Vote: vote}})
	case f.Vote != nil:
		vote := f.Vote.Vote
		vote.From = host
		m.handler.TakeVote(f.Vote.Database, vote)
	case f.Claim != nil:
		m.handler.TakeClaim(f.Claim.Database, f.Claim.Claim)
	case f.PermitRequest != nil:
		m.handler.HandlePermitRequest(host, *f.PermitRequest, func(g Grant) { answers.Offer(Frame{Grant: &g}) })
	case f.Grant != nil:
		m.handler.HandleGrant(host, *f.Grant)
	case f.Release != nil:
		m.handler.HandleRelease(host, *f.Release)
	case f.SuspicionQuery != nil:
		suspicionVote := m.handler.HandleSuspicionQuery(*f.SuspicionQuery)
		answers.Offer(Frame{SuspicionVote: &suspicionVote})
	case f.SuspicionVote != nil:
		m.handler.TakeOpinion(host, *f.SuspicionVote)
	case f.Cancel != nil:
		m.handler.Cancel(f.Cancel.ProcessID, f.Cancel.SecretKey)
	default:
		m.handleCustomerFrame(host, f, answers)
	}
}

// handleCustomerFrame handles a frame that concerns the keys or the usage caps of customers.
func (m *Connections) handleCustomerFrame(host string, f Frame, answers *duty.Ring[Frame]) {
	switch {
	case f.ProofQuery != nil:
		if answer, proven := m.handler.HandleProofQuery(*f.ProofQuery); proven {
			answers.Offer(Frame{ProofAnswer: &answer})
		}
	case f.ProofAnswer != nil:
		m.handler.TakeProof(host, *f.ProofAnswer)
	case f.CapAsk != nil:
		if grant, answered := m.handler.HandleCapAsk(host, *f.CapAsk); answered {
			answers.Offer(Frame{CapGrant: &grant})
		}
	case f.CapGrant != nil:
		m.handler.TakeCapGrant(host, *f.CapGrant)
	}
}
