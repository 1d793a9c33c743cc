package stmt_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/stmt"
)

func ExampleSetup_Missing() {
	s, _ := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: stmt.Set, Name: "zone", Value: "north"})
	s, _ = s.ApplyLocally(stmt.Statement{Kind: stmt.Prepare, Name: "s1", Shape: stmt.Shape{Text: "q2c"}})
	execute := stmt.Statement{Kind: stmt.Execute, Name: "s1", Value: "1a4"}
	before, name, after := stmt.Setup{}.Missing(s, execute)
	fmt.Println(len(before), name)
	before, _, _ = after.Missing(s, execute)
	fmt.Println(len(before))
	// Output:
	// 2 s1
	// 0
}

// connection simulates a connection to a member: it applies the statements that change
// the connection's setup.
type connection struct {
	values   map[string]string
	prepared map[string]stmt.Shape
	// named holds all names that were prepared, and reused one that was prepared twice, if any.
	named  map[string]bool
	reused string
}

func (c *connection) run(st stmt.Statement) {
	switch st.Kind {
	case stmt.Reset:
		c.values, c.prepared = map[string]string{}, map[string]stmt.Shape{}
	case stmt.Set:
		c.values[st.Name] = st.Value
	case stmt.Prepare:
		if c.named[st.Name] {
			c.reused = st.Name
		}
		c.named[st.Name] = true
		c.prepared[st.Name] = st.Shape
	default:
	}
}

// TestSessionsSharingAConnectionKeepTheirState lets sessions that use the same names for
// different values and prepared statements take turns on one connection. Each must find
// its own values and prepared statements there.
func TestSessionsSharingAConnectionKeepTheirState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sessions := make([]stmt.Session, 3)
		conn := connection{values: map[string]string{}, prepared: map[string]stmt.Shape{}, named: map[string]bool{}}
		var setup stmt.Setup
		wanted := make([]map[string]string, len(sessions))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sessions)-1).Draw(t, "session")
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			text := rapid.SampledFrom([]string{"x", "y", "x READ y", "x ", " "}).Draw(t, "text")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				sessions[i], _ = sessions[i].ApplyLocally(stmt.Statement{Kind: stmt.Set, Name: name, Value: text})
				if wanted[i] == nil {
					wanted[i] = make(map[string]string)
				}
				wanted[i][name] = text
			case 1:
				shape := stmt.Shape{Writes: rapid.Bool().Draw(t, "writes"), Text: text}
				sessions[i], _ = sessions[i].ApplyLocally(stmt.Statement{Kind: stmt.Prepare, Name: name, Shape: shape})
			case 2:
				sessions[i], _ = sessions[i].ApplyLocally(stmt.Statement{Kind: stmt.Deallocate, Name: name})
			default:
				execute(t, sessions[i], wanted[i], name, &setup, &conn)
			}
		}
	})
}

// execute runs a prepared statement of s on conn, if s has one of that name, and checks the
// connection's values and prepared statement.
func execute(t *rapid.T, s stmt.Session, wanted map[string]string, name string, setup *stmt.Setup, conn *connection) {
	shape, prepared := s.Shape(name)
	if !prepared {
		return
	}
	before, preparedName, after := setup.Missing(s, stmt.Statement{Kind: stmt.Execute, Name: name})
	for _, b := range before {
		conn.run(b)
	}
	*setup = after
	if conn.reused != "" {
		t.Fatalf("name %q was given twice", conn.reused)
	}
	if strings.ContainsAny(preparedName, " \r\n") {
		t.Fatalf("got name %q, want one word", preparedName)
	}
	if got := conn.prepared[preparedName]; got != shape {
		t.Fatalf("statement %q: got shape %v, want %v", name, got, shape)
	}
	if len(conn.values) != len(wanted) {
		t.Fatalf("values: got %v, want %v", conn.values, wanted)
	}
	for n, v := range wanted {
		if conn.values[n] != v {
			t.Fatalf("value %q: got %q, want %q", n, conn.values[n], v)
		}
	}
}

// TestRollbackOfPendingTransactionIsAnsweredLocally checks that a rollback reaches a member
// only if the transaction was begun there.
func TestRollbackOfPendingTransactionIsAnsweredLocally(t *testing.T) {
	g := NewWithT(t)
	pending, local := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: stmt.Begin})
	g.Expect(local).To(BeTrue())
	g.Expect(pending.Phase).To(Equal(stmt.Pending))
	ended, local := pending.ApplyLocally(stmt.Statement{Kind: stmt.Rollback})
	g.Expect(local).To(BeTrue())
	g.Expect(ended.Phase).To(Equal(stmt.Idle))
	_, local = pending.WithPhase(stmt.Open).ApplyLocally(stmt.Statement{Kind: stmt.Rollback})
	g.Expect(local).To(BeFalse())
}
