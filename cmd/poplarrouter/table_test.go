package main

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/chain"
)

// TestTextsOfOthersStayInTheirCells guards against a status or an explanation in which a name that
// another writer chose begins a row or a column, or is a command of the terminal.
func TestTextsOfOthersStayInTheirCells(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	s := app.Status{
		Sheet: app.SheetStatus{Serial: 1, LoadedBy: "anna\x1b[2J"}, Peers: []string{"front-2", "x\nPEERS"},
		Databases: []app.DatabaseStatus{{Name: "stock", Members: []app.MemberStatus{{Name: "m1\tsouth", Region: "north\nstock", Role: "primary"}}}},
		Queues:    []app.QueueStatus{{Member: "m1\vm2\fm3"}},
	}
	g.Expect(printStatus(&out, s)).To(Succeed())
	e := chain.Explanation{Database: "stock", Refusal: "no\nOWNER", Members: []chain.MemberChoice{{Name: "a\x00\tb", Why: "late\r"}}}
	g.Expect(printExplanation(&out, e)).To(Succeed())
	text := out.String()
	for _, want := range []string{`"anna\x1b[2J"`, `x\nPEERS]"`, `"m1\tsouth"  "north\nstock"`, `"m1\vm2\fm3"`, `"no\nOWNER"`, `"a\x00\tb"`, `"late\r"`} {
		g.Expect(text).To(ContainSubstring(want))
	}
	g.Expect(strings.ContainsAny(text, "\x00\x1b\t\r\v\f")).To(BeFalse())
}
