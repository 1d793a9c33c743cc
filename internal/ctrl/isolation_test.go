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

// notice is what a host or the store tells of the list of members, all the time or never.
type notice struct {
	serial uint64
	silent bool
}

func (n notice) read() (serial uint64, at time.Time) {
	if n.silent {
		return n.serial, time.Time{}
	}
	return n.serial, time.Now()
}

// listingVoters are hosts that tell which list of members they have.
type listingVoters struct {
	noVoters
	notices map[string]notice
}

func (v listingVoters) MemberList(host string) (serial uint64, at time.Time) {
	return v.notices[host].read()
}

// stateControl is the control of a member in a fixed state.
type stateControl struct {
	member.Control
	state group.State
}

func (stateControl) Close() {}

func (c stateControl) Ask(context.Context, bool) (group.State, error) { return c.state, nil }

// TestProxyThatMayLackANewerListAwaitsEveryReplica guards against a lost commit: a proxy relies on a
// list of members that others have replaced, and they promote a member without asking one that it
// has. It also guards against commits that no proxy confirms after most hosts have ended.
func TestProxyThatMayLackANewerListAwaitsEveryReplica(t *testing.T) {
	const list = 5
	current, newer, silent := notice{serial: list}, notice{serial: list + 1}, notice{serial: list, silent: true}
	for name, c := range map[string]struct {
		voters []notice
		store  notice
		want   view.Confirmation
	}{
		"a majority has no newer list":           {[]notice{current, current, silent, silent}, silent, view.Confirmed},
		"a majority has an older list":           {[]notice{{serial: list - 1}, current, silent, silent}, silent, view.Confirmed},
		"a minority has no newer list":           {[]notice{current, silent, silent, silent}, silent, view.Pending},
		"most of a majority have a newer list":   {[]notice{current, newer, newer, silent}, silent, view.Pending},
		"most hosts have ended, the store tells": {[]notice{silent, silent, silent, silent}, current, view.Confirmed},
		"the store has a newer list":             {[]notice{silent, silent, silent, silent}, newer, view.Pending},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log, stopLog := event.New(io.Discard)
				defer stopLog()
				states := map[string]group.State{
					"a": {Role: group.Primary, Term: 1, EntryTerm: 1, Received: 11, Leading: true},
					"b": {Term: 1, EntryTerm: 1, Received: 11},
					"c": {Term: 1, EntryTerm: 1, Received: 10},
				}
				hosts, notices := []string{"p0"}, make(map[string]notice)
				for i, n := range c.voters {
					host := string(rune('q' + i))
					hosts, notices[host] = append(hosts, host), n
				}
				members := []view.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
				controller, cleanUp := ctrl.NewController(ctrl.ControllerOptions{
					Host: "p0", Rules: elect.SharedTermRules(time.Second, time.Second), Poll: 200 * time.Millisecond, Timeout: time.Second, Log: log,
					MaxProofAge: time.Second, Voters: listingVoters{notices: notices}, VoterTimeout: 1500 * time.Millisecond,
					StoreList: c.store.read, StoreListTimeout: 3 * time.Second,
					Dial: func(m view.Member) member.Control { return stateControl{state: states[m.Name]} },
				}, databaseKey, members)
				defer cleanUp()
				controller.SetMembers(members, list)
				controller.SetVoters(hosts)
				time.Sleep(time.Minute)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				now := time.Now()
				status := controller.AwaitRetention(ctx, "a", group.Floor{Term: 1, Position: 11}, now, now.Add(-time.Second))
				g.Expect(status).To(Equal(c.want))
			})
		})
	}
}
