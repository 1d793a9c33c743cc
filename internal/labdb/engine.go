package labdb

import (
	"context"
	"database/sql"
	"os"
	"path/filepath"
	"strings"

	// The driver registers itself as "sqlite".
	_ "modernc.org/sqlite"

	"poplarrouter.example/poplarrouter/internal/lablog"
)

// engine keeps the rows of one member in a file of a directory of its own.
type engine struct {
	db  *sql.DB
	dir string
}

const pragmas = "?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout(10000)"

// keptConnections is how many connections to the file stay open. While the last
// one closes, the library answers a new one that the file is locked.
const keptConnections = 64

func newEngine() (*engine, func(), error) {
	dir, err := os.MkdirTemp("", "poplarlab")
	if err != nil {
		return nil, nil, err
	}
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "rows.db")+pragmas)
	if err != nil {
		return nil, nil, err
	}
	db.SetMaxIdleConns(keptConnections)
	e := &engine{db: db, dir: dir}
	// The first connection changes the mode of the file, which must not happen
	// while others are opened.
	if err := db.Ping(); err != nil {
		e.close()
		return nil, nil, err
	}
	return e, e.close, nil
}

func (e *engine) close() {
	_ = e.db.Close()
	_ = os.RemoveAll(e.dir)
}

// replay applies one log entry.
func (e *engine) replay(ctx context.Context, entry lablog.Entry) error {
	tx, err := e.db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	for _, st := range entry.Statements {
		text, _ := placeholders(st.SQL)
		if _, err := tx.ExecContext(ctx, text, values(st.Args)...); err != nil {
			_ = tx.Rollback()
			return err
		}
	}
	return tx.Commit()
}

// clear drops every table, so that the log can be replayed from its start.
func (e *engine) clear(ctx context.Context) error {
	rows, err := e.db.QueryContext(ctx, "SELECT name FROM sqlite_master WHERE type = 'table' AND name NOT LIKE 'sqlite_%'")
	if err != nil {
		return err
	}
	var names []string
	for rows.Next() {
		var name string
		if err := rows.Scan(&name); err != nil {
			return err
		}
		names = append(names, name)
	}
	if err := rows.Err(); err != nil {
		return err
	}
	for _, name := range names {
		if _, err := e.db.ExecContext(ctx, `DROP TABLE "`+strings.ReplaceAll(name, `"`, `""`)+`"`); err != nil {
			return err
		}
	}
	return nil
}

func values(args []*string) []any {
	list := make([]any, 0, len(args))
	for _, a := range args {
		if a == nil {
			list = append(list, nil)
			continue
		}
		list = append(list, *a)
	}
	return list
}
