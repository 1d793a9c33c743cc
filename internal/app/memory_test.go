package app

import (
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/config"
)

// TestSessionsFitIntoTheDescriptors guards against connections of callers that leave no
// descriptors for members, peers and files, on hosts of the stated range.
func TestSessionsFitIntoTheDescriptors(t *testing.T) {
	g := NewWithT(t)
	for descriptors, want := range map[int]int{0: 0, 3010: 2248, 8192: 6394, 100: 40, 1: 1} {
		l := config.Limits{CallerConnections: 3000, Descriptors: descriptors}
		g.Expect(maxSessions(l)).To(Equal(want), "%d descriptors", descriptors)
		if want > 0 {
			g.Expect(callerConnections(l)).To(Equal(min(want, 3000)))
		} else {
			g.Expect(callerConnections(l)).To(Equal(3000))
		}
	}
}
