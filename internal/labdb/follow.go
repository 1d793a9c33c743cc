package labdb

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/vmihailenco/msgpack/v5"

	"poplarrouter.example/poplarrouter/pkg/group"
)

const retryDelay = 20 * time.Millisecond

// fetch copies log entries from the primary that the member follows.
func (m *Member) fetch(ctx context.Context) error {
	for ctx.Err() == nil {
		leader, term, follows := m.following()
		if follows {
			_ = m.fetchFrom(ctx, leader, term)
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (m *Member) following() (string, group.Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	follows := m.log.role == group.Replica && m.log.leader != "" && m.log.fence <= m.log.term
	return m.log.leader, m.log.term, follows
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
		if err := m.store(leader, term, int(from), entries); err != nil {
			return err
		}
	}
}

func readTail(ctx context.Context, conn *pgconn.PgConn, term group.Term, from group.Position) ([]Entry, error) {
	readCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	results, err := conn.Exec(readCtx, fmt.Sprintf("SELECT poplar_log(%d, %d)", term, from)).ReadAll()
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for _, row := range results[0].Rows {
		var e Entry
		if err := msgpack.Unmarshal(row[0], &e); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// store appends fetched entries, unless the member's promises have changed
// since they were asked for.
func (m *Member) store(leader string, term group.Term, from int, entries []Entry) error {
	return m.order(func(r *replog) error {
		if r.term != term || r.leader != leader || r.fence > r.term || len(r.entries) != from {
			return &OrderError{Order: "store", Got: "entries of an earlier leader", Want: "entries of the leader in force"}
		}
		now := time.Now()
		for _, e := range entries {
			e.arrived = now
			r.entries = append(r.entries, e)
		}
		return nil
	})
}

// apply replays stored entries into the engine, after the replica's lag.
func (m *Member) apply(ctx context.Context) error {
	for ctx.Err() == nil {
		entry, at, changed, found := m.nextEntry(ctx)
		if !found {
			wait(ctx, changed)
			continue
		}
		sleep(ctx, time.Until(entry.arrived.Add(m.options.ApplyLag)))
		if err := m.applyEntry(ctx, entry, at); err != nil {
			sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

func (m *Member) applyEntry(ctx context.Context, entry Entry, at int) error {
	if err := m.engine.replay(ctx, entry); err != nil {
		return err
	}
	return m.order(func(r *replog) error {
		if r.applied == at && !r.rebuild {
			r.applied++
		}
		return nil
	})
}

func (m *Member) nextEntry(ctx context.Context) (Entry, int, <-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.log.rebuild {
		if err := m.engine.clear(ctx); err != nil {
			return Entry{}, 0, m.changed, false
		}
		m.log.applied, m.log.rebuild = 0, false
	}
	if m.log.applied >= len(m.log.entries) {
		return Entry{}, 0, m.changed, false
	}
	return m.log.entries[m.log.applied], m.log.applied, m.changed, true
}

// caughtUp waits until every stored entry is applied.
func (m *Member) caughtUp(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		done, changed := m.log.applied >= len(m.log.entries) && !m.log.rebuild, m.changed
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
