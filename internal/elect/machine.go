package elect

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Machine is the state of one watcher for one database. It is immutable.
type Machine struct {
	rules    Rules
	self     string
	watchers []string
	place    int

	stage    Stage
	since    time.Time
	asked    time.Time
	rest     time.Time
	term     group.Term
	votes    map[string]bool
	claim    Claim
	fenced   map[string]group.State
	answered map[string]bool
	majority time.Time
	target   string
	caughtUp bool
	chosen   string
	foreign  group.Term
	repaired time.Time
	started  time.Time
}

// New returns the machine of a watcher. The list of watchers is in the order of
// their claim on the database and holds self. A machine that has just started
// gives the primary the full time to answer.
func New(rules Rules, self string, watchers []string, now time.Time) Machine {
	return Machine{
		rules:    rules,
		self:     self,
		watchers: slices.Clone(watchers),
		place:    slices.Index(watchers, self),
		started:  now,
	}
}

// WithWatchers returns the machine with another list of watchers.
func (m Machine) WithWatchers(watchers []string) Machine {
	m.watchers = slices.Clone(watchers)
	m.place = slices.Index(watchers, m.self)
	return m
}

// Stage returns how far the machine has come.
func (m Machine) Stage() Stage { return m.stage }

// Judge answers another watcher: whether the primary of a term has been silent
// to this proxy, or can no longer confirm writes because members have promised a
// later term. A proxy that knows a primary of a later term says no.
func Judge(rules Rules, v view.View, term group.Term, now time.Time) bool {
	if v.Term() != term {
		return false
	}
	r, found := v.Primary()
	return !found || v.Fence() > term || now.Sub(r.Asked) >= rules.Doubt
}

// Step advances the machine by one event, or by the passing of time if the
// event is zero.
func (m Machine) Step(now time.Time, v view.View, e Event) (Machine, []Action) {
	if e.Handover != nil && m.stage == Watching {
		return m.handOver(now, v, e.Handover.Target)
	}
	if m.place < 0 && m.target == "" {
		return m.idle(), nil
	}
	m = m.noticeOthers(now, v)
	primary, known := v.Primary()
	if known && m.stage != Watching && m.recovered(now, v, primary) {
		ended := Note{Kind: SuspicionEnded, Term: primary.State.Term, Member: primary.Member}
		return m.idle(), []Action{{Note: &ended}}
	}
	switch m.stage {
	case Watching:
		return m.watch(now, v)
	case Polling:
		return m.poll(now, v, e)
	case Claiming:
		return m.claiming(now, v, e)
	case Fencing:
		return m.fencing(now, v, e)
	default:
		return m.choosing(now, e)
	}
}

func (m Machine) idle() Machine {
	m.stage, m.votes, m.fenced, m.answered = Watching, nil, nil, nil
	m.chosen, m.target, m.caughtUp, m.majority = "", "", false, time.Time{}
	return m
}

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
		if best == "" || bestLog.Less(r.State.Log()) {
			best, bestLog = member.Name, r.State.Log()
		}
	}
	return best, best != "" && m.place == 0
}

func (m Machine) handOver(now time.Time, v view.View, target string) (Machine, []Action) {
	m.stage, m.since, m.term, m.target = Claiming, now, v.Term(), target
	return m, []Action{{ClaimTerm: &ClaimTerm{After: v.Fence()}}}
}

// recovered tells whether the reason for the suspicion is gone: the primary has
// answered a question sent after it began, and no member has promised a later
// term. Once members have been fenced for this machine's claim, only a primary
// of that term or a later one counts.
func (m Machine) recovered(now time.Time, v view.View, primary view.Report) bool {
	if m.stage == Fencing || m.stage == Choosing {
		return primary.State.Term >= m.claim.Term
	}
	if m.target != "" || v.Fence() > v.Term() || now.Sub(primary.Asked) >= m.rules.Suspect {
		return false
	}
	return primary.Asked.After(m.since) || primary.State.Term > m.term
}

// noticeOthers rests after the first sight of a promise that is not this
// machine's own, so that another watcher's attempt can end.
func (m Machine) noticeOthers(now time.Time, v view.View) Machine {
	fence := v.Fence()
	if fence <= v.Term() || fence <= m.foreign || fence == m.claim.Term {
		return m
	}
	m.foreign = fence
	m.rest = now.Add(m.rules.Attempt)
	return m
}

// suspects tells whether the primary has been silent for too long, or can no
// longer confirm writes because members have promised a later term.
func (m Machine) suspects(now time.Time, v view.View) bool {
	if v.Term() == 0 || now.Before(m.rest) {
		return false
	}
	if v.Fence() > v.Term() {
		return true
	}
	since := m.started
	if r, found := v.Primary(); found {
		since = r.Asked
	}
	return now.Sub(since) >= m.rules.Suspect
}

func (m Machine) watch(now time.Time, v view.View) (Machine, []Action) {
	if !m.suspects(now, v) {
		if target, due := m.successor(now, v); due {
			return m.handOver(now, v, target)
		}
		return m.repair(now, v)
	}
	m.stage, m.since, m.asked, m.term = Polling, now, now, v.Term()
	m.votes = map[string]bool{m.self: true}
	suspected := Note{Kind: Suspected, Term: m.term}
	return m, []Action{{Note: &suspected}, {AskWatchers: &AskWatchers{Term: m.term}}}
}

func (m Machine) poll(now time.Time, v view.View, e Event) (Machine, []Action) {
	if e.Vote != nil && e.Vote.Term == m.term {
		m.votes = maps.Clone(m.votes)
		m.votes[e.Vote.From] = e.Vote.Down
	}
	if m.agreed() && m.turn(now) {
		m.stage, m.since = Claiming, now
		return m, []Action{{ClaimTerm: &ClaimTerm{After: v.Fence()}}}
	}
	if now.Sub(m.asked) < m.rules.Repoll {
		return m, nil
	}
	m.asked = now
	m.votes = map[string]bool{m.self: true}
	return m, []Action{{AskWatchers: &AskWatchers{Term: m.term}}}
}

// agreed tells whether a majority of all watchers has found the primary silent.
func (m Machine) agreed() bool {
	down := 0
	for _, w := range m.watchers {
		if m.votes[w] {
			down++
		}
	}
	return down >= group.Majority(len(m.watchers))
}

// turn tells whether it is this watcher's time to claim.
func (m Machine) turn(now time.Time) bool {
	if now.Before(m.rest) {
		return false
	}
	return now.Sub(m.since) >= time.Duration(m.place)*m.rules.Stagger
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
	if primary, found := v.Primary(); found && m.target != "" {
		return m, append(actions, m.fence(primary.Member))
	}
	return m, append(actions, m.fenceRest(v)...)
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
		m = m.withAnswer(now, v, *a)
	}
	if now.Sub(m.since) >= m.rules.Attempt {
		return m.giveUp(now)
	}
	if m.target != "" && !m.caughtUp && len(m.fenced) > 0 {
		return m.handing(v)
	}
	all := len(m.answered) == len(v.Members())
	if m.majority.IsZero() || (!all && now.Sub(m.majority) < m.rules.Grace) {
		return m, nil
	}
	m.stage, m.chosen = Choosing, m.longest(v)
	return m, []Action{{Promote: &Order{Member: m.chosen, Claim: m.claim}}}
}

// withAnswer records a member's promise, or that it gave no answer.
func (m Machine) withAnswer(now time.Time, v view.View, a Answer) Machine {
	m.answered = maps.Clone(m.answered)
	m.answered[a.Member] = true
	if a.Failed {
		return m
	}
	m.fenced = maps.Clone(m.fenced)
	m.fenced[a.Member] = a.State
	if m.majority.IsZero() && len(m.fenced) >= group.Majority(len(v.Members())) {
		m.majority = now
	}
	return m
}

// handing waits, with the old primary fenced, until the target has received all
// of its log; then it fences the other members.
func (m Machine) handing(v view.View) (Machine, []Action) {
	target, heard := v.Report(m.target)
	if !heard {
		return m, nil
	}
	for _, s := range m.fenced {
		if target.State.Log().Less(s.Log()) {
			return m, nil
		}
	}
	m.caughtUp = true
	return m, m.fenceRest(v)
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
		log := m.fenced[best].Log()
		if best == "" || log.Less(s.Log()) || (log == s.Log() && rank > bestRank) {
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

func (m Machine) choosing(now time.Time, e Event) (Machine, []Action) {
	if a := e.Answer; a != nil && a.Member == m.chosen && a.Term == m.claim.Term && !a.Failed {
		if a.Refused {
			return m.retreat(now.Add(m.rules.Attempt), AttemptFailed)
		}
		if a.State.Role == group.Primary && a.State.Term == m.claim.Term {
			return m.retreat(now.Add(m.rules.Attempt), MemberPromoted)
		}
	}
	if now.Sub(m.since) >= m.rules.Attempt {
		return m.giveUp(now)
	}
	return m, nil
}

// repair makes members that stayed in an earlier term follow the primary. The
// first watcher acts at once, each further one later.
func (m Machine) repair(now time.Time, v view.View) (Machine, []Action) {
	primary, found := v.Primary()
	if !found || primary.State.Fenced() {
		return m, nil
	}
	leader, _ := v.Member(primary.Member)
	var actions []Action
	for _, member := range v.Members() {
		r, heard := v.Report(member.Name)
		if !heard || v.Silent(member.Name) || r.State.Term >= primary.State.Term {
			continue
		}
		actions = append(actions, Action{Follow: &Follow{
			Member: member.Name, Term: primary.State.Term, Leader: leader, Starts: primary.State.Starts,
		}})
	}
	if len(actions) == 0 {
		m.repaired = now
		return m, nil
	}
	if now.Sub(m.repaired) < time.Duration(m.place)*m.rules.Stagger+m.rules.Grace {
		return m, nil
	}
	m.repaired = now
	return m, actions
}
