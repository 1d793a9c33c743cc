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

// Only an address at which nothing listens refuses. One that closes what it
// accepts, or is silent, may be something between.
func TestRefuses(t *testing.T) {
	g := NewWithT(t)
	target, cleanUp, err := labdb.New(labdb.Options{Address: "127.0.0.1:0"})
	g.Expect(err).NotTo(HaveOccurred())
	link := pgmem.NewControlConn(target.Address(), pgmem.Login{User: "u"})
	defer link.Close()
	_, err = link.Ask(t.Context(), true)
	g.Expect(err).NotTo(HaveOccurred())
	cleanUp()
	_, err = link.Ask(t.Context(), true)
	g.Expect(err).To(HaveOccurred())
	g.Expect(member.IsConnectionRefused(err)).To(BeFalse(), "the connection that was open has ended")
	_, err = link.Ask(t.Context(), true)
	g.Expect(member.IsConnectionRefused(err)).To(BeTrue(), "%v", err)

	closing, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = closing.Close() }()
	go func() {
		for conn, err := closing.Accept(); err == nil; conn, err = closing.Accept() {
			_ = conn.Close()
		}
	}()
	_, err = pgmem.NewControlConn(closing.Addr().String(), pgmem.Login{User: "u"}).Ask(t.Context(), true)
	g.Expect(err).To(HaveOccurred())
	g.Expect(member.IsConnectionRefused(err)).To(BeFalse())

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = silent.Close() }()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = pgmem.NewControlConn(silent.Addr().String(), pgmem.Login{User: "u"}).Ask(short, true)
	g.Expect(err).To(HaveOccurred())
	g.Expect(member.IsConnectionRefused(err)).To(BeFalse())
}
