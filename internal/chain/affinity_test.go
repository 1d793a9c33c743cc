package chain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// TestReadPrefersConnectedMember guards against opening a connection for a customer while another
// member that is as near has an idle one, and against a farther member that is preferred for it.
func TestReadPrefersConnectedMember(t *testing.T) {
	g := NewWithT(t)
	const here = "here"
	members := []view.Member{{Name: "far", Region: "elsewhere"}, {Name: "p", Region: here}, {Name: "x", Region: here}, {Name: "y", Region: here}, {Name: "z", Region: here}}
	v, now := view.New("d", members), time.Now()
	for _, m := range members {
		state := group.State{Role: group.Replica, Term: 1, EntryTerm: 1, Received: 10, Applied: 10}
		if m.Name == "p" {
			state.Role = group.Primary
		}
		v = v.WithReport(view.Report{Member: m.Name, SentAt: now, ReceivedAt: now, State: state})
	}
	finder := chain.Finder{Region: here, ReplicaWait: time.Second}
	order := func(rotation uint64, connected ...string) (names []string) {
		requirement := chain.ReadRequirement{Database: "d", HasToken: true, Arrived: now, Rotation: rotation}
		if len(connected) > 0 {
			requirement.Connected = func(m view.Member) bool { return m.Name == connected[0] || m.Name == connected[len(connected)-1] }
		}
		found, err := finder.Find(t.Context(), fixedView{v}, requirement)
		g.Expect(err).NotTo(HaveOccurred())
		for _, m := range found.Members {
			names = append(names, m.Name)
		}
		return names
	}
	g.Expect(order(0)).To(Equal([]string{"x", "y", "z", "p", "far"}))
	g.Expect(order(2)).To(Equal([]string{"z", "x", "y", "p", "far"}))
	g.Expect(order(3)).To(Equal([]string{"x", "y", "z", "p", "far"}), "the three nearest take turns")
	for rotation := range uint64(5) {
		g.Expect(order(rotation, "z")[0]).To(Equal("z"))
		g.Expect(order(rotation, "x", "z")[2:]).To(Equal([]string{"y", "p", "far"}))
		g.Expect(order(rotation, "far", "p")[3:]).To(Equal([]string{"p", "far"}))
	}
}

// TestRequestsOfACustomerPreferTheSameOwner guards against requests of one customer that rotate
// over the owners, each of which would open connections for it.
func TestRequestsOfACustomerPreferTheSameOwner(t *testing.T) {
	g := NewWithT(t)
	turn := chain.RelayTurn(chain.Caller{ID: 1, Customer: "acme"})
	g.Expect(chain.RelayTurn(chain.Caller{ID: 2, Customer: "acme"})).To(Equal(turn))
	g.Expect(chain.RelayTurn(chain.Caller{ID: 1, Customer: "zenith"})).NotTo(Equal(turn))
	g.Expect(chain.RelayTurn(chain.Caller{ID: 2})).To(BeEquivalentTo(2), "callers without a customer take turns")
}
