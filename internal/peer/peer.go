package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/pick"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Handler takes what peers send.
type Handler interface {
	// TakeDoc takes a document, newer or not.
	TakeDoc(doc book.Doc)
	// Book returns the documents that the proxy holds.
	Book() book.Book
	// Judge tells whether the primary of a term has been silent to this proxy.
	Judge(database string, term group.Term) bool
	// TakeVote takes another proxy's answer.
	TakeVote(database string, v elect.Vote)
	// Cancel cancels the request of a caller of this proxy, if it is one.
	Cancel(processID uint32, secretKey []byte)
}

// Options are what a Mesh depends on.
type Options struct {
	Host    string
	Region  string
	Secret  string
	Beat    time.Duration
	Timeout time.Duration
	Log     *event.Log
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
	deafBeats = 5
)

// Mesh holds the connections to peers.
type Mesh struct {
	options  Options
	listener net.Listener
	handler  Handler

	mu       sync.Mutex
	hosts    map[string]book.Host
	links    map[string]*link
	inbound  map[net.Conn]struct{}
	accepted duty.Group
	closed   bool
}

type link struct {
	frames *duty.Ring[Frame]
	stop   func()
}

// New listens on address (IP:port) and returns the mesh with its clean-up
// function. Start must be called once before frames are taken.
func New(options Options, address string) (*Mesh, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{
		options:  options,
		listener: listener,
		hosts:    make(map[string]book.Host),
		links:    make(map[string]*link),
		inbound:  make(map[net.Conn]struct{}),
	}
	return m, m.close, nil
}

// Address returns the address on which the mesh listens.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Start begins to take frames, and returns the clean-up function.
func (m *Mesh) Start(h Handler) func() {
	m.handler = h
	stopAccept := duty.Run(m.accept)
	stopBeat := duty.Run(m.beat)
	return func() {
		m.close()
		stopBeat()
		stopAccept()
	}
}

func (m *Mesh) close() {
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
func (m *Mesh) SetHosts(hosts []book.Host) {
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

// send offers a frame to a peer, and opens the connection if there is none.
func (m *Mesh) send(host string, f Frame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, known := m.hosts[host]
	if !known || m.closed {
		return
	}
	l, found := m.links[host]
	if !found {
		l = &link{frames: duty.NewRing[Frame](sendRing)}
		l.stop = duty.Run(func(ctx context.Context) error { return m.write(ctx, h, l) })
		m.links[host] = l
	}
	l.frames.Offer(f)
}

// Neighbours returns the peers that this proxy sends heartbeats to.
func (m *Mesh) Neighbours() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.hosts))
	for name := range m.hosts {
		names = append(names, name)
	}
	return pick.First(m.options.Host, names, neighbours)
}

// Spread sends a document to the neighbours in this proxy's region, and to a
// few proxies of each other region, which spread it there.
func (m *Mesh) Spread(doc book.Doc) {
	for _, host := range m.spreadTargets(doc) {
		m.send(host, Frame{Doc: &doc})
	}
}

func (m *Mesh) spreadTargets(doc book.Doc) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	regions := make(map[string][]string)
	for name, h := range m.hosts {
		regions[h.Region] = append(regions[h.Region], name)
	}
	key := fmt.Sprint(doc.Kind, doc.Serial)
	var targets []string
	for region, names := range regions {
		slices.Sort(names)
		if region == m.options.Region {
			targets = append(targets, pick.First(m.options.Host, names, neighbours)...)
			continue
		}
		targets = append(targets, pick.First(key, names, gateways)...)
	}
	return targets
}

// AskWatchers implements ctrl.Watchers.
func (m *Mesh) AskWatchers(database string, term group.Term, hosts []string) {
	for _, host := range hosts {
		m.send(host, Frame{Ask: &Ask{Database: database, Term: term}})
	}
}

// Cancel passes a cancel request on to every neighbour.
func (m *Mesh) Cancel(processID uint32, secretKey []byte) {
	for _, host := range m.Neighbours() {
		m.send(host, Frame{Cancel: &Cancel{ProcessID: processID, SecretKey: secretKey}})
	}
}

// beat is the duty that sends heartbeats.
func (m *Mesh) beat(ctx context.Context) error {
	ticker := time.NewTicker(m.options.Beat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		f := Frame{Beat: &Beat{Serials: m.handler.Book().Serials()}}
		for _, host := range m.Neighbours() {
			m.send(host, f)
		}
	}
}

// write is the duty that keeps the connection to one peer and sends its frames.
func (m *Mesh) write(ctx context.Context, h book.Host, l *link) error {
	for ctx.Err() == nil {
		err := m.writeConn(ctx, h, l)
		if err != nil && ctx.Err() == nil {
			m.options.Log.Emit(event.PeerLeft, event.Fields{"Peer": h.Name, "Cause": err.Error()})
		}
		select {
		case <-time.After(m.options.Beat):
		case <-ctx.Done():
		}
	}
	return nil
}

func (m *Mesh) writeConn(ctx context.Context, h book.Host, l *link) error {
	d := net.Dialer{Timeout: m.options.Timeout}
	conn, err := d.DialContext(ctx, "tcp", h.PeerAddress)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := m.greet(conn); err != nil {
		return err
	}
	m.options.Log.Emit(event.PeerJoined, event.Fields{"Peer": h.Name})
	for {
		select {
		case f := <-l.frames.Items():
			if err := m.writeFrame(conn, f); err != nil {
				return err
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Mesh) writeFrame(conn net.Conn, f Frame) error {
	raw, err := Encode(f)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(m.options.Timeout)); err != nil {
		return err
	}
	_, err = conn.Write(raw)
	return err
}

// greet answers the challenge of the accepting side.
func (m *Mesh) greet(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(m.options.Timeout)); err != nil {
		return err
	}
	f, err := Decode(conn, maxGreeting)
	if err != nil {
		return err
	}
	if len(f.Challenge) != nonceBytes {
		return &FrameError{Got: "another frame", Want: "a challenge"}
	}
	return m.writeFrame(conn, Frame{Hello: &Hello{Host: m.options.Host, Proof: m.proof(f.Challenge, m.options.Host)}})
}

func (m *Mesh) proof(nonce []byte, host string) []byte {
	mac := hmac.New(sha256.New, []byte(m.options.Secret))
	mac.Write(nonce)
	mac.Write([]byte(host))
	return mac.Sum(nil)
}

// accept is the duty that takes connections from peers.
func (m *Mesh) accept(ctx context.Context) error {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return err
		}
		if !m.admit(conn) {
			_ = conn.Close()
			return nil
		}
		m.accepted.Go(ctx, func(context.Context) error {
			defer m.release(conn)
			return m.read(conn)
		})
	}
}

func (m *Mesh) admit(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[conn] = struct{}{}
	return !m.closed
}

func (m *Mesh) release(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inbound, conn)
}

func (m *Mesh) read(conn net.Conn) error {
	host, err := m.challenge(conn)
	if err != nil {
		m.options.Log.Emit(event.PeerDenied, event.Fields{"Address": conn.RemoteAddr().String(), "Cause": err.Error()})
		return err
	}
	for {
		deadline := time.Now().Add(deafBeats*m.options.Beat + m.options.Timeout)
		if err := conn.SetReadDeadline(deadline); err != nil {
			return err
		}
		f, err := Decode(conn, MaxFrame)
		if err != nil {
			return err
		}
		m.take(host, f)
	}
}

// challenge makes the opening side prove that it holds the secret.
func (m *Mesh) challenge(conn net.Conn) (string, error) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if err := conn.SetReadDeadline(time.Now().Add(m.options.Timeout)); err != nil {
		return "", err
	}
	if err := m.writeFrame(conn, Frame{Challenge: nonce}); err != nil {
		return "", err
	}
	f, err := Decode(conn, maxGreeting)
	if err != nil {
		return "", err
	}
	if f.Hello == nil || !hmac.Equal(f.Hello.Proof, m.proof(nonce, f.Hello.Host)) {
		return "", &FrameError{Got: "a false proof", Want: "a proof of the shared secret"}
	}
	return f.Hello.Host, nil
}

func (m *Mesh) take(host string, f Frame) {
	switch {
	case f.Beat != nil:
		m.answerBeat(host, *f.Beat)
	case f.Doc != nil:
		m.handler.TakeDoc(*f.Doc)
	case f.Ask != nil:
		vote := elect.Vote{From: m.options.Host, Term: f.Ask.Term, Down: m.handler.Judge(f.Ask.Database, f.Ask.Term)}
		m.send(host, Frame{Vote: &VoteFrame{Database: f.Ask.Database, Vote: vote}})
	case f.Vote != nil:
		vote := f.Vote.Vote
		vote.From = host
		m.handler.TakeVote(f.Vote.Database, vote)
	case f.Cancel != nil:
		m.handler.Cancel(f.Cancel.ProcessID, f.Cancel.SecretKey)
	}
}

// answerBeat sends the peer the documents that it lacks.
func (m *Mesh) answerBeat(host string, b Beat) {
	held := m.handler.Book()
	for _, kind := range book.Kinds() {
		if doc, found := held.Doc(kind); found && doc.Serial > b.Serials[kind] {
			m.send(host, Frame{Doc: &doc})
		}
	}
}
