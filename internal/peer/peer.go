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

// Handler takes what peers send.
type Handler interface {
	// HandleDoc takes a document, newer or not.
	HandleDoc(doc book.Doc)
	// DocumentSet returns the documents that the proxy holds.
	DocumentSet() book.Book
	// SuspectsPrimary tells whether the primary of a term has been silent to this proxy.
	SuspectsPrimary(database string, term group.Term) bool
	// TakeVote takes another proxy's answer.
	TakeVote(database string, v elect.Vote)
	// Wants returns how many connections this proxy wants to each member, by its name.
	Wants() map[string]int
	// TakeWants takes how many another proxy wants.
	TakeWants(host string, wants map[string]int)
	// TakeClaim takes another proxy's claim to a term of a database.
	TakeClaim(database string, c elect.Claim)
	// HandlePermitRequest takes a request for a slot. The answer may come later.
	HandlePermitRequest(host string, w PermitRequest, answer func(Grant))
	// HandleGrant takes the answer to a request for a slot.
	HandleGrant(host string, g Grant)
	// HandleRelease takes a slot back.
	HandleRelease(host string, d Release)
	// HandleSuspicionQuery returns whether a proxy has been silent to this one.
	HandleSuspicionQuery(d SuspicionQuery) SuspicionVote
	// TakeOpinion takes another proxy's answer to a doubt.
	TakeOpinion(host string, o SuspicionVote)
	// HandleDisconnect is told that a connection that a peer had opened has ended.
	HandleDisconnect(host string)
	// ServeRelay serves the callers' requests that a peer sends over a connection, until
	// the connection ends.
	ServeRelay(ctx context.Context, conn net.Conn, host string) error
	// Partners returns the peers that serve the same databases as this proxy, to which
	// heartbeats go besides.
	Partners() []string
	// Cancel cancels the request of a caller of this proxy, if it is one.
	Cancel(processID uint32, secretKey []byte)
}

// Options are what a Mesh depends on.
type Options struct {
	Host   string
	Region string
	Secret string
	// Seeds are the addresses of peers to ask while no list of hosts is known.
	Seeds             []string
	HeartbeatInterval time.Duration
	Timeout           time.Duration
	Log               *event.Log
	Meter             *meter.Meter
}

const (
	// neighbours is how many peers a proxy sends heartbeats and documents to.
	neighbours = 8
	// gateways is how many peers of each other region receive a document.
	gateways   = 2
	sendRing   = 256
	nonceBytes = 32
	// deafBeats is how many heartbeats may fail to come before a connection is
	// given up.
	deafBeats = 3
)

// Connections holds the connections to peers.
type Connections struct {
	options  Options
	listener net.Listener
	// started closes when handler is set; connections wait for it.
	started chan struct{}
	handler Handler

	mu       sync.Mutex
	hosts    map[string]book.Host
	links    map[string]*link
	inbound  map[net.Conn]struct{}
	heard    map[string]time.Time
	last     time.Time
	accepted duty.Group
	closed   bool
}

type link struct {
	frames *duty.Ring[Frame]
	stop   func()
}

// New listens on address (IP:port) and returns the mesh with its clean-up
// function. Start must be called once before frames are taken.
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
		heard:    make(map[string]time.Time),
	}
	return m, m.close, nil
}

// Address returns the address on which the mesh listens.
func (m *Connections) Address() string { return m.listener.Addr().String() }

// Start begins to take frames, and returns the clean-up function.
func (m *Connections) Start(h Handler) func() {
	m.handler = h
	close(m.started)
	stopAccept := duty.Run(m.accept)
	stopBeat := duty.Run(m.beat)
	return func() {
		m.close()
		stopBeat()
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

// SetHosts replaces the list of proxies. Connections to proxies that are gone
// are closed.
func (m *Connections) SetHosts(hosts []book.Host) {
	m.mu.Lock()
	m.hosts = make(map[string]book.Host, len(hosts))
	for _, h := range hosts {
		if h.Name != m.options.Host {
			m.hosts[h.Name] = h
		}
	}
	var gone []*link
	for name, l := range m.links {
		if _, found := m.hosts[name]; !found {
			gone = append(gone, l)
			delete(m.links, name)
		}
	}
	m.mu.Unlock()
	for _, l := range gone {
		l.stop()
	}
}

// Send offers a frame to a peer, and opens the connection if there is none. It
// tells whether the peer is known and had room for the frame.
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
		l = &link{frames: duty.NewRing[Frame](sendRing)}
		l.stop = duty.Run(func(ctx context.Context) error { return m.write(ctx, h, l) })
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

// Cancel passes a cancel request on to every neighbour.
func (m *Connections) Cancel(processID uint32, secretKey []byte) {
	for _, host := range m.ConnectedPeers() {
		m.Send(host, Frame{Cancel: &Cancel{ProcessID: processID, SecretKey: secretKey}})
	}
}

func (m *Connections) hear(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[host] = time.Now()
	m.last = m.heard[host]
}

// LastReceived returns when the last frame came from any peer.
func (m *Connections) LastReceived() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last
}

// Heard returns when the last frame came from a peer.
func (m *Connections) Heard(host string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[host]
}

// take handles a frame of a peer. Answers go back over the same connection.
func (m *Connections) take(host string, f Frame, answers *duty.Ring[Frame]) {
	switch {
	case f.Heartbeat != nil:
		if f.ConnectionDemand != nil {
			m.handler.TakeWants(host, f.ConnectionDemand)
		}
		m.answerBeat(*f.Heartbeat, answers)
	case f.Doc != nil:
		m.handler.HandleDoc(*f.Doc)
	case f.VoteRequest != nil:
		vote := elect.Vote{From: m.options.Host, Term: f.VoteRequest.Term, Down: m.handler.SuspectsPrimary(f.VoteRequest.Database, f.VoteRequest.Term)}
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
		opinion := m.handler.HandleSuspicionQuery(*f.SuspicionQuery)
		answers.Offer(Frame{SuspicionVote: &opinion})
	case f.SuspicionVote != nil:
		m.handler.TakeOpinion(host, *f.SuspicionVote)
	case f.Cancel != nil:
		m.handler.Cancel(f.Cancel.ProcessID, f.Cancel.SecretKey)
	}
}
