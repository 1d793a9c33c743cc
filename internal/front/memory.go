package front

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/event"
)

const (
	// minAnswerTime and answerBytesPerSecond limit how long an answer may take to be written: a
	// caller that does not read is disconnected. The time is that of callers that wait for a
	// log-in, and the rate that of a slow link.
	minAnswerTime        = 10 * time.Second
	answerBytesPerSecond = 64 << 10
	// startGrace is how long a caller has for its log-in while other callers find no free
	// connection. It is about ten round trips between regions.
	startGrace = time.Second
)

// evict ends the session, because the memory budget is used up and the session holds most or
// is the slowest.
func (s *Session) evict(c budget.Class) {
	s.front.options.Log.Emit(event.CallerEvicted, event.Fields{
		"CallerID": s.Caller.ID, "Cause": "memory for " + c.String() + " is used up",
	})
	// The task that uses the connection notices this and closes it.
	if c == budget.Sending {
		_ = s.SetWriteDeadline(time.Now())
		return
	}
	_ = s.SetReadDeadline(time.Now())
}

// BeginAnswer sets the deadline for writing an answer of the given size to the caller, which is
// not after latest unless that is zero, and accounts for the answer until Memory.Sent is called.
func (s *Session) BeginAnswer(size int, latest time.Time) {
	deadline := time.Now().Add(minAnswerTime + time.Duration(size)*time.Second/answerBytesPerSecond)
	if !latest.IsZero() && latest.Before(deadline) {
		deadline = latest
	}
	_ = s.SetWriteDeadline(deadline)
	s.Memory.Send(size)
}

// evictStarting disconnects the caller whose log-in has taken longest, and reports whether there
// is one that has taken longer than startGrace. The front's lock must be held.
func (f *Front) evictStarting(now time.Time) bool {
	var slowest *Session
	for _, s := range f.sessions {
		s.mu.Lock()
		starting := !s.accepted && !s.relayed && !s.ending
		s.mu.Unlock()
		if starting && now.Sub(s.opened) >= startGrace && (slowest == nil || s.opened.Before(slowest.opened)) {
			slowest = s
		}
	}
	if slowest == nil {
		return false
	}
	delete(f.sessions, slowest.Caller.ID)
	_ = slowest.Close()
	return true
}
