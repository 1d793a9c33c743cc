package elect

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// successor returns the member to which the place of a leaving primary is to be
// handed over: of those that stay and answer, the one with the longest log. Only
// the first watcher acts; if it is dead, the hosts' list will name another.
func (m Machine) successor(now time.Time, v view.View) (string, bool) {
	primary, found := v.Primary()
	if !found || now.Before(m.rest) {
		return "", false
	}
	if leader, _ := v.Member(primary.Member); !leader.Leaving {
		return "", false
	}
	best := ""
	var bestLog group.Floor
	for _, member := range v.Members() {
		r, heard := v.Report(member.Name)
		if !heard || member.Leaving || v.Silent(member.Name) || r.State.Term != primary.State.Term {
			continue
		}
		if best == "" || bestLog.Less(r.State.LastEntry()) {
			best, bestLog = member.Name, r.State.LastEntry()
		}
	}
	return best, best != "" && m.place == 0
}

func (m Machine) handOver(now time.Time, v view.View, target string) (Machine, []Action) {
	m.stage, m.since, m.term, m.target = Claiming, now, v.Term(), target
	return m, []Action{{ClaimTerm: &ClaimTerm{After: m.lastTerm(v)}}}
}

// lastTerm returns the term after which the next one is claimed.
func (m Machine) lastTerm(v view.View) group.Term {
	if m.rules.SharedTerms {
		return v.Term()
	}
	return v.Fence()
}

func (m Machine) claiming(now time.Time, v view.View, e Event) (Machine, []Action) {
	if e.Claimed == nil {
		if now.Sub(m.since) < m.rules.Attempt {
			return m, nil
		}
		return m.retreat(now.Add(m.rules.Repoll), ClaimLost)
	}
	if !e.Claimed.Won {
		pause := m.rules.Repoll
		if e.Claimed.Conflict {
			pause = m.rules.Attempt
		}
		return m.retreat(now.Add(pause), ClaimLost)
	}
	m.stage, m.since, m.claim = Fencing, now, e.Claimed.Claim
	m.fenced, m.answered = make(map[string]group.State), make(map[string]bool)
	won := Note{Kind: ClaimWon, Term: m.claim.Term}
	actions := []Action{{Note: &won}}
	if m.rules.SharedTerms {
		claim := m.claim
		actions = append(actions, Action{TellClaim: &claim})
	}
	primary, found := v.Primary()
	switch {
	case !found || m.target == "":
		actions = append(actions, m.fenceRest(v)...)
	case m.rules.SharedTerms:
		actions = append(actions, m.fenceOthers(v, primary.Member)...)
	default:
		actions = append(actions, m.fence(primary.Member))
	}
	return m, actions
}

// fenceOthers fences the members that neither lead nor are to lead.
func (m Machine) fenceOthers(v view.View, primary string) []Action {
	var actions []Action
	for _, member := range v.Members() {
		if member.Name != primary && member.Name != m.target {
			actions = append(actions, m.fence(member.Name))
		}
	}
	return actions
}

func (m Machine) fence(member string) Action {
	return Action{Fence: &Order{Member: member, Claim: m.claim}}
}

// fenceRest fences every member that has not answered yet.
func (m Machine) fenceRest(v view.View) []Action {
	var actions []Action
	for _, member := range v.Members() {
		if !m.answered[member.Name] {
			actions = append(actions, m.fence(member.Name))
		}
	}
	return actions
}

// retreat ends an attempt and rests until the given time. The next attempt
// claims a later term.
func (m Machine) retreat(until time.Time, kind NoteKind) (Machine, []Action) {
	note := Note{Kind: kind, Term: max(m.claim.Term, m.term), Member: m.chosen}
	m.rest = until
	return m.idle(), []Action{{Note: &note}}
}

// giveUp ends an attempt whose orders went unanswered.
func (m Machine) giveUp(now time.Time) (Machine, []Action) {
	return m.retreat(now.Add(time.Duration(max(m.place, 0))*m.rules.Stagger), AttemptFailed)
}

func (m Machine) fencing(now time.Time, v view.View, e Event) (Machine, []Action) {
	if a := e.Answer; a != nil && a.Term == m.claim.Term {
		if a.Refused {
			return m.retreat(now.Add(m.rules.Attempt), AttemptFailed)
		}
		if m.overtaken(*a) {
			return m.retreat(now.Add(m.rules.Attempt), ClaimLost)
		}
		m = m.withAnswer(now, v, *a)
	}
	if now.Sub(m.since) >= m.rules.Attempt {
		return m.giveUp(now)
	}
	if m, again := m.fenceAgain(now); len(again) > 0 {
		return m, again
	}
	if m.target != "" && m.rules.SharedTerms {
		return m.handingWarm(v)
	}
	if m.target != "" && !m.caughtUp && len(m.fenced) > 0 {
		return m.handing(v)
	}
	all := len(m.answered) == len(v.Members())
	if m.majority.IsZero() || (!all && now.Sub(m.majority) < m.rules.Grace) || m.leased(now, v) {
		return m, nil
	}
	m.stage, m.chosen = Choosing, m.longest(v)
	return m, []Action{{Promote: &Order{Member: m.chosen, Claim: m.claim}}}
}

// overtaken tells whether a member promised nothing, since the term has begun already.
func (m Machine) overtaken(a Answer) bool {
	return m.rules.SharedTerms && !a.Failed && a.State.Term >= m.claim.Term
}

// leased tells whether reads may still rest on the former primary.
func (m Machine) leased(now time.Time, v view.View) bool {
	primary, found := v.Primary()
	if found {
		_, promised := m.fenced[primary.Member]
		if promised {
			return false
		}
	}
	return now.Sub(m.majority) < m.rules.Lease
}

// withAnswer records a member's promise, or that it gave no answer.
func (m Machine) withAnswer(now time.Time, v view.View, a Answer) Machine {
	m.answered = maps.Clone(m.answered)
	m.answered[a.Member] = true
	if a.Failed {
		m.again = maps.Clone(m.again)
		if m.again == nil {
			m.again = make(map[string]time.Time)
		}
		m.again[a.Member] = now.Add(m.rules.Repoll)
		return m
	}
	m.fenced = maps.Clone(m.fenced)
	m.fenced[a.Member] = a.State
	if m.majority.IsZero() && len(m.fenced) >= group.Majority(len(v.Members())) {
		m.majority = now
	}
	return m
}

// fenceAgain fences the members again that gave no answer a while ago: one may have had
// no connection to spare, or its answer was lost.
func (m Machine) fenceAgain(now time.Time) (Machine, []Action) {
	if !m.rules.SharedTerms {
		return m, nil
	}
	var actions []Action
	for _, member := range slices.Sorted(maps.Keys(m.again)) {
		if now.Before(m.again[member]) {
			continue
		}
		m.again = maps.Clone(m.again)
		delete(m.again, member)
		actions = append(actions, m.fence(member))
	}
	return m, actions
}

// handing waits, with the old primary fenced, until the target has received all
// of its log; then it fences the other members.
func (m Machine) handing(v view.View) (Machine, []Action) {
	target, heard := v.Report(m.target)
	if !heard {
		return m, nil
	}
	for _, s := range m.fenced {
		if target.State.LastEntry().Less(s.LastEntry()) {
			return m, nil
		}
	}
	m.caughtUp = true
	return m, m.fenceRest(v)
}

// handingWarm waits, with the primary in service and the other replicas fenced, until
// the target has received all that these have. From then on it receives whatever is
// acknowledged, so that it can be promoted.
func (m Machine) handingWarm(v view.View) (Machine, []Action) {
	target, heard := v.Report(m.target)
	if !heard || len(m.fenced) < len(v.Members())-2 {
		return m, nil
	}
	for _, s := range m.fenced {
		if target.State.LastEntry().Less(s.LastEntry()) {
			return m, nil
		}
	}
	m.stage, m.chosen = Choosing, m.target
	return m, []Action{{Promote: &Order{Member: m.chosen, Claim: m.claim}}}
}

// longest returns the fenced member with the longest log. Of equal ones it
// prefers the target of a handover, then the primary so far, then the first in
// the database's list that is not leaving.
func (m Machine) longest(v view.View) string {
	best, bestRank := "", 0
	for _, member := range v.Members() {
		s, found := m.fenced[member.Name]
		if !found {
			continue
		}
		rank := m.preference(v, member)
		log := m.fenced[best].LastEntry()
		if best == "" || log.Less(s.LastEntry()) || (log == s.LastEntry() && rank > bestRank) {
			best, bestRank = member.Name, rank
		}
	}
	return best
}

func (m Machine) preference(v view.View, member view.Member) int {
	primary, found := v.Primary()
	switch {
	case member.Name == m.target:
		return 3
	case found && primary.Member == member.Name && m.target == "":
		return 2
	case !member.Leaving:
		return 1
	default:
		return 0
	}
}

// afterRefusal returns how long to rest after a member refused to be promoted. Where
// members promise to every promoter, either another claim outranks this one, which then
// shows, or the member has ended.
func (m Machine) afterRefusal() time.Duration {
	if m.rules.SharedTerms {
		return m.rules.Stagger * time.Duration(max(m.place, 0)+1)
	}
	return m.rules.Attempt
}

// inForce tells whether a term of a primary carries the claim out.
func (m Machine) inForce(term group.Term) bool {
	return term == m.claim.Term || (m.rules.SharedTerms && term > m.claim.Term)
}

func (m Machine) choosing(now time.Time, e Event) (Machine, []Action) {
	if a := e.Answer; a != nil && a.Member == m.chosen && a.Term == m.claim.Term && !a.Failed {
		if a.Refused {
			return m.retreat(now.Add(m.afterRefusal()), AttemptFailed)
		}
		if a.State.Role == group.Primary && m.inForce(a.State.Term) {
			return m.retreat(now.Add(m.rules.Attempt), MemberPromoted)
		}
	}
	if now.Sub(m.since) >= m.rules.Attempt {
		return m.giveUp(now)
	}
	return m, nil
}
