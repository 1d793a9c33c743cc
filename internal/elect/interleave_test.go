package elect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/roster"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// The periods of the model.
const (
	modelRun       = 18 * time.Second
	modelCommits   = 20 * time.Millisecond
	modelPoll      = 200 * time.Millisecond
	modelQuickPoll = 20 * time.Millisecond
	modelStep      = 50 * time.Millisecond
	modelLease     = time.Second
	modelPromotion = time.Second
	modelAftermath = 2 * time.Second
	modelSeeds     = 400
	// modelClose is the time after which a leaving member gets no further requests, and
	// modelDrain the least time after which it is gone.
	modelClose = 2 * time.Second
	modelDrain = 7 * time.Second
	// modelGrace is how long a proxy retains a member that is missing from the list and does
	// not answer, and modelHeard how long it relies on its list without news from others.
	modelGrace = 4 * time.Second
	modelHeard = 1500 * time.Millisecond
	// modelConfirm is the time after which the outcome of a commit is reported as unknown.
	modelConfirm = 5 * time.Second
	// modelSpread is the longest time that a list takes to a proxy that is not cut off.
	modelSpread = 2500 * time.Millisecond
)

// modelMember is a member that forgets its promise when it restarts. It keeps its log.
type modelMember struct {
	name  string
	log   int
	term  group.Term
	fence group.Term
	up    bool
	// deaf members receive nothing although they have made no promise.
	deaf bool
	// The promoter does not reach hidden members, and the front does not reach dark ones.
	hidden bool
	dark   bool
	leads  bool
	gone   bool
	delay  time.Duration
	// restarts counts the restarts, which end the connections of all proxies.
	restarts int
}

// modelProxy is a proxy's view of the database, and the list of members that it knows.
type modelProxy struct {
	view view.View
	// listed is the list of members as the proxy last saw it, and members holds those and the
	// unlisted ones that it retains.
	listed  []view.Member
	roster  roster.Membership
	members []view.Member
	// drainingSince is when the proxy first saw a member as draining.
	drainingSince map[string]time.Time
	polled        map[string]time.Time
	// isolatedAt is when the proxy was cut off from the store and the other proxies, or zero.
	isolatedAt time.Time
	// restarts holds the restarts of a member that the proxy has noticed.
	restarts map[string]int
	// reaches reports whether the proxy reaches a member.
	reaches func(m *modelMember) bool
	// period is the time between two polls of a member.
	period time.Duration
}

// attemptModel interleaves the attempt of one promoter with commits of the primary, whose
// acknowledgements another proxy passes on, and with members that restart, join or leave. The
// commits are numbered, and the log of a member is the number of its last one.
type attemptModel struct {
	rng      *rand.Rand
	now      time.Time
	events   []modelEvent
	members  []*modelMember
	promoter modelProxy
	front    modelProxy
	rules    elect.Rules
	machine  elect.Machine
	// waiting holds the acknowledgements that the front has not passed on yet.
	waiting map[int]waitingCommit
	// passed is the last commit that was passed on from keptFrom on.
	passed   int
	keptFrom time.Time
	// stays is set if no replica leaves, because another one receives nothing for long.
	stays   bool
	history []string
	// successor is the promoted member, or nil, and kept the length of its log.
	successor *modelMember
	kept      int
	planned   bool
}

type waitingCommit struct {
	view.Retention
	since time.Time
}

type modelEvent struct {
	at time.Time
	do func()
}

func (m *attemptModel) after(d time.Duration, do func()) {
	e := modelEvent{m.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(m.events, e, func(a, b modelEvent) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	m.events = slices.Insert(m.events, i, e)
}

func (m *attemptModel) every(d time.Duration, do func()) {
	m.after(d, func() { do(); m.every(d, do) })
}

func (m *attemptModel) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

func (m *attemptModel) note(format string, args ...any) {
	m.history = append(m.history, fmt.Sprintf("%.3f ", m.now.Sub(time.Unix(0, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func (m *attemptModel) member(name string) *modelMember {
	return m.members[slices.IndexFunc(m.members, func(n *modelMember) bool { return n.name == name })]
}

func (m *attemptModel) primary() *modelMember {
	return m.members[slices.IndexFunc(m.members, func(n *modelMember) bool { return n.leads })]
}

func (n *modelMember) state() group.State {
	s := group.State{Term: n.term, EntryTerm: 1, Fence: n.fence, Received: group.Position(n.log), Applied: group.Position(n.log)} //nolint:gosec // small numbers
	if n.leads {
		s.Role, s.Leading = group.Primary, true
	}
	return s
}

func newAttemptModel(seed uint64) *attemptModel {
	m := &attemptModel{rng: rand.New(rand.NewPCG(seed, 28)), now: time.Unix(0, 0), waiting: make(map[int]waitingCommit)}
	m.planned = seed%4 == 3
	for i := range 3 {
		m.members = append(m.members, &modelMember{name: fmt.Sprint("m", i), term: 1, up: true, leads: i == 0, delay: m.between(time.Millisecond, 40*time.Millisecond)})
	}
	cutAt := m.now.Add(time.Duration(m.rng.IntN(4))*2*time.Second + m.between(time.Second, 1500*time.Millisecond))
	reachesAll := func(n *modelMember) bool { return n.up && !n.dark }
	m.promoter = m.newProxy(func(n *modelMember) bool {
		return n.up && !n.hidden && (m.planned || n != m.members[0] || m.now.Before(cutAt))
	})
	m.front = m.newProxy(reachesAll)
	m.front.period = m.between(modelPoll, modelLease)
	m.rules = elect.SharedTermRules(time.Second, modelLease+50*time.Millisecond)
	m.rules.PromotionDeposes = true
	m.machine = elect.New(m.rules, "p1", []string{"p1", "p2", "p3"}, m.now)
	m.every(modelCommits, m.commit)
	m.every(modelStep, func() { m.step(elect.Event{}) })
	m.every(modelQuickPoll, func() { m.poll(&m.promoter); m.poll(&m.front) })
	m.every(modelPoll, func() { m.recheck(&m.promoter); m.recheck(&m.front) })
	if m.planned {
		m.after(cutAt.Sub(m.now), func() { m.drain(m.members[0]) })
	}
	m.addFaults(cutAt.Sub(m.now))
	return m
}

func (m *attemptModel) newProxy(reaches func(*modelMember) bool) modelProxy {
	p := modelProxy{
		polled: make(map[string]time.Time), restarts: make(map[string]int), drainingSince: make(map[string]time.Time),
		reaches: reaches, period: modelPoll, roster: roster.New(modelGrace), view: view.New("d", nil),
	}
	for _, n := range m.members {
		p.listed = append(p.listed, view.Member{Name: n.name, Address: n.name})
	}
	m.recheck(&p)
	return p
}

// addFaults lets members restart, join, leave and receive nothing for a while, around the
// time of the attempt.
func (m *attemptModel) addFaults(around time.Duration) {
	for range m.rng.IntN(3) {
		m.after(around+m.between(-500*time.Millisecond, 4*time.Second), func() { m.restart(m.members[1+m.rng.IntN(len(m.members)-1)]) })
	}
	if m.rng.IntN(2) == 0 {
		m.after(max(0, around+m.between(-2*time.Second, 4*time.Second)), m.join)
	}
	if m.rng.IntN(3) == 0 {
		m.after(m.between(0, 5*time.Second), func() { m.drain(m.members[1+m.rng.IntN(len(m.members)-1)]) })
	}
	if m.rng.IntN(3) == 0 {
		deaf := m.members[1+m.rng.IntN(2)]
		m.after(max(0, around+m.between(-2*time.Second, 2*time.Second)), func() { m.note("%s receives nothing", deaf.name); deaf.deaf = true })
		m.after(around+m.between(2*time.Second, 5*time.Second), func() { deaf.deaf = false })
	}
}

func (m *attemptModel) restart(n *modelMember) {
	if !n.up || n.gone {
		return
	}
	m.note("%s restarts", n.name)
	n.up, n.restarts = false, n.restarts+1
	m.after(m.between(50*time.Millisecond, 700*time.Millisecond), func() { n.up, n.fence = !n.gone, 0 })
}

// join starts a member that receives the log at once and is listed later.
func (m *attemptModel) join() {
	n := &modelMember{name: fmt.Sprint("m", len(m.members)), term: m.primary().term, up: true, delay: m.between(time.Millisecond, 40*time.Millisecond)}
	m.note("%s joins", n.name)
	m.members = append(m.members, n)
	for _, p := range []*modelProxy{&m.promoter, &m.front} {
		m.after(m.between(200*time.Millisecond, 2500*time.Millisecond), func() {
			m.list(p, append(slices.Clone(p.listed), view.Member{Name: n.name, Address: n.name}))
		})
	}
}

// drain lets a member leave: it is listed as leaving, goes on for a while, and is gone with
// its log.
func (m *attemptModel) drain(n *modelMember) {
	if slices.ContainsFunc(m.members, func(o *modelMember) bool { return o.gone }) || m.stays && !n.leads {
		return
	}
	m.note("%s drains", n.name)
	for _, p := range []*modelProxy{&m.promoter, &m.front} {
		m.after(m.between(5*time.Millisecond, 300*time.Millisecond), func() {
			listed := slices.Clone(p.listed)
			if i := slices.IndexFunc(listed, func(o view.Member) bool { return o.Name == n.name }); i >= 0 {
				listed[i].Draining = true
				m.list(p, listed)
			}
		})
	}
	if n.leads {
		return
	}
	m.after(m.between(modelDrain, modelDrain+2*time.Second), func() {
		m.note("%s is gone", n.name)
		n.up, n.gone, n.log = false, true, 0
		for _, p := range []*modelProxy{&m.promoter, &m.front} {
			m.after(m.between(5*time.Millisecond, 300*time.Millisecond), func() {
				m.list(p, slices.DeleteFunc(slices.Clone(p.listed), func(o view.Member) bool { return o.Name == n.name }))
			})
		}
	})
}

// addLapse lets the entries of one or two members disappear from the list although they run. A
// third member may receive nothing meanwhile, the promoter may not reach the unlisted ones, and
// the front may not learn of it, and then it may not reach the third member. Members that the promoter does not reach are as good as gone,
// with the commits that they confirmed before the proxies knew that they are unlisted.
func (m *attemptModel) addLapse() {
	start, length := m.between(0, 4*time.Second), m.between(5*time.Second, 12*time.Second)
	lapsed := m.rng.Perm(3)[:1+m.rng.IntN(2)]
	unreachable, isolated, deaf := m.rng.IntN(3) == 0, m.rng.IntN(3) == 0, m.rng.IntN(2) == 0
	m.after(start, func() {
		m.note("entries of %v lapse; unreachable %t, front isolated %t, a member deaf %t", lapsed, unreachable, isolated, deaf)
		if isolated {
			m.front.isolatedAt = m.now
		}
		for _, i := range lapsed {
			m.lapse(m.members[i], length)
		}
	})
	m.stays = deaf
	if unreachable {
		m.keptFrom = m.now.Add(start + modelSpread)
	}
	for i := range 3 {
		n := m.members[i]
		if isolated && i > 0 && !slices.Contains(lapsed, i) {
			m.after(start, func() { n.dark = true })
			m.after(start+length, func() { n.dark = false })
		}
		if deaf && i > 0 && !slices.Contains(lapsed, i) {
			m.after(start, func() { m.note("%s receives nothing", n.name); n.deaf = true })
			m.after(start+length, func() { n.deaf = false })
		}
		if unreachable && slices.Contains(lapsed, i) {
			m.after(start+m.between(0, 2*time.Second), func() { m.note("the promoter loses %s", n.name); n.hidden = true })
			m.after(start+length, func() { n.hidden = false })
		}
	}
	m.after(start+length, func() {
		if isolated {
			m.list(&m.front, m.promoter.listed)
			m.front.isolatedAt = time.Time{}
		}
	})
}

// lapse removes the entry of a member from the lists of the proxies that are not cut off, and
// restores it later.
func (m *attemptModel) lapse(n *modelMember, length time.Duration) {
	for _, p := range []*modelProxy{&m.promoter, &m.front} {
		m.after(m.between(5*time.Millisecond, modelSpread), func() {
			if i := slices.IndexFunc(p.listed, func(o view.Member) bool { return o.Name == n.name }); p.isolatedAt.IsZero() && i >= 0 {
				m.list(p, slices.Delete(slices.Clone(p.listed), i, i+1))
			}
		})
		m.after(length+m.between(5*time.Millisecond, modelSpread), func() {
			listed := slices.ContainsFunc(p.listed, func(o view.Member) bool { return o.Name == n.name })
			if !listed && !n.gone && p.isolatedAt.IsZero() {
				m.list(p, append(slices.Clone(p.listed), view.Member{Name: n.name, Address: n.name}))
			}
		})
	}
}

func (m *attemptModel) list(p *modelProxy, listed []view.Member) {
	p.listed = listed
	m.recheck(p)
}

// recheck updates the members that a proxy retains, and closes those that have been draining
// for long.
func (m *attemptModel) recheck(p *modelProxy) {
	contact := func(_, member string) roster.Contact {
		return roster.Contact{LastAnswer: p.view.LastAnswer(member), Silent: p.view.Silent(member)}
	}
	p.roster = p.roster.With([]book.Database{{Name: "d", Members: p.listed}}, contact, m.now)
	p.members = p.roster.Databases()[0].Members
	p.view = p.view.WithMembers(p.members)
	for _, n := range p.members {
		switch since, known := p.drainingSince[n.Name]; {
		case !n.Draining:
			delete(p.drainingSince, n.Name)
		case !known:
			p.drainingSince[n.Name] = m.now
		case m.now.Sub(since) >= modelClose:
			p.view = p.view.WithClosed(n.Name)
		}
	}
}

// frontView returns the view of the front, which may lack a newer list if it is cut off.
func (m *attemptModel) frontView() view.View {
	at := m.front.isolatedAt
	return m.front.view.WithIsolation(!at.IsZero() && m.now.Sub(at) >= modelHeard)
}

// commit lets the primary write an entry and send its log to all replicas. It acknowledges
// the entry once one of them has it.
func (m *attemptModel) commit() {
	leader := m.primary()
	if m.successor != nil || !leader.up || leader.fence > leader.term {
		return
	}
	leader.log++
	entry, acknowledged := leader.log, false
	for _, n := range m.members {
		if n == leader {
			continue
		}
		m.after(n.delay, func() {
			if !leader.leads || !n.up || n.deaf || n.fence > n.term || n.term > leader.term {
				return
			}
			n.log = max(n.log, entry)
			if acknowledged {
				return
			}
			acknowledged = true
			m.after(n.delay+leader.delay, func() {
				floor := group.Floor{Term: 1, Position: group.Position(entry)} //nolint:gosec // small numbers
				m.waiting[entry] = waitingCommit{view.NewRetention(leader.name, floor, m.times(modelLease)), m.now}
				m.pass()
			})
		})
	}
}

func (m *attemptModel) times(lease time.Duration) view.RetentionTimes {
	return view.RetentionTimes{Acknowledged: m.now, LeaseStart: m.now.Add(-lease), Settle: m.rules.AttemptTimeout}
}

// pass passes on the acknowledgements of commits that every promotion keeps.
func (m *attemptModel) pass() {
	for entry, r := range m.waiting {
		r.Retention = r.With(m.frontView(), m.now)
		m.waiting[entry] = r
		if r.Status() == view.Pending && m.now.Sub(r.since) < modelConfirm {
			continue
		}
		delete(m.waiting, entry)
		if r.Status() == view.Confirmed && !m.now.Before(m.keptFrom) {
			m.passed = max(m.passed, entry)
		}
	}
}

// poll asks the members for their states: often those that decide on a waiting commit.
func (m *attemptModel) poll(p *modelProxy) {
	for _, listed := range p.members {
		quick := p == &m.front && len(m.waiting) > 0 && m.frontView().Informs(listed.Name, "", m.times(modelLease*7/10))
		if !quick && m.now.Sub(p.polled[listed.Name]) < p.period {
			continue
		}
		p.polled[listed.Name] = m.now
		m.ask(p, m.member(listed.Name))
	}
}

func (m *attemptModel) ask(p *modelProxy, n *modelMember) {
	asked := m.now
	m.after(n.delay, func() {
		if !p.reaches(n) {
			m.after(n.delay, func() { p.view = p.view.WithSilence(n.name) })
			return
		}
		state, interrupted := n.state(), n.restarts != p.restarts[n.name]
		p.restarts[n.name] = n.restarts
		m.after(n.delay, func() {
			p.view = p.view.WithReport(view.Report{Member: n.name, SentAt: asked, ReceivedAt: m.now, State: state, Interrupted: interrupted})
			m.pass()
		})
	})
}

// step advances the promoter's machine and carries out its actions.
func (m *attemptModel) step(e elect.Event) {
	var actions []elect.Action
	m.machine, actions = m.machine.Step(m.now, m.promoter.view, e)
	for _, a := range actions {
		switch {
		case a.RequestVotes != nil:
			m.after(10*time.Millisecond, func() { m.step(elect.Event{Vote: &elect.Vote{From: "p2", Term: a.RequestVotes.Term, Down: true}}) })
		case a.ClaimTerm != nil:
			claim := elect.Claim{Term: a.ClaimTerm.After + 1, Promoter: "p1", Token: uint64(m.now.UnixNano())} //nolint:gosec // after 1970
			m.after(20*time.Millisecond, func() { m.step(elect.Event{Claimed: &elect.ClaimResult{Won: true, Claim: claim}}) })
		case a.AnnounceClaim != nil:
			m.announce(*a.AnnounceClaim)
		case a.Fence != nil:
			m.fence(*a.Fence)
		case a.Promote != nil:
			m.promote(*a.Promote)
		}
	}
}

// announce tells the front of a claim. The message may be lost.
func (m *attemptModel) announce(claim elect.Claim) {
	if m.rng.IntN(3) > 0 {
		m.after(m.between(time.Millisecond, 60*time.Millisecond), func() { m.front.view = m.front.view.WithClaim(claim.Announced()) })
	}
}

func (m *attemptModel) fence(o elect.Order) {
	n, asked := m.member(o.Member), m.now
	m.after(n.delay, func() {
		if !m.promoter.reaches(n) {
			m.after(500*time.Millisecond, func() {
				m.step(elect.Event{Answer: &elect.Answer{Member: o.Member, Term: o.Claim.Term, Failed: true}})
			})
			return
		}
		if o.Claim.Term > n.term {
			n.fence = max(n.fence, o.Claim.Term)
		}
		state := n.state()
		m.note("%s promises %d with %d", n.name, n.fence, n.log)
		if n.fence == o.Claim.Term && m.rng.IntN(6) == 0 {
			m.after(m.between(0, 2*time.Second), func() { m.restart(n) })
		}
		m.after(n.delay, func() {
			m.promoter.view = m.promoter.view.WithReport(view.Report{Member: n.name, SentAt: asked, ReceivedAt: m.now, State: state})
			m.step(elect.Event{Answer: &elect.Answer{Member: n.name, Term: o.Claim.Term, State: state}})
		})
	})
}

// promote makes a member the primary some time after the order, with the log that it then
// has.
func (m *attemptModel) promote(o elect.Order) {
	m.note("promote %s", o.Member)
	m.after(modelPromotion, func() {
		n := m.member(o.Member)
		if !n.up || m.successor != nil {
			return
		}
		m.successor, m.kept = n, n.log
		m.primary().leads = false
		n.leads = true
		for _, other := range m.members {
			other.log, other.term, other.fence = min(other.log, n.log), o.Claim.Term, 0
		}
	})
}

// run runs the model until some time after the promotion.
func (m *attemptModel) run() {
	for end := m.now.Add(modelRun); m.now.Before(end); {
		e := m.events[0]
		m.events = m.events[1:]
		m.now = e.at
		e.do()
		if m.successor != nil && end.Sub(m.now) > modelAftermath {
			end = m.now.Add(modelAftermath)
		}
	}
}

// TestPromotionKeepsPassedOnCommits guards against commits that callers saw acknowledged and
// that a promotion then drops. While an attempt runs, members restart and forget their
// promises, join before they are listed, or leave with their logs, and the former primary,
// which the promoter cannot reach, goes on acknowledging what any of them receives.
func TestPromotionKeepsPassedOnCommits(t *testing.T) {
	checkPromotions(t, modelSeeds, newAttemptModel)
}

// TestPromotionKeepsCommitsOfUnlistedMembers guards against commits that are lost because members
// which had lost their path to the store confirmed them, while a promotion did not ask these.
func TestPromotionKeepsCommitsOfUnlistedMembers(t *testing.T) {
	checkPromotions(t, modelSeeds/2, func(seed uint64) *attemptModel {
		m := newAttemptModel(seed)
		m.addLapse()
		return m
	})
}

func checkPromotions(t *testing.T, seeds int, newModel func(seed uint64) *attemptModel) {
	promotions, passed := 0, 0
	for seed := range uint64(seeds) { //nolint:gosec // a small number
		m := newModel(seed)
		m.run()
		if m.successor != nil {
			promotions++
			if m.passed > m.kept {
				t.Errorf("seed %d: %s leads with %d commits, %d were passed on\n%s", seed, m.successor.name, m.kept, m.passed, strings.Join(m.history, "\n"))
			}
		}
		passed += m.passed
	}
	t.Logf("%d promotions, %d commits passed on", promotions, passed)
	if promotions < seeds/2 || passed < seeds*40 {
		t.Errorf("got %d promotions and %d commits in %d runs, want most runs to promote and serve", promotions, passed, seeds)
	}
}
