package labdb

import (
	"context"
	"database/sql"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/lablog"
)

// Object identifiers of the PostgreSQL types that the stand-in answers with.
const (
	oidInt8   = 20
	oidText   = 25
	oidFloat8 = 701
	oidBytea  = 17
)

type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	ExecContext(ctx context.Context, query string, args ...any) (sql.Result, error)
}

var (
	_ querier = (*sql.DB)(nil)
	_ querier = (*sql.Tx)(nil)
)

func (s *session) querier() querier {
	if s.tx != nil {
		return s.tx
	}
	return s.member.engine.db
}

func (s *session) simple(ctx context.Context, text string) {
	statements := split(text)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, st := range statements {
		// The last statement counts as complete only once it is committed.
		s.deferring = i == len(statements)-1
		if err := s.run(ctx, portal{text: st}, true); err != nil {
			s.deferring = false
			s.report(err)
			return
		}
	}
	s.deferring = false
	if s.endImplicit() {
		s.complete(s.deferred)
	}
}

func firstWord(text string) string {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return ""
	}
	return strings.ToUpper(strings.TrimRight(fields[0], ";"))
}

func writes(text string) bool {
	switch firstWord(text) {
	case "SELECT", "WITH", "VALUES", "EXPLAIN", "SHOW", "SET", "RESET", "DISCARD", "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "DEALLOCATE":
		return false
	default:
		return true
	}
}

// run executes one statement. Row descriptions are sent with simple queries.
func (s *session) run(ctx context.Context, p portal, described bool) error {
	if control := order(p.text); control != nil {
		return s.runOrder(ctx, control)
	}
	word := firstWord(p.text)
	if s.failed && word != "ROLLBACK" && word != "COMMIT" && word != "END" {
		return &stateError{stateFailedTx, "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch word {
	case "BEGIN", "START":
		return s.begin(ctx)
	case "COMMIT", "END":
		return s.commit()
	case "ROLLBACK":
		s.rollback()
		s.complete("ROLLBACK")
		return nil
	case "SET", "RESET", "DISCARD", "DEALLOCATE":
		s.complete(word)
		return nil
	}
	return s.runSlot(ctx, p, described)
}

// complete reports a statement as complete, or keeps that for the end of a
// simple query.
func (s *session) complete(tag string) {
	if s.deferring {
		s.deferred = tag
		return
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) begin(ctx context.Context) error {
	if err := s.open(ctx); err != nil {
		return err
	}
	s.explicit = true
	s.complete("BEGIN")
	return nil
}

func (s *session) commit() error {
	if s.failed || s.tx == nil {
		s.rollback()
		s.complete("ROLLBACK")
		return nil
	}
	tx, written := s.tx, s.written
	s.tx, s.explicit = nil, false
	err := s.member.commit(tx, written)
	s.rollback()
	if err != nil {
		return err
	}
	s.complete("COMMIT")
	return nil
}

// open starts an engine transaction, if none is open. Transactions that may
// write run one at a time.
func (s *session) open(ctx context.Context) error {
	if s.tx != nil {
		return nil
	}
	if !s.readOnly && !s.locked {
		select {
		case s.member.writer <- struct{}{}:
			s.locked = true
		case <-ctx.Done():
			return ctx.Err()
		}
		s.member.caughtUp(ctx)
	}
	tx, err := s.member.engine.db.BeginTx(context.WithoutCancel(ctx), nil)
	if err != nil {
		s.unlock()
		return err
	}
	s.tx = tx
	return nil
}

func (s *session) unlock() {
	if s.locked {
		s.locked = false
		<-s.member.writer
	}
}

func (s *session) rollback() {
	if s.tx != nil {
		_ = s.tx.Rollback()
	}
	s.tx, s.explicit, s.failed, s.written = nil, false, false, nil
	s.unlock()
}

// endImplicit commits the transaction that a statement outside a transaction
// block opened. It tells whether that went well, or there was none.
func (s *session) endImplicit() bool {
	if s.tx == nil || s.explicit {
		return true
	}
	tx, written := s.tx, s.written
	s.tx = nil
	err := s.member.commit(tx, written)
	s.rollback()
	if err != nil {
		s.report(err)
	}
	return err == nil
}

// runSlot waits for a slot and runs a statement in it.
func (s *session) runSlot(ctx context.Context, p portal, described bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	s.member.setActivity(s, running)
	if err := s.open(ctx); err != nil {
		return err
	}
	s.member.want(1)
	defer s.member.want(-1)
	select {
	case s.member.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.member.slots }()
	duty.Pause(ctx, s.member.options.ServiceTime+sleepTime(p.text))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch {
	case sleepTime(p.text) > 0:
		return s.slept(described)
	case !writes(p.text):
		return s.query(ctx, p, described, "SELECT")
	default:
		return s.write(ctx, p, described)
	}
}

func (s *session) setCancel(cancel context.CancelFunc) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	s.cancel = cancel
}

func (s *session) slept(described bool) error {
	if described {
		s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field("pg_sleep", oidText, 0)}})
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{{}}})
	s.complete("SELECT 1")
	return nil
}

func (s *session) write(ctx context.Context, p portal, described bool) error {
	if s.readOnly {
		return &stateError{stateReadOnly, "cannot write in a read-only transaction"}
	}
	if err := s.member.writable(); err != nil {
		return err
	}
	s.written = append(s.written, lablog.Statement{SQL: p.text, Args: p.args})
	if strings.Contains(strings.ToUpper(p.text), "RETURNING") {
		return s.query(ctx, p, described, tagWord(p.text))
	}
	text, _ := placeholders(p.text)
	result, err := s.tx.ExecContext(ctx, text, values(p.args)...)
	if err != nil {
		return err
	}
	count, _ := result.RowsAffected()
	s.complete(tag(tagWord(p.text), count))
	return nil
}

func (m *Member) writable() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Writable()
}
