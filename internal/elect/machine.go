package elect

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Machine is the election state of one voter for one database. It is immutable.
type Machine struct {
	rules  Rules
	self   string
	voters []string
	index  int

	stage            Stage
	stageStarted     time.Time
	votesRequestedAt time.Time
	idleUntil        time.Time
	term             group.Term
	votes            map[string]bool
	// superseded is set once a member reports a later term than that of the suspected
	// primary.
	superseded bool
	// responding holds the voters that have answered since the suspicion began.
	responding map[string]bool
	// longestReplicaLog is the end of the longest log of any replica, and replicaLogGrewAt
	// is when it last grew.
	longestReplicaLog group.Floor
	replicaLogGrewAt  time.Time
	claim             Claim
	// rival is the highest claim of another voter that was announced while this machine
	// claimed a term.
	rival Claim
	// former is the primary that the claim replaces, or empty if none was known.
	former   string
	fenced   map[string]group.State
	answered map[string]bool
	// promisedAt is when the promise of a fenced member was last received, and ordered
	// holds the members to which a fence order was sent or that need none.
	promisedAt map[string]time.Time
	ordered    map[string]bool
	// floor is the last entry of which the attempt knows: of the primary when the term was
	// claimed, and of every member that has promised.
	floor group.Floor
	// verified holds the members that have repeated their promise since the lease of the
	// former primary ended. It is nil before.
	verified map[string]bool
	// refenceAt holds, for each member that did not answer a fence order, when the order
	// is repeated.
	refenceAt        map[string]time.Time
	majorityFencedAt time.Time
	target           string
	caughtUp         bool
	candidate        string
	rivalFence       group.Term
	repairedAt       time.Time
	// reportedTerm is the highest term that any member has reported, and termSince is when one
	// did so first, or when the machine started.
	reportedTerm group.Term
	termSince    time.Time
}

// New returns the machine of a voter. The voters, which include self, are listed in the
// order in which they may claim a term of the database. The primary of a term that is new to
// the machine has the full SuspectAfter period to answer.
func New(rules Rules, self string, voters []string, now time.Time) Machine {
	return Machine{
		rules:     rules,
		self:      self,
		voters:    slices.Clone(voters),
		index:     slices.Index(voters, self),
		termSince: now,
	}
}

// WithVoters returns the machine with another list of voters.
func (m Machine) WithVoters(voters []string) Machine {
	m.voters = slices.Clone(voters)
	m.index = slices.Index(voters, m.self)
	return m
}

// Stage returns the current stage.
func (m Machine) Stage() Stage { return m.stage }

// PrimaryDown returns this proxy's vote for another voter: whether the primary of a term
// does not respond to this proxy, or can no longer confirm writes because members have
// promised a later term. A proxy that knows a later term votes false.
func PrimaryDown(rules Rules, v view.View, term group.Term, now time.Time) bool {
	if v.Term() != term {
		return false
	}
	r, found := v.Primary()
	if !found {
		return v.Fence() > term || !v.UnreportedBusySince(now.Add(-rules.VoteDownAfter))
	}
	return v.Fence() > term || unresponsiveFor(v, r, now) >= rules.voteDownAfter(v, r.Member)
}

// unresponsiveFor returns how long a member has not answered, or 0 if it answered the
// last query. A member that is rarely queried does not count as unresponsive.
func unresponsiveFor(v view.View, r view.Report, now time.Time) time.Duration {
	if !v.Silent(r.Member) {
		return 0
	}
	return now.Sub(r.SentAt)
}

// Step advances the machine by one event, or by the passing of time if the event is the
// zero value.
func (m Machine) Step(now time.Time, v view.View, e Event) (Machine, []Action) {
	if e.Handover != nil && m.stage == Watching {
		return m.startHandover(now, v, e.Handover.Target)
	}
	if m.index < 0 && m.target == "" {
		return m.reset(), nil
	}
	m = m.idleAfterRivalFence(now, v).recordReplicaLog(now, v).recordTerm(now, v)
	if e.Rival != nil {
		return m.yieldTo(now, *e.Rival)
	}
	primary, known := v.Primary()
	if known && m.stage != Watching && m.recovered(now, v, primary) {
		ended := Note{Kind: SuspicionEnded, Term: primary.State.Term, Member: primary.Member}
		return m.reset(), []Action{{Note: &ended}}
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
		return m.choosing(now, v, e)
	}
}

func (m Machine) reset() Machine {
	m.stage, m.votes, m.responding, m.fenced, m.answered, m.refenceAt = Watching, nil, nil, nil, nil, nil
	m.candidate, m.target, m.former, m.caughtUp, m.majorityFencedAt = "", "", "", false, time.Time{}
	m.superseded = false
	m.promisedAt, m.ordered, m.verified, m.floor, m.rival = nil, nil, nil, group.Floor{}, Claim{}
	return m
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recovered reports whether the reason for the suspicion no longer applies: the primary
// has answered a query sent after the suspicion began, and no member has promised a
// later term. Once members have been fenced for the claim of this machine, only a
// primary of the claimed term or a later one counts.
func (m Machine) recovered(now time.Time, v view.View, primary view.Report) bool {
	if m.stage == Fencing || m.stage == Promoting {
		return primary.State.Term >= m.claim.Term
	}
	if m.target != "" || v.Fence() > v.Term() || now.Sub(primary.SentAt) >= m.rules.suspectAfter(v, primary.Member) {
		return false
	}
	return primary.SentAt.After(m.stageStarted) || primary.State.Term > m.term
}

// idleAfterRivalFence keeps the machine idle for AttemptTimeout after it first observes
// a promise made for another voter's claim, so that the other voter's attempt can end.
func (m Machine) idleAfterRivalFence(now time.Time, v view.View) Machine {
	fence := v.Fence()
	if fence <= v.Term() || fence <= m.rivalFence || fence == m.claim.Term {
		return m
	}
	m.rivalFence = fence
	m.idleUntil = now.Add(m.rules.AttemptTimeout)
	return m
}

// yieldTo keeps the machine idle after another voter's claim, so that the other voter's
// attempt can end, unless this machine's own claim outranks it. The idle periods are
// staggered by the order of the voters, so that these act one after the other.
func (m Machine) yieldTo(now time.Time, rival Claim) (Machine, []Action) {
	attempting := m.stage == Fencing || m.stage == Promoting
	switch {
	case attempting && m.claim.Token > rival.Token:
		return m, nil
	case m.stage == Claiming:
		// This machine's claim may outrank the rival's and has then invalidated its token.
		if m.rival.Token < rival.Token {
			m.rival = rival
		}
		return m, nil
	}
	idleUntil := m.idleAfterRival(now)
	if !attempting {
		m = m.reset()
		m.idleUntil = idleUntil
		return m, nil
	}
	return m.abandon(idleUntil, ClaimLost)
}

// idleAfterRival returns until when the machine leaves the database to another voter.
func (m Machine) idleAfterRival(now time.Time) time.Time {
	return now.Add(m.rules.AttemptTimeout + time.Duration(max(m.index, 0))*m.rules.Stagger)
}

// suspectsPrimary reports whether the primary has not responded for too long, or can no
// longer confirm writes because members have promised a later term.
func (m Machine) suspectsPrimary(now time.Time, v view.View) bool {
	if v.Term() == 0 || now.Before(m.idleUntil) {
		return false
	}
	if v.Fence() > v.Term() {
		return true
	}
	if r, found := v.Primary(); found {
		return unresponsiveFor(v, r, now) >= m.rules.suspectAfter(v, r.Member)
	}
	return now.Sub(m.termSince) >= m.rules.SuspectAfter && !v.UnreportedBusySince(now.Add(-m.rules.SuspectAfter))
}

func (m Machine) watch(now time.Time, v view.View) (Machine, []Action) {
	if !m.suspectsPrimary(now, v) {
		if target, due := m.handoverTarget(now, v); due {
			return m.startHandover(now, v, target)
		}
		return m.repair(now, v)
	}
	m.stage, m.stageStarted, m.votesRequestedAt, m.term = Polling, now, now, v.Term()
	m.votes, m.responding = map[string]bool{m.self: true}, map[string]bool{m.self: true}
	suspected := Note{Kind: Suspected, Term: m.term}
	return m, []Action{{Note: &suspected}, {RequestVotes: &VoteRequest{Term: m.term}}}
}

func (m Machine) poll(now time.Time, v view.View, e Event) (Machine, []Action) {
	if v.Term() > m.term && !m.superseded {
		// Another voter has promoted a member. The primary of the later term may not have
		// answered yet, and is given the full period to do so.
		m.superseded, m.idleUntil = true, later(m.idleUntil, now.Add(m.rules.SuspectAfter))
	}
	if m.superseded && !now.Before(m.idleUntil) {
		return m.reset(), nil
	}
	if e.Vote != nil && e.Vote.Term == m.term {
		m.votes = maps.Clone(m.votes)
		m.votes[e.Vote.From] = e.Vote.Down
		m.responding = maps.Clone(m.responding)
		m.responding[e.Vote.From] = true
	}
	if m.quorumAgrees() && m.mayClaim(now, m.index) || m.reducedQuorumAgrees(now) && m.mayClaim(now, m.respondingAhead()) {
		m.stage, m.stageStarted = Claiming, now
		return m, []Action{{ClaimTerm: &ClaimTerm{After: m.lastTerm(v)}}}
	}
	if now.Sub(m.votesRequestedAt) < m.rules.VoteInterval {
		return m, nil
	}
	m.votesRequestedAt = now
	m.votes = map[string]bool{m.self: true}
	return m, []Action{{RequestVotes: &VoteRequest{Term: m.term}}}
}

// quorumAgrees reports whether a majority of all voters has voted that the primary is
// down.
func (m Machine) quorumAgrees() bool {
	down := 0
	for _, w := range m.voters {
		if m.votes[w] {
			down++
		}
	}
	return down >= group.Majority(len(m.voters))
}

// reducedQuorumAgrees reports whether most voters appear to have stopped, and a majority
// of the responding ones has voted that the primary is down. A voter that is partitioned
// from the others observes the same, so no replica may have received an entry in the
// meantime either: a replica that still receives entries shows that the database is in
// service.
func (m Machine) reducedQuorumAgrees(now time.Time) bool {
	if m.rules.ReducedQuorumAfter == 0 || now.Sub(m.stageStarted) < m.rules.ReducedQuorumAfter || now.Sub(m.replicaLogGrewAt) < m.rules.ReducedQuorumAfter {
		return false
	}
	down := 0
	for w := range m.responding {
		if m.votes[w] {
			down++
		}
	}
	return down >= group.Majority(len(m.responding))
}

// recordTerm records since when the latest term is known. A replica may report it before its
// primary does.
func (m Machine) recordTerm(now time.Time, v view.View) Machine {
	if term := v.Term(); term > m.reportedTerm {
		m.reportedTerm, m.termSince = term, now
	}
	return m
}

// recordReplicaLog records when a replica last received an entry.
func (m Machine) recordReplicaLog(now time.Time, v view.View) Machine {
	for _, member := range v.Members() {
		r, reported := v.Report(member.Name)
		if reported && r.State.Role == group.Replica && m.longestReplicaLog.Less(r.State.LastEntry()) {
			m.longestReplicaLog, m.replicaLogGrewAt = r.State.LastEntry(), now
		}
	}
	return m
}

// mayClaim reports whether this voter may claim a term now, with ahead voters before it.
func (m Machine) mayClaim(now time.Time, ahead int) bool {
	if now.Before(m.idleUntil) {
		return false
	}
	return now.Sub(m.stageStarted) >= time.Duration(ahead)*m.rules.Stagger
}

// respondingAhead returns the number of responding voters that are listed before this
// one.
func (m Machine) respondingAhead() int {
	ahead := 0
	for _, w := range m.voters[:m.index] {
		if m.responding[w] {
			ahead++
		}
	}
	return ahead
}

// repair makes members that are still in an earlier term follow the primary. The first
// voter acts at once, and each further voter later by the stagger.
func (m Machine) repair(now time.Time, v view.View) (Machine, []Action) {
	primary, found := v.Primary()
	if !found || primary.State.Fenced() {
		return m, nil
	}
	if m.rules.SharedTerms {
		// The primary replicates to the other members by itself. A member that has made a
		// promise reports it, and the attempt for which it was made is continued.
		return m, nil
	}
	leader, _ := v.Member(primary.Member)
	var actions []Action
	for _, member := range v.Members() {
		r, reported := v.Report(member.Name)
		if !reported || v.Silent(member.Name) || r.State.Term >= primary.State.Term {
			continue
		}
		actions = append(actions, Action{Follow: &Follow{
			Member: member.Name, Term: primary.State.Term, Leader: leader, Starts: primary.State.Starts,
		}})
	}
	if len(actions) == 0 {
		m.repairedAt = now
		return m, nil
	}
	if now.Sub(m.repairedAt) < time.Duration(m.index)*m.rules.Stagger+m.rules.FenceGrace {
		return m, nil
	}
	m.repairedAt = now
	return m, actions
}
