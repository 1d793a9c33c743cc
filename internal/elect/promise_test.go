package elect_test

import (
	"fmt"
	"testing"
	"time"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// promotionModel is one promoter and the members of a database. It explores every order in
// which fence orders are answered or lost, time passes and the handover target catches up.
type promotionModel struct {
	t       *testing.T
	rules   elect.Rules
	members []view.Member
	target  string
}

// promotionState is one state of the model. Member m0 is the primary.
type promotionState struct {
	machine  elect.Machine
	view     view.View
	now      time.Time
	pending  []string
	promised map[string]time.Time
	caughtUp bool
	path     string
}

// TestNoPromotionWhileTheFormerPrimaryMayServe guards against a stale read: a primary that
// leads on after its successor was promoted answers a read for which a proxy still holds a
// proof of leadership. The proof may be a commit that a replica without a promise
// acknowledged. It also guards against a promotion that loses an entry which only the
// primary and a replica without a promise hold.
func TestNoPromotionWhileTheFormerPrimaryMayServe(t *testing.T) {
	for _, count := range []int{3, 4, 5} {
		for _, target := range []string{"", "m1"} {
			for _, deposes := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d members, target %q, deposes %t", count, target, deposes), func(t *testing.T) {
					p := &promotionModel{t: t, rules: elect.RulesFor(time.Second), target: target}
					p.rules.SharedTerms, p.rules.Lease, p.rules.PromotionDeposes = true, time.Second, deposes
					for i := range count {
						p.members = append(p.members, view.Member{Name: fmt.Sprint("m", i)})
					}
					if promotions := p.explore(p.claimed(), 8-count/2); promotions == 0 {
						t.Error("no order of events led to a promotion")
					}
				})
			}
		}
	}
}

// claimed returns the state in which the promoter has won its claim.
func (p *promotionModel) claimed() promotionState {
	start := time.Unix(0, 0)
	s := promotionState{machine: elect.New(p.rules, "p1", []string{"p1"}, start), view: view.New("d", p.members), now: start, promised: map[string]time.Time{}}
	for i, m := range p.members {
		state := group.State{Role: group.Replica, Term: 1, EntryTerm: 1, Received: 10}
		switch {
		case i == 0:
			state.Role = group.Primary
		case m.Name == p.target:
			state.Received = 9
		}
		s.view = s.view.WithReport(view.Report{Member: m.Name, SentAt: start, ReceivedAt: start, State: state})
	}
	if p.target != "" {
		s = p.step(s, elect.Event{Handover: &elect.Handover{Target: p.target}})
	} else {
		s.view = s.view.WithSilence("m0")
		s.now = s.now.Add(time.Second)
		s = p.step(p.step(s, elect.Event{}), elect.Event{})
	}
	return p.step(s, elect.Event{Claimed: &elect.ClaimResult{Won: true, Claim: elect.Claim{Term: 2, Promoter: "p1"}}})
}

// step advances the machine, and checks a promotion that it orders.
func (p *promotionModel) step(s promotionState, e elect.Event) promotionState {
	var actions []elect.Action
	s.machine, actions = s.machine.Step(s.now, s.view, e)
	s.pending = append([]string(nil), s.pending...)
	for _, a := range actions {
		switch {
		case a.Fence != nil:
			s.pending = append(s.pending, a.Fence.Member)
		case a.Promote != nil:
			p.check(s, a.Promote.Member)
		}
	}
	return s
}

// promises counts the replicas other than the candidate that made no promise, and returns
// the time of the last promise of a replica.
func (p *promotionModel) promises(s promotionState, candidate string) (unpromised int, last time.Time) {
	for _, m := range p.members[1:] {
		at, promised := s.promised[m.Name]
		if !promised && m.Name != candidate {
			unpromised++
		}
		if promised && at.After(last) {
			last = at
		}
	}
	return unpromised, last
}

func (p *promotionModel) check(s promotionState, candidate string) {
	unpromised, last := p.promises(s, candidate)
	_, primaryPromised := s.promised["m0"]
	_, candidatePromised := s.promised[candidate]
	leaseOver := unpromised == 0 && candidatePromised && s.now.Sub(last) >= p.rules.Lease
	planned := p.target != "" && p.rules.PromotionDeposes
	if !primaryPromised && !leaseOver && !planned {
		p.t.Errorf("%s: %s is promoted while the former primary may serve reads", s.path, candidate)
	}
	// The candidate has the longest log of those that promised. An acknowledged entry is in
	// the primary's log and in that of a replica.
	holdsAll := candidatePromised && (unpromised == 0 || primaryPromised)
	inService := !candidatePromised && unpromised == 0 && s.caughtUp
	if !holdsAll && !inService {
		p.t.Errorf("%s: %s is promoted while entries may be missing", s.path, candidate)
	}
}

// explore applies every sequence of events of the given length, and returns the number of
// promotions that were ordered.
func (p *promotionModel) explore(s promotionState, depth int) (promotions int) {
	if s.machine.Stage() == elect.Promoting {
		return 1
	}
	if depth == 0 || p.t.Failed() {
		return 0
	}
	for i, member := range s.pending {
		next := s
		next.pending = append(append([]string(nil), s.pending[:i]...), s.pending[i+1:]...)
		promotions += p.explore(p.promise(next, member), depth-1)
		lost := next
		lost.path += " lost:" + member
		promotions += p.explore(p.step(lost, elect.Event{Answer: &elect.Answer{Member: member, Term: 2, Failed: true}}), depth-1)
	}
	if p.target != "" && !s.caughtUp {
		next := s
		next.caughtUp, next.now = true, s.now.Add(time.Millisecond)
		next.path += " caughtUp"
		next.view = s.view.WithReport(view.Report{Member: p.target, SentAt: next.now, ReceivedAt: next.now, State: group.State{Term: 1, EntryTerm: 1, Received: 10}})
		promotions += p.explore(p.step(next, elect.Event{}), depth-1)
	}
	next := s
	next.now = s.now.Add(600 * time.Millisecond)
	next.path += " 600ms"
	return promotions + p.explore(p.step(next, elect.Event{}), depth-1)
}

// promise delivers a member's promise: its state first, as the controller does.
func (p *promotionModel) promise(s promotionState, member string) promotionState {
	s.now = s.now.Add(time.Millisecond)
	s.path += " " + member
	promised := map[string]time.Time{member: s.now}
	for name, at := range s.promised {
		promised[name] = at
	}
	s.promised = promised
	r, _ := s.view.Report(member)
	state := r.State
	state.Role, state.Fence = group.Replica, 2
	s.view = s.view.WithReport(view.Report{Member: member, SentAt: s.now, ReceivedAt: s.now, State: state})
	s = p.step(s, elect.Event{})
	return p.step(s, elect.Event{Answer: &elect.Answer{Member: member, Term: 2, State: state}})
}
