package stmt_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/stmt"
)

// TestStateIsMeasured guards against state of sessions and of connections that grows without
// being noticed.
func TestStateIsMeasured(t *testing.T) {
	g := NewWithT(t)
	const names, length = 50, 1000
	var s stmt.Session
	var setup stmt.Setup
	text := strings.Repeat("x", length)
	for i := range names {
		name := fmt.Sprint("name", i)
		s, _ = s.ApplyLocally(stmt.Statement{Kind: stmt.Set, Name: name, Value: text})
		s, _ = s.ApplyLocally(stmt.Statement{Kind: stmt.Prepare, Name: name, Shape: stmt.Shape{Text: name + text}})
		_, _, setup = setup.Missing(s, stmt.Statement{Kind: stmt.Execute, Name: name})
	}
	g.Expect(s.Bytes()).To(BeNumerically(">=", 2*names*length))
	g.Expect(setup.Bytes()).To(BeNumerically(">=", 2*names*length), "values and texts of prepared statements")
	_, _, setup = setup.Missing(stmt.Session{}, stmt.Statement{Kind: stmt.Read})
	g.Expect(setup.Bytes()).To(BeZero(), "the connection was reset")
	for i := range names {
		s, _ = s.ApplyLocally(stmt.Statement{Kind: stmt.Deallocate, Name: fmt.Sprint("name", i)})
	}
	g.Expect(s.Bytes()).To(BeNumerically("<", 2*names*length))
}
