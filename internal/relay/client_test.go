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

// home is a proxy that serves a database, played by a test.
type home struct {
	client *relay.Client
	// dialled holds the far ends of the connections that the client opened.
	dialled chan net.Conn
	refuses bool
}

func newHome(t *testing.T) *home {
	h := &home{dialled: make(chan net.Conn, 4)}
	hosts := []book.Host{{Name: "home", Region: "north", PeerAddress: "x"}, {Name: "other", Region: "north", PeerAddress: "y"}}
	client, cleanUp := relay.New(relay.Options{
		Host: "self", Region: "north",
		Dial: func(context.Context, book.Host) (net.Conn, error) {
			if h.refuses {
				return nil, errors.New("refused")
			}
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			h.dialled <- far
			return near, nil
		},
		Owners:    func(string) ([]string, bool) { return []string{"home", "other"}, false },
		Substitutes: func(string) []string { return nil },
		Hosts:    func() []book.Host { return hosts },
	})
	t.Cleanup(cleanUp)
	h.client = client
	return h
}

// open returns a connection of the client, and its far end.
func (h *home) open(t *testing.T) (chain.RelayConn, net.Conn) {
	away, err := h.client.Open(t.Context(), "home")
	if err != nil {
		t.Fatal(err)
	}
	return away, <-h.dialled
}

// answer reads a job and answers it.
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
	session, _ := stmt.Session{}.Answers(stmt.Statement{Kind: stmt.Set, Name: "zone", Value: "north"})
	query := flow.Query{ID: "q1", Statement: stmt.Statement{Kind: stmt.Write, Text: "WRITE k v"}}
	return &chain.Request{
		Name: "q1", Exchange: flow.NewExchange(query, session), Arrived: time.Now(), Floor: group.Floor{Term: 2, Position: 7},
		Caller: chain.Caller{Name: "anna", Service: "orders"},
		Work:   sheet.Row{Service: "orders", Database: "stock", Rank: 1, Deadline: time.Second, Secret: "secret"}, Replicated: true,
	}
}

func TestAJobCarriesWhatTheOtherProxyNeeds(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	jobs := make(chan relay.Job, 1)
	go func() {
		job, err := answer(far, relay.Outcome{Reply: flow.Reply{Receipt: "r"}, Confirmed: group.Floor{Term: 2, Position: 9}})
		if err != nil {
			t.Error(err)
		}
		jobs <- job
	}()
	r := write()
	g.Expect(away.Run(t.Context(), r)).To(Succeed())
	job := <-jobs
	g.Expect(job.Caller).To(Equal("anna"))
	g.Expect(job.Replicated).To(BeTrue())
	g.Expect(job.Floor).To(Equal(r.Floor))
	g.Expect(job.Work.Secret).To(BeEmpty(), "no secret goes along")
	g.Expect(job.Work.Rank).To(Equal(sheet.Rank(1)))
	g.Expect(job.Payload.Query.Statement.Text).To(Equal("WRITE k v"))
	g.Expect(job.Payload.Session.Values).To(Equal(map[string]string{"zone": "north"}))
	g.Expect(r.Answer.Confirmed).To(Equal(group.Floor{Term: 2, Position: 9}))
	g.Expect(r.Answer.Idle).To(BeTrue())
	away.Release(true)
	again, err := h.client.Open(t.Context(), "home")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(away), "a clean connection is used again")
}

// TestAJobWithoutAnOutcomeMayHaveRun ends the connection when the job has arrived.
func TestAJobWithoutAnOutcomeMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	go func() {
		var job relay.Job
		_ = peer.DecodeInto(far, jobBytes, &job)
		_ = far.Close()
	}()
	err := away.Run(t.Context(), write())
	g.Expect(fault.Of(err).Kind).To(Equal(fault.Severed))
	g.Expect(fault.Of(err).Kind.Outcome()).To(Equal(fault.Unknown))
}

// TestAJobThatDidNotArriveWholeIsNotRun ends the connection while the job is written.
func TestAJobThatDidNotArriveWholeIsNotRun(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	go func() {
		_, _ = far.Read(make([]byte, 3))
		_ = far.Close()
	}()
	err := away.Run(t.Context(), write())
	g.Expect(fault.Of(err).Kind).To(Equal(fault.Undispatched))
	g.Expect(fault.Of(err).Kind.Outcome()).To(Equal(fault.NotRun))
}

// TestAnOutcomeOfAnotherJobIsNotTaken has a late answer on the connection.
func TestAnOutcomeOfAnotherJobIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	go func() { _, _ = answer(far, relay.Outcome{Number: 1, Reply: flow.Reply{Receipt: "r"}}) }()
	r := write()
	err := away.Run(t.Context(), r)
	g.Expect(fault.Of(err).Kind).To(Equal(fault.Severed))
	g.Expect(r.Answer.Whole).To(BeFalse())
}

// TestASilentHomeIsShunned takes a job and gives no answer.
func TestASilentHomeIsShunned(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	go func() { _ = peer.DecodeInto(far, jobBytes, &relay.Job{}) }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err := away.Run(ctx, write())
	g.Expect(fault.Of(err).Kind).To(Equal(fault.Severed))
	g.Expect(h.client.Route("stock", 0)).To(Equal([]string{"other", "home"}))
}

func TestALeavingHomeIsTriedLast(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	g.Expect(h.client.Route("stock", 0)).To(Equal([]string{"home", "other"}))
	away, far := h.open(t)
	go func() {
		_, err := answer(far, relay.Outcome{Failed: true, Fault: fault.Leaving, Text: "this proxy is leaving", Draining: true})
		if err != nil {
			t.Error(err)
		}
	}()
	err := away.Run(t.Context(), write())
	g.Expect(fault.Of(err).Kind).To(Equal(fault.Leaving))
	g.Expect(h.client.Route("stock", 0)).To(Equal([]string{"other", "home"}))
}

// TestANoticeClosesIdleConnections is a home that begins to leave while it has no job.
func TestANoticeClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	away.Release(true)
	raw, err := peer.EncodeArray(relay.Outcome{Draining: true})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = far.Write(raw)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = far.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "the connection is closed before the home ends")
	g.Expect(h.client.Route("stock", 0)).To(Equal([]string{"other", "home"}))
}

func TestAHomeThatCannotBeReachedIsTriedLast(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	h.refuses = true
	_, err := h.client.Open(t.Context(), "home")
	g.Expect(fault.Of(err).Kind).To(Equal(fault.Undispatched))
	g.Expect(h.client.Route("stock", 0)).To(Equal([]string{"other", "home"}))
}

// TestAConnectionThatHasEndedIsNotUsed ends one while it is idle.
func TestAConnectionThatHasEndedIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	away.Release(true)
	g.Expect(far.Close()).To(Succeed())
	g.Eventually(func() bool {
		again, err := h.client.Open(t.Context(), "home")
		g.Expect(err).NotTo(HaveOccurred())
		defer again.Release(true)
		return again != away
	}).Should(BeTrue())
}

// TestAnOutcomeThatWasNotAskedForEndsTheConnection sends two where one is expected.
func TestAnOutcomeThatWasNotAskedForEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	h := newHome(t)
	away, far := h.open(t)
	away.Release(true)
	raw, err := peer.EncodeArray(relay.Outcome{})
	g.Expect(err).NotTo(HaveOccurred())
	for range 2 {
		_, err = far.Write(raw)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err = far.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
}
