package ctrl_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// slowControl is a control connection that uses the member's pool in a poll after the
// controller was told to stop.
type slowControl struct {
	member.Control

	asked chan struct{}
	pool  func()
}

func (l *slowControl) Ask(ctx context.Context, _ bool) (group.State, error) {
	select {
	case l.asked <- struct{}{}:
	default:
	}
	<-ctx.Done()
	l.pool()
	return group.State{}, ctx.Err()
}

func (*slowControl) Close() {}

type noBroadcast struct{}

func (noBroadcast) Spread(book.Doc) {}

// newDocuments returns the documents of a proxy with one listed database and no hosts, and
// the store behind them.
func newDocuments(t *testing.T, log *event.Log) (*ctrl.Documents, *labkv.Memory) {
	g := NewWithT(t)
	kv := labkv.New()
	doc, err := json.Marshal(book.DatabasesDoc{Serial: 1, Databases: []book.Database{{Name: "d", Members: []view.Member{{Name: "m", Address: "x"}}}}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = kv.Put(t.Context(), string(book.Databases), doc, "")
	g.Expect(err).NotTo(HaveOccurred())
	documents, stopBooks := ctrl.NewDocuments(ctrl.DocumentsOptions{
		Host: "h", Store: kv, Log: log, Guard: guard.New(log, prometheus.NewRegistry(), nil), Broadcaster: noBroadcast{},
		LastHeard: time.Now, WatchersPerRegion: 100, Retry: time.Millisecond,
	})
	t.Cleanup(stopBooks)
	return documents, kv
}

// TestOwnersAreKnownOnceHostsAreListed covers a list of databases that arrives before the
// list of hosts. Until both are known, the owners of a database are not.
func TestOwnersAreKnownOnceHostsAreListed(t *testing.T) {
	g := NewWithT(t)
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	documents, kv := newDocuments(t, log)
	controllers, stop := ctrl.NewControllers(ctrl.ControllersOptions{
		Controller: ctrl.ControllerOptions{Host: "h", Log: log}, Documents: documents, OnHosts: func([]book.Host) {},
		Owners: func(_ string, hosts []book.Host) (owners, standbyOwners []string) {
			for _, h := range hosts {
				owners = append(owners, h.Name)
			}
			return owners, nil
		},
	})
	t.Cleanup(stop)
	g.Eventually(func() book.DocumentSet { return documents.Book() }).Should(HaveField("Databases()", HaveLen(1)))
	g.Consistently(controllers.OwnersKnown, 50*time.Millisecond).Should(BeFalse())
	doc, err := json.Marshal(book.HostsDoc{Serial: 1, Hosts: []book.Host{{Name: "other"}}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = kv.Put(t.Context(), string(book.Hosts), doc, "")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	controllers.AwaitOwners(ctx)
	g.Expect(controllers.OwnersKnown()).To(BeTrue())
	owners, local := controllers.Owners("d")
	g.Expect(owners).To(Equal([]string{"other"}))
	g.Expect(local).To(BeFalse())
}

// TestStopDuringAPollDoesNotHang stops the controllers while a poll is under way that
// needs a pool. If the stop held the lock while it waited for the poll, both would wait
// for ever.
func TestStopDuringAPollDoesNotHang(t *testing.T) {
	g := NewWithT(t)
	log, stopLog := event.New(io.Discard)
	t.Cleanup(stopLog)
	documents, _ := newDocuments(t, log)
	var controllers *ctrl.Controllers
	asker := &slowControl{asked: make(chan struct{}, 1), pool: func() { controllers.Pool("d", view.Member{Name: "m", Address: "x"}) }}
	controllers, stop := ctrl.NewControllers(ctrl.ControllersOptions{
		Controller: ctrl.ControllerOptions{
			Host: "h", Rules: elect.RulesFor(time.Second), Poll: time.Millisecond, Timeout: time.Minute, Log: log,
			Dial: func(view.Member) member.Control { return asker },
		},
		Documents: documents,
		OnHosts:   func([]book.Host) {},
		Open: func(string, view.Member) (*member.Pool, func()) {
			return member.NewPool(member.PoolOptions{Limit: 1})
		},
	})
	g.Eventually(asker.asked).Should(Receive())
	ended := make(chan struct{})
	go func() {
		stop()
		close(ended)
	}()
	g.Eventually(ended, 5*time.Second).Should(BeClosed())
}
