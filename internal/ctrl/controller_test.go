package ctrl_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// addressControl is the control connection of a member that reports a term chosen by its
// address.
type addressControl struct {
	member.Control
	term group.Term
}

func (p addressControl) Close() {}

func (p addressControl) Ask(context.Context, bool) (group.State, error) {
	return group.State{Role: group.Replica, Term: p.term}, nil
}

func TestMovedMemberIsPolledAtItsNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		terms := map[string]group.Term{"old": 1, "new": 2}
		log, stopLog := event.New(io.Discard)
		defer stopLog()
		list := []view.Member{{Name: "m0", Address: "old"}}
		controller, cleanUp := ctrl.NewController(ctrl.ControllerOptions{
			Rules: elect.RulesFor(time.Second), Poll: time.Second, Timeout: time.Second, Log: log,
			Dial: func(m view.Member) member.Control { return addressControl{term: terms[m.Address]} },
		}, databaseKey, list)
		defer cleanUp()
		time.Sleep(time.Minute)
		g.Expect(controller.View().Term()).To(BeEquivalentTo(1))
		controller.SetMembers([]view.Member{{Name: "m0", Address: "new"}}, 2)
		time.Sleep(time.Minute)
		g.Expect(controller.View().Term()).To(BeEquivalentTo(2))
	})
}
