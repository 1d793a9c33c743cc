package labpf

import (
	"net"
	"sync"
	"time"
)

type entry struct {
	term uint64
	item string
	data string
}

// Group is a database: members that replicate one log.
type Group struct {
	options Options

	mu      sync.Mutex
	members []*Member
	term    uint64
	// lateOrders is how many orders get no answer and are carried out after late.
	lateOrders int
	late       time.Duration
	// refuse, unless it is nil, tells whether a statement that sets a connection up is refused.
	refuse func(text string) bool
	// promotions counts the changes of the primary, and lost the acknowledged entries
	// that a promoted member did not hold.
	promotions   int
	lost         int
	acknowledged []entry
	// statements are those that members received from callers, and opened counts the
	// connections that members accepted, by the name with which they were opened.
	statements []Statement
	opened     map[string]int
}

func newGroup(options Options) *Group { return &Group{options: options, opened: make(map[string]int)} }

// Member is one member of the database.
type Member struct {
	group    *Group
	name     string
	address  string
	listener net.Listener

	log     []entry
	applied int
	held    uint64
	term    uint64
	leads   bool
	// cut tells that the member is apart from the other members and does not hear of
	// promotions.
	cut   bool
	conns map[net.Conn]struct{}
	stop  func()
}

// Name returns the member's name.
func (m *Member) Name() string { return m.name }

// Address returns the IP and port at which the member listens.
func (m *Member) Address() string { return m.address }

// Member returns the member of a number.
func (g *Group) Member(i int) *Member { return g.members[i] }

// Primary returns the member that leads the newest term.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

func (g *Group) primary() *Member {
	for _, m := range g.members {
		if m.leads && m.term == g.term {
			return m
		}
	}
	return nil
}

func (g *Group) lead(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term = 1
	for _, m := range g.members {
		m.term = 1
	}
	g.members[i].leads = true
}

// Cut parts a member from the others, or joins it again.
func (g *Group) Cut(m *Member, is bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.cut = is
	if !is {
		g.follow(m)
	}
}

// Hold makes all replicas promise a term, as a promoter does.
func (g *Group) Hold(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if !m.leads {
			m.held = term
		}
	}
}

// RefuseSetups makes all members refuse the statements that set a connection up for which refuse
// returns true. It is called by one goroutine at a time; nil ends this.
func (g *Group) RefuseSetups(refuse func(text string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse = refuse
}

func (g *Group) refuses(text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuse != nil && g.refuse(text)
}

// LoseOrders makes the next orders for promotions get no answer and be carried out late.
func (g *Group) LoseOrders(count int, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateOrders, g.late = count, late
}

func (g *Group) nextOrder() (lost bool, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lateOrders == 0 {
		return false, 0
	}
	g.lateOrders--
	return true, g.late
}

// Promote makes a member the primary of the next term after a while. It tells whether
// the member runs.
func (g *Group) Promote(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.name != name || m.listener == nil {
			continue
		}
		if m != g.primary() {
			time.AfterFunc(g.options.PromoteDelay, func() { g.takeOver(m) })
		}
		return true
	}
	return false
}

func (g *Group) takeOver(m *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m == g.primary() {
		return
	}
	g.promotions++
	g.term++
	for _, e := range g.acknowledged {
		if !holds(m.log, e) {
			g.lost++
		}
	}
	m.leads, m.term, m.applied, m.held = true, g.term, len(m.log), 0
	for _, other := range g.members {
		if other != m && !other.cut {
			g.follow(other)
		}
	}
}

// follow makes a member a replica of whoever leads.
func (g *Group) follow(m *Member) {
	leader := g.primary()
	if leader == nil || leader == m {
		return
	}
	m.leads, m.held = false, 0
	m.term = g.term
	m.log = append([]entry(nil), leader.log...)
	m.applied = min(m.applied, len(m.log))
	g.apply(m, len(m.log))
}

func holds(log []entry, e entry) bool {
	for _, have := range log {
		if have == e {
			return true
		}
	}
	return false
}

// commit appends entries at the primary, and returns a channel that closes once a
// replica has received them. The lock must be held.
func (g *Group) commit(m *Member, entries []entry) <-chan struct{} {
	for _, e := range entries {
		e.term = m.term
		m.log = append(m.log, e)
	}
	m.applied = len(m.log)
	acknowledged := make(chan struct{})
	var once sync.Once
	for _, other := range g.members {
		if other == m {
			continue
		}
		time.AfterFunc(time.Millisecond, func() {
			if g.receive(m, other, entries) {
				once.Do(func() { close(acknowledged) })
			}
		})
	}
	return acknowledged
}

// receive copies the primary's log to a replica, unless something keeps them apart.
func (g *Group) receive(from, to *Member, entries []entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	apart := from.cut || to.cut || to.listener == nil || from.listener == nil
	if apart || !from.leads || from.term != g.term || to.held > from.term {
		return false
	}
	to.log = append([]entry(nil), from.log...)
	to.term = from.term
	g.apply(to, len(to.log))
	for _, e := range entries {
		e.term = from.term
		g.acknowledged = append(g.acknowledged, e)
	}
	return true
}

// apply makes a replica's reads see its log after the lag. The lock must be held.
func (g *Group) apply(m *Member, upTo int) {
	time.AfterFunc(g.options.Lag, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.applied = max(m.applied, min(upTo, len(m.log)))
	})
}

// Outcome is what became of the database.
type Outcome struct {
	Promotions int
	// Lost counts acknowledged entries that a promoted member did not hold.
	Lost int
}

// Outcome returns what became of the database so far.
func (g *Group) Outcome() Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Outcome{Promotions: g.promotions, Lost: g.lost}
}

// Count returns how often data was written, as the primary holds it.
func (g *Group) Count(data string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	if m := g.primary(); m != nil {
		for _, e := range m.log {
			if e.data == data {
				count++
			}
		}
	}
	return count
}
