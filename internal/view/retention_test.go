package view_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

const settle = 4 * time.Second

// fullReport returns a report that contains the member's promise.
func fullReport(member string, role group.Role, at time.Time, fence group.Term, position group.Position) view.Report {
	r := partialReport(member, role, at, 1, position)
	r.State.Partial, r.State.Fence = false, fence
	return r
}

// settled returns a view in which the primary a and the replicas b and c have answered for
// longer than an attempt takes, and the time of their last reports.
func settled() (view.View, time.Time) {
	start := time.Now()
	v := threeMembers()
	for _, at := range []time.Time{start, start.Add(2 * settle)} {
		v = v.WithReport(fullReport("a", group.Primary, at, 0, 10)).
			WithReport(fullReport("b", group.Replica, at, 0, 10)).
			WithReport(fullReport("c", group.Replica, at, 0, 10))
	}
	return v, start.Add(2 * settle)
}

// retained returns whether an acknowledged commit at position 11 is kept, with a lease of
// one second before the acknowledgement.
func retained(v view.View, acknowledged time.Time) view.Confirmation {
	times := view.RetentionTimes{Acknowledged: acknowledged, LeaseStart: acknowledged.Add(-time.Second), Settle: settle}
	return view.NewRetention("a", group.Floor{Term: 1, Position: 11}, times).With(v, acknowledged.Add(ms(10))).Status()
}

func TestCommitIsKeptOnceAReplicaIsKnownToHoldIt(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Pending), "no listed replica is known to hold it")
	v = v.WithReport(partialReport("b", group.Replica, now.Add(ms(6)), 1, 11))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Confirmed))
	g.Expect(retained(v, now.Add(2*time.Second))).To(Equal(view.Pending), "c may have promised a later term within the lease")
}

// TestCommitOfARestartedReplicaIsNotKept guards against a lost commit: both replicas have
// promised a later term, one restarts, forgets its promise and acknowledges.
func TestCommitOfARestartedReplicaIsNotKept(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	v = v.WithReport(fullReport("b", group.Replica, now.Add(ms(1)), 2, 10)).
		WithReport(fullReport("c", group.Replica, now.Add(ms(1)), 2, 10)).
		WithReport(fullReport("b", group.Replica, now.Add(ms(900)), 0, 11))
	g.Expect(retained(v, now.Add(ms(905)))).To(Equal(view.Pending))
	g.Expect(retained(v.WithSilence("c"), now.Add(ms(905)))).To(Equal(view.Pending), "c has promised, even if it does not answer now")
}

// TestCommitAfterARestartIsHeldByAllReplicas guards against a lost commit: each replica
// restarts after its promise, so that none of them shows that an attempt is under way.
func TestCommitAfterARestartIsHeldByAllReplicas(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	back := fullReport("b", group.Replica, now.Add(ms(500)), 0, 11)
	back.Interrupted = true
	v = v.WithReport(back).WithReport(fullReport("c", group.Replica, now.Add(ms(500)), 0, 10))
	g.Expect(retained(v, now.Add(ms(505)))).To(Equal(view.Pending))
	g.Expect(retained(v.WithSilence("c"), now.Add(ms(505)))).To(Equal(view.Pending), "c may only be restarting")
	v = v.WithReport(fullReport("c", group.Replica, now.Add(ms(510)), 0, 11))
	g.Expect(retained(v, now.Add(ms(505)))).To(Equal(view.Confirmed))
}

// TestCommitOfAnUnlistedReplicaIsNotKept guards against a lost commit: a replica that the
// promoter does not know yet has acknowledged.
func TestCommitOfAnUnlistedReplicaIsNotKept(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	v = v.WithReport(partialReport("d", group.Replica, now.Add(ms(6)), 1, 11))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Pending))
	v = v.WithMembers([]view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}).
		WithReport(fullReport("d", group.Replica, now.Add(ms(7)), 0, 11))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Pending), "the promoter's list may be older than this one")
}

// TestCommitOfALeavingReplicaIsNotKept guards against a lost commit: the only replica that
// holds it leaves, and its log with it.
func TestCommitOfALeavingReplicaIsNotKept(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	v = v.WithReport(fullReport("b", group.Replica, now.Add(ms(6)), 0, 11))
	leaving := v.WithMembers([]view.Member{{Name: "a"}, {Name: "b", Draining: true}, {Name: "c"}}).WithClosed("b")
	g.Expect(retained(leaving, now.Add(ms(5)))).To(Equal(view.Pending))
	leaving = leaving.WithReport(fullReport("c", group.Replica, now.Add(ms(8)), 0, 11))
	g.Expect(retained(leaving, now.Add(ms(5)))).To(Equal(view.Confirmed))
}

// TestPromotionDecidesOnACommit covers a commit that was not decided when the promotion took
// effect.
func TestPromotionDecidesOnACommit(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	holds := v.WithReport(view.Report{Member: "b", SentAt: now.Add(ms(9)), State: group.State{Role: group.Primary, Term: 2, EntryTerm: 1, Received: 11}})
	g.Expect(retained(holds, now.Add(ms(5)))).To(Equal(view.Confirmed))
	lacks := v.WithReport(view.Report{Member: "b", SentAt: now.Add(ms(9)), State: group.State{Role: group.Primary, Term: 2, EntryTerm: 2, Received: 12}})
	g.Expect(retained(lacks, now.Add(ms(5)))).To(Equal(view.Unconfirmable))
	again := v.WithReport(view.Report{Member: "a", SentAt: now.Add(ms(9)), State: group.State{Role: group.Primary, Term: 2, EntryTerm: 2, Received: 12}})
	g.Expect(retained(again, now.Add(ms(5)))).To(Equal(view.Confirmed), "the same member leads on with its log")
}

// TestHandoverTargetKeepsCommits covers a planned handover, in which the other replicas have
// promised and only the target receives entries.
func TestHandoverTargetKeepsCommits(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	v = v.WithReport(fullReport("b", group.Replica, now.Add(ms(6)), 2, 10)).
		WithReport(fullReport("c", group.Replica, now.Add(ms(6)), 0, 11))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Pending))
	v = v.WithClaim(view.Handover{Term: 2, Token: 7, Target: "c"})
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Confirmed))
	g.Expect(retained(v.WithClaim(view.Handover{Term: 2, Token: 8}), now.Add(ms(5)))).To(Equal(view.Pending), "a failover outranks the handover")
}

// TestEntryOfARecentCommitShowsThatAReplicaHasNotPromised covers a replica that is too busy
// to report its promise, but serves reads.
func TestEntryOfARecentCommitShowsThatAReplicaHasNotPromised(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	own := partialReport("a", group.Primary, now.Add(3*time.Second), 1, 11)
	own.State.Confirmed = true
	v = v.WithReport(own).WithReport(partialReport("b", group.Replica, now.Add(3*time.Second+ms(50)), 1, 11))
	acknowledged := now.Add(3*time.Second + ms(40))
	g.Expect(retained(v, acknowledged)).To(Equal(view.Pending), "c has not shown it")
	v = v.WithReport(partialReport("c", group.Replica, now.Add(3*time.Second+ms(60)), 1, 11))
	g.Expect(retained(v, acknowledged)).To(Equal(view.Confirmed))
}

// unlist returns the view after the named members have disappeared from the list.
func unlist(v view.View, names ...string) view.View {
	members := v.Members()
	for i := range members {
		members[i].Unlisted = slices.Contains(names, members[i].Name)
	}
	return v.WithMembers(members)
}

// TestCommitOfAMemberThatIsNoLongerListedIsNotKept guards against a lost commit: the primary and
// a replica lose their path to the store and go on without the third member, which another proxy
// promotes.
func TestCommitOfAMemberThatIsNoLongerListedIsNotKept(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	v = v.WithReport(fullReport("b", group.Replica, now.Add(ms(6)), 0, 11))
	lapsed := unlist(v, "a", "b")
	g.Expect(retained(lapsed, now.Add(ms(5)))).To(Equal(view.Pending))
	g.Expect(retained(lapsed.WithSilence("c"), now.Add(ms(5)))).To(Equal(view.Pending))
	g.Expect(retained(lapsed.WithReport(fullReport("c", group.Replica, now.Add(ms(8)), 0, 11)), now.Add(ms(5)))).To(Equal(view.Confirmed))
	g.Expect(retained(unlist(v, "c"), now.Add(ms(5)))).To(Equal(view.Confirmed), "every promoter asks b")
}

// TestCommitsAreKeptWhileAllMembersAreUnlisted guards against refused writes while the list is
// empty, as it is for some time after the store was unavailable.
func TestCommitsAreKeptWhileAllMembersAreUnlisted(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	lapsed := unlist(v, "a", "b", "c").WithReport(fullReport("b", group.Replica, now.Add(ms(6)), 0, 11))
	g.Expect(retained(lapsed, now.Add(ms(5)))).To(Equal(view.Pending))
	lapsed = lapsed.WithReport(fullReport("c", group.Replica, now.Add(ms(8)), 0, 11))
	g.Expect(retained(lapsed, now.Add(ms(5)))).To(Equal(view.Confirmed))
}

// TestCommitOfAMemberThatIsListedAgainIsHeldByAll guards against a lost commit: a promoter whose
// list is older has removed the member.
func TestCommitOfAMemberThatIsListedAgainIsHeldByAll(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	v = unlist(unlist(v.WithReport(fullReport("b", group.Replica, now.Add(ms(6)), 0, 11)), "b"))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Pending), "it has not answered since")
	v = v.WithReport(fullReport("b", group.Replica, now.Add(ms(7)), 0, 11))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Pending))
	v = v.WithReport(fullReport("c", group.Replica, now.Add(ms(8)), 0, 11))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Confirmed))
}

// TestCommitAtAnIsolatedProxyIsHeldByEvery guards against a lost commit: a proxy that is cut off
// from the store and from other proxies still counts a member that these have removed.
func TestCommitAtAnIsolatedProxyIsHeldByEvery(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	v = v.WithReport(fullReport("b", group.Replica, now.Add(ms(6)), 0, 11)).WithIsolation(true)
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Pending))
	g.Expect(retained(v.WithSilence("c"), now.Add(ms(5)))).To(Equal(view.Pending), "the promoter may reach c")
	g.Expect(v.Informs("c", "", view.RetentionTimes{Acknowledged: now, LeaseStart: now.Add(-time.Second), Settle: settle})).To(BeTrue())
	v = v.WithReport(fullReport("c", group.Replica, now.Add(ms(8)), 0, 11))
	g.Expect(retained(v, now.Add(ms(5)))).To(Equal(view.Confirmed))
}

// TestCommitOfAReplicaThatIsListedLateIsNotKept guards against a lost commit: a commit that has
// waited for long is taken as kept once a replica is listed that the promoter does not know yet.
func TestCommitOfAReplicaThatIsListedLateIsNotKept(t *testing.T) {
	g := NewWithT(t)
	v, now := settled()
	acknowledged, listed := now.Add(ms(5)), now.Add(settle+ms(100))
	v = v.WithReport(fullReport("b", group.Replica, acknowledged, 0, 10)).WithReport(fullReport("c", group.Replica, acknowledged, 0, 10)).
		WithMembers([]view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	v = v.WithReport(fullReport("d", group.Replica, listed, 0, 11))
	times := view.RetentionTimes{Acknowledged: acknowledged, LeaseStart: acknowledged.Add(-time.Second), Settle: settle}
	commit := view.NewRetention("a", group.Floor{Term: 1, Position: 11}, times)
	g.Expect(commit.With(v, listed.Add(ms(10))).Status()).To(Equal(view.Pending))
	g.Expect(commit.With(v, listed.Add(settle+ms(10))).Status()).To(Equal(view.Confirmed))
}
