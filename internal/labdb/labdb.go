// Package labdb is a stand-in for a database member: a small server of the
// PostgreSQL protocol with terms, log positions, asynchronous replication, a
// limit of connections and of statements at a time, and orders to fence,
// promote and follow. An embedded SQL library keeps the rows.
//
// Replication is by statement, so statements must be deterministic. A member
// that follows a primary fetches log entries over the same port.
package labdb

import (
	"context"
	"database/sql"
	"net"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/lablog"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// Options describe one member.
type Options struct {
	// Address is the IP and port to listen on; port 0 picks a free one.
	Address string
	// Leader is the address of the primary to follow; empty for a primary.
	Leader string
	// Slots is how many statements run at a time.
	Slots int
	// Connections is how many connections are accepted at a time.
	Connections int
	// ConnectDelay is how long a new connection takes.
	ConnectDelay time.Duration
	// ApplyLag is how long a replica waits before it applies an entry.
	ApplyLag time.Duration
	// ServiceTime is how long each statement holds its slot at least.
	ServiceTime time.Duration
}

// Member is a running stand-in.
type Member struct {
	options  Options
	listener net.Listener
	engine   *engine
	slots    chan struct{}
	writer   chan struct{}

	mu      sync.Mutex
	log     lablog.Log
	changed chan struct{}
	// sessions tells what each is at.
	sessions map[*session]activity
	nextKey  uint32
	// leader is the session whose host is the dispatcher of the slots.
	leader     *session
	dispatcher string
	// wanting counts the statements that hold or wait for a slot, and peak is
	// the highest count so far.
	wanting int
	peak    int
}

// New starts a member and returns it with its clean-up function.
func New(options Options) (*Member, func(), error) {
	rows, closeEngine, err := newEngine()
	if err != nil {
		return nil, nil, err
	}
	// From here on the system accepts connections, which the member has to answer.
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		closeEngine()
		return nil, nil, err
	}
	role := group.Primary
	if options.Leader != "" {
		role = group.Replica
	}
	m := &Member{
		options:  options,
		listener: listener,
		engine:   rows,
		slots:    make(chan struct{}, max(options.Slots, 1)),
		writer:   make(chan struct{}, 1),
		log:      lablog.New(role, options.Leader),
		changed:  make(chan struct{}),
		sessions: make(map[*session]activity),
	}
	stopServe := duty.Run(m.serve)
	stopFetch := duty.Run(m.fetch)
	stopApply := duty.Run(m.apply)
	return m, func() {
		_ = listener.Close()
		m.closeSessions()
		stopServe()
		stopFetch()
		stopApply()
		closeEngine()
	}, nil
}

// Address returns the address on which the member listens.
func (m *Member) Address() string { return m.listener.Addr().String() }

// State returns what the member reports of itself.
func (m *Member) State() group.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.log.State()
	s.LeaseHolder, s.Active = m.dispatcher, m.busy(func(*session) bool { return true })
	return s
}

// busy counts the sessions that are wanted, and run a statement or have a
// transaction open. The lock must be held.
func (m *Member) busy(wanted func(*session) bool) int {
	count := 0
	for s, at := range m.sessions {
		if at != idle && wanted(s) {
			count++
		}
	}
	return count
}

// activity is what a session is at.
type activity uint8

const (
	idle activity = iota
	// open means in a transaction, between two statements.
	open
	running
)

func (m *Member) setActivity(s *session, at activity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.sessions[s]; known {
		m.sessions[s] = at
	}
}

// Peak returns the highest number of statements that held or waited for a slot
// at the same time.
func (m *Member) Peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// want counts a statement that wants a slot, or one that no longer does.
func (m *Member) want(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wanting += change
	m.peak = max(m.peak, m.wanting)
}

// order runs a change of the log under the lock and wakes those who wait.
func (m *Member) order(change func(*lablog.Log) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := change(&m.log); err != nil {
		return err
	}
	m.wake()
	return nil
}

// wake tells waiting duties that the log has changed. The lock must be held.
func (m *Member) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// commit ends an engine transaction and appends its statements to the log, if
// the member may commit.
func (m *Member) commit(tx *sql.Tx, statements []lablog.Statement) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(statements) == 0 {
		return tx.Commit()
	}
	if err := m.log.Writable(); err != nil {
		_ = tx.Rollback()
		return err
	}
	if err := tx.Commit(); err != nil {
		return err
	}
	if err := m.log.Append(statements); err != nil {
		return err
	}
	m.log.Applied++
	m.wake()
	return nil
}

// tail returns the entries after a position, waiting a short time for one.
func (m *Member) tail(ctx context.Context, term group.Term, after int) ([]lablog.Entry, error) {
	timeout := time.After(tailWait)
	for {
		entries, changed, err := m.peekTail(term, after)
		if err != nil || len(entries) > 0 {
			return entries, err
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

const (
	tailWait  = 200 * time.Millisecond
	tailBatch = 256
)

func (m *Member) peekTail(term group.Term, after int) ([]lablog.Entry, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries, err := m.log.Tail(term, after)
	return entries[:min(len(entries), tailBatch)], m.changed, err
}

func (m *Member) serve(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	return duty.Accept(ctx, m.listener, func(conn net.Conn) {
		group.Go(func() { m.serveConn(ctx, conn) })
	})
}

func (m *Member) closeSessions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		_ = s.conn.Close()
	}
}
