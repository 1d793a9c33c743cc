//go:build review2

package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// partition tells which proxy has no path to the store and to the other proxies.
type partition struct {
	mu       sync.Mutex
	isolated string
}

func (p *partition) set(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = host
}

// parts reports whether two ends do not reach each other.
func (p *partition) parts(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated != "" && (p.isolated == a || p.isolated == b)
}

// storeEnd is the name of the store as an end of a link.
const storeEnd = "store"

// link forwards connections to a target. While its ends are parted, it is silent: bytes wait.
type link struct {
	listener  net.Listener
	partition *partition
	// opener is the end that opens connections, or empty if the first message names it, and end the
	// one that accepts them.
	opener, end string
	target      string
	// hosts are the names that a first message may contain.
	hosts []string
}

func newLink(l link) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.listener = listener
	go l.accept()
	return &l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

// joined is one connection through a link.
type joined struct {
	*link
	mu     sync.Mutex
	opener string
}

// silent reports whether the ends of the connection are parted. Before its opener is known, the
// connection passes only the handshake, which names it.
func (j *joined) silent() bool {
	j.mu.Lock()
	opener := j.opener
	j.mu.Unlock()
	return j.partition.parts(opener, j.end)
}

func (l *link) join(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	j := &joined{link: l, opener: l.opener}
	go func() {
		j.pass(far, near, nil)
		_ = near.Close()
		_ = far.Close()
	}()
	j.pass(near, far, j.identify)
}

// identify reads the name of the opener from its first messages.
func (j *joined) identify(raw []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, host := range j.hosts {
		if j.opener == "" && bytes.Contains(raw, []byte(host)) {
			j.opener = host
		}
	}
}

func (j *joined) pass(from, to net.Conn, inspect func([]byte)) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if inspect != nil {
			inspect(buffer[:n])
		}
		for n > 0 && j.silent() {
			time.Sleep(5 * time.Millisecond)
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
