//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an entry of a database's log.
type Entry struct {
	Term uint64
	Item string
	Data string
	// ID is that of the statement that wrote the entry.
	ID string
}

// Group is a service: databases that replicate one log.
type Group struct {
	Service string
	// NetDelay is how long an entry takes to a replica, Lag how long the replica takes to
	// apply it, PromoteDelay how long a promotion takes, and Work how long a statement runs.
	NetDelay     time.Duration
	Lag          time.Duration
	PromoteDelay time.Duration
	Work         time.Duration
	MaxConns     int
	// CloudDelay is how long the answer to an order takes. OnOrder, if set, is called when
	// an order has arrived.
	CloudDelay time.Duration
	OnOrder    func(holder string, token uint64)
	Record     *Record

	mu      sync.Mutex
	members []*Member
	term    uint64
	tokens  map[string]uint64
	lastTx  int
}

// Member is one database.
type Member struct {
	Name    string
	Address string
	Zone    string

	group    *Group
	listener net.Listener
	slots    chan struct{}
	log      []Entry
	applied  int
	term     uint64
	held     uint64
	leads    bool
	conns    map[net.Conn]struct{}
	down     bool
}

// Crash ends the process of the member that leads.
func (g *Group) Crash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if !m.leads || m.term != g.term {
			continue
		}
		g.Record.Addf("%s, the primary, crashes", m.Name)
		m.down = true
		_ = m.listener.Close()
		for conn := range m.conns {
			_ = conn.Close()
		}
	}
}

// Add starts a member and registers it in the store.
func (g *Group) Add(s *Store, name, zone string) (*Member, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Member{Name: name, Address: listener.Addr().String(), Zone: zone, group: g, listener: listener, slots: make(chan struct{}, 5), conns: make(map[net.Conn]struct{})}
	g.mu.Lock()
	g.members = append(g.members, m)
	if g.term == 0 {
		g.term, m.leads = 1, true
	}
	m.term = g.term
	g.mu.Unlock()
	go m.accept()
	role := "replica"
	if m.leads {
		role = "primary"
	}
	s.Put("servers", name, map[string]any{
		"service": g.Service, "address": m.Address, "zone": zone, "version": "v1", "slots": 5, "state": "ready",
		"cold_remaining_ms": 0, "db_role": role, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return m, nil
}

// Log returns the log of the member that leads.
func (g *Group) Log() []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.leads && m.term == g.term {
			return append([]Entry(nil), m.log...)
		}
	}
	return nil
}

// commit appends entries at the primary and returns a channel that closes when a replica has
// received them. The lock must be held.
func (g *Group) commit(m *Member, entries []Entry) <-chan struct{} {
	for _, e := range entries {
		e.Term = m.term
		m.log = append(m.log, e)
	}
	m.applied = len(m.log)
	upTo, term := len(m.log), m.term
	received := make(chan struct{})
	var once sync.Once
	for _, other := range g.members {
		if other == m {
			continue
		}
		time.AfterFunc(g.NetDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !m.leads || m.term != term || other.held > term || other.term > term || m.down || other.down {
				return
			}
			if len(other.log) < upTo {
				other.log = append([]Entry(nil), m.log[:upTo]...)
			}
			time.AfterFunc(g.Lag, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				other.applied = max(other.applied, min(upTo, len(other.log)))
			})
			once.Do(func() { close(received) })
		})
	}
	return received
}

// ServeHTTP implements POST /promote.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Duty-Holder")
	g.Record.Addf("POST /promote id=%s holder=%s token=%d", order.ID, holder, token)
	if g.OnOrder != nil {
		g.OnOrder(holder, token)
	}
	defer time.Sleep(g.CloudDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.tokens[order.Service] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if g.tokens == nil {
		g.tokens = make(map[string]uint64)
	}
	g.tokens[order.Service] = token
	for _, m := range g.members {
		if m.Name == order.ID && order.Service == g.Service && !m.down {
			if !m.leads {
				time.AfterFunc(g.PromoteDelay, func() { g.lead(m) })
			}
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

func (g *Group) lead(m *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	for _, other := range g.members {
		other.leads, other.term, other.held = other == m, g.term, 0
		if len(other.log) > len(m.log) || other == m {
			other.log = append([]Entry(nil), m.log...)
		}
		other.applied = min(other.applied, len(other.log))
	}
	m.applied = len(m.log)
	g.Record.Addf("%s leads term %d", m.Name, g.term)
}

func (m *Member) position() string {
	if m.applied == 0 {
		return fmt.Sprintf("%d.0", m.term)
	}
	return fmt.Sprintf("%d.%d", m.log[m.applied-1].Term, m.applied)
}

func (m *Member) received() string {
	if len(m.log) == 0 {
		return fmt.Sprintf("%d.0", m.term)
	}
	return fmt.Sprintf("%d.%d", m.log[len(m.log)-1].Term, len(m.log))
}
