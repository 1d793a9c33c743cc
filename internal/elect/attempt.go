package elect

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// handoverTarget returns the member that replaces a draining primary: of the listed members
// that are not draining and respond, the one with the longest log. Only the first voter
// starts the handover; if its host has failed, the host list will name another first
// voter.
func (m Machine) handoverTarget(now time.Time, v view.View) (string, bool) {
	primary, found := v.Primary()
	if !found || now.Before(m.idleUntil) {
		return "", false
	}
	if leader, _ := v.Member(primary.Member); !leader.Draining {
		return "", false
	}
	best := ""
	var bestLog group.Floor
	for _, member := range v.Members() {
		r, reported := v.Report(member.Name)
		if !reported || member.Draining || member.Unlisted || v.Silent(member.Name) || r.State.Term != primary.State.Term {
			continue
		}
		if best == "" || bestLog.Less(r.State.LastEntry()) {
			best, bestLog = member.Name, r.State.LastEntry()
		}
	}
	return best, best != "" && m.index == 0
}

func (m Machine) startHandover(now time.Time, v view.View, target string) (Machine, []Action) {
	m.stage, m.stageStarted, m.term, m.target = Claiming, now, v.Term(), target
	return m, []Action{{ClaimTerm: &ClaimTerm{After: m.lastTerm(v)}}}
}

// lastTerm returns the term after which the next term is claimed.
func (m Machine) lastTerm(v view.View) group.Term {
	if m.rules.SharedTerms {
		return v.Term()
	}
	return v.Fence()
}

func (m Machine) claiming(now time.Time, v view.View, e Event) (Machine, []Action) {
	if e.Claimed == nil {
		if now.Sub(m.stageStarted) < m.rules.AttemptTimeout {
			return m, nil
		}
		return m.abandon(now.Add(m.rules.VoteInterval), ClaimLost)
	}
	if !e.Claimed.Won {
		pause := m.rules.VoteInterval
		if e.Claimed.Conflict {
			pause = m.rules.AttemptTimeout
		}
		return m.abandon(now.Add(pause), ClaimLost)
	}
	if m.rival.Token > e.Claimed.Claim.Token {
		return m.abandon(m.idleAfterRival(now), ClaimLost)
	}
	m.stage, m.stageStarted, m.claim = Fencing, now, e.Claimed.Claim
	m.fenced, m.answered = make(map[string]group.State), make(map[string]bool)
	m.promisedAt, m.ordered = make(map[string]time.Time), membersOf(v)
	won := Note{Kind: ClaimWon, Term: m.claim.Term}
	actions := []Action{{Note: &won}}
	if m.rules.SharedTerms {
		actions = append(actions, m.announce())
	}
	primary, found := v.Primary()
	m.former, m.floor = primary.Member, primary.State.LastEntry()
	switch {
	case !found || m.target == "":
		actions = append(actions, m.fenceUnanswered(v)...)
	case m.rules.SharedTerms:
		actions = append(actions, m.fenceOthers(v)...)
	default:
		actions = append(actions, m.fence(m.former))
	}
	return m, actions
}

// announce tells the other voters of the claim, and of the handover's target if there is
// one.
func (m Machine) announce() Action {
	claim := m.claim
	claim.Target = m.target
	return Action{AnnounceClaim: &claim}
}

func membersOf(v view.View) map[string]bool {
	names := make(map[string]bool)
	for _, member := range v.Members() {
		names[member.Name] = true
	}
	return names
}

// fenceOthers fences every member other than the primary and the handover target.
func (m Machine) fenceOthers(v view.View) []Action {
	var actions []Action
	for _, member := range v.Members() {
		if member.Name != m.former && member.Name != m.target {
			actions = append(actions, m.fence(member.Name))
		}
	}
	return actions
}

func (m Machine) fence(member string) Action {
	return Action{Fence: &Order{Member: member, Claim: m.claim}}
}

// fenceUnanswered fences every member that has not answered yet.
func (m Machine) fenceUnanswered(v view.View) []Action {
	var actions []Action
	for _, member := range v.Members() {
		if !m.answered[member.Name] {
			actions = append(actions, m.fence(member.Name))
		}
	}
	return actions
}

// abandon ends an attempt and leaves the machine idle until the given time. The next
// attempt claims a later term.
func (m Machine) abandon(until time.Time, kind NoteKind) (Machine, []Action) {
	note := Note{Kind: kind, Term: max(m.claim.Term, m.term), Member: m.candidate}
	m.idleUntil = until
	return m.reset(), []Action{{Note: &note}}
}

// timeOut ends an attempt whose orders were not answered in time.
func (m Machine) timeOut(now time.Time) (Machine, []Action) {
	return m.abandon(now.Add(time.Duration(max(m.index, 0))*m.rules.Stagger), AttemptFailed)
}

func (m Machine) fencing(now time.Time, v view.View, e Event) (Machine, []Action) {
	if a := e.Answer; a != nil && a.Term == m.claim.Term {
		switch {
		case a.Refused:
			return m.abandon(now.Add(m.rules.AttemptTimeout), AttemptFailed)
		case m.termStarted(*a):
			return m.abandon(now.Add(m.rules.AttemptTimeout), ClaimLost)
		}
		m = m.withFenceAnswer(now, *a)
	}
	m = m.withoutLostPromises(now, v).withQuorum(now, v)
	if now.Sub(m.stageStarted) >= m.rules.AttemptTimeout {
		return m.timeOut(now)
	}
	if m, orders := m.refence(now, v); len(orders) > 0 {
		return m, orders
	}
	return m.proceed(now, v)
}

// proceed takes the next step of an attempt that waits for no order to be repeated.
func (m Machine) proceed(now time.Time, v view.View) (Machine, []Action) {
	if m.target != "" && m.rules.SharedTerms {
		return m.awaitTargetInService(v)
	}
	if m.target != "" && !m.caughtUp && len(m.fenced) > 0 {
		return m.awaitTarget(v)
	}
	all := len(m.answered) == len(v.Members())
	if m.majorityFencedAt.IsZero() || (!all && now.Sub(m.majorityFencedAt) < m.rules.FenceGrace) || m.leaseMayHold(now) {
		return m, nil
	}
	if m.rules.SharedTerms && !m.formerPromised() {
		return m.verify(v)
	}
	return m.promoteLongest(v)
}

// verify asks the members that have promised again, and promotes one of them once all have
// repeated their promises. A member that restarted forgets its promise, and may have received
// entries from a former primary that could not be told to step down.
func (m Machine) verify(v view.View) (Machine, []Action) {
	if m.verified == nil {
		m.verified = make(map[string]bool)
		return m, m.fencePromised()
	}
	if len(m.verified) < len(m.fenced) {
		return m, nil
	}
	return m.promoteLongest(v)
}

func (m Machine) promoteLongest(v view.View) (Machine, []Action) {
	m.stage, m.candidate = Promoting, m.longestFenced(v)
	return m, []Action{{Promote: &Order{Member: m.candidate, Claim: m.claim}}}
}

// fencePromised repeats the fence order to every member that has promised.
func (m Machine) fencePromised() []Action {
	var actions []Action
	for _, member := range slices.Sorted(maps.Keys(m.fenced)) {
		actions = append(actions, m.fence(member))
	}
	return actions
}

// termStarted reports whether a member made no promise because the claimed term or a
// later one has already started.
func (m Machine) termStarted(a Answer) bool {
	return m.rules.SharedTerms && !a.Failed && a.State.Term >= m.claim.Term
}

// leaseMayHold reports whether a read lease of the former primary may still be valid.
func (m Machine) leaseMayHold(now time.Time) bool {
	return !m.formerPromised() && now.Sub(m.majorityFencedAt) < m.rules.Lease
}

// formerPromised reports whether the former primary is known and has promised the claimed
// term: it has stepped down.
func (m Machine) formerPromised() bool {
	_, promised := m.fenced[m.former]
	return promised
}

// quorumPromised reports whether enough members have promised that the longest log among
// them holds every acknowledged entry, and that the former primary can acknowledge no
// other one. Where an entry is acknowledged once a single replica holds it, this takes
// the former primary or all replicas.
func (m Machine) quorumPromised(v view.View) bool {
	members, promised, replicas := v.Members(), 0, 0
	for _, member := range members {
		if _, found := m.fenced[member.Name]; found {
			promised++
		}
		if member.Name != m.former {
			replicas++
		}
	}
	if m.rules.SharedTerms && !m.formerPromised() && promised < replicas {
		return false
	}
	return promised >= group.Majority(len(members))
}

// withQuorum records since when enough members have promised. A member that is listed later
// may have to promise as well.
func (m Machine) withQuorum(now time.Time, v view.View) Machine {
	switch promised := m.quorumPromised(v); {
	case !promised:
		m.majorityFencedAt, m.verified = time.Time{}, nil
	case m.majorityFencedAt.IsZero():
		m.majorityFencedAt = now
	}
	return m
}

// withFenceAnswer records a member's promise, or that it did not answer.
func (m Machine) withFenceAnswer(now time.Time, a Answer) Machine {
	m.answered = maps.Clone(m.answered)
	m.answered[a.Member] = true
	if a.Failed {
		return m.refenceFrom(a.Member, now.Add(m.rules.VoteInterval))
	}
	previous, promised := m.fenced[a.Member]
	m.fenced, m.promisedAt = maps.Clone(m.fenced), maps.Clone(m.promisedAt)
	m.fenced[a.Member], m.promisedAt[a.Member] = a.State, now
	if a.Member != m.former && m.floor.Less(a.State.LastEntry()) {
		m.floor = a.State.LastEntry()
	}
	if m.verified == nil {
		return m
	}
	if promised && previous.LastEntry().Less(a.State.LastEntry()) {
		// The member had forgotten its promise. The lease begins again.
		m.majorityFencedAt, m.verified = now, nil
		return m
	}
	m.verified = maps.Clone(m.verified)
	m.verified[a.Member] = true
	return m
}

// withoutLostPromises forgets the promises of members that report that they have none, or
// that have left the list. A member that restarts forgets its promise.
func (m Machine) withoutLostPromises(now time.Time, v view.View) Machine {
	if !m.rules.SharedTerms {
		return m
	}
	for _, name := range slices.Sorted(maps.Keys(m.fenced)) {
		_, listed := v.Member(name)
		r, reported := v.Report(name)
		lost := reported && r.SentAt.After(m.promisedAt[name]) && !r.State.Partial && max(r.State.Fence, r.State.Term) < m.claim.Term
		if listed && !lost {
			continue
		}
		m.fenced, m.answered = maps.Clone(m.fenced), maps.Clone(m.answered)
		delete(m.fenced, name)
		delete(m.answered, name)
		if listed {
			m = m.refenceFrom(name, now)
		}
	}
	return m
}

// refenceFrom schedules another fence order to a member.
func (m Machine) refenceFrom(member string, at time.Time) Machine {
	m.refenceAt = maps.Clone(m.refenceAt)
	if m.refenceAt == nil {
		m.refenceAt = make(map[string]time.Time)
	}
	m.refenceAt[member] = at
	return m
}

// refence sends the fence order again to members that did not answer the previous one
// within the vote interval or have forgotten their promise, and to members that were
// listed since the attempt began. A member that did not answer may have had no free
// connection, or its answer was lost.
func (m Machine) refence(now time.Time, v view.View) (Machine, []Action) {
	if !m.rules.SharedTerms {
		return m, nil
	}
	for _, member := range v.Members() {
		if !m.ordered[member.Name] {
			m.ordered = maps.Clone(m.ordered)
			m.ordered[member.Name] = true
			m = m.refenceFrom(member.Name, now)
		}
	}
	var actions []Action
	for _, member := range slices.Sorted(maps.Keys(m.refenceAt)) {
		if now.Before(m.refenceAt[member]) {
			continue
		}
		m.refenceAt = maps.Clone(m.refenceAt)
		delete(m.refenceAt, member)
		actions = append(actions, m.fence(member))
	}
	return m, actions
}

// awaitTarget waits, with the old primary fenced, until the handover target has received
// its whole log. It then fences the other members.
func (m Machine) awaitTarget(v view.View) (Machine, []Action) {
	target, reported := v.Report(m.target)
	if !reported {
		return m, nil
	}
	for _, s := range m.fenced {
		if target.State.LastEntry().Less(s.LastEntry()) {
			return m, nil
		}
	}
	m.caughtUp = true
	return m, m.fenceUnanswered(v)
}

// awaitTargetInService waits, with the primary in service and the other replicas fenced,
// until the handover target has received every entry that these replicas have. From then
// on the target receives every acknowledged entry, so that it can be promoted. A primary
// that would not be deposed by the promotion must have stepped down before.
func (m Machine) awaitTargetInService(v view.View) (Machine, []Action) {
	switch {
	case !m.targetHoldsOthers(v):
		return m, nil
	case m.rules.PromotionDeposes || m.formerPromised():
	case !m.caughtUp:
		m.caughtUp = true
		return m, []Action{m.fence(m.former)}
	default:
		return m, nil
	}
	m.stage, m.candidate = Promoting, m.target
	// The other proxies may have missed the first announcement.
	return m, []Action{m.announce(), {Promote: &Order{Member: m.candidate, Claim: m.claim}}}
}

// targetHoldsOthers reports whether every replica other than the handover target has
// promised, and the target has received every entry that these had, that the primary had
// when the handover began, and that a replica had which has left meanwhile.
func (m Machine) targetHoldsOthers(v view.View) bool {
	target, reported := v.Report(m.target)
	if !reported || target.State.LastEntry().Less(m.floor) {
		return false
	}
	for _, member := range v.Members() {
		if member.Name == m.target || member.Name == m.former {
			continue
		}
		if _, promised := m.fenced[member.Name]; !promised {
			return false
		}
	}
	return true
}

// longestFenced returns the fenced member with the longest log. Among equal logs it
// prefers the handover target, then the former primary, then the first member of the
// database's list that is listed and not draining.
func (m Machine) longestFenced(v view.View) string {
	best, bestRank := "", 0
	for _, member := range v.Members() {
		s, found := m.fenced[member.Name]
		if !found {
			continue
		}
		rank := m.preference(member)
		log := m.fenced[best].LastEntry()
		if best == "" || log.Less(s.LastEntry()) || (log == s.LastEntry() && rank > bestRank) {
			best, bestRank = member.Name, rank
		}
	}
	return best
}

func (m Machine) preference(member view.Member) int {
	switch {
	case member.Name == m.target:
		return 3
	case member.Name == m.former && m.target == "":
		return 2
	case !member.Draining && !member.Unlisted:
		return 1
	default:
		return 0
	}
}

// idleAfterRefusal returns how long the machine stays idle after a member refused to be
// promoted. Where members promise a term to every promoter, the refusal means either
// that another claim outranks this one, which then becomes visible, or that the member
// has stopped.
func (m Machine) idleAfterRefusal() time.Duration {
	if m.rules.SharedTerms {
		return m.rules.Stagger * time.Duration(max(m.index, 0)+1)
	}
	return m.rules.AttemptTimeout
}

// implementsClaim reports whether a primary of the given term results from the claim of
// this machine, or replaces it.
func (m Machine) implementsClaim(term group.Term) bool {
	return term == m.claim.Term || (m.rules.SharedTerms && term > m.claim.Term)
}

// choosing waits until the promotion takes effect. Until then the former primary may still
// be in service, so that the other members are kept fenced.
func (m Machine) choosing(now time.Time, v view.View, e Event) (Machine, []Action) {
	if a := e.Answer; a != nil && a.Member == m.candidate && a.Term == m.claim.Term {
		if a.Refused {
			return m.abandon(now.Add(m.idleAfterRefusal()), AttemptFailed)
		}
		if !a.Failed && a.State.Role == group.Primary && m.implementsClaim(a.State.Term) {
			return m.abandon(now.Add(m.rules.AttemptTimeout), MemberPromoted)
		}
	}
	if now.Sub(m.stageStarted) >= m.rules.AttemptTimeout {
		return m.timeOut(now)
	}
	if a := e.Answer; a != nil && a.Member != m.candidate && a.Term == m.claim.Term {
		m = m.withFenceAnswer(now, *a)
	}
	return m.withoutLostPromises(now, v).refence(now, v)
}
