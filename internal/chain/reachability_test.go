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

// healthyView returns the view of a database whose primary and replica answered just now.
func healthyView() view.View {
	v := view.New("d", []view.Member{{Name: "a"}, {Name: "b"}})
	now := time.Now()
	for name, role := range map[string]group.Role{"a": group.Primary, "b": group.Replica} {
		v = v.WithReport(view.Report{Member: name, SentAt: now, ReceivedAt: now, State: group.State{Role: role, Term: 1, EntryTerm: 1, Received: 10, Applied: 10}})
	}
	return v
}

func read(age time.Duration) *chain.Request {
	return &chain.Request{Work: sheet.Row{Access: sheet.Read, StalenessBound: age}}
}

func write() *chain.Request { return &chain.Request{Work: sheet.Row{Access: sheet.Write}} }

// An owner that is partitioned from the members of a database must pass requests to other
// owners, which may reach them.
func TestCannotServeWithoutReachableMembers(t *testing.T) {
	g := NewWithT(t)
	v := healthyView()
	g.Expect(chain.CannotServe(v, write())).To(BeFalse())
	v = v.WithSilence("a")
	g.Expect(chain.CannotServe(v, write())).To(BeFalse(), "the primary may have failed: this proxy waits for its successor")
	g.Expect(chain.CannotServe(v, read(0))).To(BeFalse(), "reads without a staleness bound wait as well")
	g.Expect(chain.CannotServe(v, read(time.Nanosecond))).To(BeTrue(), "no proof satisfies the staleness bound, and another host may reach the primary")
	v = v.WithSilence("b")
	g.Expect(chain.CannotServe(v, write())).To(BeTrue())
	g.Expect(chain.CannotServe(view.New("d", []view.Member{{Name: "a"}}), write())).To(BeFalse(), "no member has been asked yet")
}

// The log entry of a read at the primary must say what was known of each replica that
// could not serve it.
func TestSkippedMembersExplainReadAtPrimary(t *testing.T) {
	g := NewWithT(t)
	v := healthyView()
	b, _ := v.Report("b")
	g.Expect(chain.SkippedMembers(v, []view.Member{{Name: "a"}}, b.SentAt.Add(3*time.Second))).To(Equal([]string{"b applied 1:10, polled 3000 ms ago"}))
	g.Expect(chain.SkippedMembers(v, v.Members(), time.Now())).To(BeEmpty())
	g.Expect(chain.SkippedMembers(view.New("d", []view.Member{{Name: "a"}, {Name: "b"}}), []view.Member{{Name: "a"}}, time.Now())).To(Equal([]string{"b has not answered yet"}))
}
