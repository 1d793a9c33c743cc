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

var row = regexp.MustCompile("(?m)^\\| `([0-9A-Z]{5})` \\| ([a-z-]+) \\| (not run|unknown) \\|")

// TestPage holds the table of docs/ERRORS.md against the code.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "ERRORS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	var listed, known []string
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, fmt.Sprint(match[1:]))
	}
	for _, k := range fault.Kinds() {
		known = append(known, fmt.Sprint([]string{k.SQLState(), k.String(), k.Outcome().String()}))
	}
	g.Expect(listed).To(Equal(known))
}

func TestCauseStaysOutOfTheMessage(t *testing.T) {
	g := NewWithT(t)
	err := fault.Wrap(errors.New("secret cause"), fault.Unreachable, "get connection", "no connection to %s", "m")
	g.Expect(err.Error()).To(ContainSubstring("secret cause"))
	g.Expect(err.Message()).To(Equal("get connection: no connection to m (outcome: not run)"))
	g.Expect(fault.FromError(errors.Wrap(err, "outer"))).To(BeIdenticalTo(err))
	g.Expect(fault.FromError(errors.New("other")).Kind.Outcome()).To(Equal(fault.Unknown), "an unclassified error may have run")
}
