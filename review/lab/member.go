//go:build review

package lab

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// maxLine is the longest message of the wire protocol.
const maxLine = 1 << 20

func (m *Member) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		full := len(m.conns) >= m.group.MaxConns
		if !full {
			m.conns[conn] = struct{}{}
		}
		m.group.mu.Unlock()
		if full {
			_, _ = fmt.Fprintf(conn, "ERROR CONNLIMIT %s\r\n", m.Name)
			_ = conn.Close()
			continue
		}
		go m.serve(conn)
	}
}

// session is one connection to a member.
type session struct {
	*Member
	who      string
	number   string
	values   map[string]string
	prepared map[string]string
	// tx is the number of the open transaction, or 0.
	tx     int
	reads  bool
	failed bool
	writes []Entry
}

func (m *Member) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
	}()
	s := &session{Member: m, number: conn.RemoteAddr().String(), values: make(map[string]string), prepared: make(map[string]string)}
	lines := bufio.NewReaderSize(conn, maxLine+1)
	for {
		raw, err := lines.ReadSlice('\n')
		if err != nil {
			if s.tx != 0 {
				s.group.Record.Addf("%s connection %s closed, transaction %d rolled back", m.Name, s.number, s.tx)
			}
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(string(raw), "\r\n"), " ")
		switch word {
		case "STARTUP":
			fields := strings.Fields(rest)
			if len(fields) < 2 || fields[0] != m.group.Service || (len(fields) > 2 && fields[2] != m.Name) {
				_, _ = fmt.Fprintf(conn, "ERROR MOVED %s\r\n", m.Name)
				return
			}
			s.who = fields[1]
			_, _ = fmt.Fprint(conn, s.ready())
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			answer := s.run(id, text)
			end := s.ready()
			if id != "-" || strings.HasPrefix(text, "BEGIN") || strings.HasPrefix(text, "ROLLBACK") {
				s.group.Record.Addf("%s connection %s of %s: %s %s -> %s | %s", m.Name, s.number, s.who, id, short(text), short(strings.ReplaceAll(answer, "\r\n", " ")), strings.TrimSpace(end))
			}
			if _, err := fmt.Fprint(conn, answer+end); err != nil {
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
	state := "I"
	if s.failed {
		state = "E"
	} else if s.tx != 0 {
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, s.position())
}

func done(receipt string) string { return "COMPLETE " + receipt + "\r\n" }

// refuse refuses a statement; a transaction in which it was has failed.
func (s *session) refuse(code string) string {
	s.failed = s.failed || s.tx != 0
	return "ERROR " + code + " " + s.Name + "\r\n"
}

func (s *session) run(id, text string) string {
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.reached(position) {
			return s.refuse("LAGGING")
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch word {
	case "STATUS", "PAUSE", "STEPDOWN", "RESUME":
		return s.command(word, rest)
	case "RESET":
		s.values, s.prepared = make(map[string]string), make(map[string]string)
		return done("-")
	case "SET":
		s.values[name] = value
		return done("-")
	case "PREPARE":
		s.prepared[name], _, _ = strings.Cut(value, " ")
		return done("-")
	case "DEALLOC":
		delete(s.prepared, name)
		return done("-")
	case "BEGIN":
		return s.begin(rest == "READ")
	case "ROLLBACK":
		if s.tx == 0 {
			return s.refuse("MALFORMED")
		}
		s.tx, s.failed, s.writes = 0, false, nil
		return done("-")
	case "EXECUTE":
		access, found := s.prepared[name]
		if !found {
			return s.refuse("NOSTMT")
		}
		word, rest = access, value
	}
	if s.failed && word != "COMMIT" {
		return s.refuse("MALFORMED")
	}
	s.slots <- struct{}{}
	time.Sleep(s.group.Work)
	defer func() { <-s.slots }()
	switch word {
	case "READ":
		return s.read(rest)
	case "WRITE":
		return s.write(id, rest)
	case "COMMIT":
		return s.commit()
	}
	return s.refuse("MALFORMED")
}

func (s *session) reached(position string) bool {
	_, number, _ := strings.Cut(position, ".")
	n, _ := strconv.Atoi(number)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return n <= s.applied
}

func (s *session) command(word, rest string) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && !s.leads && term > s.term:
		s.held = term
	case word == "STEPDOWN" && s.leads && term > s.term:
		s.leads = false
	case word == "RESUME":
		s.held = 0
	}
	role := "replica"
	if s.leads {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\n", role, s.term, s.received(), s.held, len(s.slots), len(s.conns)) + done("-")
}

func (s *session) begin(reads bool) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.tx != 0 {
		return s.refuse("MALFORMED")
	}
	if !reads && !s.leads {
		return s.refuse("READONLY")
	}
	s.group.lastTx++
	s.tx, s.reads, s.writes = s.group.lastTx, reads, nil
	return done("-")
}

func (s *session) lostLead() bool { return s.tx != 0 && !s.reads && !s.leads }

func (s *session) ran(id, text string) {
	if s.tx != 0 {
		s.group.Record.ran(s.tx, id, text)
	}
}

func (s *session) read(item string) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.lostLead() {
		return s.refuse("READONLY")
	}
	value := "-"
	for _, e := range append(append([]Entry(nil), s.log[:s.applied]...), s.writes...) {
		if e.Item == item {
			value = e.Data
		}
	}
	return fmt.Sprintf("DATAROW %s\r\n", short(value)) + done("r."+s.Name)
}

func (s *session) write(id, rest string) string {
	item, data, _ := strings.Cut(rest, " ")
	e := Entry{Item: item, Data: data, ID: id}
	s.group.mu.Lock()
	if !s.leads || (s.tx != 0 && s.reads) {
		defer s.group.mu.Unlock()
		return s.refuse("READONLY")
	}
	if s.tx != 0 {
		defer s.group.mu.Unlock()
		s.writes = append(s.writes, e)
		s.ran(id, "WRITE "+item)
		return done("w." + s.Name + "." + id)
	}
	received := s.group.commit(s.Member, []Entry{e})
	s.group.mu.Unlock()
	return s.await(received, "w."+s.Name+"."+id)
}

// ackTimeout is how long a member waits for a replica.
const ackTimeout = 5 * time.Second

func (s *session) await(received <-chan struct{}, receipt string) string {
	select {
	case <-received:
		return done(receipt)
	case <-time.After(ackTimeout):
		return s.refuse("TIMEOUT")
	}
}

func (s *session) commit() string {
	s.group.mu.Lock()
	lost, writes, failed, tx := s.lostLead(), s.writes, s.failed, s.tx
	s.tx, s.failed, s.writes = 0, false, nil
	switch {
	case tx == 0:
		defer s.group.mu.Unlock()
		return s.refuse("MALFORMED")
	case failed:
		defer s.group.mu.Unlock()
		return s.refuse("ABORTED")
	case len(writes) == 0:
		defer s.group.mu.Unlock()
		return done("c." + s.Name)
	case lost:
		defer s.group.mu.Unlock()
		return s.refuse("READONLY")
	}
	received := s.group.commit(s.Member, writes)
	s.group.mu.Unlock()
	return s.await(received, "c."+s.Name)
}
