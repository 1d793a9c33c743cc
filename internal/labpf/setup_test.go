package labpf_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// requests returns the statements that members received under an ID.
func (s *site) requests(id string) []labpf.Statement {
	var found []labpf.Statement
	for _, st := range s.platform.Statements() {
		if st.ID == id && st.Request() != "BEGIN" {
			found = append(found, st)
		}
	}
	return found
}

// TestNothingRunsBehindASetupThatAMemberRefuses guards against statements that run with other
// values, or as other prepared statements, than their callers set up. The callers' proxies are an
// owner of the database and one that relays.
func TestNothingRunsBehindASetupThatAMemberRefuses(t *testing.T) {
	s, homes, others := newFleet(t)
	callers := []*caller{s.enter(homes[0], labpf.Latest), s.enter(others[0], labpf.Latest), s.enter(others[0], labpf.Session)}
	for _, c := range callers {
		s.comes(c, "WRITE k first")
		s.does(c, "PREPARE p WRITE q2c")
	}
	setups, served := 0, 0
	s.platform.RefuseSetups(func(string) bool {
		setups++
		return setups%3 == 0
	})
	for n := range 60 {
		c, value := callers[n%len(callers)], fmt.Sprint("v", n)
		s.does(c, "SET zone "+value)
		if n%5 == 0 {
			s.does(c, "BEGIN")
		}
		id, text := fmt.Sprint("setup-", n), "WRITE k "+value
		if n%2 == 0 {
			text = "EXECUTE p k " + value
		}
		_, code, state, err := c.askAs(id, text)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(code).To(BeElementOf("", "BUSY", "ABORTED"), "no outcome is unknown")
		for _, st := range s.requests(id) {
			s.Expect(st.Values).To(Equal(map[string]string{"zone": value}))
			if n%2 == 0 {
				s.Expect(st.Shape).To(Equal("q2c"))
			}
		}
		if code == "" {
			served++
			s.Expect(s.requests(id)).To(HaveLen(1))
		}
		if state != "I" {
			_, _, _, err = c.ask("ROLLBACK")
			s.Expect(err).NotTo(HaveOccurred())
		}
	}
	s.Expect(served).To(BeNumerically(">", 5))
	s.platform.RefuseSetups(nil)
	for i, c := range callers {
		s.does(c, fmt.Sprint("SET zone last", i))
		s.does(c, "WRITE k last")
	}
}
