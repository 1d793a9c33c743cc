package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// mode is how a link treats what passes it.
type mode struct {
	// forth and back tell whether bytes pass from the opening side to the other, and back.
	forth bool
	back  bool
	delay time.Duration
}

var passing = mode{forth: true, back: true}

// link forwards connections to an address, and misbehaves when it is told to. Bytes that
// it holds back are delivered when it passes again, as on TCP.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed chan struct{}
	mode    mode
	conns   map[net.Conn]struct{}
	closed  bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, changed: make(chan struct{}), mode: passing, conns: make(map[net.Conn]struct{})}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// set changes how the link treats what passes it.
func (l *link) set(m mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset ends all connections of the link.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.reset()
	l.set(passing)
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

// keep holds a connection for reset, and tells whether the link is still open.
func (l *link) keep(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return !l.closed
}

func (l *link) drop(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *link) join(near net.Conn) {
	defer l.drop(near)
	if !l.keep(near) {
		return
	}
	l.await(true)
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer l.drop(far)
	if !l.keep(far) {
		return
	}
	back := make(chan struct{})
	go func() {
		defer close(back)
		l.forward(far, near, false)
	}()
	l.forward(near, far, true)
	<-back
}

func (l *link) forward(from, to net.Conn, forth bool) {
	defer func() { _ = to.Close() }()
	const size = 1 << 14
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		l.await(forth)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits until bytes pass in a direction, and for the link's delay.
func (l *link) await(forth bool) {
	for {
		l.mu.Lock()
		m, changed := l.mode, l.changed
		l.mu.Unlock()
		if (forth && m.forth) || (!forth && m.back) {
			time.Sleep(m.delay)
			return
		}
		<-changed
	}
}
