package name_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/name"
)

// TestNamesThatMeanSomethingElse guards against a host whose name is read back as something else: as
// several words, another path, another header or a command.
func TestNamesThatMeanSomethingElse(t *testing.T) {
	g := NewWithT(t)
	for _, bad := range []string{
		"", " ", "a b", "a\tb", "a\u00a0b", "a/b", "..", ".", "-a", "a,b", "a:b", "a'b", `a"b`, "a\r\nb", "a\x00b", "a\xff", "a%2Fb", "a?b", "a#b", "a;b", "zürich-1",
		strings.Repeat("a", name.MaxBytes+1),
	} {
		g.Expect(name.Valid(bad)).To(BeFalse(), "%q", bad)
	}
	for _, good := range []string{"h", "front-west-innsbruck-1", "n1.example", "a_b", "0", strings.Repeat("a", name.MaxBytes)} {
		g.Expect(name.Valid(good)).To(BeTrue(), "%q", good)
	}
}
