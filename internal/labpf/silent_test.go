package labpf_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/lablnk"
	"poplarrouter.example/poplarrouter/internal/labpf"
)

// TestSheetIsInForceInTimeThoughTheStoreConnectionWentSilent guards against a proxy that
// takes a watch which hears nothing for one without news, until a confirmed sheet is
// overdue. All open connections to the store go silent right after the watches began.
func TestSheetIsInForceInTimeThoughTheStoreConnectionWentSilent(t *testing.T) {
	s := newSite(t, 0)
	link, closeLink, err := lablnk.New(s.platform.StoreAddress())
	s.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeLink)
	const applyTime = 4 * time.Second
	for i := range 2 {
		s.startWith(i, func(settings *config.Settings) {
			settings.StoreAddress = link.Address()
			settings.Timing.WatchMs, settings.Timing.ApplyMs = config.Default().Timing.WatchMs, config.Millis(applyTime.Milliseconds())
		})
	}
	inForce := func() int { return len(s.log.with(`"Name":"sheet-in-force","Serial":3`)) }
	s.Eventually(func() int { return len(s.log.with(`"Name":"sheet-in-force","Serial":1`)) }, patience).Should(Equal(2))
	s.platform.PutConfig(2)
	s.Eventually(func() int { return len(s.log.with(`"Name":"sheet-in-force","Serial":2`)) }, patience).Should(Equal(2))
	// The next watch begins after a pause.
	time.Sleep(time.Second / 2)
	link.Silence()
	s.platform.PutConfig(3, labpf.Route{Name: "added", Kind: "primary"})
	s.Eventually(inForce, applyTime).Should(Equal(2))
}
