package labpf_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// TestStatementThatGrowsTooLongIsRefused guards against statements of an allowed length that the
// proxy makes longer than a member reads, which ends the connection: the caller got an unknown
// outcome for work that had not run.
func TestStatementThatGrowsTooLongIsRefused(t *testing.T) {
	s := newSite(t, 1)
	c := s.enter(0, labpf.Session)
	s.comes(c, "WRITE k first")
	longest := func(start string) string { return start + strings.Repeat("x", 1<<20-len("QUERY i \r\n")-len(start)) }
	s.does(c, "PREPARE p WRITE q2c")
	_, code, state, err := c.askAs("i", longest("EXECUTE p k "))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect([]string{code, state}).To(Equal([]string{"TOOBIG", "I"}))
	_, code, _, err = c.askAs("i", longest("READ k"))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(code).To(BeElementOf("", "TOOBIG"), "with a position before it, it is too long")
	_, code, _, err = c.askAs("i", longest("WRITE k "))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(code).To(BeEmpty(), "a statement that does not grow runs")
}

// TestLongStatementIsRelayed guards against a statement of an allowed length that only the proxies which
// own the database run, because its arguments are relayed twice.
func TestLongStatementIsRelayed(t *testing.T) {
	s, homes, others := newFleet(t)
	s.comes(s.enter(0, labpf.Latest), "WRITE k first")
	for _, i := range []int{homes[0], others[0]} {
		c := s.enter(i, labpf.Latest)
		s.does(c, "PREPARE p WRITE q2c")
		value := strings.Repeat("x", 1<<20-len("QUERY id EXECUTE sNNNNNNN k \r\n"))
		_, code, _, err := c.askAs("id", "EXECUTE p k "+value)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(code).To(BeEmpty())
		s.Expect(len(s.does(c, "READ k"))).To(Equal(len(value)))
		s.does(c, "WRITE k short")
	}
}
