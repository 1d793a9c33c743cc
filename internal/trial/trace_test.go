package trial_test

import (
	"os"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labset"
	"poplarrouter.example/poplarrouter/internal/trace"
)

// replayed returns how many orders to promote a proxy gave, by the replay of its
// log so far. A last line that is only half written is left out.
func (s *site) replayed(proxy *process) int {
	raw, err := os.ReadFile(s.log(proxy.settings.Host))
	s.Expect(err).NotTo(HaveOccurred())
	whole := string(raw[:strings.LastIndex(string(raw), "\n")+1])
	records, err := trace.Read(strings.NewReader(whole), labset.Database)
	s.Expect(err).NotTo(HaveOccurred())
	promotions := 0
	s.Expect(trace.Replay(records, func(r trace.Record) {
		for _, a := range r.Actions {
			if a.Promote != nil {
				promotions++
			}
		}
	})).To(Succeed(), proxy.settings.Host)
	return promotions
}

func TestRunningProxiesDecideAsTheirTracesTell(t *testing.T) {
	s := newSite(t)
	s.writeThrough(func() { s.members[0].signal(syscall.SIGKILL) })
	promotions := 0
	for _, p := range s.proxies {
		promotions += s.replayed(p)
	}
	s.Expect(promotions).To(Equal(1), "one proxy promotes, once")
}
