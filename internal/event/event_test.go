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

var row = regexp.MustCompile(`(?m)^\| ([0-9]{3}) \| ([a-z-]+) \|`)

// TestCatalogue holds docs/EVENTS.md against the code: the same numbers and
// names, in order.
func TestCatalogue(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "EVENTS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	var listed, known []string
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, match[1]+" "+match[2])
	}
	for _, e := range event.All() {
		known = append(known, fmt.Sprintf("%d %s", int(e), e))
	}
	g.Expect(listed).To(Equal(known))
}

func TestLinesAreNumberedAndDroppedOnesCounted(t *testing.T) {
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
	// The writer has ended: the ring fills, and further lines never wait.
	for range 10_000 {
		log.Emit(event.Started, nil)
	}
	g.Expect(log.Dropped()).To(BeNumerically(">", 0))
}
