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

// placed is the control of a member that answers its address as its term.
type placed struct {
	member.Control
	term group.Term
}

func (p placed) Close() {}

func (p placed) Ask(context.Context, bool) (group.State, error) {
	return group.State{Role: group.Replica, Term: p.term}, nil
}

func TestAMemberThatMovedIsAskedAtItsNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		terms := map[string]group.Term{"old": 1, "new": 2}
		log, stopLog := event.New(io.Discard)
		defer stopLog()
		list := []view.Member{{Name: "m0", Address: "old"}}
		base, cleanUp := ctrl.NewController(ctrl.ControllerOptions{
			Rules: elect.RulesFor(time.Second), Poll: time.Second, Timeout: time.Second, Log: log,
			Dial: func(m view.Member) member.Control { return placed{term: terms[m.Address]} },
		}, databaseKey, list)
		defer cleanUp()
		time.Sleep(time.Minute)
		g.Expect(base.View().Term()).To(BeEquivalentTo(1))
		base.SetMembers([]view.Member{{Name: "m0", Address: "new"}})
		time.Sleep(time.Minute)
		g.Expect(base.View().Term()).To(BeEquivalentTo(2))
	})
}
