package trace_test

import (
	"bufio"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/trace"
)

func readRecords(g *WithT, name string) []trace.Record {
	file, err := os.Open(filepath.Join("testdata", name+".jsonl"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	records, err := trace.Read(file, "stock")
	g.Expect(err).NotTo(HaveOccurred())
	return records
}

// TestRecordedTraces replays traces recorded from running proxies, and compares the
// actions with those in testdata/outcomes.txt.
func TestRecordedTraces(t *testing.T) {
	file, err := os.Open(filepath.Join("testdata", "outcomes.txt"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, want, found := strings.Cut(lines.Text(), " -> ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var actions []elect.Action
			g.Expect(trace.Replay(readRecords(g, name), func(r trace.Record) { actions = append(actions, r.Actions...) })).To(Succeed())
			g.Expect(elect.FormatActions(actions)).To(Equal(want))
		})
	}
}

func TestReplayReportsGapsAndMismatches(t *testing.T) {
	g := NewWithT(t)
	ignore := func(trace.Record) {}
	records := readRecords(g, "switchover")
	var gap *trace.GapError
	g.Expect(trace.Replay(nil, ignore)).To(BeAssignableToTypeOf(gap))
	g.Expect(trace.Replay(records[1:], ignore)).To(BeAssignableToTypeOf(gap))
	g.Expect(trace.Replay(slices.Delete(slices.Clone(records), 7, 8), ignore)).To(MatchError(&trace.GapError{Got: 9, Want: 8}))
	handover := slices.IndexFunc(records, func(r trace.Record) bool { return r.Input.Event.Handover != nil })
	records[handover].Actions = nil
	g.Expect(trace.Replay(records, ignore)).To(MatchError(ContainSubstring("want nothing")))
	_, err := trace.Read(strings.NewReader("not JSON\n"), "stock")
	var line *trace.LineError
	g.Expect(err).To(BeAssignableToTypeOf(line))
}

// TestLongLinesOfOtherEventsAreSkipped guards against a log that cannot be replayed because another
// line of it is long, such as that of an entry of another writer or of a crash.
func TestLongLinesOfOtherEventsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	recorded, err := os.ReadFile(filepath.Join("testdata", "switchover.jsonl"))
	g.Expect(err).NotTo(HaveOccurred())
	long := `{"Event":604,"Cause":"` + strings.Repeat("x", 2<<20) + `"}` + "\n"
	records, err := trace.Read(strings.NewReader(long+string(recorded)+strings.TrimSpace(long)), "stock")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(Equal(readRecords(g, "switchover")))
}
