package labpf_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// longestRest is how long the stand-in's configuration lets a transaction rest.
const longestRest = 3 * time.Second

// TestATransactionThatRestsForTooLongIsRolledBack holds what it wrote no longer, and its
// caller is told with its next statement, not before.
func TestATransactionThatRestsForTooLongIsRolledBack(t *testing.T) {
	s := newSite(t, 1)
	c := s.enter(0, labpf.Session)
	s.comes(c, "WRITE k before")
	s.does(c, "BEGIN")
	s.does(c, "WRITE k inside")
	time.Sleep(longestRest / 2)
	s.does(c, "READ k")
	_ = c.conn.SetReadDeadline(time.Now().Add(longestRest + time.Second/2))
	_, err := c.answers.ReadByte()
	s.Expect(err).To(MatchError(ContainSubstring("timeout")), "nothing is sent that was not asked for")
	_, code, state, err := c.ask("WRITE k more")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect([]string{code, state}).To(Equal([]string{"ABORTED", "E"}))
	s.does(c, "ROLLBACK")
	s.Expect(s.does(c, "READ k")).To(Equal("before"))
	s.Expect(s.platform.Count("inside")).To(BeZero())
	s.Expect(s.log.with(`"Event":205`)).To(HaveLen(1))
}

// TestACommitAfterTooLongARestIsRefused is told that nothing is kept.
func TestACommitAfterTooLongARestIsRefused(t *testing.T) {
	s := newSite(t, 1)
	c := s.enter(0, labpf.Session)
	s.comes(c, "WRITE k before")
	s.does(c, "BEGIN")
	s.does(c, "WRITE k inside")
	time.Sleep(longestRest + time.Second/2)
	_, code, state, err := c.ask("COMMIT")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect([]string{code, state}).To(Equal([]string{"ABORTED", "I"}))
	s.Expect(s.does(c, "READ k")).To(Equal("before"))
}
