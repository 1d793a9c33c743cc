package labset_test

import (
	"context"
	"database/sql"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	_ "github.com/lib/pq"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/labset"
)

func pgxErrorAs(err error, target **pgconn.PgError) bool { return errors.As(err, target) }

var _ = Describe("a caller through a proxy", func() {
	It("uses pgx with simple and extended queries, NULLs and large rows", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		conn := connect(ctx, set, 0, order)
		exec(ctx, conn, "CREATE TABLE crates (id INTEGER PRIMARY KEY, note TEXT)")
		exec(ctx, conn, "INSERT INTO crates VALUES ($1, $2)", 1, nil)
		large := strings.Repeat("d", 300_000)
		exec(ctx, conn, "INSERT INTO crates VALUES ($1, $2)", 2, large)
		rows, err := conn.Query(ctx, "SELECT id, note FROM crates ORDER BY id")
		Expect(err).NotTo(HaveOccurred())
		notes, err := pgx.CollectRows(rows, func(r pgx.CollectableRow) (pgtype.Text, error) {
			var id int
			var note pgtype.Text
			err := r.Scan(&id, &note)
			return note, err
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(notes).To(HaveLen(2))
		Expect(notes[0].Valid).To(BeFalse())
		Expect(notes[1].String).To(Equal(large))
		for range 3 {
			exec(ctx, conn, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
		}
	}, SpecTimeout(time.Minute))

	It("uses database/sql with lib/pq and prepared statements", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		db, err := sql.Open("postgres", set.URL(0))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(db.Close)
		_, err = db.ExecContext(ctx, "CREATE TABLE crates (id INTEGER PRIMARY KEY, note TEXT)")
		Expect(err).NotTo(HaveOccurred())
		statement, err := db.PrepareContext(ctx, "INSERT INTO crates VALUES ($1, $2)")
		Expect(err).NotTo(HaveOccurred())
		for i := range 5 {
			_, err = statement.ExecContext(ctx, i, fmt.Sprint("note ", i))
			Expect(err).NotTo(HaveOccurred())
		}
		var n int
		Expect(db.QueryRowContext(ctx, "SELECT count(*) FROM crates WHERE id < $1", 3).Scan(&n)).To(Succeed())
		Expect(n).To(Equal(3))
	}, SpecTimeout(time.Minute))

	It("is told errors with their SQLSTATE, and keeps a failed transaction's state", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		conn := connect(ctx, set, 0, order)
		exec(ctx, conn, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		_, err := conn.Exec(ctx, "SELEKT")
		Expect(err).To(haveState("42601"))
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "INSERT INTO crates VALUES (1)")
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "SELEKT")
		Expect(err).To(haveState("42601"))
		_, err = tx.Exec(ctx, "SELECT 1")
		Expect(err).To(haveState("25P02"))
		Expect(tx.Rollback(ctx)).To(Succeed())
		Expect(count(ctx, conn)).To(BeZero())
	}, SpecTimeout(time.Minute))

	It("cancels its own statement and nobody else's", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 2})
		conn, other := connect(ctx, set, 0, stock), connect(ctx, set, 0, stock)
		ended := make(chan error, 2)
		go func() { _, err := conn.Exec(ctx, "SELECT pg_sleep(20)"); ended <- err }()
		otherEnded := make(chan error, 1)
		go func() { _, err := other.Exec(ctx, "SELECT pg_sleep(1)"); otherEnded <- err }()
		Eventually(func(g Gomega) {
			g.Expect(conn.PgConn().CancelRequest(ctx)).To(Succeed())
			g.Expect(ended).To(Receive(haveState("57014")))
		}).Should(Succeed())
		Expect(<-otherEnded).To(Succeed())
		exec(ctx, conn, "SELECT 1")
	}, SpecTimeout(time.Minute))

	It("shares one pooled connection with another caller without sharing a transaction", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1, Settings: func(s *config.Settings) { s.Limits.MemberConnections = 1 }})
		one, two := connect(ctx, set, 0, order), connect(ctx, set, 0, order)
		exec(ctx, one, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		tx, err := one.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "INSERT INTO crates VALUES (1)")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() { _, err := two.Exec(ctx, "INSERT INTO crates VALUES (2)"); done <- err }()
		Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
		Expect(tx.Rollback(ctx)).To(Succeed())
		Expect(<-done).To(Succeed())
		Expect(count(ctx, one)).To(Equal(1))
	}, SpecTimeout(time.Minute))

	It("leaves nothing of its transaction when it vanishes", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		one, two := connect(ctx, set, 0, order), connect(ctx, set, 0, order)
		exec(ctx, one, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		_, err := one.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		exec(ctx, one, "INSERT INTO crates VALUES (1)")
		Expect(one.PgConn().Conn().Close()).To(Succeed())
		exec(ctx, two, "INSERT INTO crates VALUES (2)")
		Expect(count(ctx, two)).To(Equal(1))
	}, SpecTimeout(time.Minute))

	It("is refused if the sheet does not allow it, or its password is wrong", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		for _, url := range []string{
			strings.Replace(set.URL(0), labset.Password, "wrong", 1),
			strings.Replace(set.URL(0), labset.Caller, "stranger", 1),
			strings.Replace(set.URL(0), "/"+labset.Service, "/other", 1),
		} {
			_, err := pgx.Connect(ctx, url)
			Expect(err).To(haveState("28000"))
		}
		_, err := connect(ctx, set, 0, map[string]string{"poplarrouter.kind": "unheard-of"}).Exec(ctx, "SELECT 1")
		Expect(err).To(haveState("PN001"))
	}, SpecTimeout(time.Minute))

	It("cannot hold a member's slot by not reading its answer", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{
			Members: 1, Proxies: 1, Member: labdb.Options{Slots: 1},
			Settings: func(s *config.Settings) { s.Limits.MemberConnections = 1 },
		})
		Expect(loadSheet(ctx, set, "stock,read,yes,2,10000", "stock,read,yes,2,500")).To(Succeed())
		Eventually(func() uint64 { return sheetSerial(ctx, set) }).Should(BeEquivalentTo(2))
		Eventually(func() int { return freeSlots(ctx, set) }).Should(BeNumerically(">", 0), "a request with so short a deadline needs a slot at hand")
		idle := connect(ctx, set, 0, stock)
		const rows = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 300000) SELECT i, hex(zeroblob(100)) FROM n"
		frontend := idle.PgConn().Frontend()
		frontend.SendQuery(&pgproto3.Query{String: rows})
		Expect(frontend.Flush()).To(Succeed())
		other := connect(ctx, set, 0, counting)
		Eventually(func() int { return lentTo(ctx, set) }).Should(Equal(1))
		Eventually(func() error { _, err := other.Exec(ctx, "SELECT 1"); return err }).Should(Succeed())
	}, SpecTimeout(time.Minute))

	It("cannot disturb others with garbage or oversized messages", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		conn := connect(ctx, set, 0, order)
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08\x04\xd2\x16\x2f", "\xff\xff\xff\xff\xff\xff\xff\xff"} {
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", set.Proxies()[0].Address())
			Expect(err).NotTo(HaveOccurred())
			_, err = raw.Write([]byte(garbage))
			Expect(err).NotTo(HaveOccurred())
			Expect(raw.Close()).To(Succeed())
		}
		oversized := connect(ctx, set, 0, order)
		_, err := oversized.Exec(ctx, "SELECT '"+strings.Repeat("x", 2<<20)+"'")
		Expect(err).To(HaveOccurred())
		exec(ctx, conn, "SELECT 1")
	}, SpecTimeout(time.Minute))
})

var _ = Describe("a session that roams", func() {
	lagging := labset.Options{Members: 3, Proxies: 2, Member: labdb.Options{ApplyLag: 50 * time.Millisecond}}

	It("reads its own writes through another proxy, without a token", func(ctx SpecContext) {
		set := startSet(ctx, lagging)
		writer, reader := connect(ctx, set, 0, order), connect(ctx, set, 1, stock)
		exec(ctx, writer, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		for i := range 20 {
			exec(ctx, writer, "INSERT INTO crates VALUES ($1)", i)
			Expect(count(ctx, reader)).To(Equal(i + 1))
		}
	}, SpecTimeout(time.Minute))

	It("reads its own writes with the token that it carries", func(ctx SpecContext) {
		set := startSet(ctx, lagging)
		writer := connect(ctx, set, 0, order)
		exec(ctx, writer, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		exec(ctx, writer, "INSERT INTO crates VALUES (1)")
		token := writer.PgConn().ParameterStatus("poplarrouter.floor")
		Expect(token).NotTo(BeEmpty())
		reader := connect(ctx, set, 1, map[string]string{"poplarrouter.kind": "stock", "poplarrouter.floor": token})
		Expect(count(ctx, reader)).To(Equal(1))
		var shown string
		Expect(reader.QueryRow(ctx, "SHOW poplarrouter.floor").Scan(&shown)).To(Succeed())
		Expect(shown).To(Equal(token))
	}, SpecTimeout(time.Minute))
})

var _ = Describe("a primary that fails", func() {
	It("is replaced, and no acknowledged write is lost", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 3})
		conn := connect(ctx, set, 0, order)
		exec(ctx, conn, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		acknowledged := 0
		for i := range 40 {
			if i == 20 {
				set.StopMember(0)
			}
			if _, err := conn.Exec(ctx, "INSERT INTO crates VALUES ($1)", i); err == nil {
				acknowledged++
			} else {
				Expect(err).To(Or(haveState("PU001"), haveState("PU002")))
			}
		}
		Expect(acknowledged).To(BeNumerically(">=", 38))
		Expect(count(ctx, connect(ctx, set, 1, stock))).To(BeNumerically(">=", acknowledged))
	}, SpecTimeout(time.Minute))

	It("leaves a read that was sent with an unknown outcome, when no other member can be reached", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		conn := connect(ctx, set, 0, stock)
		ended := make(chan error, 1)
		go func() { _, err := conn.Exec(ctx, "SELECT pg_sleep(20)"); ended <- err }()
		Eventually(func() int { return set.Members()[1].State().Active + set.Members()[2].State().Active }).Should(Equal(1))
		for i := range set.Members() {
			set.StopMember(i)
		}
		Expect(<-ended).To(haveState("PU001"))
	}, SpecTimeout(time.Minute))

	It("is changed as planned without a refused write", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 2})
		conn := connect(ctx, set, 0, order)
		exec(ctx, conn, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		stop := make(chan struct{})
		var written int
		refused := make(chan error, 1)
		go func() {
			for {
				select {
				case <-stop:
					refused <- nil
					return
				default:
				}
				if _, err := conn.Exec(ctx, "INSERT INTO crates VALUES ($1)", written); err != nil {
					refused <- err
					return
				}
				written++
			}
		}()
		Expect(switchOver(ctx, set, 1, "member-2")).To(Succeed())
		Eventually(func() bool { return set.Members()[1].State().Role.String() == "primary" }).Should(BeTrue())
		Eventually(func() string { return set.Members()[0].State().Role.String() }).Should(Equal("replica"))
		close(stop)
		Expect(<-refused).To(Succeed())
		Expect(count(ctx, connect(ctx, set, 0, stock))).To(Equal(written))
	}, SpecTimeout(time.Minute))
})

var _ = Describe("a proxy that leaves", func() {
	It("lets requests and transactions end, and refuses new ones", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 1})
		idle, busy, open := connect(ctx, set, 0, order), connect(ctx, set, 0, stock), connect(ctx, set, 0, order)
		exec(ctx, open, "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
		tx, err := open.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "INSERT INTO crates VALUES (1)")
		Expect(err).NotTo(HaveOccurred())
		slept := make(chan error, 1)
		go func() { _, err := busy.Exec(ctx, "SELECT pg_sleep(1)"); slept <- err }()
		Eventually(func() int { return lentTo(ctx, set) }).Should(Equal(2))
		cut := make(chan int, 1)
		go func() { cut <- set.Proxies()[0].Drain() }()
		Eventually(func() error { _, err := idle.Exec(ctx, "SELECT 1"); return err }).Should(HaveOccurred())
		Expect(<-slept).To(Succeed())
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(<-cut).To(BeZero())
		_, err = pgx.Connect(ctx, set.URL(0))
		Expect(err).To(HaveOccurred())
	}, SpecTimeout(time.Minute))
})

var _ = Describe("a new sheet", func() {
	It("comes into force on every proxy", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 3})
		Expect(loadSheet(ctx, set, "order,write", "errand,write")).To(Succeed())
		for i := range set.Proxies() {
			conn := connect(ctx, set, i, map[string]string{"poplarrouter.kind": "errand"})
			Eventually(func() error { _, err := conn.Exec(ctx, "SELECT 1"); return err }).Should(Succeed())
		}
	}, SpecTimeout(time.Minute))

	It("is known to a proxy that starts while the store is down", func(ctx SpecContext) {
		set := startSet(ctx, labset.Options{Members: 3, Proxies: 2})
		set.Store().SetDown(true)
		late, err := set.StartProxyLike(1, "host-2")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			conn, err := pgx.Connect(ctx, set.URLOf(late))
			if err == nil {
				_ = conn.Close(context.Background())
			}
			return err
		}).Should(Succeed())
	}, SpecTimeout(time.Minute))
})
