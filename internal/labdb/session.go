package labdb

import (
	"context"
	"crypto/rand"
	"database/sql"
	"encoding/binary"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/lablog"
)

// SQLSTATEs that the stand-in answers with.
const (
	stateSyntax      = "42601"
	stateReadOnly    = "25006"
	stateFailedTx    = "25P02"
	stateCancelled   = "57014"
	stateConnections = "53300"
	stateOrder       = "55000"
	stateFeature     = "0A000"
)

type session struct {
	member   *Member
	conn     net.Conn
	backend  *pgproto3.Backend
	host     string
	key      uint32
	secret   []byte
	readOnly bool
	cancel   context.CancelFunc

	// extendedly tells that an extended message is run, whose columns were
	// described before.
	extendedly bool
	deferring  bool
	deferred   string

	prepared map[string]string
	portals  map[string]portal
	skipping bool

	tx       *sql.Tx
	explicit bool
	failed   bool
	locked   bool
	written  []lablog.Statement
}

type portal struct {
	text    string
	args    []*string
	formats []int16
}

func (m *Member) serveConn(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s := &session{
		member:   m,
		conn:     conn,
		backend:  pgproto3.NewBackend(conn, conn),
		prepared: make(map[string]string),
		portals:  make(map[string]portal),
	}
	if !s.start(ctx) {
		return
	}
	defer m.forget(s)
	defer s.rollback()
	for ctx.Err() == nil {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, ends := message.(*pgproto3.Terminate); ends {
			return
		}
		goesOn := s.handle(ctx, message)
		m.setActivity(s, s.rest())
		if !goesOn {
			return
		}
	}
}

// rest returns what the session is at between two messages.
func (s *session) rest() activity {
	if s.explicit {
		return open
	}
	return idle
}

// start answers the start-up messages and tells whether a session follows.
func (s *session) start(ctx context.Context) bool {
	message, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch start := message.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		if _, err := s.conn.Write([]byte("N")); err != nil {
			return false
		}
		return s.start(ctx)
	case *pgproto3.CancelRequest:
		s.member.cancelSession(start)
		return false
	case *pgproto3.StartupMessage:
		s.host = start.Parameters["application_name"]
		s.readOnly = strings.Contains(start.Parameters["options"], "default_transaction_read_only=on")
		duty.Pause(ctx, s.member.options.ConnectDelay)
		return s.greet()
	default:
		return false
	}
}

func (s *session) greet() bool {
	if !s.member.register(s) {
		s.fail(stateConnections, "too many connections")
		_ = s.backend.Flush()
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.key, SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.backend.Flush() == nil
}

func (m *Member) register(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.options.Connections > 0 && len(m.sessions) >= m.options.Connections {
		return false
	}
	m.nextKey++
	s.key, s.secret = m.nextKey, make([]byte, 4)
	_, _ = rand.Read(s.secret)
	m.sessions[s] = idle
	return true
}

func (m *Member) forget(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s)
	if m.leader == s {
		m.leader, m.dispatcher = nil, ""
	}
}

func (m *Member) cancelSession(request *pgproto3.CancelRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		if s.key == request.ProcessID && string(s.secret) == string(request.SecretKey) && s.cancel != nil {
			s.cancel()
		}
	}
}

// handle answers one message and tells whether the session goes on.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) bool {
	switch msg := message.(type) {
	case *pgproto3.Query:
		s.simple(ctx, msg.String)
		return s.ready()
	case *pgproto3.Sync:
		s.skipping = false
		s.endImplicit()
		return s.ready()
	case *pgproto3.Flush:
		return s.backend.Flush() == nil
	}
	if s.skipping {
		return true
	}
	if err := s.extended(ctx, message); err != nil {
		s.report(err)
		s.skipping = true
	}
	return true
}

func (s *session) ready() bool {
	if !s.explicit {
		// Portals end with their transaction.
		clear(s.portals)
	}
	status := byte('I')
	switch {
	case s.failed && s.explicit:
		status = 'E'
	case s.explicit:
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.backend.Flush() == nil
}

func (s *session) extended(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch msg := message.(type) {
	case *pgproto3.Parse:
		if _, found := s.prepared[msg.Name]; found && msg.Name != "" {
			return &stateError{"42P05", "prepared statement " + strconv.Quote(msg.Name) + " already exists"}
		}
		s.prepared[msg.Name] = msg.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describe(ctx, msg)
	case *pgproto3.Execute:
		s.extendedly = true
		defer func() { s.extendedly = false }()
		p, err := s.portal(msg.Portal)
		if err != nil {
			return err
		}
		return s.run(ctx, p, false)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.prepared, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	default:
		return &stateError{stateFeature, "message not served by the stand-in"}
	}
	return nil
}

func (s *session) portal(name string) (portal, error) {
	p, found := s.portals[name]
	if !found {
		return portal{}, &stateError{"34000", "no portal " + strconv.Quote(name)}
	}
	return p, nil
}

func (s *session) bind(msg *pgproto3.Bind) error {
	text, found := s.prepared[msg.PreparedStatement]
	if !found {
		return &stateError{"26000", "no prepared statement " + strconv.Quote(msg.PreparedStatement)}
	}
	p := portal{text: text, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, raw := range msg.Parameters {
		p.args = append(p.args, argument(raw, formatAt(msg.ParameterFormatCodes, i)))
	}
	s.portals[msg.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// argument turns a parameter into text. Binary parameters of eight and four
// bytes are read as integers.
func argument(raw []byte, format int16) *string {
	if raw == nil {
		return nil
	}
	text := string(raw)
	if format == 1 && len(raw) == 8 {
		text = strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10)
	}
	if format == 1 && len(raw) == 4 {
		text = strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10)
	}
	return &text
}

func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return 0
	}
}

func (s *session) describe(ctx context.Context, msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		p, err := s.portal(msg.Name)
		if err != nil {
			return err
		}
		return s.describeText(ctx, p.text, p.args, p.formats)
	}
	text, found := s.prepared[msg.Name]
	if !found {
		return &stateError{"26000", "no prepared statement " + strconv.Quote(msg.Name)}
	}
	_, highest := placeholders(text)
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, highest)})
	return s.describeText(ctx, text, make([]*string, highest), nil)
}

// describeText answers the columns of a statement. Only statements that cannot
// write are tried out; others have columns only with a RETURNING clause, which
// the stand-in serves over the simple protocol alone.
func (s *session) describeText(ctx context.Context, text string, args []*string, formats []int16) error {
	if writes(text) || order(text) != nil || sleepTime(text) > 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	rewritten, _ := placeholders(text)
	rows, err := s.querier().QueryContext(ctx, rewritten, values(args)...)
	if err != nil {
		return &stateError{stateSyntax, err.Error()}
	}
	defer func() { _ = rows.Close() }()
	fields, err := fieldsOf(rows, formats)
	if err != nil {
		return err
	}
	if len(fields) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
	return nil
}

// stateError is a failure with its SQLSTATE.
type stateError struct {
	state string
	text  string
}

// Error implements error.
func (e *stateError) Error() string { return e.text }

func (s *session) report(err error) {
	s.failed = s.failed || s.explicit
	var coded *stateError
	var readOnly *lablog.ReadOnlyError
	var refused *lablog.OrderError
	switch {
	case errors.As(err, &coded):
		s.fail(coded.state, coded.text)
	case errors.As(err, &readOnly):
		s.fail(stateReadOnly, err.Error())
	case errors.As(err, &refused):
		s.fail(stateOrder, err.Error())
	case errors.Is(err, context.Canceled):
		s.fail(stateCancelled, "canceling statement due to user request")
	default:
		s.fail(stateSyntax, err.Error())
	}
	if !s.explicit {
		s.rollback()
	}
}

func (s *session) fail(state, text string) {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: state, Message: text})
}

func sleepTime(text string) time.Duration {
	match := sleepPattern.FindStringSubmatch(text)
	if match == nil {
		return 0
	}
	seconds, _ := strconv.ParseFloat(match[1], 64)
	return time.Duration(seconds * float64(time.Second))
}

var sleepPattern = regexp.MustCompile(`(?i)^\s*select\s+pg_sleep\(([0-9.]+)\)\s*;?\s*$`)
