package soak_test

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labpf"
	"poplarrouter.example/poplarrouter/internal/soak"
)

// shortTime is for how long faults are injected in a run of CI.
const shortTime = 5 * time.Second

// TestSeedsThatFailedOnce runs the seeds of testdata/seeds.txt, each with a line on what it
// found, for a short time.
func TestSeedsThatFailedOnce(t *testing.T) {
	g := NewWithT(t)
	program := filepath.Join(t.TempDir(), "poplarrouter")
	out, err := exec.Command("go", "build", "-o", program, "poplarrouter.example/poplarrouter/cmd/poplarrouter").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	file, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		word, cause, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(word, 10, 64)
		g.Expect(err).NotTo(HaveOccurred(), line)
		t.Run(word, func(t *testing.T) {
			g := NewWithT(t)
			report, err := soak.Run(t.Context(), soak.Options{
				Program: program, Dir: t.TempDir(), Seed: seed, Time: shortTime, Proxies: 10, Callers: 12, Progress: testWriter{t},
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.Answers["OK"]).To(BeNumerically(">", 0))
			g.Expect(report.Statements).To(BeNumerically(">", 0))
			g.Expect(report.Broken).To(BeEmpty(), cause)
		})
	}
}

// testWriter writes to the log of a test.
type testWriter struct{ *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

// TestALinkMisbehavesAsItIsTold passes bytes, holds them back, and resets connections.
func TestALinkMisbehavesAsItIsTold(t *testing.T) {
	g := NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = target.Close() })
	l, err := soak.NewLink(target.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(l.Close)
	near, err := net.Dial("tcp", l.Address())
	g.Expect(err).NotTo(HaveOccurred())
	far, err := target.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	read := func(conn net.Conn) string {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		buffer := make([]byte, 8)
		n, _ := conn.Read(buffer)
		return string(buffer[:n])
	}
	_, _ = near.Write([]byte("a"))
	g.Eventually(func() string { return read(far) }).Should(Equal("a"))
	l.Set(false, true)
	_, _ = near.Write([]byte("b"))
	_, _ = far.Write([]byte("c"))
	g.Eventually(func() string { return read(near) }).Should(Equal("c"))
	g.Expect(read(far)).To(BeEmpty())
	l.Set(true, true)
	g.Eventually(func() string { return read(far) }).Should(Equal("b"), "held back, not lost")
	l.Reset()
	_ = near.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = near.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
}

// TestSoakTellsAlteredStatements guards against a soak that takes an altered statement for what its
// caller sent, as it did when members ran statements of issue 36.
func TestSoakTellsAlteredStatements(t *testing.T) {
	g := NewWithT(t)
	sent := soak.NewSent()
	values := map[string]string{"zone": "north "}
	sent.Note("a", "READ q2f ", "", "", values, false)
	sent.Note("b", "EXECUTE s1 x  1", "WRITE", "q2f READ memmg", nil, false)
	sent.Note("c", "READ x", "", "", values, true)
	sent.Note("d", "EXECUTE s1 x", "READ", strings.Repeat("q", 100)+"1", nil, false)
	for _, st := range []labpf.Statement{
		{ID: "a", Text: "READ q2f ", Values: map[string]string{"zone": "north "}},
		{ID: "a", Text: "AFTER 2.17 READ q2f ", Values: values},
		{ID: "b", Text: "EXECUTE s9 x  1", Access: "WRITE", Shape: "q2f READ memmg"},
		{ID: "c", Text: "BEGIN", Values: values},
		{ID: "c", Text: "READ x", Values: values},
	} {
		g.Expect(sent.Differs(st)).To(BeEmpty(), "%+v", st)
	}
	for _, st := range []labpf.Statement{
		{ID: "z", Text: "READ q2f "},
		{ID: "a", Text: "READ q2f", Values: values},
		{ID: "a", Text: "AFTER 2.17 AFTER 2.17 READ q2f ", Values: values},
		{ID: "a", Text: "BEGIN", Values: values},
		{ID: "a", Text: "READ q2f "},
		{ID: "a", Text: "READ q2f ", Values: map[string]string{"zone": "north"}},
		{ID: "b", Text: "EXECUTE w_q2f READ memmg x  1", Access: "WRITE", Shape: "q2f READ memmg"},
		{ID: "b", Text: "EXECUTE s9 x 1", Access: "WRITE", Shape: "q2f READ memmg"},
		{ID: "b", Text: "EXECUTE s9 x  1", Access: "READ", Shape: "q2f READ memmg"},
		{ID: "b", Text: "EXECUTE s9 x  1", Access: "WRITE", Shape: "q2f"},
		{ID: "c", Text: "BEGIN"},
		{ID: "d", Text: "EXECUTE s1 x", Access: "READ", Shape: strings.Repeat("q", 100) + "2"},
	} {
		g.Expect(sent.Differs(st)).NotTo(BeEmpty(), "%+v", st)
	}
}
