package view

import (
	"maps"
	"time"

	"poplarrouter.example/poplarrouter/pkg/group"
)

// Handover is a planned change of the primary that a promoter announced. Until it takes
// effect, the primary of the previous term stays in service, and only the target receives
// its entries.
type Handover struct {
	// Term is the claimed term.
	Term   group.Term
	Token  uint64
	Target string
}

// WithClaim returns the view after a claim was announced, with the target of a handover or
// none. A claim that another one outranks changes nothing.
func (v View) WithClaim(h Handover) View {
	if h.Term > v.claim.Term || (h.Term == v.claim.Term && h.Token > v.claim.Token) {
		v.claim = h
	}
	return v
}

// handoverTarget returns the member that alone receives the entries of the term, because
// it is to lead the next one.
func (v View) handoverTarget(term group.Term) (string, bool) {
	return v.claim.Target, v.claim.Target != "" && v.claim.Term == term+1
}

// mark is a position such that its entry and all later ones were written after a time.
type mark struct {
	floor group.Floor
	at    time.Time
}

// maxMarks bounds the number of stored marks. Together with markSpacing, they cover more
// than the age at which a member is asked for its promise again.
const (
	maxMarks    = 16
	markSpacing = 100 * time.Millisecond
)

// withMark records the end of the primary's log after a commit of this proxy: the last
// entry was written after the commit was sent. The primary's answers to other queries are
// of no use here, because it reports an entry only once a replica has acknowledged it.
func withMark(marks []mark, r Report) []mark {
	n := len(marks)
	if n > 0 && r.SentAt.Sub(marks[n-1].at) < markSpacing {
		return marks
	}
	if n >= maxMarks {
		marks = marks[1:]
	}
	return append(append([]mark(nil), marks...), mark{r.State.LastEntry(), r.SentAt})
}

// withPromise records since when a member is known to have made no promise: it reported
// so, or it has received an entry that was written after that time. A replica that has
// promised a later term receives none.
func (v View) withPromise(r Report) View {
	previous := v.unpromisedAt[r.Member]
	latest := previous
	switch {
	case r.State.Fenced():
		latest = time.Time{}
	case !r.State.Partial:
		latest = later(latest, r.SentAt)
	default:
		for _, k := range v.marks {
			if k.floor.Term == r.State.EntryTerm && k.floor.Position <= r.State.Received {
				latest = later(latest, k.at)
			}
		}
	}
	if !latest.Equal(previous) {
		v.unpromisedAt = cloneWith(v.unpromisedAt, r.Member, latest)
	}
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Retention decides whether every promotion keeps a commit that the primary acknowledged
// once a single replica held it. It is for members that promise a term to every promoter
// and forget the promise when they restart.
//
// A promotion takes the longest log of all replicas that a promoter knows, once they have
// promised its term, after waiting for a lease and asking them again. A promoter knows every
// listed replica, and those that are no longer listed until they have not answered it for
// some time. The commit is therefore kept if a listed replica that is not about to leave
// holds it, and no replica had promised a later term within the lease before the
// acknowledgement. The promises of the other replicas matter because the holder may have
// forgotten its own.
//
// This does not suffice shortly after a replica was listed or restarted. A promoter may not
// know the new replica, and several replicas may have forgotten their promises. All
// replicas must then hold the commit, until such an attempt is over.
//
// Nor does it suffice at a proxy that may lack a newer list, because a promoter may have
// removed the holder. A commit that every replica holds is kept whichever of them the
// promoter asks.
//
// A Retention is immutable.
type Retention struct {
	primary string
	floor   group.Floor
	times   RetentionTimes
	holders map[string]bool
	status  Confirmation
}

// RetentionTimes are the times that matter for the retention of a commit.
type RetentionTimes struct {
	// Acknowledged is when the acknowledgement was received.
	Acknowledged time.Time
	// LeaseStart is the beginning of the lease before the acknowledgement.
	LeaseStart time.Time
	// Settle is the longest time for which an attempt runs.
	Settle time.Duration
}

// NewRetention returns the undecided retention of a commit that the primary reported at a
// floor.
func NewRetention(primary string, f group.Floor, times RetentionTimes) Retention {
	return Retention{primary: primary, floor: f, times: times}
}

// Status returns whether the commit is kept, may be lost, or is not decided yet.
func (r Retention) Status() Confirmation { return r.status }

// With returns the retention after a change of the view.
func (r Retention) With(v View, now time.Time) Retention {
	if r.status != Pending {
		return r
	}
	r = r.withHolders(v)
	settling := v.changedSince(r.primary, r.times.Acknowledged.Add(-r.times.Settle)) &&
		(now.Before(r.times.Acknowledged.Add(r.times.Settle)) || v.changedSince(r.primary, now.Add(-r.times.Settle)))
	switch {
	case v.Term() > r.floor.Term:
		r.status = r.afterPromotion(v)
	case r.heldByEvery(v):
		r.status = Confirmed
	case v.isolated:
	case settling && r.heldByAll(v, now), !settling && r.unpromised(v) && r.held(v):
		r.status = Confirmed
	}
	return r
}

// heldByEvery reports whether every replica that is known holds the commit, whether it is
// listed and answers or not, and one of them is not about to leave.
func (r Retention) heldByEvery(v View) bool {
	held := false
	for _, m := range v.members {
		if m.Name == r.primary {
			continue
		}
		if !r.holders[m.Name] {
			return false
		}
		held = held || !m.Closed
	}
	return held
}

// confirms reports whether a commit that the member holds is kept: every promoter asks it.
func (v View) confirms(m Member) bool { return !m.Closed && !m.Unlisted && !v.relisted[m.Name] }

// changedSince reports whether a replica was listed or restarted after a time.
func (v View) changedSince(primary string, since time.Time) bool {
	for _, m := range v.members {
		if m.Name != primary && v.changedAt[m.Name].After(since) {
			return true
		}
	}
	return false
}

// heldByAll reports whether all replicas that answered of late hold the commit, and every
// promoter asks one of them.
func (r Retention) heldByAll(v View, now time.Time) bool {
	held := false
	for _, m := range v.members {
		report, reported := v.reports[m.Name]
		if m.Name == r.primary || !reported || (v.silent[m.Name] && now.Sub(report.ReceivedAt) >= r.times.Settle) {
			continue
		}
		if !r.holders[m.Name] {
			return false
		}
		held = held || v.confirms(m)
	}
	return held
}

// withHolders records the replicas that have received the commit.
func (r Retention) withHolders(v View) Retention {
	for _, m := range v.members {
		report, reported := v.reports[m.Name]
		if !reported || m.Name == r.primary || r.holders[m.Name] || !r.contains(report.State) {
			continue
		}
		holders := maps.Clone(r.holders)
		if holders == nil {
			holders = make(map[string]bool, 1)
		}
		holders[m.Name] = true
		r.holders = holders
	}
	return r
}

// contains reports whether the log of a member is known to contain the commit.
func (r Retention) contains(s group.State) bool {
	return s.EntryTerm == r.floor.Term && s.Received >= r.floor.Position
}

// unpromised reports whether no replica that answers had promised a later term within the
// lease.
func (r Retention) unpromised(v View) bool {
	target, planned := v.handoverTarget(r.floor.Term)
	for _, m := range v.members {
		report, reported := v.reports[m.Name]
		if m.Name == r.primary || !reported || (planned && m.Name != target) {
			continue
		}
		if report.State.Fence > r.floor.Term || (!v.silent[m.Name] && v.unpromisedAt[m.Name].Before(r.times.LeaseStart)) {
			return false
		}
	}
	return true
}

// held reports whether a replica holds the commit that takes part in the next promotion.
func (r Retention) held(v View) bool {
	target, planned := v.handoverTarget(r.floor.Term)
	for _, m := range v.members {
		if r.holders[m.Name] && v.confirms(m) && (!planned || m.Name == target) {
			return true
		}
	}
	return false
}

// afterPromotion returns whether the primary of a later term has kept the commit. A
// primary keeps what it had received in the term before.
func (r Retention) afterPromotion(v View) Confirmation {
	successor, found := v.Primary()
	if !found {
		return Pending
	}
	next := successor.State.Term == r.floor.Term+1
	if r.contains(successor.State) || (next && (successor.Member == r.primary || r.holders[successor.Member])) {
		return Confirmed
	}
	return Unconfirmable
}

// Informs reports whether a member's state helps to decide on commits: it may hold them,
// or it is not known to have made no promise since the lease began. The commits were
// acknowledged about now, with the given times.
func (v View) Informs(member, region string, times RetentionTimes) bool {
	primary, found := v.Primary()
	if found && primary.Member == member {
		return primary.State.Fenced()
	}
	if v.unpromisedAt[member].Before(times.LeaseStart) || v.changedSince(primary.Member, times.Acknowledged.Add(-times.Settle)) {
		return true
	}
	if target, planned := v.handoverTarget(v.Term()); planned {
		return member == target
	}
	nearest := v.nearestReplica(region)
	return member == nearest || nearest == "" || v.isolated
}

// nearestReplica returns the replica that answers soonest and confirms commits, or "" if there
// is none.
func (v View) nearestReplica(region string) string {
	primary, _ := v.Primary()
	nearest := ""
	for _, m := range v.members {
		if m.Name == primary.Member || !v.confirms(m) || v.silent[m.Name] {
			continue
		}
		if nearest == "" {
			nearest = m.Name
		}
		if m.Region == region {
			return m.Name
		}
	}
	return nearest
}
