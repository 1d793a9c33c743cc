package recent_test

import (
	"fmt"
	"time"

	"poplarrouter.example/poplarrouter/internal/recent"
)

// An answer to a query that was sent at 10 s arrives at 13 s, and names the sheet that comes
// into force at 14 s. The peer's own proof was 1 s old, so the proof is of 9 s.
func Example() {
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	hosts := []recent.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	older, newer := recent.Version{Serial: 7, Keys: 1}, recent.Version{Serial: 8, Keys: 2}
	s := recent.New(recent.RulesFor(5*time.Second), 1).WithHosts("key", "c", "", hosts).WithSheet(at(10), older, true, false)
	s, todo := s.Plan(at(10))
	query := todo.Queries[0]
	s = s.WithAnswer(at(13), query.Host, query.ID, newer, time.Second)
	fmt.Println("before the sheet is in force:", s.Recent(at(13)))
	s = s.WithSheet(at(14), newer, true, false)
	proof, _ := s.Proof()
	fmt.Println("proof of", proof.At, "recent at 13.9 s:", s.Recent(at(9)+4900*time.Millisecond), "and at 14 s:", s.Recent(at(14)))
	// Output:
	// before the sheet is in force: false
	// proof of 9s recent at 13.9 s: true and at 14 s: false
}
