package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/labset"
	"poplarrouter.example/poplarrouter/internal/view"
)

// newPostgresSite starts a store, a member and a proxy that serves the PostgreSQL protocol.
func newPostgresSite(t *testing.T) *site {
	s := newSite(t)
	member, store := s.free(), s.free()
	settings := limit(labset.SettingsOf("host-1", store))
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = s.free(), s.free(), s.free()
	databases := book.DatabasesDoc{Serial: 1, Databases: []book.Database{{
		Name: labset.Database, Slots: 5, Connections: 35,
		Members: []view.Member{{Name: "member-1", Address: member, DataCentre: "dc-1", Region: "region-1"}},
	}}}
	hosts := book.HostsDoc{Serial: 1, Hosts: []book.Host{{Name: "host-1", DataCentre: "dc-1", Region: "region-1", PeerAddress: settings.PeerAddress}}}
	for _, args := range [][]string{
		{"member", "-address", member},
		{"store", "-address", store, "-databases", s.write("databases.json", databases), "-hosts", s.write("hosts.json", hosts)},
	} {
		p := s.start(io.Discard, "poplarlab", args...)
		t.Cleanup(func() { stopProcess(p) })
	}
	csv, err := labset.Sheet()
	s.Expect(err).NotTo(HaveOccurred())
	sheet := s.write("sheet.csv", []byte(csv))
	s.Eventually(func() error {
		return exec.Command(filepath.Join(programs, "poplarrouter"), "sheet", "-store", store, "-operator", "anna", "load", sheet).Run() //nolint:gosec // a program that the test built
	}).Should(Succeed())
	s.startProxy(settings)
	s.Eventually(s.selectOne).Should(Succeed(), "an ordinary request is answered before the crowd comes")
	return s
}

func (s *site) free() string {
	address, err := labset.FreeAddress()
	s.Expect(err).NotTo(HaveOccurred())
	return address
}

// selectOne runs an ordinary request on a connection of its own.
func (s *site) selectOne() error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	conn, err := pgx.Connect(ctx, s.url("stock"))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	var one int
	return conn.QueryRow(ctx, "SELECT 1").Scan(&one)
}

func (s *site) url(kind string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&poplarrouter.kind=%s", labset.Caller, labset.Password, s.settings.CallerAddress, labset.Service, kind)
}

// login returns the network connection of a caller that has logged in, or nil if it was
// refused.
func (s *site) login(kind string) net.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	conn, err := pgx.Connect(ctx, s.url(kind))
	if err != nil {
		return nil
	}
	hijacked, err := conn.PgConn().Hijack()
	if err != nil {
		return nil
	}
	return hijacked.Conn
}

// callers runs a crowd of callers that have logged in.
func (s *site) callers(count int, kind string, caller func(conn net.Conn)) {
	misbehave(count, func(int) {
		if conn := s.login(kind); conn != nil {
			defer func() { _ = conn.Close() }()
			caller(conn)
		}
	})
}

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var raw []byte
	for _, m := range messages {
		raw, _ = m.Encode(raw)
	}
	return raw
}

// legalQuery is a query of nearly the largest legal size. It costs a member little.
func legalQuery() []byte {
	const rest = 64 // the text around the comment, and the envelope
	return encode(&pgproto3.Query{String: "SELECT 1 /*" + filler(legalBytes-rest) + "*/"})
}

// TestPostgresWholeMessages guards against memory that grows with the number of callers that
// send legal messages at the same time.
func TestPostgresWholeMessages(t *testing.T) {
	s := newPostgresSite(t)
	query := legalQuery()
	s.callers(200, "stock", func(conn net.Conn) {
		for range 3 {
			if !send(conn, query, len(query)) {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(callLimit))
			if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
				return
			}
		}
	})
	s.check(s.selectOne)
}

// TestPostgresUnfinishedMessages guards against buffers that are kept for messages whose last
// byte never arrives.
func TestPostgresUnfinishedMessages(t *testing.T) {
	s := newPostgresSite(t)
	query := legalQuery()
	s.callers(200, "stock", func(conn net.Conn) {
		if send(conn, query[:len(query)-1], 1<<14) {
			drain(conn, holdTime)
		}
	})
	s.check(s.selectOne)
}

// TestPostgresClaimedMessages guards against buffers that are allocated for the length that a
// header claims, of which a few bytes arrive.
func TestPostgresClaimedMessages(t *testing.T) {
	s := newPostgresSite(t)
	query := legalQuery()
	s.callers(200, "stock", func(conn net.Conn) {
		if send(conn, query[:16], 1) {
			drain(conn, holdTime)
		}
	})
	s.check(s.selectOne)
}

// TestPostgresOversizeMessages guards against buffers for messages over the limit, and for
// batches that exceed it message by message.
func TestPostgresOversizeMessages(t *testing.T) {
	s := newPostgresSite(t)
	large := encode(&pgproto3.Query{String: filler(16 * legalBytes)})
	part := encode(&pgproto3.Parse{Query: "SELECT 1 /*" + filler(legalBytes/2) + "*/"})
	s.callers(150, "stock", func(conn net.Conn) {
		for range 8 {
			if !send(conn, part, len(part)) {
				break
			}
		}
		drain(conn, holdTime)
	})
	s.callers(100, "stock", func(conn net.Conn) {
		send(conn, large, 1<<16)
		drain(conn, time.Second)
	})
	s.check(s.selectOne)
}

// TestPostgresPipelinedMessages guards against memory for messages that are sent without
// reading the answers to those before.
func TestPostgresPipelinedMessages(t *testing.T) {
	s := newPostgresSite(t)
	query := legalQuery()
	s.callers(100, "stock", func(conn net.Conn) {
		for range 20 {
			if !send(conn, query, len(query)) {
				return
			}
		}
		time.Sleep(holdTime)
	})
	s.check(s.selectOne)
}

// TestPostgresUnreadAnswers guards against answers that are buffered for callers that do not
// read them.
func TestPostgresUnreadAnswers(t *testing.T) {
	s := newPostgresSite(t)
	// The answer to a write is buffered from its first completed statement on.
	query := encode(&pgproto3.Query{String: "SELECT 1; SELECT hex(zeroblob(400000))"})
	s.callers(200, "order", func(conn net.Conn) {
		for range 10 {
			if !send(conn, query, len(query)) {
				return
			}
		}
		time.Sleep(2 * holdTime)
	})
	s.check(s.selectOne)
}

// TestPostgresSlowCallers guards against descriptors that are used up by log-ins which are never
// finished, and by callers that send a byte at a time.
func TestPostgresSlowCallers(t *testing.T) {
	s := newPostgresSite(t)
	query := legalQuery()
	misbehave(700, func(i int) {
		var conn net.Conn
		if i%4 == 0 {
			conn = s.login("stock")
		} else {
			conn, _ = net.DialTimeout("tcp", s.settings.CallerAddress, callLimit)
		}
		if conn == nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for began := time.Now(); time.Since(began) < 2*holdTime && send(conn, query[:1], 1); {
			time.Sleep(holdTime / 2)
		}
	})
	s.check(s.selectOne)
}

// TestPostgresPreparedNames guards against prepared statements of a session without end.
func TestPostgresPreparedNames(t *testing.T) {
	s := newPostgresSite(t)
	const callers, names, length = 20, 150, 100_000
	text := filler(length)
	s.callers(callers, "stock", func(conn net.Conn) {
		for i := range names {
			name := fmt.Sprint("name", i)
			batch := encode(&pgproto3.Parse{Name: name, Query: "SELECT 1 /*" + name + text + "*/"}, &pgproto3.Sync{})
			if !send(conn, batch, len(batch)) {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(callLimit))
			if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
				return
			}
		}
	})
	s.check(s.selectOne)
}

// TestPostgresLargestMessage guards against a budget that is too small for a single message of the
// largest legal size on the smallest host.
func TestPostgresLargestMessage(t *testing.T) {
	s := newPostgresSite(t)
	query := "SELECT 1 /**/"
	query = "SELECT 1 /*" + filler(legalBytes-len(encode(&pgproto3.Query{String: query}))) + "*/"
	s.check(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		defer cancel()
		conn, err := pgx.Connect(ctx, s.url("order"))
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		_, err = conn.PgConn().Exec(ctx, query).ReadAll()
		return err
	})
}
