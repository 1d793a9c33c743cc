package fault_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/pkg/fault"
)

// errorRow matches a row of the table in docs/ERRORS.md.
var errorRow = regexp.MustCompile("(?m)^\\| `([0-9A-Z]{5})` \\| ([a-z-]+) \\| (not run|unknown) \\|")

// TestDocumentedKinds compares the table of docs/ERRORS.md with the kinds in the code.
func TestDocumentedKinds(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "ERRORS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	var documented, defined []string
	for _, match := range errorRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, fmt.Sprint(match[1:]))
	}
	for _, k := range fault.Kinds() {
		defined = append(defined, fmt.Sprint([]string{k.SQLState(), k.String(), k.Outcome().String()}))
	}
	g.Expect(documented).To(Equal(defined))
}

// TestMessageOmitsTheCause guards against reporting internal causes to callers.
func TestMessageOmitsTheCause(t *testing.T) {
	g := NewWithT(t)
	err := fault.Wrap(errors.New("secret cause"), fault.Unreachable, "get connection", "no connection to %s", "m")
	g.Expect(err.Error()).To(ContainSubstring("secret cause"))
	g.Expect(err.Message()).To(Equal("get connection: no connection to m (outcome: not run)"))
	g.Expect(fault.FromError(errors.Wrap(err, "outer"))).To(BeIdenticalTo(err))
	g.Expect(fault.FromError(errors.New("other")).Kind.Outcome()).To(Equal(fault.Unknown), "an unclassified error may have run")
}
