package labpf_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// ran returns the statements that members received and that end in the given arguments.
func (s *site) ran(arguments string) []labpf.Statement {
	var found []labpf.Statement
	for _, st := range s.platform.Statements() {
		if strings.HasSuffix(st.Text, " "+arguments) {
			found = append(found, st)
		}
	}
	return found
}

// TestPreparedStatementOfSeveralWordsRunsAsSent guards against members that run a statement which
// no caller sent: words of the prepared text reached the member as arguments.
func TestPreparedStatementOfSeveralWordsRunsAsSent(t *testing.T) {
	shapes := []string{
		"q2f", "q2f READ memmg", "q2f  READ", "q2f ", " q2f", "q2f WRITE q2f", "READ", "-",
		"\tq2f", strings.Repeat("long ", 100) + "q2f",
		strings.Repeat("x", 600<<10),
	}
	s := newSite(t, 1)
	for i, shape := range shapes {
		c := s.enter(0, labpf.Latest)
		s.does(c, "PREPARE s1 WRITE "+shape)
		arguments := fmt.Sprintf("3b%d value%d", i, i)
		_, code, _, err := c.ask("EXECUTE s1 " + arguments)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(code).To(BeEmpty(), "shape %q", shape)
		ran := s.ran(arguments)
		s.Expect(ran).To(HaveLen(1), "shape %q", shape)
		s.Expect(strings.Split(ran[0].Text, " ")).To(HaveLen(4), "EXECUTE, a name and two arguments, in %q", ran[0].Text)
		s.Expect(ran[0].Shape).To(Equal(shape))
		s.Expect(s.platform.Count(fmt.Sprint("value", i))).To(Equal(1))
	}
}

// TestArgumentsOfAPreparedStatementKeepTheirBlanks guards against members that run an EXECUTE with
// other blanks than the caller sent.
func TestArgumentsOfAPreparedStatementKeepTheirBlanks(t *testing.T) {
	s := newSite(t, 1)
	c := s.enter(0, labpf.Latest)
	s.does(c, "PREPARE s1 WRITE q2f")
	s.does(c, "PREPARE s2 READ q2f")
	for i, arguments := range []string{"", " ", "  ", " 3b1 ", " 3b1  v "} {
		for _, name := range []string{"s1", "s2"} {
			id := fmt.Sprint("blanks-", name, i)
			_, _, _, err := c.askAs(id, "EXECUTE "+name+arguments)
			s.Expect(err).NotTo(HaveOccurred())
			var ran []string
			for _, st := range s.platform.Statements() {
				if st.ID == id && strings.HasPrefix(st.Text, "EXECUTE ") {
					ran = append(ran, st.Text)
				}
			}
			s.Expect(ran).To(HaveLen(1))
			s.Expect(ran[0]).To(MatchRegexp("^EXECUTE s[0-9]+"+arguments+"$"), "arguments %q", arguments)
		}
	}
}

// TestPreparedStatementsOfOtherCallersKeepTheirText guards against a caller whose acknowledged writes are
// lost because another caller on the same connection prepared a statement whose text begins with that of
// its own: at the member both had the same name.
func TestPreparedStatementsOfOtherCallersKeepTheirText(t *testing.T) {
	s := newSite(t, 1)
	a, b := s.enter(0, labpf.Latest), s.enter(0, labpf.Latest)
	s.does(a, "PREPARE s1 WRITE q2f")
	s.does(a, "EXECUTE s1 3b1 first")
	s.does(b, "PREPARE s1 WRITE q2f READ memmg")
	s.does(b, "EXECUTE s1 3b1 second")
	for i := range 3 {
		value := fmt.Sprint("third", i)
		s.does(a, "EXECUTE s1 3b1 "+value)
		s.Expect(s.platform.Count(value)).To(Equal(1), "an acknowledged write is kept")
		s.Expect(s.ran("3b1 " + value)).To(HaveExactElements(HaveField("Shape", "q2f")))
	}
}
