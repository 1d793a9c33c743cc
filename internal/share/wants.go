package share

import (
	"sync"
	"time"
)

// wantLife is how long the word of another proxy on what it wants holds: three
// heartbeats at the longest period.
const wantLife = 3 * time.Second

// fade is by how much what a proxy wants falls in one heartbeat after its load has
// fallen, as a divisor: quick enough for the next burst elsewhere, and slow enough not to
// close and open connections with every swing.
const fade = 4

// wants holds how much work each proxy wants to have at each member.
type wants struct {
	mu sync.Mutex
	// own is the most work that was at each member or waited for it since the last
	// heartbeat, and told what was told then.
	own  map[string]int
	told map[string]int
	// others is the last word of each other proxy.
	others map[string]word
	// began is when this proxy could first have heard others.
	began time.Time
}

type word struct {
	wants map[string]int
	at    time.Time
}

func newWants(now time.Time) *wants {
	return &wants{began: now, own: make(map[string]int), told: make(map[string]int), others: make(map[string]word)}
}

// note takes the work that is at a member or waits for it.
func (w *wants) note(member string, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own[member] = max(w.own[member], count)
}

// tell returns what this proxy wants, for its next heartbeat.
func (w *wants) tell() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	told := make(map[string]int, len(w.own))
	for member, was := range w.told {
		if left := was - max(was/fade, 1); left > 0 {
			told[member] = left
		}
	}
	for member, count := range w.own {
		told[member] = max(told[member], count)
	}
	w.own, w.told = make(map[string]int), told
	return told
}

// take takes what another proxy wants.
func (w *wants) take(host string, of map[string]int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others[host] = word{wants: of, at: now}
}

// of returns what the given proxies want at a member. One that has not been heard since
// this proxy began wants an equal share until it could have been; one that is silent
// since wants nothing, so that the others use what it cannot.
func (w *wants) of(member, self string, hosts []string, equal int, now time.Time) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := map[string]int{self: max(w.own[member], w.told[member]) + 1}
	for _, host := range hosts {
		said, heard := w.others[host]
		switch {
		case host == self:
		case heard && now.Sub(said.at) < wantLife:
			list[host] = said.wants[member] + 1
		case now.Sub(w.began) < wantLife:
			list[host] = equal
		default:
			list[host] = 1
		}
	}
	return list
}
