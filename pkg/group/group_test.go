package group_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/pkg/group"
)

func ExampleState_FloorStatus() {
	// A member in term 3, which began after position 10.
	s := group.State{Term: 3, Starts: []group.Start{{Term: 1}, {Term: 3, Position: 10}}}
	fmt.Println(s.FloorStatus(group.Floor{Term: 1, Position: 10}, 12) == group.Covered)
	fmt.Println(s.FloorStatus(group.Floor{Term: 1, Position: 11}, 12) == group.Lost)
	fmt.Println(s.FloorStatus(group.Floor{Term: 3, Position: 13}, 12) == group.NotReached)
	fmt.Println(s.FloorStatus(group.Floor{Term: 4, Position: 1}, 12) == group.NotReached)
	// Output:
	// true
	// true
	// true
	// true
}

// TestFloorStatusNeedsTheTermHistory guards against treating a floor as covered when the
// list of starts no longer says what followed the floor's term.
func TestFloorStatusNeedsTheTermHistory(t *testing.T) {
	g := NewWithT(t)
	// The list of starts is truncated: the start of the term after term 2 is unknown.
	s := group.State{Term: 9, Starts: []group.Start{{Term: 8, Position: 100}, {Term: 9, Position: 120}}}
	g.Expect(s.FloorStatus(group.Floor{Term: 2, Position: 5}, 200)).To(Equal(group.Lost))
	g.Expect(s.FloorStatus(group.Floor{Term: 8, Position: 120}, 200)).To(Equal(group.Covered))
	g.Expect(s.FloorStatus(group.Floor{Term: 8, Position: 121}, 200)).To(Equal(group.Lost))
	g.Expect(s.FloorStatus(group.Floor{}, 0)).To(Equal(group.Covered))
}

// TestFloorStatusMatchesTheLog compares the status of floors with the entries of logs that
// random promotions produced, each of which may truncate the log's tail.
func TestFloorStatusMatchesTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []group.Term
		starts := []group.Start{{Term: 1}}
		written := make(map[group.Floor]bool)
		term := group.Term(1)
		for range rapid.IntRange(1, 6).Draw(t, "terms") {
			for range rapid.IntRange(0, 4).Draw(t, "entries") {
				log = append(log, term)
				written[group.Floor{Term: term, Position: group.Position(len(log))}] = true
			}
			log = log[:rapid.IntRange(0, len(log)).Draw(t, "kept")]
			term++
			starts = append(starts, group.Start{Term: term, Position: group.Position(len(log))})
		}
		s := group.State{Term: term, Received: group.Position(len(log)), Starts: starts}
		for f := range written {
			kept := int(f.Position) <= len(log) && log[f.Position-1] == f.Term
			if covered := s.FloorStatus(f, s.Received) == group.Covered; covered != kept {
				t.Fatalf("floor %s: got covered %t, want %t (log %v, starts %v)", f, covered, kept, log, starts)
			}
		}
	})
}

func TestParseFloor(t *testing.T) {
	g := NewWithT(t)
	f, err := group.ParseFloor("3:12")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f).To(Equal(group.Floor{Term: 3, Position: 12}))
	for _, bad := range []string{"", "3", "a:1", "1:b", "1:2:3", "-1:2"} {
		_, err := group.ParseFloor(bad)
		var syntax *group.SyntaxError
		g.Expect(err).To(BeAssignableToTypeOf(syntax), bad)
	}
	_, err = group.ParseStarts("2:1,1:5")
	g.Expect(err).To(MatchError(ContainSubstring("increasing terms")))
}
