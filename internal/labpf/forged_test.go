package labpf_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/labpf"
	"poplarrouter.example/poplarrouter/internal/meter"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// dialRelay opens a connection for jobs to a proxy, as another host does.
func (s *site) dialRelay(proxy int) net.Conn {
	log, closeLog := event.New(io.Discard)
	s.t.Cleanup(closeLog)
	mesh, closeMesh, err := peer.New(peer.Options{
		Host: "forger", Region: "budapest", Secret: peerSecret, HeartbeatInterval: time.Second, Timeout: time.Second, Log: log, Meter: meter.New(prometheus.NewRegistry()),
	}, "127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(closeMesh)
	conn, err := mesh.Dial(s.t.Context(), book.Host{Name: s.settingsOf(proxy).Host, PeerAddress: s.proxies[proxy].PeerAddress()})
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = conn.Close() })
	s.Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
	return conn
}

// jobOf returns a job of a customer, in a session.
func jobOf(customer, key, text string, session stmt.Session) relay.Job {
	job := relay.Job{
		Number: 1, Request: "forged", Service: private, Caller: customer, Customer: customer, SheetSerial: 2, LastAttempt: true,
		Work:    sheet.Row{Database: labpf.Database, Access: sheet.Write, Rank: 1, Deadline: 2 * time.Second, KeyRequired: true},
		Payload: flow.NewExchange(flow.Query{ID: "forged", Statement: stmt.Statement{Kind: stmt.Write, Text: text}}, session).Payload(),
	}
	if key != "" {
		job.KeyDigest = sheet.KeyDigest(key)
	}
	return job
}

// sendJob returns the outcome of a job.
func (s *site) sendJob(conn net.Conn, job relay.Job) relay.Outcome {
	raw, err := peer.EncodeArray(job)
	s.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(raw)
	s.Expect(err).NotTo(HaveOccurred())
	var o relay.Outcome
	s.Expect(peer.DecodeInto(conn, 1<<20, &o)).To(Succeed())
	return o
}

// TestForgedJobIsRefused guards against a relaying host that makes a request run as another
// customer, or without a customer on a service that requires a key.
func TestForgedJobIsRefused(t *testing.T) {
	s := newSite(t, 1)
	s.putTenants(2, tenant("acme", "key-of-acme"), tenant("zenith", "key-of-zenith"))
	s.comes(s.enterWith(0, private, "key-of-acme"), "WRITE k ready")
	conn := s.dialRelay(0)
	unmarked := jobOf("", "", "WRITE k forged-4", stmt.Session{})
	unmarked.Work.KeyRequired = false
	for name, job := range map[string]relay.Job{
		"the key of another customer": jobOf("zenith", "key-of-acme", "WRITE k forged-1", stmt.Session{}),
		"no key":                      jobOf("zenith", "", "WRITE k forged-2", stmt.Session{}),
		"no customer":                 jobOf("", "key-of-acme", "WRITE k forged-3", stmt.Session{}),
		"no customer, and a row that requires none":  unmarked,
		"a key and a customer that nobody has heard": jobOf("nobody", "no-key", "WRITE k forged-5", stmt.Session{}),
	} {
		o := s.sendJob(conn, job)
		s.Expect(o.Failed).To(BeTrue(), name)
		s.Expect(o.Fault).To(Equal(fault.UnknownKey), name)
	}
	s.Expect(s.connectedFor("forged")).To(BeEmpty())
	s.Expect(s.sendJob(conn, jobOf("zenith", "key-of-zenith", "WRITE k honest", stmt.Session{})).Failed).To(BeFalse())
	s.Expect(s.connectedFor("honest")).To(Equal(map[string]int{"zenith": 1}))
}

// TestJobOfAnotherCustomerDoesNotJoinATransaction guards against a job that runs in a transaction
// which an earlier job of another customer opened over the same connection.
func TestJobOfAnotherCustomerDoesNotJoinATransaction(t *testing.T) {
	s := newSite(t, 1)
	s.putTenants(2, tenant("acme", "key-of-acme"), tenant("zenith", "key-of-zenith"))
	s.comes(s.enterWith(0, private, "key-of-acme"), "WRITE k ready")
	conn := s.dialRelay(0)
	pending, _ := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: stmt.Begin, Text: "BEGIN"})
	opened := s.sendJob(conn, jobOf("acme", "key-of-acme", "WRITE k opened", pending))
	s.Expect(fmt.Sprint(opened.Failed, opened.Text)).To(Equal("false"))
	joined := s.sendJob(conn, jobOf("zenith", "key-of-zenith", "WRITE k joined", pending.WithPhase(stmt.Open)))
	s.Expect(joined.Failed).To(BeTrue())
	s.Expect(joined.Fault).To(Equal(fault.Undispatched))
	s.Expect(s.connectedFor("joined")).To(BeEmpty())
	s.Expect(s.platform.Count("opened")).To(BeZero())
}

// TestJobOfSeveralLinesIsRefused guards against a relaying host whose text or ID of a statement
// reaches the member as several statements.
func TestJobOfSeveralLinesIsRefused(t *testing.T) {
	s := newSite(t, 1)
	s.putTenants(2, tenant("acme", "key-of-acme"))
	s.comes(s.enterWith(0, private, "key-of-acme"), "WRITE k ready")
	conn := s.dialRelay(0)
	lines := jobOf("acme", "key-of-acme", "WRITE k sent\r\nQUERY x WRITE k smuggled", stmt.Session{})
	words := jobOf("acme", "key-of-acme", "WRITE k sent", stmt.Session{})
	words.Payload.Query.ID = "x WRITE k smuggled"
	for _, job := range []relay.Job{lines, words} {
		o := s.sendJob(conn, job)
		s.Expect(o.Failed).To(BeTrue())
		s.Expect(o.Fault).To(Equal(fault.Protocol))
	}
	s.Expect(s.sendJob(conn, jobOf("acme", "key-of-acme", "WRITE k honest", stmt.Session{})).Failed).To(BeFalse())
	for _, st := range s.platform.Statements() {
		s.Expect(st.Text).NotTo(ContainSubstring("smuggled"))
	}
	s.Expect(s.platform.Count("sent")).To(BeZero())
}

// TestJobThatChangesAConnectionIsRefused guards against a relaying host whose statement leaves a setting
// on a connection that others use, or runs before the statement of its job.
func TestJobThatChangesAConnectionIsRefused(t *testing.T) {
	s := newSite(t, 2)
	s.putTenants(2, tenant("acme", "key-of-acme"))
	s.comes(s.enterWith(1, private, "key-of-acme"), "WRITE k ready")
	conn := s.dialRelay(1)
	begun, _ := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: stmt.Begin, Text: "BEGIN"})
	begun.Start = stmt.Statement{Kind: stmt.Write, Text: "WRITE k smuggled"}
	jobs := map[string]relay.Job{"a write as the begin": jobOf("acme", "key-of-acme", "WRITE k sent", begun)}
	for _, st := range []stmt.Statement{
		{Kind: stmt.Set, Name: "zone", Value: "smuggled", Text: "SET zone smuggled"}, {Kind: stmt.Reset, Text: "RESET"}, {Kind: stmt.Begin, Text: "BEGIN"},
		{Kind: stmt.Prepare, Name: "s1", Shape: stmt.Shape{Text: "smuggled"}, Text: "PREPARE s1 READ smuggled"},
	} {
		job := jobOf("acme", "key-of-acme", "", stmt.Session{})
		job.Payload.Query.Statement = st
		jobs[st.Text] = job
	}
	for name, job := range jobs {
		o := s.sendJob(conn, job)
		s.Expect(o.Failed).To(BeTrue(), name)
		s.Expect(o.Fault).To(Equal(fault.Protocol), name)
	}
	for _, st := range s.platform.Statements() {
		s.Expect(st.Text).NotTo(ContainSubstring("smuggled"))
	}
	s.Expect(s.platform.Count("sent")).To(BeZero())
}

// TestEntryOfSeveralLinesIsIgnored guards against an entry in the store, of another writer, whose
// name reaches a member as a statement.
func TestEntryOfSeveralLinesIsIgnored(t *testing.T) {
	s := newSite(t, 1)
	s.platform.Put("servers", "i-1\r\nQUERY x WRITE k smuggled", map[string]any{
		"service": labpf.Database, "address": s.platform.Primary().Address(), "zone": labpf.DataCentre(0), "version": "v1", "slots": 5,
		"state": "ready", "db_role": "primary", "seq": 1,
	})
	c := s.enter(0, labpf.Latest)
	s.comes(c, "WRITE k honest")
	s.Eventually(func() []string { return s.log.with(`"Event":604`) }, patience, 20*time.Millisecond).ShouldNot(BeEmpty())
	s.comes(c, "READ k")
	for _, st := range s.platform.Statements() {
		s.Expect(st.Text).NotTo(ContainSubstring("smuggled"))
	}
	s.Expect(s.platform.Count("smuggled")).To(BeZero())
}

// TestHostNameOfSeveralWordsEndsTheStart guards against a host that starts and whose name shifts the
// fields with which it connects to members, so that each of them refuses it.
func TestHostNameOfSeveralWordsEndsTheStart(t *testing.T) {
	s := newSite(t, 0)
	for _, name := range []string{"front 1", "front-1\r\nQUERY x WRITE k v"} {
		settings := s.settingsOf(0)
		settings.Host = name
		_, stop, err := app.New(settings, s.log)
		if err == nil {
			stop()
		}
		var known *fault.Error
		s.Expect(errors.As(err, &known)).To(BeTrue(), "%v", err)
		s.Expect(known.Kind).To(Equal(fault.Protocol))
	}
}

// TestJobOfAnUnknownRankIsRefused guards against an owner whose process ends because another host
// relays work of a rank that does not exist.
func TestJobOfAnUnknownRankIsRefused(t *testing.T) {
	s := newSite(t, 1)
	s.comes(s.enter(0, labpf.Session), "WRITE k ready")
	conn := s.dialRelay(0)
	for _, rank := range []sheet.Rank{-1, 0, sheet.MaxRank + 1, 1 << 40} {
		job := jobOf("", "", "WRITE k forged", stmt.Session{})
		job.Service, job.Work.KeyRequired, job.Work.Rank = labpf.Session, false, rank
		o := s.sendJob(conn, job)
		s.Expect(o.Failed).To(BeTrue())
		s.Expect(o.Fault).To(Equal(fault.Protocol))
	}
	s.Expect(s.platform.Count("forged")).To(BeZero())
	s.comes(s.enter(0, labpf.Session), "WRITE k after")
}
