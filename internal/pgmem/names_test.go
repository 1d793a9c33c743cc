package pgmem_test

import (
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/pgmem"
)

func newControl(t *testing.T, host string) *pgmem.ControlConn {
	m, cleanUp, err := labdb.New(labdb.Options{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanUp)
	control := pgmem.NewControlConn(m.Address(), pgmem.Login{User: "u", Host: host})
	t.Cleanup(control.Close)
	return control
}

// TestNamesReachMembersAsTheyAre guards against names of hosts that end the literal in an order to
// a member, or that a member reads as two arguments.
func TestNamesReachMembersAsTheyAre(t *testing.T) {
	for _, name := range []string{"host-1", "o'brien", "'", "''", "x'); DROP TABLE t; --", "a, b", "a', 'b", `back\slash`, `end\`, "(x)", "two\nlines", "ö", "$1"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			control := newControl(t, name)
			_, err := control.Fence(t.Context(), member.PromotionAttempt{Term: 2, Promoter: name})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = control.Promote(t.Context(), member.PromotionAttempt{Term: 2, Promoter: "another"})
			g.Expect(err).To(MatchError(ContainSubstring("want term 2 by " + name)))
			state, err := control.Promote(t.Context(), member.PromotionAttempt{Term: 2, Promoter: name})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.Term).To(BeEquivalentTo(2))
			_, err = control.Busy(t.Context(), name)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}

// TestNameThatEndsItsMessageIsRefused guards against a name that holds the byte that ends a text of
// the protocol.
func TestNameThatEndsItsMessageIsRefused(t *testing.T) {
	g := NewWithT(t)
	control := newControl(t, "host-1")
	_, err := control.Fence(t.Context(), member.PromotionAttempt{Term: 2, Promoter: "a\x00b"})
	g.Expect(err).To(MatchError(&pgmem.LiteralError{Got: "a\x00b", Want: "a text without NUL"}))
}

// TestBackslashesAreEscapedWhereMembersReadEscapes guards against a name that a member with
// standard_conforming_strings off reads as another, or as the end of the literal.
func TestBackslashesAreEscapedWhereMembersReadEscapes(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	queries := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		backend := pgproto3.NewBackend(conn, conn)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "off"})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		_ = backend.Flush()
		if m, err := backend.Receive(); err == nil {
			queries <- m.(*pgproto3.Query).String
		}
	}()
	control := pgmem.NewControlConn(listener.Addr().String(), pgmem.Login{User: "u"})
	t.Cleanup(control.Close)
	_, _ = control.Evict(t.Context(), `a\'b\`)
	g.Expect(queries).To(Receive(Equal(`SELECT poplar_evict('a\\''b\\')`)))
}

// TestLeaseHolderOfSeveralWordsIsRefused guards against a name of a host that makes a member's state
// unreadable for all hosts, and against one that they read as another name.
func TestLeaseHolderOfSeveralWordsIsRefused(t *testing.T) {
	for _, name := range []string{"north 1", "tab\there", "", "-", " x", "no\u00a0break"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			control := newControl(t, name)
			_, err := control.AcquireSlotLease(t.Context(), name)
			g.Expect(err).To(MatchError(&pgmem.LiteralError{Got: name, Want: `a name of one word other than "-"`}))
			state, err := control.Ask(t.Context(), true)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.LeaseHolder).To(BeEmpty())
		})
	}
	for _, name := range []string{"host-1", "-1", "--", "o'brien"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			state, err := newControl(t, name).AcquireSlotLease(t.Context(), name)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.LeaseHolder).To(Equal(name))
		})
	}
}

// TestAddressIsNoConnectionString guards against an address in the list of databases that is read as
// options of the connection, another user or another host.
func TestAddressIsNoConnectionString(t *testing.T) {
	g := NewWithT(t)
	m, cleanUp, err := labdb.New(labdb.Options{Address: "127.0.0.1:0"})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	login := pgmem.Login{User: "u", Host: "host-1"}
	for _, address := range []string{
		m.Address() + "/other", m.Address() + "/?options=-c%20x=y", "u:secret@" + m.Address(), m.Address() + "," + m.Address(),
		m.Address() + "?", m.Address() + "#", "127.0.0.1", "/tmp:5432", "", " " + m.Address(),
	} {
		_, err := pgmem.NewControlConn(address, login).Ask(t.Context(), true)
		var invalid *pgmem.AddressError
		g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%q: %v", address, err)
	}
	for _, address := range []string{m.Address(), "[::ffff:127.0.0.1]" + strings.TrimPrefix(m.Address(), "127.0.0.1")} {
		_, err := pgmem.NewControlConn(address, login).Ask(t.Context(), true)
		g.Expect(err).NotTo(HaveOccurred(), address)
	}
	_, err = pgmem.NewControlConn("[fe80::1%lo]:1", login).Ask(t.Context(), true)
	g.Expect(err).To(MatchError(ContainSubstring("fe80::1%lo")), "an address with a zone is dialled")
}
