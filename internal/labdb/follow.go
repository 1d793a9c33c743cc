package labdb

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/vmihailenco/msgpack/v5"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/lablog"
	"poplarrouter.example/poplarrouter/pkg/group"
)

const retryDelay = 20 * time.Millisecond

// fetch copies log entries from the primary that the member follows.
func (m *Member) fetch(ctx context.Context) error {
	for ctx.Err() == nil {
		leader, term, follows := m.following()
		if follows {
			fetchCtx, cancel := context.WithCancel(ctx)
			watching := duty.Start(fetchCtx, func(ctx context.Context) error { return m.untilUnfollowed(ctx, cancel, leader, term) })
			_ = m.fetchFrom(fetchCtx, leader, term)
			cancel()
			<-watching
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// untilUnfollowed ends a fetch once the member is told to follow another primary.
func (m *Member) untilUnfollowed(ctx context.Context, cancel func(), leader string, term group.Term) error {
	for ctx.Err() == nil {
		m.mu.Lock()
		now, in, follows := m.log.Following()
		changed := m.changed
		m.mu.Unlock()
		if !follows || now != leader || in != term {
			cancel()
			return nil
		}
		wait(ctx, changed)
	}
	return nil
}

func (m *Member) following() (string, group.Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Following()
}

func (m *Member) fetchFrom(ctx context.Context, leader string, term group.Term) error {
	dialCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := pgconn.Connect(dialCtx, fmt.Sprintf("postgres://replica@%s/log?sslmode=disable", leader))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	for {
		from := m.State().Received
		entries, err := readTail(ctx, conn, term, from)
		if err != nil {
			return err
		}
		err = m.order(func(r *lablog.Log) error { return r.Store(leader, term, int(from), entries, time.Now()) })
		if err != nil {
			return err
		}
	}
}

func readTail(ctx context.Context, conn *pgconn.PgConn, term group.Term, from group.Position) ([]lablog.Entry, error) {
	readCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	results, err := conn.Exec(readCtx, fmt.Sprintf("SELECT poplar_log(%d, %d)", term, from)).ReadAll()
	if err != nil {
		return nil, err
	}
	var entries []lablog.Entry
	for _, row := range results[0].Rows {
		var e lablog.Entry
		if err := msgpack.Unmarshal(row[0], &e); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// apply replays stored entries into the engine, after the replica's lag.
func (m *Member) apply(ctx context.Context) error {
	for ctx.Err() == nil {
		entry, at, changed, found := m.nextEntry(ctx)
		if !found {
			wait(ctx, changed)
			continue
		}
		duty.Pause(ctx, time.Until(entry.Arrived.Add(m.options.ApplyLag)))
		if err := m.applyEntry(ctx, entry, at); err != nil {
			duty.Pause(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

func (m *Member) applyEntry(ctx context.Context, entry lablog.Entry, at int) error {
	if err := m.engine.replay(ctx, entry); err != nil {
		return err
	}
	return m.order(func(r *lablog.Log) error {
		if r.Applied == at && !r.Rebuild {
			r.Applied++
		}
		return nil
	})
}

func (m *Member) nextEntry(ctx context.Context) (lablog.Entry, int, <-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.log.Rebuild {
		if err := m.engine.clear(ctx); err != nil {
			return lablog.Entry{}, 0, m.changed, false
		}
		m.log.Applied, m.log.Rebuild = 0, false
	}
	if m.log.Applied >= len(m.log.Entries) {
		return lablog.Entry{}, 0, m.changed, false
	}
	return m.log.Entries[m.log.Applied], m.log.Applied, m.changed, true
}

// caughtUp waits until every stored entry is applied.
func (m *Member) caughtUp(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		done, changed := m.log.Applied >= len(m.log.Entries) && !m.log.Rebuild, m.changed
		m.mu.Unlock()
		if done {
			return
		}
		wait(ctx, changed)
	}
}

func wait(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
	}
}
