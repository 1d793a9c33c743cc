package trail_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/trail"
)

const (
	callersHost = `{"Event":307,"Name":"relay-chosen","Request":"q1","Host":"front-2","Time":"2026-12-04T10:00:00.100Z"}
{"Event":307,"Name":"relay-chosen","Request":"q2","Host":"front-2","Time":"2026-12-04T10:00:00.100Z"}
panic: not a log line
{"Event":303,"Name":"work-refused","Request":"q1","Cause":"run at front-2: late","WaitedMs":291,"Time":"2026-12-04T10:00:00.391Z"}
`
	ownersHost = `10:00:00 front-2 {"Event":302,"Name":"write-routed","Request":"q1","Member":"m1","ProvenMs":87,"Time":"2026-12-04T10:00:00.110Z"}
`
)

func Example() {
	t, _ := trail.New("q1").WithLog("front-1", strings.NewReader(callersHost))
	t, _ = t.WithLog("collected", strings.NewReader(ownersHost))
	_ = t.Write(os.Stdout)
	// Output:
	//   +0.000s  front-1  relay-chosen  Host=front-2
	//   +0.010s  collected 10:00:00 front-2  write-routed  Member=m1 ProvenMs=87
	//   +0.291s  front-1  work-refused  WaitedMs=291 Cause=run at front-2: late
}

// TestLinesThatAreNotJSONAreCounted has a log with the text of a crash between its lines.
func TestLinesThatAreNotJSONAreCounted(t *testing.T) {
	g := NewWithT(t)
	read, err := trail.New("q1").WithLog("front-1", strings.NewReader(callersHost+"{\"Event\":30\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Skipped()).To(Equal(2))
	g.Expect(read.Lines()).To(HaveLen(2))
}

// TestLineOfAnUnknownTimeIsShown covers a line whose time cannot be read.
func TestLineOfAnUnknownTimeIsShown(t *testing.T) {
	g := NewWithT(t)
	read, err := trail.New("q1").WithLog("front-1", strings.NewReader(`{"Name":"work-refused","Request":"q1","Time":7}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Lines()).To(HaveLen(1))
}

// TestLongLinesDoNotEndTheTrail guards against a request that cannot be traced because another line
// of the log is long.
func TestLongLinesDoNotEndTheTrail(t *testing.T) {
	g := NewWithT(t)
	long := `{"Event":604,"Request":"q2","Cause":"` + strings.Repeat("x", 2<<20) + `"}` + "\n"
	read, err := trail.New("q1").WithLog("front-1", strings.NewReader(long+callersHost+strings.TrimSpace(long)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Lines()).To(HaveLen(2))
}

// TestTextsOfCallersForgeNoLineOrField guards against a trail in which a text that a caller or a
// member sent reads as another line, as another field, or as a command of the terminal.
func TestTextsOfCallersForgeNoLineOrField(t *testing.T) {
	g := NewWithT(t)
	raw, err := json.Marshal(map[string]any{
		"Name": "work-refused\nforged", "Request": "q1", "Time": "2026-12-04T10:00:00.100Z", "Label": "read Member=m2",
		"Caller": "\x1b[2Janna", "Cause": "late\n  +0.100s  front-1  write-confirmed  Member=m2", "Plain": "two words", "Text": "", "Quoted": `"a" b`,
		"List": []string{"a", "b=c\n"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	read, err := trail.New("q1").WithLog("front-1", strings.NewReader("col\x1b[2Jlector "+string(raw)+"\n"))
	g.Expect(err).NotTo(HaveOccurred())
	var out strings.Builder
	g.Expect(read.Write(&out)).To(Succeed())
	g.Expect(out.String()).To(Equal(`  +0.000s  "front-1 col\x1b[2Jlector"  "work-refused\nforged"  Caller="\x1b[2Janna" Label="read Member=m2" List="[a b=c\n]" Plain=two words Quoted="\"a\" b" Text= Cause="late\n  +0.100s  front-1  write-confirmed  Member=m2"` + "\n"))
}
