package labpf_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// TestBytesOfStatementsAreKept guards against statements and rows that are changed on their way, also
// over another proxy, because they are not text.
func TestBytesOfStatementsAreKept(t *testing.T) {
	s, homes, others := newFleet(t)
	s.comes(s.enter(0, labpf.Latest), "WRITE k ready")
	for _, i := range []int{homes[0], others[0]} {
		c := s.enter(i, labpf.Latest)
		s.does(c, "PREPARE p\xff WRITE \x00 \xfe")
		for j, data := range []string{"\xff\xfe", "a\x00b", "a\rb", "a\tb", "  a  b", "\u2028\ufffd", "%s%n{{x}}'\"\\"} {
			value := fmt.Sprint(data, " end", i, j)
			for _, start := range []string{"WRITE k\xff ", "EXECUTE p\xff k\xff "} {
				id := fmt.Sprintf("\xff\t%%%d-%d-%.1s", i, j, start)
				_, code, _, err := c.askAs(id, start+value)
				s.Expect(err).NotTo(HaveOccurred())
				s.Expect(code).To(BeEmpty())
				var ran []string
				for _, st := range s.platform.Statements() {
					if st.ID == id {
						ran = append(ran, st.Text, st.Shape)
					}
				}
				if start[0] == 'W' {
					s.Expect(ran).To(Equal([]string{start + value, ""}))
				} else {
					s.Expect(ran).To(HaveLen(2))
					s.Expect(ran[0]).To(HaveSuffix(" k\xff " + value))
					s.Expect(ran[1]).To(Equal("\x00 \xfe"))
				}
				s.Expect(s.does(c, "READ k\xff")).To(Equal(value))
			}
		}
	}
}
