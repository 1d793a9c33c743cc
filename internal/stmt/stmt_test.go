package stmt_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/stmt"
)

func ExampleSetup_Missing() {
	s, _ := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: stmt.Set, Name: "zone", Value: "north"})
	s, _ = s.ApplyLocally(stmt.Statement{Kind: stmt.Prepare, Name: "s1", Shape: stmt.Shape{Text: "q2c"}})
	execute := stmt.Statement{Kind: stmt.Execute, Name: "s1", Value: "1a4"}
	before, name, then := stmt.Setup{}.Missing(s, execute)
	fmt.Println(len(before), name)
	before, _, _ = then.Missing(s, execute)
	fmt.Println(len(before))
	// Output:
	// 2 r_q2c
	// 0
}

// connection does what a member does with the statements that set a connection up.
type connection struct {
	values   map[string]string
	prepared map[string]stmt.Shape
}

func (c *connection) run(st stmt.Statement) {
	switch st.Kind {
	case stmt.Reset:
		c.values, c.prepared = map[string]string{}, map[string]stmt.Shape{}
	case stmt.Set:
		c.values[st.Name] = st.Value
	case stmt.Prepare:
		c.prepared[st.Name] = st.Shape
	default:
	}
}

// TestSessionsOnOneConnectionFindWhatTheySetUp lets sessions with the same names
// take turns on one connection.
func TestSessionsOnOneConnectionFindWhatTheySetUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sessions := make([]stmt.Session, 3)
		held := connection{values: map[string]string{}, prepared: map[string]stmt.Shape{}}
		var setup stmt.Setup
		wanted := make([]map[string]string, len(sessions))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sessions)-1).Draw(t, "session")
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			text := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "text")
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
				use(t, sessions[i], wanted[i], name, &setup, &held)
			}
		}
	})
}

func use(t *rapid.T, s stmt.Session, wanted map[string]string, name string, setup *stmt.Setup, held *connection) {
	shape, prepared := s.Shape(name)
	if !prepared {
		return
	}
	before, known, then := setup.Missing(s, stmt.Statement{Kind: stmt.Execute, Name: name})
	for _, b := range before {
		held.run(b)
	}
	*setup = then
	if got := held.prepared[known]; got != shape {
		t.Fatalf("statement %q: got shape %v, want %v", name, got, shape)
	}
	if len(held.values) != len(wanted) {
		t.Fatalf("values: got %v, want %v", held.values, wanted)
	}
	for n, v := range wanted {
		if held.values[n] != v {
			t.Fatalf("value %q: got %q, want %q", n, held.values[n], v)
		}
	}
}

func TestARollbackOfAnUnknownTransactionNeedsNoMember(t *testing.T) {
	g := NewWithT(t)
	begun, own := stmt.Session{}.ApplyLocally(stmt.Statement{Kind: stmt.Begin})
	g.Expect(own).To(BeTrue())
	g.Expect(begun.Phase).To(Equal(stmt.Pending))
	ended, own := begun.ApplyLocally(stmt.Statement{Kind: stmt.Rollback})
	g.Expect(own).To(BeTrue())
	g.Expect(ended.Phase).To(Equal(stmt.Idle))
	_, own = begun.WithPhase(stmt.Open).ApplyLocally(stmt.Statement{Kind: stmt.Rollback})
	g.Expect(own).To(BeFalse())
}
