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

	stage Stage
	since time.Time
	asked time.Time
	rest  time.Time
	term  group.Term
	votes map[string]bool
	// succeeded tells that a member shows a later term than that of the suspected primary.
	succeeded bool
	// living are the watchers that have answered since the suspicion began.
	living map[string]bool
	// furthest is the longest log of a replica, and grown when it last grew.
	furthest group.Floor
	grown    time.Time
	claim    Claim
	fenced   map[string]group.State
	answered map[string]bool
	// again is when members are to be fenced again that gave no answer.
	again    map[string]time.Time
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
	return !found || v.Fence() > term || silentFor(v, r, now) >= rules.doubt(v, r.Member)
}

// silentFor returns how long a member has not answered, or 0 if it answered the
// last question: a member that is seldom asked is not silent.
func silentFor(v view.View, r view.Report, now time.Time) time.Duration {
	if !v.Silent(r.Member) {
		return 0
	}
	return now.Sub(r.Asked)
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
	m = m.noticeOthers(now, v).noticeGrowth(now, v)
	if e.Rival != nil {
		return m.yield(now, *e.Rival)
	}
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
	m.stage, m.votes, m.living, m.fenced, m.answered, m.again = Watching, nil, nil, nil, nil, nil
	m.chosen, m.target, m.caughtUp, m.majority = "", "", false, time.Time{}
	m.succeeded = false
	return m
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recovered tells whether the reason for the suspicion is gone: the primary has
// answered a question sent after it began, and no member has promised a later
// term. Once members have been fenced for this machine's claim, only a primary
// of that term or a later one counts.
func (m Machine) recovered(now time.Time, v view.View, primary view.Report) bool {
	if m.stage == Fencing || m.stage == Choosing {
		return primary.State.Term >= m.claim.Term
	}
	if m.target != "" || v.Fence() > v.Term() || now.Sub(primary.Asked) >= m.rules.suspect(v, primary.Member) {
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

// yield rests after another watcher's claim, so that its attempt can end, unless this
// machine's own claim outranks it. Those that have rested act one after the other.
func (m Machine) yield(now time.Time, rival Claim) (Machine, []Action) {
	attempting := m.stage == Fencing || m.stage == Choosing
	if attempting && m.claim.Token > rival.Token {
		return m, nil
	}
	rest := now.Add(m.rules.Attempt + time.Duration(max(m.place, 0))*m.rules.Stagger)
	if !attempting {
		m = m.idle()
		m.rest = rest
		return m, nil
	}
	return m.retreat(rest, ClaimLost)
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
	if r, found := v.Primary(); found {
		return silentFor(v, r, now) >= m.rules.suspect(v, r.Member)
	}
	return now.Sub(m.started) >= m.rules.Suspect
}

func (m Machine) watch(now time.Time, v view.View) (Machine, []Action) {
	if !m.suspects(now, v) {
		if target, due := m.successor(now, v); due {
			return m.handOver(now, v, target)
		}
		return m.repair(now, v)
	}
	m.stage, m.since, m.asked, m.term = Polling, now, now, v.Term()
	m.votes, m.living = map[string]bool{m.self: true}, map[string]bool{m.self: true}
	suspected := Note{Kind: Suspected, Term: m.term}
	return m, []Action{{Note: &suspected}, {AskWatchers: &AskWatchers{Term: m.term}}}
}

func (m Machine) poll(now time.Time, v view.View, e Event) (Machine, []Action) {
	if v.Term() > m.term && !m.succeeded {
		// Another watcher has promoted: the primary of the later term, which may not have
		// answered yet, is given its time.
		m.succeeded, m.rest = true, later(m.rest, now.Add(m.rules.Suspect))
	}
	if m.succeeded && !now.Before(m.rest) {
		return m.idle(), nil
	}
	if e.Vote != nil && e.Vote.Term == m.term {
		m.votes = maps.Clone(m.votes)
		m.votes[e.Vote.From] = e.Vote.Down
		m.living = maps.Clone(m.living)
		m.living[e.Vote.From] = true
	}
	if m.agreed() && m.turn(now, m.place) || m.deserted(now) && m.turn(now, m.livingAhead()) {
		m.stage, m.since = Claiming, now
		return m, []Action{{ClaimTerm: &ClaimTerm{After: m.lastTerm(v)}}}
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

// deserted tells whether most watchers have ended, as far as can be seen, and a majority
// of those that live has found the primary silent. A watcher that is cut off from the
// others sees the same: while a replica still receives entries, somebody is served.
func (m Machine) deserted(now time.Time) bool {
	if m.rules.Desert == 0 || now.Sub(m.since) < m.rules.Desert || now.Sub(m.grown) < m.rules.Desert {
		return false
	}
	down := 0
	for w := range m.living {
		if m.votes[w] {
			down++
		}
	}
	return down >= group.Majority(len(m.living))
}

// noticeGrowth notes when a replica last received an entry.
func (m Machine) noticeGrowth(now time.Time, v view.View) Machine {
	for _, member := range v.Members() {
		r, heard := v.Report(member.Name)
		if heard && r.State.Role == group.Replica && m.furthest.Less(r.State.LastEntry()) {
			m.furthest, m.grown = r.State.LastEntry(), now
		}
	}
	return m
}

// turn tells whether it is this watcher's time to claim, if so many others come before it.
func (m Machine) turn(now time.Time, ahead int) bool {
	if now.Before(m.rest) {
		return false
	}
	return now.Sub(m.since) >= time.Duration(ahead)*m.rules.Stagger
}

// livingAhead returns how many watchers that answer come before this one.
func (m Machine) livingAhead() int {
	ahead := 0
	for _, w := range m.watchers[:m.place] {
		if m.living[w] {
			ahead++
		}
	}
	return ahead
}

// repair makes members that stayed in an earlier term follow the primary. The
// first watcher acts at once, each further one later.
func (m Machine) repair(now time.Time, v view.View) (Machine, []Action) {
	primary, found := v.Primary()
	if !found || primary.State.Fenced() {
		return m, nil
	}
	if m.rules.SharedTerms {
		// Whoever leads feeds the others; one that has made a promise shows it, and the
		// attempt that it made it for is carried on.
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
