package trial_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// link forwards connections to a member. While it is cut, nothing passes, and
// what was sent arrives once it is mended, as it does on TCP.
type link struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// mended is closed unless the link is cut.
	mended chan struct{}
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target, mended: make(chan struct{})}
	close(l.mended)
	go l.serve()
	t.Cleanup(func() { _ = listener.Close() })
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

func (l *link) join(near net.Conn) {
	l.await()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	go l.forward(near, far)
	l.forward(far, near)
}

func (l *link) forward(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 1<<16)
	for {
		n, err := from.Read(buffer)
		l.await()
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) await() {
	l.mu.Lock()
	mended := l.mended
	l.mu.Unlock()
	<-mended
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mended = make(chan struct{})
}

func (l *link) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.mended)
}

func TestPrimaryIsCutOffAndComesBack(t *testing.T) {
	s := newSite(t)
	acknowledged := s.writeThrough(func() {
		s.links[0].cut()
		s.shipping.cut()
	})
	// Statements and orders that were under way reach the old primary now.
	s.links[0].mend()
	s.shipping.mend()
	more := s.connect(1, "order")
	for i := range 10 {
		_, err := more.Exec(context.Background(), "INSERT INTO crates VALUES ($1)", 1000+i)
		s.Expect(err).NotTo(HaveOccurred())
	}
	for i := range s.proxies {
		s.Expect(s.count(i)).To(BeNumerically(">=", acknowledged+10), "no acknowledged write is lost")
	}
	s.Eventually(func() string { return s.state(s.members[0]).Role.String() }).Should(Equal("replica"), "the old primary follows")
}

func TestPrimaryDiesAfterItsReplicasWereCutOff(t *testing.T) {
	s := newSite(t)
	acknowledged := s.writeThrough(nil)
	s.shipping.cut()
	conn := s.connect(0, "order")
	for i := range 2 {
		if _, err := conn.Exec(context.Background(), "INSERT INTO crates VALUES ($1)", 1000+i); err == nil {
			acknowledged++
		}
	}
	s.members[0].signal(syscall.SIGKILL)
	for i := range s.proxies {
		s.Eventually(func() (int, error) { return s.tryCount(i) }).Should(BeNumerically(">=", acknowledged), "no acknowledged write is lost")
	}
}
