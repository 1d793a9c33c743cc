// Package lablnk stands in for a network on which open connections go silent: they carry
// nothing any more and are not reset, while new connections work.
package lablnk

import (
	"context"
	"net"
	"sync"
)

// Link forwards connections to a target.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pipes map[*pipe]struct{}
}

// pipe is one forwarded connection.
type pipe struct {
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

// New returns a link to target (IP:port) with its clean-up function, which closes all
// connections.
func New(target string) (*Link, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	l := &Link{listener: listener, target: target, pipes: make(map[*pipe]struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.serve()
	}()
	return l, func() {
		_ = listener.Close()
		<-ended
		l.mu.Lock()
		defer l.mu.Unlock()
		for p := range l.pipes {
			p.close()
		}
	}, nil
}

// Address returns the IP and port on which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Silence stops all open connections for good. Neither end is told.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

func (l *Link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pipe{near: near, far: far}
		l.mu.Lock()
		l.pipes[p] = struct{}{}
		l.mu.Unlock()
		go p.forward(near, far)
		go p.forward(far, near)
	}
}

// forward copies bytes and the end of the connection, until the pipe is silent.
func (p *pipe) forward(from, to net.Conn) {
	const size = 1 << 14
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		if !p.pass(to, buffer[:n], err != nil) || err != nil {
			return
		}
	}
}

// pass writes bytes, and closes the connection at its end. It reports whether the pipe still
// carries bytes.
func (p *pipe) pass(to net.Conn, b []byte, end bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		return false
	}
	_, err := to.Write(b)
	if end || err != nil {
		p.close()
	}
	return err == nil
}

func (p *pipe) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
