package event_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/event"
)

// TestLinesOfNormalOperationPass guards against a limit that hides lines of the load that a
// proxy is designed for: 2,000 requests a second, of which all may fail.
func TestLinesOfNormalOperationPass(t *testing.T) {
	g := NewWithT(t)
	l := event.NewLimiter()
	now := time.Now()
	for i := range 20_000 {
		at := now.Add(time.Duration(i) * time.Second / 2_000)
		for _, e := range []event.Event{event.ReadRouted, event.WriteRouted, event.WriteConfirmed, event.RequestRejected, event.OutcomeUnknown, event.RelayChosen} {
			allowed, _ := l.Allow(e, at)
			g.Expect(allowed).To(BeTrue(), "event %d at line %d", e, i)
		}
	}
	g.Expect(l.Suppressed()).To(BeZero())
}

// TestFloodIsCutOffAndCounted guards against a log that grows with a flood, and against a flood
// that leaves no trace of what was left out.
func TestFloodIsCutOffAndCounted(t *testing.T) {
	g := NewWithT(t)
	l := event.NewLimiter()
	now := time.Now()
	const flood = 100_000
	written := uint64(0)
	for range flood {
		if allowed, _ := l.Allow(event.CallerDenied, now); allowed {
			written++
		}
	}
	g.Expect(written).To(BeEquivalentTo(2 * event.CallerDenied.Limited()))
	g.Expect(l.Suppressed()).To(Equal(flood - written))
	allowed, suppressed := l.Allow(event.CallerDenied, now.Add(time.Second))
	g.Expect(allowed).To(BeTrue())
	g.Expect(suppressed).To(Equal(flood - written))
	_, suppressed = l.Allow(event.CallerDenied, now.Add(time.Second))
	g.Expect(suppressed).To(BeZero(), "lines are counted once")
}

// TestSomeLinesAreNeverSuppressed guards against a limit of lines that must not be missing: of the
// process and its dependencies, of elections, which are replayed, and of broken invariants.
func TestSomeLinesAreNeverSuppressed(t *testing.T) {
	g := NewWithT(t)
	for _, e := range event.All() {
		if group := e / 100; group == 1 || group == 5 || group == 6 || group == 9 {
			g.Expect(e.Limited()).To(BeZero(), "event %d", e)
		}
	}
	for _, e := range event.All() {
		g.Expect(event.RequestRejected.Limited()).To(BeNumerically(">=", e.Limited()))
		g.Expect(event.OutcomeUnknown.Limited()).To(BeNumerically(">=", e.Limited()))
	}
}

// TestLongTextsAreShortened guards against lines that hold a caller's whole message.
func TestLongTextsAreShortened(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, cleanUp := event.New(&out)
	log.Emit(event.RequestRejected, event.Fields{"Request": strings.Repeat("x", 1<<20), "Rank": 1})
	log.Emit(event.ElectionStep, event.Fields{"Record": strings.Repeat("y", 1<<12)})
	cleanUp()
	g.Expect(len(out.String())).To(BeNumerically("<", 1<<13))
	g.Expect(strings.Count(out.String(), "y")).To(BeNumerically(">=", 1<<12), "records of elections are whole")
}

// TestTextsOfOthersAreShortened guards against lines that hold a whole entry or document of another
// writer: a line of several MiB, which no reader of the log accepts, for each change of it.
func TestTextsOfOthersAreShortened(t *testing.T) {
	type kind string
	for _, e := range event.All() {
		if e == event.ElectionStep {
			continue
		}
		g := NewWithT(t)
		var out bytes.Buffer
		log, cleanUp := event.New(&out)
		log.Emit(e, event.Fields{"Cause": strings.Repeat("x", 1<<20), "Kind": kind(strings.Repeat("\x01", 1<<20)), "Rank": 1})
		cleanUp()
		g.Expect(out.Len()).To(BeNumerically("<", 1<<18), "event %d", e)
		g.Expect(out.String()).To(And(ContainSubstring("xxx..."), ContainSubstring(`"Rank":1`)))
	}
}
