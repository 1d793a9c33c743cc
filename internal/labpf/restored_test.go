package labpf_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labpf"
)

// restoreTime is how long the entries of hosts may be missing after the store was restored.
const restoreTime = 5 * time.Second

// TestHostThatARestoredStoreLostRegistersAgain guards against a host that no other host
// learns of any more: the store was restored from a copy that is older than its entry.
func TestHostThatARestoredStoreLostRegistersAgain(t *testing.T) {
	s := newSite(t, 1)
	s.enter(0, labpf.Latest)
	hosts := func() []string { return s.platform.Names("proxies") }
	s.Eventually(hosts, patience).Should(ConsistOf("front-1"))
	older := s.platform.Copy()
	s.start(1)
	s.enter(1, labpf.Latest)
	s.Eventually(hosts, patience).Should(ConsistOf("front-1", "front-2"))
	// Both hosts have read the entry.
	time.Sleep(time.Second)
	s.platform.SetDown(true)
	s.platform.Restore(older)
	s.platform.SetDown(false)
	s.Expect(hosts()).To(ConsistOf("front-1"))
	s.Eventually(hosts, restoreTime).Should(ConsistOf("front-1", "front-2"))
	s.Eventually(func() []string { return s.log.with(`"Name":"host-enrolled"`) }, patience).Should(HaveLen(3))
}

// TestSheetsAfterARestoreAreInForce guards against a route that is confirmed right after the
// store was restored from a copy and never served: the host was cut off meanwhile, and its
// watch goes on from a revision that now means something else.
func TestSheetsAfterARestoreAreInForce(t *testing.T) {
	s := newSite(t, 0)
	proxy := s.startWith(0, func(settings *config.Settings) { settings.Timing.ApplyMs = 4000 })
	s.enter(0, labpf.Latest)
	older := s.platform.Copy()
	s.platform.PutConfig(2, labpf.Route{Name: "second", Kind: "primary"})
	s.enter(0, "second")
	for range 20 {
		s.platform.Put("servers", "i-9", map[string]any{"state": "unread"})
	}
	// The next watch begins at a revision that the copy does not have.
	time.Sleep(1500 * time.Millisecond)
	s.platform.SetDown(true)
	s.platform.Restore(older)
	s.platform.PutConfig(2, labpf.Route{Name: "second", Kind: "primary"})
	s.platform.PutConfig(3, labpf.Route{Name: "second", Kind: "primary"}, labpf.Route{Name: "third", Kind: "primary"})
	for range 40 {
		s.platform.Put("servers", "i-9", map[string]any{"state": "unread"})
	}
	s.platform.SetDown(false)
	s.Eventually(func() error {
		_, err := dial(proxy.Address(), "third")
		return err
	}, 4*time.Second, 20*time.Millisecond).Should(Succeed())
}
