package ctrl

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
)

// settling decides when a proxy that starts has seen enough of the list of hosts to
// serve the databases that it owns. A proxy that the first list already has was restarted,
// and serves them at once. A new one waits until the list has been unchanged for a delay, or
// for maxSettleFactor times the delay in all. It is immutable and has no clock.
type settling struct {
	host  string
	delay time.Duration
	// serial is that of the last list of hosts, read at changedAt. The first one was read
	// at firstAt.
	serial    uint64
	changedAt time.Time
	firstAt   time.Time
	over      bool
}

// maxSettleFactor limits the wait where hosts join all the time.
const maxSettleFactor = 3

func newSettling(host string, delay time.Duration) settling {
	return settling{host: host, delay: delay, over: delay == 0}
}

// settled reports whether the wait is over.
func (s settling) settled() bool { return s.over }

// due returns a channel that fires when the wait may be over, or nil.
func (s settling) due() <-chan time.Time {
	if s.over || s.firstAt.IsZero() {
		return nil
	}
	return time.After(time.Until(s.end()))
}

func (s settling) end() time.Time {
	end, limit := s.changedAt.Add(s.delay), s.firstAt.Add(maxSettleFactor*s.delay)
	if limit.Before(end) {
		return limit
	}
	return end
}

// with returns the state after the documents were read.
func (s settling) with(documents book.DocumentSet, now time.Time) settling {
	serial := documents.Serial(book.Hosts)
	if s.over || serial == 0 {
		return s
	}
	if s.firstAt.IsZero() {
		s.firstAt = now
		s.over = slices.ContainsFunc(documents.Hosts(), func(h book.Host) bool { return h.Name == s.host })
	}
	if serial != s.serial {
		s.serial, s.changedAt = serial, now
	}
	s.over = s.over || !now.Before(s.end())
	return s
}
