package labdb

import (
	"context"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/vmihailenco/msgpack/v5"

	"poplarrouter.example/poplarrouter/internal/lablog"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/pkg/group"
)

var orderPattern = regexp.MustCompile(`(?is)^\s*select\s+poplar_([a-z]+)\((.*)\)\s*;?\s*$`)

// command is a call of one of the stand-in's control functions.
type command struct {
	name string
	args []string
}

// order reads a call of a control function, or returns nil.
func order(text string) *command {
	match := orderPattern.FindStringSubmatch(text)
	if match == nil {
		return nil
	}
	args, valid := arguments(strings.TrimSpace(match[2]))
	if !valid {
		return nil
	}
	return &command{name: strings.ToLower(match[1]), args: args}
}

// arguments reads numbers and literals in single quotes, joined by commas. It returns false for
// any other text.
func arguments(list string) (args []string, valid bool) {
	if list == "" {
		return nil, true
	}
	for {
		var arg string
		if arg, list, valid = firstArgument(list); !valid {
			return nil, false
		}
		args = append(args, arg)
		if list == "" {
			return args, true
		}
		if list[0] != ',' {
			return nil, false
		}
		list = strings.TrimSpace(list[1:])
	}
}

// firstArgument returns the first argument of a list and what follows it.
func firstArgument(list string) (arg, rest string, valid bool) {
	if !strings.HasPrefix(list, "'") {
		end := strings.IndexFunc(list, func(r rune) bool { return r < '0' || r > '9' })
		if end < 0 {
			end = len(list)
		}
		return list[:end], strings.TrimSpace(list[end:]), end > 0
	}
	var text strings.Builder
	for i := 1; i < len(list); i++ {
		if list[i] != '\'' {
			text.WriteByte(list[i])
			continue
		}
		if i+1 == len(list) || list[i+1] != '\'' {
			return text.String(), strings.TrimSpace(list[i+1:]), true
		}
		text.WriteByte('\'')
		i++
	}
	return "", "", false
}

func (c *command) arg(i int) string {
	if i < len(c.args) {
		return c.args[i]
	}
	return ""
}

func (c *command) term() (group.Term, error) {
	n, err := strconv.ParseUint(c.arg(0), 10, 64)
	if err != nil {
		return 0, &stateError{stateSyntax, "the first argument is no term: " + strconv.Quote(c.arg(0))}
	}
	return group.Term(n), nil
}

func (s *session) runOrder(ctx context.Context, c *command) error {
	switch c.name {
	case "status":
		s.sendStatus()
		return nil
	case "lead":
		return s.lead(c.arg(0))
	case "evict":
		s.member.evict(c.arg(0))
		s.sendStatus()
		return nil
	case "busy":
		s.sendText(strconv.Itoa(s.member.busyOf(c.arg(0))))
		return nil
	case "running":
		s.sendText(s.member.runningOf(strings.Fields(c.arg(0))))
		return nil
	}
	term, err := c.term()
	if err != nil {
		return err
	}
	switch c.name {
	case "fence":
		err = s.member.order(func(r *lablog.Log) error { return r.Promise(term, c.arg(1)) })
	case "promote":
		err = s.member.order(func(r *lablog.Log) error { return r.Promote(term, c.arg(1)) })
	case "follow":
		err = s.follow(term, c)
	case "log":
		return s.sendLog(ctx, term, c)
	default:
		err = &stateError{stateSyntax, "no such function: poplar_" + c.name}
	}
	if err != nil {
		return err
	}
	s.sendStatus()
	return nil
}

func (s *session) follow(term group.Term, c *command) error {
	starts, err := group.ParseStarts(c.arg(2))
	if err != nil {
		return err
	}
	return s.member.order(func(r *lablog.Log) error { return r.Follow(term, c.arg(1), starts) })
}

// lead makes a host the dispatcher of the member's slots while this session
// lasts.
func (s *session) lead(host string) error {
	m := s.member
	m.mu.Lock()
	taken := m.leader != nil && m.leader != s
	if !taken {
		m.leader, m.dispatcher = s, host
	}
	m.mu.Unlock()
	if taken {
		return &lablog.OrderError{Order: "lead", Got: host, Want: "no other dispatcher"}
	}
	s.sendStatus()
	return nil
}

func (m *Member) evict(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != nil && m.dispatcher == host {
		_ = m.leader.conn.Close()
		m.leader, m.dispatcher = nil, ""
	}
}

// busyOf returns how many sessions of a host are busy.
func (m *Member) busyOf(host string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.busy(func(s *session) bool { return s.host == host })
}

// runningOf returns which of some sessions, by their process IDs, run a statement.
func (m *Member) runningOf(ids []string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []string
	for s, at := range m.sessions {
		if id := strconv.FormatUint(uint64(s.key), 10); at == running && slices.Contains(ids, id) {
			found = append(found, id)
		}
	}
	return strings.Join(found, " ")
}

// sendStatus answers one row that describes the member.
func (s *session) sendStatus() { s.sendText(pgmem.FormatState(s.member.State())) }

// sendText answers one row of one text.
func (s *session) sendText(text string) {
	if !s.extendedly {
		s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field("answer", oidText, 0)}})
	}
	s.sendRow([]any{text}, nil)
	s.complete("SELECT 1")
}

func (s *session) sendLog(ctx context.Context, term group.Term, c *command) error {
	after, err := strconv.Atoi(c.arg(1))
	if err != nil || after < 0 {
		return &stateError{stateSyntax, "the second argument is no position: " + strconv.Quote(c.arg(1))}
	}
	entries, err := s.member.tail(ctx, term, after)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field("entry", oidBytea, 1)}})
	for _, e := range entries {
		raw, err := msgpack.Marshal(e)
		if err != nil {
			return err
		}
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{raw}})
	}
	s.complete(tag("SELECT", int64(len(entries))))
	return nil
}
