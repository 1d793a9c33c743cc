package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/meter"
)

// maintain is the background task that sends the queued frames to one peer. It opens a
// connection for the first frame and closes it once none has been queued for some time, so
// that a proxy keeps connections only to the peers that it addresses regularly.
func (m *Connections) maintain(ctx context.Context, h book.Host, l *link) error {
	select {
	case <-m.started:
	case <-ctx.Done():
		return nil
	}
	for ctx.Err() == nil {
		select {
		case first := <-l.frames.Items():
			m.deliver(ctx, h, l, first)
		case <-ctx.Done():
		}
	}
	return nil
}

// deliver sends a frame and those that follow it, until the connection ends. It opens a
// connection until the first one succeeds.
func (m *Connections) deliver(ctx context.Context, h book.Host, l *link, first Frame) {
	for ctx.Err() == nil {
		conn, welcome, err := m.connect(ctx, h)
		if err == nil {
			m.options.Log.Emit(event.PeerJoined, event.Fields{"Peer": welcome.Host})
			heartbeat := m.heartbeat()
			err = m.exchange(ctx, m.openedStream(conn, welcome, l.frames), heartbeat, first)
		}
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			m.options.Log.Emit(event.PeerLeft, event.Fields{"Peer": h.Name, "SilentMs": time.Since(m.Heard(h.Name)).Milliseconds(), "Cause": err.Error()})
		}
		duty.Pause(ctx, m.options.HeartbeatInterval)
		if conn != nil {
			return
		}
	}
}

// connect opens a connection to a peer and returns it with the peer's welcome.
func (m *Connections) connect(ctx context.Context, h book.Host) (net.Conn, Welcome, error) {
	d := net.Dialer{Timeout: m.options.Timeout}
	conn, err := d.DialContext(ctx, "tcp", h.PeerAddress)
	if err != nil {
		return nil, Welcome{}, err
	}
	conn = m.options.Meter.Wrap(conn, meter.Peer, h.Region)
	welcome, err := m.authenticate(conn)
	if err != nil {
		return nil, Welcome{}, errors.CombineErrors(err, conn.Close())
	}
	return conn, welcome, nil
}

// stream is an authenticated connection with the frames that are queued for it.
type stream struct {
	net.Conn
	// host is the peer's name.
	host   string
	frames *duty.Ring[Frame]
	// opened is set if this proxy opened the connection. It then ends when no frame is
	// queued for linkIdleTimeout; otherwise it ends when none arrives for idleTimeout.
	opened      bool
	idleTimeout time.Duration
	acks        *ackDeadline
}

func (m *Connections) openedStream(conn net.Conn, w Welcome, frames *duty.Ring[Frame]) stream {
	s := stream{Conn: conn, host: w.Host, frames: frames, opened: true}
	if w.AcksHeartbeats {
		s.acks = &ackDeadline{conn: conn, timeout: m.ackTimeout()}
	}
	return s
}

// exchange sends the given frames, then those that are queued, and handles those of the
// peer, until either direction fails or the connection is idle, which is no error. It closes
// the connection.
func (m *Connections) exchange(ctx context.Context, s stream, first ...Frame) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.SetReadDeadline(time.Time{}); err != nil {
		return errors.CombineErrors(err, s.Close())
	}
	reading := duty.Start(ctx, func(context.Context) error {
		defer cancel()
		return m.read(s)
	})
	idle, err := m.sendQueued(ctx, s, first)
	_ = s.Close()
	if readErr := <-reading; !idle {
		err = errors.CombineErrors(readErr, err)
	}
	return err
}

// linkIdleTimeout is how long a connection that this proxy opened stays open while no frame
// is queued for it. The other side closes it after the same time and its time-out.
func (m *Connections) linkIdleTimeout() time.Duration {
	return maxMissedHeartbeats * m.options.HeartbeatInterval
}

// ackTimeout is how long the acknowledgement of a heartbeat may take: longer than one lost
// packet delays it, and short enough that a silent connection is replaced within seconds.
func (m *Connections) ackTimeout() time.Duration {
	return 2*m.options.HeartbeatInterval + m.options.Timeout
}

// sendQueued sends the given frames and then the queued ones. On an opened connection it
// ends when none is queued for linkIdleTimeout, and reports so.
func (m *Connections) sendQueued(ctx context.Context, s stream, first []Frame) (idle bool, err error) {
	for _, f := range first {
		if err := m.sendFrame(s, f); err != nil {
			return false, err
		}
	}
	for {
		var expired <-chan time.Time
		if s.opened {
			expired = time.After(m.linkIdleTimeout())
		}
		select {
		case f := <-s.frames.Items():
			if err := m.sendFrame(s, f); err != nil {
				return false, err
			}
		case <-expired:
			return true, nil
		case <-ctx.Done():
			return false, nil
		}
	}
}

// sendFrame writes a frame to a stream.
func (m *Connections) sendFrame(s stream, f Frame) error {
	if f.ProofQuery != nil {
		if err := m.probe(s); err != nil {
			return err
		}
	}
	if f.Heartbeat != nil {
		if err := s.acks.await(); err != nil {
			return err
		}
	}
	return m.writeFrame(s, f)
}

func (m *Connections) read(s stream) error {
	for {
		if !s.opened {
			if err := s.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
				return err
			}
		}
		f, err := Decode(s, MaxFrame)
		if err != nil {
			return err
		}
		if err := s.acks.received(); err != nil {
			return err
		}
		m.recordReceived(s.host)
		m.handleFrame(s.host, f, s.frames)
	}
}

func (m *Connections) writeFrame(conn net.Conn, f Frame) error {
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

// authenticate answers the challenge of the accepting side and checks the proof that
// it returns. It returns the peer's welcome.
func (m *Connections) authenticate(conn net.Conn) (Welcome, error) {
	if err := conn.SetReadDeadline(time.Now().Add(m.options.Timeout)); err != nil {
		return Welcome{}, err
	}
	f, err := Decode(conn, maxHandshake)
	if err != nil {
		return Welcome{}, err
	}
	if f.Challenge == nil || len(f.Challenge.Nonce) != nonceBytes {
		return Welcome{}, &FrameError{Got: "another frame", Want: "a challenge"}
	}
	nonce := newNonce()
	hello := Hello{Host: m.options.Host, Nonce: nonce, Proof: m.proof(f.Challenge.Nonce, "hello", m.options.Host)}
	if err := m.writeFrame(conn, Frame{Hello: &hello}); err != nil {
		return Welcome{}, err
	}
	f, err = Decode(conn, maxHandshake)
	if err != nil {
		return Welcome{}, err
	}
	if f.Welcome == nil || !hmac.Equal(f.Welcome.Proof, m.proof(nonce, "welcome", f.Welcome.Host)) {
		return Welcome{}, &FrameError{Got: "a false proof", Want: "a proof of the shared secret"}
	}
	return *f.Welcome, nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// proof returns the HMAC of a nonce, a side of the connection and a host. It covers the
// side so that a proof cannot be reflected to the side that asked for it.
func (m *Connections) proof(nonce []byte, side, host string) []byte {
	mac := hmac.New(sha256.New, []byte(m.options.Secret))
	mac.Write(nonce)
	mac.Write([]byte(side))
	mac.Write([]byte{0})
	mac.Write([]byte(host))
	return mac.Sum(nil)
}

// accept is the background task that accepts connections from peers.
func (m *Connections) accept(ctx context.Context) error {
	return duty.Accept(ctx, m.listener, func(conn net.Conn) {
		if !m.track(conn) {
			_ = conn.Close()
			return
		}
		m.accepted.Go(ctx, func(ctx context.Context) error {
			defer m.closeInbound(conn)
			return m.serve(ctx, conn)
		})
	})
}

func (m *Connections) track(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[conn] = struct{}{}
	return !m.closed
}

func (m *Connections) closeInbound(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inbound, conn)
}

func (m *Connections) serve(ctx context.Context, conn net.Conn) error {
	host, err := m.challenge(conn)
	if err != nil {
		m.options.Log.Emit(event.PeerDenied, event.Fields{"Address": conn.RemoteAddr().String(), "Cause": err.Error()})
		return err
	}
	idleTimeout := maxMissedHeartbeats*m.options.HeartbeatInterval + m.options.Timeout
	conn = m.options.Meter.Wrap(conn, meter.Peer, m.regionOf(host))
	first, err := m.firstFrame(conn, idleTimeout)
	if err != nil {
		return err
	}
	if first.Relay {
		return m.handler.ServeRelay(ctx, conn, host)
	}
	defer m.handler.HandleDisconnect(host)
	answers := duty.NewRing[Frame](sendQueue)
	m.recordReceived(host)
	m.handleFrame(host, first, answers)
	return m.exchange(ctx, stream{Conn: conn, host: host, frames: answers, idleTimeout: idleTimeout})
}

// firstFrame reads the first frame, which determines whether a connection relays
// requests.
func (m *Connections) firstFrame(conn net.Conn, timeout time.Duration) (Frame, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return Frame{}, err
	}
	f, err := Decode(conn, MaxFrame)
	if err != nil {
		return Frame{}, err
	}
	return f, conn.SetReadDeadline(time.Time{})
}

// Dial opens a connection to a peer for relayed requests of callers.
func (m *Connections) Dial(ctx context.Context, h book.Host) (net.Conn, error) {
	d := net.Dialer{Timeout: m.options.Timeout}
	conn, err := d.DialContext(ctx, "tcp", h.PeerAddress)
	if err != nil {
		return nil, err
	}
	conn = m.options.Meter.Wrap(conn, meter.Peer, h.Region)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	welcome, err := m.authenticate(conn)
	if err == nil && welcome.Host != h.Name {
		// The address of a host that is gone may be reused by another host.
		err = &FrameError{Got: "a greeting of " + welcome.Host, Want: "one of " + h.Name}
	}
	if err == nil {
		err = m.writeFrame(conn, Frame{Relay: true})
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return conn, nil
}

func (m *Connections) regionOf(host string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts[host].Region
}

// challenge requires the opening side to prove that it holds the shared secret, and
// then proves the same to it. It returns the peer's name.
func (m *Connections) challenge(conn net.Conn) (string, error) {
	nonce := newNonce()
	if err := conn.SetReadDeadline(time.Now().Add(m.options.Timeout)); err != nil {
		return "", err
	}
	if err := m.writeFrame(conn, Frame{Challenge: &Challenge{Nonce: nonce}}); err != nil {
		return "", err
	}
	f, err := Decode(conn, maxHandshake)
	if err != nil {
		return "", err
	}
	if f.Hello == nil || !hmac.Equal(f.Hello.Proof, m.proof(nonce, "hello", f.Hello.Host)) {
		return "", &FrameError{Got: "a false proof", Want: "a proof of the shared secret"}
	}
	welcome := Welcome{Host: m.options.Host, Proof: m.proof(f.Hello.Nonce, "welcome", m.options.Host), AcksHeartbeats: true}
	return f.Hello.Host, m.writeFrame(conn, Frame{Welcome: &welcome})
}
