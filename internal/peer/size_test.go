package peer_test

import (
	"testing"
	"time"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/usage"
)

// BenchmarkFrameBytes reports the size of each frame, and the time to encode it.
func BenchmarkFrameBytes(b *testing.B) {
	frames := map[string]peer.Frame{
		"beat":      {Heartbeat: &peer.Heartbeat{Sheet: 6300, Databases: 400, Hosts: 1841}},
		"want":      {PermitRequest: &peer.PermitRequest{ID: 1 << 20, Database: "stock-pest", Member: "stock-pest-csepel", Caller: "dispatcher", Rank: 2, TimeLeft: 3 * time.Second}},
		"grant":     {Grant: &peer.Grant{ID: 1 << 20, Granted: true}},
		"done":      {Release: &peer.Release{ID: 1 << 20}},
		"cap-ask":   {CapAsk: &peer.CapAsk{Ask: usage.Ask{ID: 1 << 14, Boot: 1 << 31, Partition: 3, Ticket: 1 << 40, Hosts: 89, Tokens: map[string]uint32{"customer-31": 1}}}},
		"renewal":   {CapAsk: &peer.CapAsk{Ask: usage.Ask{ID: 1 << 14, Boot: 1 << 31, Partition: 3, Ticket: 1 << 40, Hosts: 89}}},
		"cap-grant": {CapGrant: &peer.CapGrant{Grant: usage.Grant{ID: 1 << 14, Partition: 3, Ticket: 1 << 40, Tokens: map[string]uint32{"customer-31": 1}}}},
		"renewed":   {CapGrant: &peer.CapGrant{Grant: usage.Grant{ID: 1 << 14, Partition: 3, Ticket: 1 << 40}}},
		"ask":       {VoteRequest: &peer.VoteRequest{Database: "stock-pest", Term: 12}},
		"vote":      {Vote: &peer.VoteFrame{Database: "stock-pest", Vote: elect.Vote{From: "csepel-1", Term: 12, Down: true}}},
	}
	for name, f := range frames {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, err := peer.Encode(f)
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
