package flow_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/flow"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/stmt"
)

// TestRelayedExecuteKeepsItsArguments guards against an owner of an earlier release that runs a relayed
// EXECUTE without its arguments: it takes them from the parsed statement, not from the text.
func TestRelayedExecuteKeepsItsArguments(t *testing.T) {
	g := NewWithT(t)
	const size = 1 << 16
	for _, arguments := range []string{"", " ", " 1a4 xkqpwnzd", "  1a4 ", " " + strings.Repeat("x", size)} {
		execute := stmt.Statement{Kind: stmt.Execute, Name: "s1", Value: strings.TrimPrefix(arguments, " "), Text: "EXECUTE s1" + arguments}
		payload := flow.NewExchange(flow.Query{ID: "5c", Statement: execute}, stmt.Session{}).Payload()
		g.Expect(payload.Query.Statement.Value).To(Equal(execute.Value))
		raw, err := peer.EncodeArray(payload)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(raw)).To(BeNumerically("<", 2*size), "the arguments are sent once")
	}
}
