package main

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestDiffShowsWhatTheSheetMeans guards against a diff that shows all rows as changed, because a
// spreadsheet ends its lines with CR LF, and against one in which a cell is a command of the terminal.
func TestDiffShowsWhatTheSheetMeans(t *testing.T) {
	g := NewWithT(t)
	diff := func(from, to string) string {
		var out strings.Builder
		printDiff(&out, from, to)
		return out.String()
	}
	g.Expect(diff("head\na,1\nb,2\n", "head\r\na,1\r\nb,3\r\n")).To(Equal("-b,2\n+b,3\n"))
	g.Expect(diff("head\na,1\n", "head\na,\x1b[2J1\n")).To(Equal("-a,1\n+\"a,\\x1b[2J1\"\n"))
}
