package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// TestMemberLoadTellsOwnWorkFromThatOfOthers guards against a lease holder that avoids the member
// whose lease it holds, because it takes the work of all proxies for its own.
func TestMemberLoadTellsOwnWorkFromThatOfOthers(t *testing.T) {
	g := NewWithT(t)
	m := view.Member{Name: "m", Database: "d"}
	l := &memberLease{database: "d", member: m, gate: duty.NewCell(New(slots.DefaultRules(10), 5, time.Now())), holder: duty.NewCell("self"), slots: 5}
	lm := &LeaseManager{
		leases: map[string]*runningLease{l.key(): {memberLease: l}}, remoteRequests: make(map[remoteKey]*remoteRequest),
		requests: map[uint64]*permitRequest{}, permits: map[uint64]*heldPermit{},
	}
	work := slots.Work{Caller: "c", Rank: 1, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	_, err := l.gate.Load().Acquire(t.Context(), work)
	g.Expect(err).NotTo(HaveOccurred())
	for id := range uint64(3) {
		lm.HandlePermitRequest("other", peer.PermitRequest{ID: id, Database: "d", Member: "m", Caller: "c", Rank: 1, TimeLeft: time.Minute}, func(grant peer.Grant) {
			g.Expect(grant.Refusal).To(Equal(fault.Kind(0)))
		})
	}
	load := lm.MemberLoad("d", m)
	g.Expect([]any{load.Own, load.Others, load.Reported, load.Capacity}).To(Equal([]any{1, 3.0, true, 5.0}))

	// Another proxy knows only its requests and permits.
	l.gate.Store(nil)
	lm.requests[1] = &permitRequest{memberLease: l}
	lm.permits[2] = &heldPermit{permitRequest: &permitRequest{memberLease: l}}
	load = lm.MemberLoad("d", m)
	g.Expect([]any{load.Own, load.Reported}).To(Equal([]any{2, false}))
}
