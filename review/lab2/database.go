//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a committed write.
type entry struct {
	term uint64
	data string
}

// group is a replicated database: a primary and its replicas. It follows PROTOCOL.md, Databases
// and Singleton duties.
type group struct {
	service     string
	promoteTime time.Duration
	lag         time.Duration
	work        time.Duration
	record      *record

	mu      sync.Mutex
	term    uint64
	members []*member
	// tokens is the highest fencing token that the platform has seen.
	tokens uint64
	// acked are the entries whose commit was acknowledged, by the log position.
	acked map[int]entry
	lost  []string
	runs  []run
	// settings, unless nil, are the values that consumers were acknowledged, and wrong the
	// statements that ran with others.
	settings *acknowledged
	wrong    []*setting
}

// run is a consumer's statement that a member ran.
type run struct {
	id     string
	tenant string
	member string
	at     time.Time
}

// member is one database of a group.
type member struct {
	group    *group
	id       string
	zone     string
	listener net.Listener

	log     []entry
	applied int
	term    uint64
	held    uint64
	leads   bool
	// deaf members receive nothing from the primary.
	deaf bool
	// reported is the last position that a primary has acknowledged.
	reported int
	grey     grey
}

func newGroup(service string, zones []string, r *record) (*group, error) {
	g := &group{service: service, promoteTime: 600 * time.Millisecond, lag: 8 * time.Millisecond, work: 10 * time.Millisecond, record: r, term: 1, acked: make(map[int]entry)}
	for i, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{group: g, id: fmt.Sprintf("i-%s-%d", service, i+1), zone: zone, listener: listener, term: 1, leads: i == 0}
		g.members = append(g.members, m)
		go m.accept()
	}
	go g.replicate()
	return g, nil
}

func (m *member) address() string { return m.listener.Addr().String() }

// replicate lets the replicas that can hear the primary receive its log.
func (g *group) replicate() {
	for range time.Tick(2 * time.Millisecond) {
		g.mu.Lock()
		if p := g.primary(); p != nil {
			for _, m := range g.members {
				if m == p || m.deaf || m.held > p.term || (len(m.log) == len(p.log) && m.term == p.term) {
					continue
				}
				m.log, m.term, m.held = append([]entry(nil), p.log...), p.term, 0
				upTo := len(m.log)
				time.AfterFunc(g.lag, func() { m.apply(upTo) })
			}
		}
		g.mu.Unlock()
	}
}

func (m *member) apply(upTo int) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.applied = max(m.applied, min(upTo, len(m.log)))
}

func (g *group) primary() *member {
	for _, m := range g.members {
		if m.leads && m.term == g.term {
			return m
		}
	}
	return nil
}

// setDeaf makes a member receive nothing, or receive again.
func (g *group) setDeaf(m *member, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.deaf = deaf
}

// ServeHTTP takes orders for promotions.
func (g *group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(g.order(order.Service, order.ID, r.Header.Get("X-Duty-Holder"), token))
}

func (g *group) order(service, id, holder string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if service != g.service || token < g.tokens {
		return http.StatusConflict
	}
	g.tokens = token
	for _, m := range g.members {
		if m.id != id {
			continue
		}
		if m != g.primary() {
			g.record.write("%s orders the promotion of %s with %d entries", holder, m.id, len(m.log))
			time.AfterFunc(g.promoteTime, func() { g.promote(m, token) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// promote makes a member the primary of the next term with the log that it has received.
func (g *group) promote(m *member, token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m == g.primary() || token < g.tokens {
		return
	}
	g.term++
	for at, e := range g.acked {
		if at >= len(m.log) || m.log[at] != e {
			g.lost = append(g.lost, e.data)
			delete(g.acked, at)
		}
	}
	m.term, m.held, m.leads, m.applied, m.reported = g.term, 0, true, len(m.log), len(m.log)
	g.record.write("%s leads term %d with %d entries; %d acknowledged ones are missing", m.id, g.term, len(m.log), len(g.lost))
	for _, other := range g.members {
		if other == m {
			continue
		}
		other.leads, other.held = false, 0
		if !other.deaf {
			other.log, other.term = append([]entry(nil), m.log...), g.term
			other.applied = min(other.applied, len(other.log))
		}
	}
}

func (m *member) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serve(conn)
	}
}

// session is a connection to a member.
type session struct {
	*member
	tenant   string
	open     bool
	reads    bool
	failed   bool
	writes   []entry
	prepared map[string]string
	values   map[string]string
}

func (m *member) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s := &session{member: m, prepared: make(map[string]string), values: make(map[string]string)}
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		word, rest, _ := strings.Cut(strings.TrimSuffix(lines.Text(), "\r"), " ")
		switch word {
		case "STARTUP":
			fields := strings.Fields(rest)
			if len(fields) < 2 || fields[0] != m.group.service || (len(fields) > 2 && fields[2] != m.id) {
				_, _ = fmt.Fprintf(conn, "ERROR MOVED %s\r\n", m.id)
				return
			}
			s.tenant = fields[1]
			_, _ = fmt.Fprint(conn, s.ready())
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			if _, err := fmt.Fprint(conn, s.answer(id, text)+s.ready()); err != nil {
				return
			}
		default:
			return
		}
	}
}

func (s *session) ready() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	state, at := "I", s.applied
	switch {
	case s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	if s.leads {
		at = s.reported
	}
	position := "-"
	if at > 0 {
		position = fmt.Sprintf("%d.%d", s.log[at-1].term, at)
	}
	return fmt.Sprintf("READY %s %s\r\n", state, position)
}

func done(receipt string) string { return "COMPLETE " + receipt + "\r\n" }

func failure(code, id string) string { return "ERROR " + code + " " + id + "\r\n" }

// answer runs a statement and returns the answer up to READY.
func (s *session) answer(id, text string) string {
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.reached(position) {
			return failure("LAGGING", s.id)
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "SET", "PREPARE", "DEALLOC", "EXECUTE", "READ", "WRITE", "COMMIT":
		if s.refuses() {
			return failure("BUSY", s.id)
		}
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.command(word, rest)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return done("-")
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		return done("-")
	case "DEALLOC":
		delete(s.prepared, rest)
		return done("-")
	case "PREPARE":
		name, form, _ := strings.Cut(rest, " ")
		s.prepared[name], _, _ = strings.Cut(form, " ")
		return done("-")
	case "EXECUTE":
		name, _, _ := strings.Cut(rest, " ")
		if word = s.prepared[name]; word == "" {
			return failure("NOSTMT", name)
		}
	}
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return failure("MALFORMED", s.id)
	}
	return s.run(id, word, rest)
}

// refuses reports whether the member fails the next request without running it.
func (s *session) refuses() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.grey.fails()
}

func (s *session) reached(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	n, _ := strconv.Atoi(number)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return n <= s.applied && (n == 0 || strconv.FormatUint(s.log[n-1].term, 10) == term)
}

func (s *session) command(word, rest string) string {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && !s.leads && term > g.term:
		s.held = max(s.held, term)
		g.record.write("%s pauses for term %d with %d entries", s.id, term, len(s.log))
	case word == "RESUME":
		s.held = 0
	case word == "STEPDOWN" && s.leads && term > s.term:
		s.leads = false
		g.record.write("%s steps down for term %d with %d entries", s.id, term, len(s.log))
	}
	role, received, held := "replica", "-", "-"
	if s.leads {
		role = "primary"
	}
	if n := len(s.log); n > 0 {
		received = fmt.Sprintf("%d.%d", s.log[n-1].term, n)
	}
	if s.held > 0 {
		held = strconv.FormatUint(s.held, 10)
	}
	return fmt.Sprintf("DATAROW %s %d %s %s 8 0 1\r\n", role, s.term, received, held) + done("-")
}

// run runs a consumer's statement, or one that opens or ends a transaction.
func (s *session) run(id, word, rest string) string {
	g := s.group
	receipt := fmt.Sprintf("%s.%s", s.id, id)
	if word == "READ" || word == "WRITE" {
		g.mu.Lock()
		g.runs = append(g.runs, run{id: id, tenant: s.tenant, member: s.id, at: time.Now()})
		if g.settings != nil {
			if wrong := g.settings.check(id, s.id, s.values); wrong != nil {
				g.wrong = append(g.wrong, wrong)
			}
		}
		g.mu.Unlock()
		time.Sleep(g.work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	leads := s.leads && s.term == g.term
	switch {
	case word == "BEGIN" && rest == "READ":
		s.open, s.reads = true, true
		return done("-")
	case word == "BEGIN" && !leads, word == "WRITE" && (!leads || s.reads), s.open && !s.reads && !leads && word == "READ":
		s.failed = s.open
		return failure("READONLY", s.id)
	case word == "BEGIN":
		s.open = true
		return done("-")
	case word == "READ":
		return "DATAROW x\r\n" + done(receipt)
	case word == "WRITE" && s.open:
		s.writes = append(s.writes, entry{term: s.term, data: id})
		return done(receipt)
	case word == "WRITE":
		return s.commit(receipt, []entry{{term: s.term, data: id}})
	case word != "COMMIT" && word != "ROLLBACK", !s.open:
		return failure("MALFORMED", s.id)
	}
	writes, failed := s.writes, s.failed
	s.open, s.reads, s.failed, s.writes = false, false, false, nil
	switch {
	case word == "ROLLBACK" || failed || len(writes) == 0:
		return done(receipt)
	case !leads:
		return failure("READONLY", s.id)
	}
	return s.commit(receipt, writes)
}

// ackTimeout is how long a commit waits for a replica.
const ackTimeout = 3 * time.Second

// commit appends entries, and acknowledges them once one replica has received them. The lock is
// held on entry and on return.
func (s *session) commit(receipt string, entries []entry) string {
	g := s.group
	first := len(s.log)
	s.log = append(s.log, entries...)
	last := len(s.log)
	for end := time.Now().Add(ackTimeout); time.Now().Before(end); {
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
		if !s.leads || s.term != g.term {
			return failure("TIMEOUT", s.id)
		}
		for _, m := range g.members {
			if m == s.member || len(m.log) < last || m.term != s.term {
				continue
			}
			for i := first; i < last; i++ {
				g.acked[i] = s.log[i]
			}
			s.applied, s.reported = max(s.applied, last), max(s.reported, last)
			return done(receipt)
		}
	}
	return failure("TIMEOUT", s.id)
}
