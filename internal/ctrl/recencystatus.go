package ctrl

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/recent"
)

// RecencyStatus describes the proof that the sheet in force is the store's newest.
type RecencyStatus struct {
	// Age is the age of the proof, if Proven, and Source the host that gave it or one of the
	// sources of package recent.
	Proven bool
	Age    time.Duration
	Source string
	// Recent is set if keys are accepted.
	Recent bool
	// Reader is set if this host is one of those that read the store for their region.
	Reader bool
	// Queries, Reads and FailedReads count the queries to peers and the reads of the store
	// since the start.
	Queries, Reads, FailedReads uint64
}

// Status returns the status of the proof.
func (r *Recency) Status() RecencyStatus {
	s := *r.state.Load()
	now := r.options.Clock()
	proof, proven := s.Proof()
	status := RecencyStatus{
		Proven: proven, Source: proof.Source, Recent: s.Recent(now), Reader: s.Reader(),
		Queries: r.counts.queries.Load(), Reads: r.counts.reads.Load(), FailedReads: r.counts.failedReads.Load(),
	}
	if proven {
		status.Age = now - proof.At
	}
	return status
}

// recencyReport limits the log lines about changes of the recency. It is used by run only.
type recencyReport struct {
	// expired is set while the proof is too old, and logged while the last line says so.
	expired    bool
	logged     bool
	loggedAt   time.Duration
	everLogged bool
	suppressed int
}

// reportPause is the least time between two log lines that say that the proof is too old.
const reportPause = 10 * time.Second

// reportChange logs that keys are refused or accepted again, at most one pair of lines per
// reportPause.
func (r *Recency) reportChange() {
	s := *r.state.Load()
	now := r.options.Clock()
	expired := s.Expired(now)
	report := &r.report
	switch {
	case expired == report.expired:
	case expired && report.everLogged && now-report.loggedAt < reportPause:
		report.suppressed++
	case expired:
		r.logExpired(s, now)
	case report.logged:
		report.logged = false
		r.options.Log.Emit(event.KeyProofRenewed, event.Fields{"Serial": s.Sheet().Serial, "Source": sourceOf(s)})
	}
	report.expired = expired
}

func (r *Recency) logExpired(s recent.State, now time.Duration) {
	fields := event.Fields{"Serial": s.Sheet().Serial, "Source": sourceOf(s)}
	if proof, proven := s.Proof(); proven {
		fields["AgeMs"] = (now - proof.At).Milliseconds()
	}
	if failure := r.failure.Load(); failure != nil {
		fields["Cause"] = failure.cause.Error()
	}
	if r.report.suppressed > 0 {
		fields["Suppressed"] = r.report.suppressed
	}
	r.options.Log.Emit(event.KeyProofExpired, fields)
	r.report.logged, r.report.everLogged, r.report.loggedAt, r.report.suppressed = true, true, now, 0
}

func sourceOf(s recent.State) string {
	proof, _ := s.Proof()
	return proof.Source
}
