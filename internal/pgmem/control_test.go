package pgmem_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pgmem"
)

// A connection counts as refused only if nothing listens at the address. If the peer closes the
// connection or does not respond, the fault may lie with a device on the network path.
func TestIsConnectionRefused(t *testing.T) {
	g := NewWithT(t)
	target, cleanUp, err := labdb.New(labdb.Options{Address: "127.0.0.1:0"})
	g.Expect(err).NotTo(HaveOccurred())
	control := pgmem.NewControlConn(target.Address(), pgmem.Login{User: "u"})
	defer control.Close()
	_, err = control.Ask(t.Context(), true)
	g.Expect(err).NotTo(HaveOccurred())
	cleanUp()
	_, err = control.Ask(t.Context(), true)
	g.Expect(err).To(HaveOccurred())
	g.Expect(member.IsConnectionRefused(err)).To(BeFalse(), "an open connection that was closed is not a refused one")
	_, err = control.Ask(t.Context(), true)
	g.Expect(member.IsConnectionRefused(err)).To(BeTrue(), "%v", err)

	closingListener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = closingListener.Close() }()
	go func() {
		for conn, err := closingListener.Accept(); err == nil; conn, err = closingListener.Accept() {
			_ = conn.Close()
		}
	}()
	_, err = pgmem.NewControlConn(closingListener.Addr().String(), pgmem.Login{User: "u"}).Ask(t.Context(), true)
	g.Expect(err).To(HaveOccurred())
	g.Expect(member.IsConnectionRefused(err)).To(BeFalse())

	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = unresponsive.Close() }()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = pgmem.NewControlConn(unresponsive.Addr().String(), pgmem.Login{User: "u"}).Ask(short, true)
	g.Expect(err).To(HaveOccurred())
	g.Expect(member.IsConnectionRefused(err)).To(BeFalse())
}
