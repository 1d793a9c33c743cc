package chain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// seen returns the view of a database of a primary and a replica that answered just now.
func seen() view.View {
	v := view.New("d", []view.Member{{Name: "a"}, {Name: "b"}})
	now := time.Now()
	for name, role := range map[string]group.Role{"a": group.Primary, "b": group.Replica} {
		v = v.WithReport(view.Report{Member: name, SentAt: now, ReceivedAt: now, State: group.State{Role: role, Term: 1, EntryTerm: 1, Received: 10, Applied: 10}})
	}
	return v
}

func read(age time.Duration) *chain.Request {
	return &chain.Request{Work: sheet.Row{Access: sheet.Read, AcceptedAge: age}}
}

func write() *chain.Request { return &chain.Request{Work: sheet.Row{Access: sheet.Write}} }

// TestAHostThatReachesNoMemberSendsRequestsOn is a home that is cut off from a database,
// while other homes are not.
func TestAHostThatReachesNoMemberSendsRequestsOn(t *testing.T) {
	g := NewWithT(t)
	v := seen()
	g.Expect(chain.OutOfSight(v, write())).To(BeFalse())
	v = v.WithSilence("a")
	g.Expect(chain.OutOfSight(v, write())).To(BeFalse(), "the primary may have ended: its successor is awaited here")
	g.Expect(chain.OutOfSight(v, read(0))).To(BeFalse(), "so it is for reads that must see everything")
	g.Expect(chain.OutOfSight(v, read(time.Nanosecond))).To(BeTrue(), "nothing proves a read so fresh, and another host may reach the primary")
	v = v.WithSilence("b")
	g.Expect(chain.OutOfSight(v, write())).To(BeTrue())
	g.Expect(chain.OutOfSight(view.New("d", []view.Member{{Name: "a"}}), write())).To(BeFalse(), "no member has been asked yet")
}

// TestAReadAtThePrimaryTellsWhyNoReplicaServedIt names what was known of each.
func TestAReadAtThePrimaryTellsWhyNoReplicaServedIt(t *testing.T) {
	g := NewWithT(t)
	v := seen()
	b, _ := v.Report("b")
	g.Expect(chain.Passed(v, []view.Member{{Name: "a"}}, b.SentAt.Add(3*time.Second))).To(Equal([]string{"b applied 1:10, asked 3000 ms ago"}))
	g.Expect(chain.Passed(v, v.Members(), time.Now())).To(BeEmpty())
	g.Expect(chain.Passed(view.New("d", []view.Member{{Name: "a"}, {Name: "b"}}), []view.Member{{Name: "a"}}, time.Now())).To(Equal([]string{"b has not answered yet"}))
}
