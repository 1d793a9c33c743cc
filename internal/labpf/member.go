package labpf

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// add starts a member.
func (g *Group) add(name string) (*Member, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Member{group: g, name: name, address: listener.Addr().String(), listener: listener, conns: make(map[net.Conn]struct{})}
	g.mu.Lock()
	g.members = append(g.members, m)
	g.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { m.accept(listener, &running) })
	m.stop = func() {
		m.Crash()
		running.Wait()
	}
	return m, nil
}

// Crash ends the member's process: nothing listens at its address any more.
func (m *Member) Crash() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.listener == nil {
		return
	}
	_ = m.listener.Close()
	m.listener = nil
	for conn := range m.conns {
		_ = conn.Close()
	}
}

func (m *Member) accept(listener net.Listener, running *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		full := len(m.conns) >= m.group.options.Connections
		if !full {
			m.conns[conn] = struct{}{}
		}
		m.group.mu.Unlock()
		if full {
			_, _ = fmt.Fprintf(conn, "ERROR CONNLIMIT %s\r\n", m.name)
			_ = conn.Close()
			continue
		}
		running.Go(func() { m.serve(conn) })
	}
}

// session is one connection to a member.
type session struct {
	*Member
	conn net.Conn
	// connected is the name with which the connection was opened.
	connected string
	values    map[string]string
	prepared  map[string]preparedStatement
	// open tells that a transaction is, reads that it only reads; writes are its own.
	open   bool
	reads  bool
	failed bool
	writes []entry
}

// preparedStatement is a statement that was prepared on a connection.
type preparedStatement struct {
	access string
	shape  string
}

// maxLine is the size in bytes of the longest line that a member reads.
const maxLine = 1 << 20

func (m *Member) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
	}()
	s := &session{Member: m, conn: conn}
	s.reset()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLine)
	lines.Split(splitLine)
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		switch word {
		case "STARTUP":
			fields := strings.Fields(rest)
			if len(fields) < 1 || fields[0] != Database || (len(fields) > 2 && fields[2] != m.name) {
				_, _ = fmt.Fprintf(conn, "ERROR MOVED %s\r\n", m.name)
				return
			}
			if len(fields) > 1 {
				s.connected = fields[1]
			}
			s.noteOpened()
			_, _ = conn.Write([]byte(s.ready()))
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			s.noteStatement(id, text)
			if _, err := conn.Write([]byte(s.run(text) + s.ready())); err != nil {
				return
			}
		default:
			return
		}
	}
}

// splitLine is a bufio.SplitFunc for lines. The rest of a line that was cut off is none.
func splitLine(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if !bytes.Contains(data, []byte("\n")) {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

func (s *session) reset() {
	s.values, s.prepared = make(map[string]string), make(map[string]preparedStatement)
}

func (s *session) ready() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	state, at := "I", "0.0"
	if s.failed {
		state = "E"
	} else if s.open {
		state = "T"
	}
	if s.applied > 0 {
		at = fmt.Sprintf("%d.%d", s.log[s.applied-1].term, s.applied)
	}
	return fmt.Sprintf("READY %s %s\r\n", state, at)
}

func done(receipt string) string { return "COMPLETE " + receipt + "\r\n" }

func refused(code string) string { return "ERROR " + code + " refused\r\n" }

// run runs a statement and returns the answer without its end.
func (s *session) run(text string) string {
	if rest, after := strings.CutPrefix(text, "AFTER "); after {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.reached(position) {
			return refused("LAGGING")
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if answer, is := s.order(word, rest); is {
		return answer
	}
	if answer, is := s.setUp(word, rest); is {
		return answer
	}
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		prepared, found := s.prepared[name]
		if !found {
			return refused("NOSTMT")
		}
		word, rest = prepared.access, arguments
	}
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return refused("MALFORMED")
	}
	switch word {
	case "BEGIN":
		return s.begin(rest == "READ")
	case "READ":
		return s.read(rest)
	case "WRITE":
		return s.write(rest)
	case "COMMIT", "ROLLBACK":
		return s.end(word == "COMMIT")
	default:
		return refused("MALFORMED")
	}
}

func (s *session) reached(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	n, _ := strconv.Atoi(number)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return n == 0 || (n <= s.applied && strconv.FormatUint(s.log[n-1].term, 10) == term)
}

// order carries out what watchers and promoters send.
func (s *session) order(word, rest string) (string, bool) {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch word {
	case "STATUS":
	case "PAUSE":
		if !s.leads && term > s.term {
			s.held = term
		}
	case "STEPDOWN":
		if s.leads && term > s.term {
			s.leads = false
		}
	case "RESUME":
		s.held = 0
	default:
		return "", false
	}
	role, at := "replica", "0.0"
	if s.leads {
		role = "primary"
	}
	if n := len(s.log); n > 0 {
		at = fmt.Sprintf("%d.%d", s.log[n-1].term, n)
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\n", role, s.term, at, s.held, len(s.conns)) + done("-"), true
}

func (s *session) setUp(word, rest string) (string, bool) {
	name, value, _ := strings.Cut(rest, " ")
	if slices.Contains([]string{"RESET", "SET", "PREPARE"}, word) && s.group.refuses(word+" "+rest) {
		return refused("BUSY"), true
	}
	switch word {
	case "RESET":
		s.reset()
	case "SET":
		s.values[name] = value
	case "PREPARE":
		access, shape, _ := strings.Cut(value, " ")
		s.prepared[name] = preparedStatement{access: access, shape: shape}
	default:
		return "", false
	}
	return done("-"), true
}

func (s *session) begin(reads bool) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if !reads && !s.leads {
		return refused("READONLY")
	}
	s.open, s.reads, s.writes = true, reads, nil
	return done("-")
}

// lostLead tells whether the member no longer leads the open transaction.
func (s *session) lostLead() bool { return s.open && !s.reads && !s.leads }

func (s *session) read(item string) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.lostLead() {
		s.failed = true
		return refused("READONLY")
	}
	value := "-"
	for _, e := range append(append([]entry(nil), s.log[:s.applied]...), s.writes...) {
		if e.item == item {
			value = e.data
		}
	}
	return fmt.Sprintf("DATAROW %s\r\n", value) + done("read."+s.name)
}

func (s *session) write(rest string) string {
	item, data, _ := strings.Cut(rest, " ")
	e := entry{item: item, data: data}
	s.group.mu.Lock()
	if !s.leads || s.reads {
		s.failed = s.open
		s.group.mu.Unlock()
		return refused("READONLY")
	}
	if s.open {
		s.writes = append(s.writes, e)
		s.group.mu.Unlock()
		return done("write." + s.name)
	}
	acknowledged := s.group.commit(s.Member, []entry{e})
	s.group.mu.Unlock()
	return s.await(acknowledged)
}

// ackTimeout is how long a member waits for a replica before it gives the answer up.
const ackTimeout = 3 * time.Second

func (s *session) await(acknowledged <-chan struct{}) string {
	select {
	case <-acknowledged:
		return done("commit." + s.name)
	case <-time.After(ackTimeout):
		return refused("TIMEOUT")
	}
}

func (s *session) end(commits bool) string {
	s.group.mu.Lock()
	if !s.open {
		s.group.mu.Unlock()
		return refused("MALFORMED")
	}
	lost, writes, failed := s.lostLead(), s.writes, s.failed
	s.open, s.reads, s.failed, s.writes = false, false, false, nil
	if !commits || failed || len(writes) == 0 {
		s.group.mu.Unlock()
		return done("end." + s.name)
	}
	if lost {
		s.group.mu.Unlock()
		return refused("READONLY")
	}
	acknowledged := s.group.commit(s.Member, writes)
	s.group.mu.Unlock()
	return s.await(acknowledged)
}
