package chain_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// fixedView is an Awaiter whose view does not change.
type fixedView struct{ view.View }

func (f fixedView) Await(_ context.Context, ready func(view.View) bool) (view.View, bool) {
	return f.View, ready(f.View)
}

// replicatedView returns the view of a database with a primary and replicas in one region,
// and one replica in another, which have all applied the same position.
func replicatedView(replicas int) fixedView {
	list := []view.Member{{Name: "primary", Region: "north"}, {Name: "far", Region: "south"}}
	for i := range replicas {
		list = append(list, view.Member{Name: fmt.Sprint("replica-", i), Region: "north"})
	}
	v, now := view.New("d", list), time.Now()
	for _, m := range list {
		state := group.State{Role: group.Replica, Term: 1, EntryTerm: 1, Received: 10, Applied: 10}
		if m.Name == "primary" {
			state.Role = group.Primary
		}
		v = v.WithReport(view.Report{Member: m.Name, SentAt: now, ReceivedAt: now, State: state})
	}
	return fixedView{v}
}

func firstReader(g *WithT, f chain.Finder, v fixedView, rotation uint64) string {
	f.Region = "north"
	found, err := f.Find(context.Background(), v, chain.ReadRequirement{Database: "d", HasToken: true, Rotation: rotation})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found.Members).To(HaveLen(len(v.Members())))
	return found.Members[0].Name
}

// TestRotationIsEvenAmongNearestMembers covers idle members. It guards against a rotation
// over all members, which gave the replica behind farther members their turns as well.
func TestRotationIsEvenAmongNearestMembers(t *testing.T) {
	g := NewWithT(t)
	reads := make(map[string]int)
	for rotation := range uint64(300) {
		reads[firstReader(g, chain.Finder{}, replicatedView(3), rotation)]++
	}
	g.Expect(reads).To(Equal(map[string]int{"replica-0": 100, "replica-1": 100, "replica-2": 100}))
}

// TestLoadDecidesOnlyAmongNearestMembers covers a region whose replicas are all busier than a
// farther member and the primary: the rules on distance come first.
func TestLoadDecidesOnlyAmongNearestMembers(t *testing.T) {
	g := NewWithT(t)
	f := chain.Finder{Choose: func(_ chain.ReadRequirement, equal []view.Member) (int, even.Reason) {
		g.Expect(equal).To(HaveLen(2))
		return 1, even.OwnWork
	}}
	for rotation := range uint64(4) {
		g.Expect(firstReader(g, f, replicatedView(2), rotation)).To(Equal("replica-1"))
	}
}
