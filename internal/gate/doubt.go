package gate

import (
	"maps"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/pick"
)

const (
	// maxJudges bounds how many proxies judge whether a dispatcher is silent.
	maxJudges = 9
	// doubtPeriod is how often a proxy asks about a dispatcher that it doubts.
	doubtPeriod = 250 * time.Millisecond
	// opinionLife is how long another proxy's opinion counts.
	opinionLife = 2 * doubtPeriod
)

// doubtAfter returns how long a proxy goes unheard before it is asked whether it
// is there, which is more than the period of heartbeats.
func (d *Dispatch) doubtAfter() time.Duration { return d.options.Silence * 4 / 5 }

// opinion is what another proxy said of a dispatcher.
type opinion struct {
	silent bool
	at     time.Time
}

type opinionKey struct {
	from string
	of   string
}

// HandleSuspicionQuery implements peer.Handler. A proxy that has not been heard for a while
// is asked itself, so that the next opinion rests on its answer.
func (d *Dispatch) HandleSuspicionQuery(doubt peer.SuspicionQuery) peer.SuspicionVote {
	if doubt.Host == d.options.Host {
		return peer.SuspicionVote{Host: doubt.Host}
	}
	age := time.Since(d.options.Peers.Heard(doubt.Host))
	if age > d.doubtAfter() {
		d.options.Peers.Send(doubt.Host, peer.Frame{SuspicionQuery: &doubt})
	}
	return peer.SuspicionVote{Host: doubt.Host, Silent: age > d.options.Silence}
}

// TakeOpinion implements peer.Handler.
func (d *Dispatch) TakeOpinion(host string, o peer.SuspicionVote) {
	if host == o.Host {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(d.opinions, func(_ opinionKey, o opinion) bool { return now.Sub(o.at) > opinionLife })
	d.opinions[opinionKey{from: host, of: o.Host}] = opinion{silent: o.Silent, at: now}
}

// judges returns the proxies that judge a dispatcher of a member, and whether
// this proxy is one of them.
func (s *station) judges(dispatcher string) (others []string, self bool) {
	names := pick.First(s.key(), s.dispatch.candidates(s.member.Region, dispatcher), maxJudges)
	i := slices.Index(names, s.dispatch.options.Host)
	if i < 0 {
		return names, false
	}
	return slices.Delete(names, i, i+1), true
}

// doubt asks the dispatcher whether it is there, and the other judges whether
// they hear it.
func (s *station) doubt(dispatcher string, others []string) {
	for _, host := range append(others, dispatcher) {
		s.dispatch.options.Peers.Send(host, peer.Frame{SuspicionQuery: &peer.SuspicionQuery{Host: dispatcher}})
	}
}

// condemned tells whether most of the judges, this proxy included, say that the
// dispatcher is silent. A proxy that is cut off alone does not suffice.
func (d *Dispatch) condemned(dispatcher string, others []string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	silent := 1
	for _, host := range others {
		o, known := d.opinions[opinionKey{from: host, of: dispatcher}]
		if known && o.silent && now.Sub(o.at) <= opinionLife {
			silent++
		}
	}
	return 2*silent > len(others)+1
}
