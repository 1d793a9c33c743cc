package relay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/internal/stmt"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

const jobBytes = 1 << 16

// fakeOwner is a client that is connected to an owner whose side the test plays.
type fakeOwner struct {
	client *relay.Client
	// dialled holds the owner's ends of the connections that the client opened.
	dialled chan net.Conn
	refuses bool
}

func newFakeOwner(t *testing.T) *fakeOwner {
	o := &fakeOwner{dialled: make(chan net.Conn, 4)}
	hosts := []book.Host{{Name: "owner", Region: "north", PeerAddress: "x"}, {Name: "other", Region: "north", PeerAddress: "y"}}
	client, cleanUp := relay.New(relay.Options{
		Host: "self", Region: "north",
		Dial: func(context.Context, book.Host) (net.Conn, error) {
			if o.refuses {
				return nil, errors.New("refused")
			}
			clientEnd, ownerEnd := net.Pipe()
			t.Cleanup(func() { _ = ownerEnd.Close() })
			o.dialled <- ownerEnd
			return clientEnd, nil
		},
		Owners:      func(string) ([]string, bool) { return []string{"owner", "other"}, false },
		Substitutes: func(string) []string { return nil },
		Hosts:       func() []book.Host { return hosts },
		SheetSerial: func() uint64 { return 6 },
	})
	t.Cleanup(cleanUp)
	o.client = client
	return o
}

// open returns a connection of the client and the owner's end of it.
func (o *fakeOwner) open(t *testing.T) (chain.RelayConn, net.Conn) {
	conn, err := o.client.Open(t.Context(), "owner")
	if err != nil {
		t.Fatal(err)
	}
	return conn, <-o.dialled
}

// answer reads a job and answers it with o. A Number in o is added to that of the job.
func answer(conn net.Conn, o relay.Outcome) (relay.Job, error) {
	var job relay.Job
	if err := peer.DecodeInto(conn, jobBytes, &job); err != nil {
		return job, err
	}
	o.Number += job.Number
	raw, err := peer.EncodeArray(o)
	if err != nil {
		return job, err
	}
	_, err = conn.Write(raw)
	return job, err
}

func write() *chain.Request {
	session, _ := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: stmt.Set, Name: "zone", Value: "north"})
	query := flow.Query{ID: "q1", Statement: stmt.Statement{Kind: stmt.Write, Text: "WRITE k v"}}
	return &chain.Request{
		Name: "q1", Exchange: flow.NewExchange(query, session), Arrived: time.Now(), Floor: group.Floor{Term: 2, Position: 7},
		Caller: chain.Caller{Name: "anna", Service: "orders", Customer: "acme", KeyDigest: "digest"},
		Work:   sheet.Row{Service: "orders", Database: "stock", Rank: 1, Deadline: time.Second, Secret: "secret"}, Replicated: true,
	}
}

func TestJobCarriesRequestAndSession(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	jobs := make(chan relay.Job, 1)
	go func() {
		job, err := answer(ownerEnd, relay.Outcome{Reply: flow.Reply{Receipt: "r"}, Confirmed: group.Floor{Term: 2, Position: 9}})
		if err != nil {
			t.Error(err)
		}
		jobs <- job
	}()
	r := write()
	g.Expect(conn.Run(t.Context(), r)).To(Succeed())
	job := <-jobs
	g.Expect(job.Caller).To(Equal("anna"))
	g.Expect([]any{job.Customer, job.KeyDigest, job.SheetSerial}).To(Equal([]any{"acme", "digest", uint64(6)}))
	g.Expect(job.Replicated).To(BeTrue())
	g.Expect(job.Floor).To(Equal(r.Floor))
	g.Expect(job.Work.Secret).To(BeEmpty(), "the secret is not relayed")
	g.Expect(job.Work.Rank).To(Equal(sheet.Rank(1)))
	g.Expect(job.Payload.Query.Statement.Text).To(Equal("WRITE k v"))
	g.Expect(job.Payload.Session.Values).To(Equal(map[string]string{"zone": "north"}))
	g.Expect(r.Answer.Confirmed).To(Equal(group.Floor{Term: 2, Position: 9}))
	g.Expect(r.Answer.Idle).To(BeTrue())
	conn.Release(true)
	next, err := o.client.Open(t.Context(), "owner")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next).To(BeIdenticalTo(conn), "a clean connection is reused")
}

// TestJobWithoutOutcomeIsUnknown guards against reporting a job as not run when the
// connection ends after the owner has received the job.
func TestJobWithoutOutcomeIsUnknown(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	go func() {
		var job relay.Job
		_ = peer.DecodeInto(ownerEnd, jobBytes, &job)
		_ = ownerEnd.Close()
	}()
	err := conn.Run(t.Context(), write())
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Severed))
	g.Expect(fault.FromError(err).Kind.Outcome()).To(Equal(fault.Unknown))
}

// TestJobSentWhileItsOwnerStopsIsNotRun guards against an unknown outcome for a job that
// crosses the owner's notice that it closes the connection. The owner runs no job after
// that notice.
func TestJobSentWhileItsOwnerStopsIsNotRun(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	go func() {
		var job relay.Job
		_ = peer.DecodeInto(ownerEnd, jobBytes, &job)
		raw, _ := peer.EncodeArray(relay.Outcome{Draining: true, Closing: true})
		_, _ = ownerEnd.Write(raw)
		_ = ownerEnd.Close()
	}()
	err := conn.Run(t.Context(), write())
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Undispatched))
	g.Expect(fault.FromError(err).Kind.Outcome()).To(Equal(fault.NotRun))
}

// TestConnectionToADrainingOwnerIsNotKept guards against sending a job over a connection
// that ends when its owner stops: a connection that is released after the drain notice is
// closed like those that were idle when it arrived.
func TestConnectionToADrainingOwnerIsNotKept(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	go func() {
		_, _ = answer(ownerEnd, relay.Outcome{Failed: true, Fault: fault.Leaving, Draining: true})
	}()
	err := conn.Run(t.Context(), write())
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Leaving))
	conn.Release(true)
	next, err := o.client.Open(t.Context(), "owner")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next).NotTo(BeIdenticalTo(conn))
}

// TestPartlyWrittenJobIsNotRun ends the connection while the job is written: the owner does
// not run it, so that it may be sent to another owner.
func TestPartlyWrittenJobIsNotRun(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	go func() {
		_, _ = ownerEnd.Read(make([]byte, 3))
		_ = ownerEnd.Close()
	}()
	err := conn.Run(t.Context(), write())
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Undispatched))
	g.Expect(fault.FromError(err).Kind.Outcome()).To(Equal(fault.NotRun))
}

// TestOutcomeOfAnotherJobIsRejected guards against completing a request with the late answer
// to another job of the same connection.
func TestOutcomeOfAnotherJobIsRejected(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	go func() { _, _ = answer(ownerEnd, relay.Outcome{Number: 1, Reply: flow.Reply{Receipt: "r"}}) }()
	r := write()
	err := conn.Run(t.Context(), r)
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Severed))
	g.Expect(r.Answer.Whole).To(BeFalse())
}

// TestUnresponsiveOwnerIsBackedOff has an owner that receives a job and does not answer it.
func TestUnresponsiveOwnerIsBackedOff(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	go func() { _ = peer.DecodeInto(ownerEnd, jobBytes, &relay.Job{}) }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err := conn.Run(ctx, write())
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Severed))
	g.Expect(o.client.Route("stock", 0)).To(Equal([]string{"other", "owner"}))
}

// TestSilentConnectionsAreNotTriedInTurn guards against requests that wait one after the other
// for connections which all went silent, without a reset, at the same moment. New connections
// to the owner work.
func TestSilentConnectionsAreNotTriedInTurn(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	idle := make([]chain.RelayConn, 3)
	for i := range idle {
		conn, ownerEnd := o.open(t)
		idle[i] = conn
		go func() { _ = peer.DecodeInto(ownerEnd, jobBytes, &relay.Job{}) }()
	}
	for _, conn := range idle {
		conn.Release(true)
	}
	silent, err := o.client.Open(t.Context(), "owner")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	g.Expect(fault.FromError(silent.Run(ctx, write())).Kind).To(Equal(fault.Severed))
	silent.Release(false)
	conn, ownerEnd := o.open(t)
	g.Expect(idle).NotTo(ContainElement(BeIdenticalTo(conn)))
	go func() {
		if _, err := answer(ownerEnd, relay.Outcome{Reply: flow.Reply{Receipt: "r"}}); err != nil {
			t.Error(err)
		}
	}()
	g.Expect(conn.Run(t.Context(), write())).To(Succeed())
}

func TestDrainingOwnerIsTriedLast(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	g.Expect(o.client.Route("stock", 0)).To(Equal([]string{"owner", "other"}))
	conn, ownerEnd := o.open(t)
	go func() {
		_, err := answer(ownerEnd, relay.Outcome{Failed: true, Fault: fault.Leaving, Text: "this proxy is draining", Draining: true})
		if err != nil {
			t.Error(err)
		}
	}()
	err := conn.Run(t.Context(), write())
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Leaving))
	g.Expect(o.client.Route("stock", 0)).To(Equal([]string{"other", "owner"}))
}

// TestDrainNoticeClosesIdleConnections has an owner that starts to drain while no job is in
// flight on its connection.
func TestDrainNoticeClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	conn.Release(true)
	raw, err := peer.EncodeArray(relay.Outcome{Draining: true})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = ownerEnd.Write(raw)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = ownerEnd.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "the connection is closed before the owner ends")
	g.Expect(o.client.Route("stock", 0)).To(Equal([]string{"other", "owner"}))
}

func TestUnreachableOwnerIsTriedLast(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	o.refuses = true
	_, err := o.client.Open(t.Context(), "owner")
	g.Expect(fault.FromError(err).Kind).To(Equal(fault.Undispatched))
	g.Expect(o.client.Route("stock", 0)).To(Equal([]string{"other", "owner"}))
}

// TestEndedConnectionIsNotReused guards against sending a job over a connection that the
// owner closed while it was idle.
func TestEndedConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	conn.Release(true)
	g.Expect(ownerEnd.Close()).To(Succeed())
	g.Eventually(func() bool {
		next, err := o.client.Open(t.Context(), "owner")
		g.Expect(err).NotTo(HaveOccurred())
		defer next.Release(true)
		return next != conn
	}).Should(BeTrue())
}

// TestUnexpectedOutcomeEndsTheConnection sends two outcomes while no job is in flight.
func TestUnexpectedOutcomeEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	o := newFakeOwner(t)
	conn, ownerEnd := o.open(t)
	conn.Release(true)
	raw, err := peer.EncodeArray(relay.Outcome{})
	g.Expect(err).NotTo(HaveOccurred())
	for range 2 {
		_, err = ownerEnd.Write(raw)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err = ownerEnd.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
}
