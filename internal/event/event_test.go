package event_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/event"
)

var eventRow = regexp.MustCompile(`(?m)^\| ([0-9]{3}) \| ([a-z-]+) \|`)

// TestCatalogue checks that docs/EVENTS.md lists the same event numbers and names as
// the code, in the same order.
func TestCatalogue(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "EVENTS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	var documented, declared []string
	for _, match := range eventRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1]+" "+match[2])
	}
	for _, e := range event.All() {
		declared = append(declared, fmt.Sprintf("%d %s", int(e), e))
	}
	g.Expect(documented).To(Equal(declared))
}

func TestLinesAreNumberedAndDropsAreCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, cleanUp := event.New(&out)
	log.Emit(event.Started, event.Fields{"Host": "h"})
	cleanUp()
	var line struct {
		Event int
		Name  string
		Host  string
	}
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line.Event).To(Equal(int(event.Started)))
	g.Expect(line.Name).To(Equal("started"))
	g.Expect(line.Host).To(Equal("h"))
	// The writer has stopped, so the ring fills up; Emit drops further lines and does not
	// block.
	for range 10_000 {
		log.Emit(event.Started, nil)
	}
	g.Expect(log.Dropped()).To(BeNumerically(">", 0))
}
