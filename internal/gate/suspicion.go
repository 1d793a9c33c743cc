package gate

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/pick"
)

const (
	// maxVoters is the largest number of proxies that vote on whether a lease holder
	// has failed.
	maxVoters = 9
	// voteRequestPeriod is how often a proxy requests votes on a lease holder that it
	// suspects.
	voteRequestPeriod = 250 * time.Millisecond
	// voteLifetime is how long another proxy's vote counts.
	voteLifetime = 2 * voteRequestPeriod
)

// suspectAfter returns how long nothing must have been received from a proxy before it
// is suspected and probed. It is longer than the heartbeat period.
func (lm *LeaseManager) suspectAfter() time.Duration { return lm.options.FailureTimeout * 4 / 5 }

// vote is another proxy's vote on a lease holder.
type vote struct {
	failed     bool
	receivedAt time.Time
}

type voteKey struct {
	voter  string
	holder string
}

// HandleSuspicionQuery implements peer.Handler. It returns this proxy's vote on a host. If
// nothing has been received from that host for a while, the host is probed too, so
// that the next vote takes its reply into account.
func (lm *LeaseManager) HandleSuspicionQuery(question peer.SuspicionQuery) peer.SuspicionVote {
	if question.Host == lm.options.Host {
		return peer.SuspicionVote{Host: question.Host}
	}
	age := time.Since(lm.options.Peers.Heard(question.Host))
	if age > lm.suspectAfter() {
		lm.options.Peers.Send(question.Host, peer.Frame{SuspicionQuery: &question})
	}
	return peer.SuspicionVote{Host: question.Host, Silent: age > lm.options.FailureTimeout}
}

// TakeOpinion implements peer.Handler. It records another proxy's vote.
func (lm *LeaseManager) TakeOpinion(host string, v peer.SuspicionVote) {
	if host == v.Host {
		return
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(lm.votes, func(_ voteKey, v vote) bool { return now.Sub(v.receivedAt) > voteLifetime })
	lm.votes[voteKey{voter: host, holder: v.Host}] = vote{failed: v.Silent, receivedAt: now}
}

// voters returns the other proxies that vote on a lease holder of the member, and
// whether this proxy is a voter.
func (l *memberLease) voters(holder string) (others []string, self bool) {
	hosts := pick.First(l.key(), l.manager.candidates(l.member.Region, holder), maxVoters)
	i := slices.Index(hosts, l.manager.options.Host)
	if i < 0 {
		return hosts, false
	}
	return slices.Delete(hosts, i, i+1), true
}

// requestVotes probes the lease holder, and asks the other voters for their votes.
func (l *memberLease) requestVotes(holder string, others []string) {
	for _, host := range append(others, holder) {
		l.manager.options.Peers.Send(host, peer.Frame{SuspicionQuery: &peer.SuspicionQuery{Host: holder}})
	}
}

// declaredFailed reports whether a majority of the voters, this proxy included, find
// the lease holder unresponsive. One partitioned proxy alone is no majority.
func (lm *LeaseManager) declaredFailed(holder string, others []string, now time.Time) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	failed := 1
	for _, host := range others {
		v, known := lm.votes[voteKey{voter: host, holder: holder}]
		if known && v.failed && now.Sub(v.receivedAt) <= voteLifetime {
			failed++
		}
	}
	return 2*failed > len(others)+1
}
