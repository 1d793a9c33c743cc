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

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/meter"
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
	// TakeWant takes a request for a slot. The answer may come later.
	TakeWant(host string, w Want, answer func(Grant))
	// TakeGrant takes the answer to a request for a slot.
	TakeGrant(host string, g Grant)
	// TakeDone takes a slot back.
	TakeDone(host string, d Done)
	// Cancel cancels the request of a caller of this proxy, if it is one.
	Cancel(processID uint32, secretKey []byte)
}

// Options are what a Mesh depends on.
type Options struct {
	Host   string
	Region string
	Secret string
	// Seeds are the addresses of peers to ask while no list of hosts is known.
	Seeds   []string
	Beat    time.Duration
	Timeout time.Duration
	Log     *event.Log
	Meter   *meter.Meter
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
func New(options Options, address string) (*Mesh, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{
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
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Start begins to take frames, and returns the clean-up function.
func (m *Mesh) Start(h Handler) func() {
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

// Send offers a frame to a peer, and opens the connection if there is none. It
// tells whether the peer is known and had room for the frame.
func (m *Mesh) Send(host string, f Frame) bool {
	m.mu.Lock()
	h, known := m.hosts[host]
	m.mu.Unlock()
	return known && m.sendTo(h, f)
}

func (m *Mesh) sendTo(h book.Host, f Frame) bool {
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
		m.Send(host, Frame{Doc: &doc})
	}
}

func (m *Mesh) spreadTargets(doc book.Doc) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make([]book.Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		hosts = append(hosts, h)
	}
	return SpreadTargets(m.options.Host, m.options.Region, hosts, doc)
}

// SpreadTargets returns the peers to which a proxy passes a document that is new
// to it: its neighbours in its own region, and the same few proxies of each
// other region that every proxy of this one picks.
func SpreadTargets(self, region string, peers []book.Host, doc book.Doc) []string {
	regions := make(map[string][]string)
	for _, h := range peers {
		regions[h.Region] = append(regions[h.Region], h.Name)
	}
	key := fmt.Sprint(doc.Kind, doc.Serial)
	var targets []string
	for other, names := range regions {
		if other == region {
			targets = append(targets, pick.First(self, names, neighbours)...)
			continue
		}
		targets = append(targets, pick.First(key, names, gateways)...)
	}
	slices.Sort(targets)
	return targets
}

// AskWatchers implements ctrl.Watchers.
func (m *Mesh) AskWatchers(database string, term group.Term, hosts []string) {
	for _, host := range hosts {
		m.Send(host, Frame{Ask: &Ask{Database: database, Term: term}})
	}
}

// Cancel passes a cancel request on to every neighbour.
func (m *Mesh) Cancel(processID uint32, secretKey []byte) {
	for _, host := range m.Neighbours() {
		m.Send(host, Frame{Cancel: &Cancel{ProcessID: processID, SecretKey: secretKey}})
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
		f := m.heartbeat()
		for _, host := range m.Neighbours() {
			m.Send(host, f)
		}
		for _, address := range m.seeds() {
			m.sendTo(book.Host{Name: address, PeerAddress: address}, f)
		}
	}
}

func (m *Mesh) heartbeat() Frame { return Frame{Beat: &Beat{Serials: m.handler.Book().Serials()}} }

// seeds returns the addresses to ask while no list of hosts is known.
func (m *Mesh) seeds() []string {
	if m.handler.Book().Serial(book.Hosts) > 0 {
		return nil
	}
	return m.options.Seeds
}

// write is the duty that keeps the connection to one peer and sends its frames.
func (m *Mesh) write(ctx context.Context, h book.Host, l *link) error {
	select {
	case <-m.started:
	case <-ctx.Done():
		return nil
	}
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
	conn = m.options.Meter.Wrap(conn, meter.Peer, h.Region)
	defer func() { _ = conn.Close() }()
	host, err := m.greet(conn)
	if err != nil {
		return err
	}
	m.options.Log.Emit(event.PeerJoined, event.Fields{"Peer": host})
	l.frames.Offer(m.heartbeat())
	return m.converse(ctx, conn, host, l.frames, 0)
}

// converse sends the frames of a ring and takes those of the peer, until either
// way fails. A silence of more than deaf ends it too, if deaf is above 0.
func (m *Mesh) converse(ctx context.Context, conn net.Conn, host string, frames *duty.Ring[Frame], deaf time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reading := duty.Start(ctx, func(context.Context) error {
		defer cancel()
		return m.read(conn, host, frames, deaf)
	})
	err := m.drainRing(ctx, conn, frames)
	_ = conn.Close()
	return errors.CombineErrors(<-reading, err)
}

func (m *Mesh) drainRing(ctx context.Context, conn net.Conn, frames *duty.Ring[Frame]) error {
	for {
		select {
		case f := <-frames.Items():
			if err := m.writeFrame(conn, f); err != nil {
				return err
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Mesh) read(conn net.Conn, host string, frames *duty.Ring[Frame], deaf time.Duration) error {
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	for {
		if deaf > 0 {
			if err := conn.SetReadDeadline(time.Now().Add(deaf)); err != nil {
				return err
			}
		}
		f, err := Decode(conn, MaxFrame)
		if err != nil {
			return err
		}
		m.hear(host)
		m.take(host, f, frames)
	}
}

func (m *Mesh) hear(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[host] = time.Now()
	m.last = m.heard[host]
}

// LastHeard returns when the last frame came from any peer.
func (m *Mesh) LastHeard() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last
}

// Heard returns when the last frame came from a peer.
func (m *Mesh) Heard(host string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[host]
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

// greet answers the challenge of the accepting side and checks its proof. It
// returns the peer's name.
func (m *Mesh) greet(conn net.Conn) (string, error) {
	if err := conn.SetReadDeadline(time.Now().Add(m.options.Timeout)); err != nil {
		return "", err
	}
	f, err := Decode(conn, maxGreeting)
	if err != nil {
		return "", err
	}
	if f.Challenge == nil || len(f.Challenge.Nonce) != nonceBytes {
		return "", &FrameError{Got: "another frame", Want: "a challenge"}
	}
	nonce := newNonce()
	hello := Hello{Host: m.options.Host, Nonce: nonce, Proof: m.proof(f.Challenge.Nonce, "hello", m.options.Host)}
	if err := m.writeFrame(conn, Frame{Hello: &hello}); err != nil {
		return "", err
	}
	f, err = Decode(conn, maxGreeting)
	if err != nil {
		return "", err
	}
	if f.Welcome == nil || !hmac.Equal(f.Welcome.Proof, m.proof(nonce, "welcome", f.Welcome.Host)) {
		return "", &FrameError{Got: "a false proof", Want: "a proof of the shared secret"}
	}
	return f.Welcome.Host, nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// proof binds a nonce to the side that answers it, so that a proof cannot be
// sent back to the one who asked for it.
func (m *Mesh) proof(nonce []byte, side, host string) []byte {
	mac := hmac.New(sha256.New, []byte(m.options.Secret))
	mac.Write(nonce)
	mac.Write([]byte(side))
	mac.Write([]byte{0})
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
		m.accepted.Go(ctx, func(ctx context.Context) error {
			defer m.release(conn)
			return m.serve(ctx, conn)
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

func (m *Mesh) serve(ctx context.Context, conn net.Conn) error {
	host, err := m.challenge(conn)
	if err != nil {
		m.options.Log.Emit(event.PeerDenied, event.Fields{"Address": conn.RemoteAddr().String(), "Cause": err.Error()})
		return err
	}
	deaf := deafBeats*m.options.Beat + m.options.Timeout
	conn = m.options.Meter.Wrap(conn, meter.Peer, m.regionOf(host))
	return m.converse(ctx, conn, host, duty.NewRing[Frame](sendRing), deaf)
}

func (m *Mesh) regionOf(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts[host].Region
}

// challenge makes the opening side prove that it holds the secret, and proves
// the same to it. It returns the peer's name.
func (m *Mesh) challenge(conn net.Conn) (string, error) {
	nonce := newNonce()
	if err := conn.SetReadDeadline(time.Now().Add(m.options.Timeout)); err != nil {
		return "", err
	}
	if err := m.writeFrame(conn, Frame{Challenge: &Challenge{Nonce: nonce}}); err != nil {
		return "", err
	}
	f, err := Decode(conn, maxGreeting)
	if err != nil {
		return "", err
	}
	if f.Hello == nil || !hmac.Equal(f.Hello.Proof, m.proof(nonce, "hello", f.Hello.Host)) {
		return "", &FrameError{Got: "a false proof", Want: "a proof of the shared secret"}
	}
	welcome := Welcome{Host: m.options.Host, Proof: m.proof(f.Hello.Nonce, "welcome", m.options.Host)}
	return f.Hello.Host, m.writeFrame(conn, Frame{Welcome: &welcome})
}

// take handles a frame of a peer. Answers go back over the same connection.
func (m *Mesh) take(host string, f Frame, answers *duty.Ring[Frame]) {
	switch {
	case f.Beat != nil:
		m.answerBeat(*f.Beat, answers)
	case f.Doc != nil:
		m.handler.TakeDoc(*f.Doc)
	case f.Ask != nil:
		vote := elect.Vote{From: m.options.Host, Term: f.Ask.Term, Down: m.handler.Judge(f.Ask.Database, f.Ask.Term)}
		answers.Offer(Frame{Vote: &VoteFrame{Database: f.Ask.Database, Vote: vote}})
	case f.Vote != nil:
		vote := f.Vote.Vote
		vote.From = host
		m.handler.TakeVote(f.Vote.Database, vote)
	case f.Want != nil:
		m.handler.TakeWant(host, *f.Want, func(g Grant) { answers.Offer(Frame{Grant: &g}) })
	case f.Grant != nil:
		m.handler.TakeGrant(host, *f.Grant)
	case f.Done != nil:
		m.handler.TakeDone(host, *f.Done)
	case f.Cancel != nil:
		m.handler.Cancel(f.Cancel.ProcessID, f.Cancel.SecretKey)
	}
}

// answerBeat sends the peer the documents that it lacks.
func (m *Mesh) answerBeat(b Beat, answers *duty.Ring[Frame]) {
	held := m.handler.Book()
	for _, kind := range book.Kinds() {
		if doc, found := held.Doc(kind); found && doc.Serial > b.Serials[kind] {
			answers.Offer(Frame{Doc: &doc})
		}
	}
}
