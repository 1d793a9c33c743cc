package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/slots"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// TestRequestOfAnUnknownRankIsRefused guards against a lease holder whose process ends because another
// host asks for a permit for work of a rank that does not exist.
func TestRequestOfAnUnknownRankIsRefused(t *testing.T) {
	g := NewWithT(t)
	lm := &LeaseManager{remoteRequests: make(map[remoteKey]*remoteRequest), leases: make(map[string]*runningLease)}
	permits := New(slots.DefaultRules(3), 0, time.Now())
	lm.leases[leaseKey("stock", "m0")] = &runningLease{memberLease: &memberLease{manager: lm, gate: duty.NewCell(permits)}}
	for _, rank := range []sheet.Rank{-1, 0, sheet.MaxRank + 1} {
		var replies []peer.Grant
		lm.HandlePermitRequest("host-2", peer.PermitRequest{ID: 7, Database: "stock", Member: "m0", Rank: rank, TimeLeft: time.Minute}, func(r peer.Grant) { replies = append(replies, r) })
		g.Expect(replies).To(HaveLen(1))
		g.Expect(replies[0].Granted).To(BeFalse())
		g.Expect(replies[0].Refusal).To(Equal(fault.Protocol))
		g.Expect(replies[0].Detail).To(ContainSubstring("want a rank from 1 to 3"))
	}
	g.Expect(lm.remoteRequests).To(BeEmpty())
}
