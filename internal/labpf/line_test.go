package labpf_test

import (
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// TestMembersDoNotRunALineThatWasCutOff guards against stand-ins that run the beginning of a
// statement whose connection ended while it was sent, which shows as a statement that no caller sent.
func TestMembersDoNotRunALineThatWasCutOff(t *testing.T) {
	g := NewWithT(t)
	var address string
	platform, cleanUp, err := labpf.New(labpf.Options{Members: 1, Connections: 2, Via: func(a string) (string, error) {
		address = a
		return a, nil
	}})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("STARTUP " + labpf.Database + "\r\nQUERY q1 READ whole\r\nQUERY q2 READ cut"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	g.Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
	var answers strings.Builder
	buffer := make([]byte, 1<<10)
	for {
		n, err := conn.Read(buffer)
		answers.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	g.Expect(strings.Count(answers.String(), "READY")).To(Equal(2), "after the first line and the whole statement, in %q", answers.String())
	var ran []string
	for _, st := range platform.Statements() {
		ran = append(ran, st.Text)
	}
	g.Expect(ran).To(Equal([]string{"READ whole"}))
}
