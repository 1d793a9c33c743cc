// Package member reaches the members of a database over the PostgreSQL
// protocol: a control connection to each for its state and for orders, and
// pooled connections for callers' work.
//
// A pooled connection is in one of three states: idle in its pool, lent to one
// request or transaction, or closed. It returns to the pool only outside a
// transaction and with no answer outstanding; a connection in doubt is closed.
package member

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Login is how the proxy reaches and logs in at members.
type Login struct {
	User     string
	Password string
	// Database is the name that members know the database by.
	Database string
	// Host is the proxy's own name, by which a member tells the connections of one
	// proxy from those of others.
	Host string
	// Dial opens connections; nil stands for a plain one.
	Dial DialFunc
}

// config returns what a connection to address (IP:port) needs.
func (l Login) config(address string) (*pgconn.Config, error) {
	c, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s/?sslmode=disable", address))
	if err != nil {
		return nil, err
	}
	c.User, c.Password, c.Database = l.User, l.Password, l.Database
	c.RuntimeParams["application_name"] = l.Host
	c.Fallbacks = nil
	if l.Dial != nil {
		c.DialFunc = pgconn.DialFunc(l.Dial)
	}
	return c, nil
}

// Mode tells what a pooled connection may be used for.
type Mode uint8

// The modes of a pooled connection.
const (
	// ReadWrite connections run anything.
	ReadWrite Mode = iota
	// ReadOnly connections have every transaction read-only by default, so that
	// work labelled as a read cannot write.
	ReadOnly
)

// Conn is a logged-in connection to a member.
type Conn struct {
	*pgproto3.Frontend
	net.Conn
	// ProcessID and SecretKey allow a cancel request for this connection.
	ProcessID uint32
	SecretKey []byte
	// Prepared holds the names of the statements prepared on this connection.
	Prepared map[string]struct{}

	address string
	mode    Mode
	era     int
	idled   time.Time
	doubt   bool
	reading *reading
	// quiet counts the looks in a row at which the member ran nothing for the
	// connection while an answer was awaited. The pool's watch owns it.
	quiet int
}

// Dial opens a connection. The context bounds the whole of it.
func Dial(ctx context.Context, address string, login Login, mode Mode) (*Conn, error) {
	config, err := login.config(address)
	if err != nil {
		return nil, err
	}
	if mode == ReadOnly {
		config.RuntimeParams["options"] = "-c default_transaction_read_only=on"
	}
	r := &reading{}
	dial := config.DialFunc
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		r.Conn = conn
		return r, nil
	}
	raw, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	h, err := raw.Hijack()
	if err != nil {
		return nil, err
	}
	if err := h.Conn.SetDeadline(time.Time{}); err != nil {
		_ = h.Conn.Close()
		return nil, err
	}
	return &Conn{
		Frontend:  h.Frontend,
		Conn:      h.Conn,
		ProcessID: h.PID,
		SecretKey: h.SecretKey,
		Prepared:  make(map[string]struct{}),
		address:   address,
		mode:      mode,
		reading:   r,
	}, nil
}

// Doubt marks the connection as one that must not be reused: it is closed when
// it returns to its pool.
func (c *Conn) Doubt() { c.doubt = true }

// Cancel asks the member to cancel what the connection runs, and waits until
// the member has taken the request. The caller marks the connection as in doubt
// before, since the cancel may arrive late.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if deadline, set := ctx.Deadline(); set {
		_ = conn.SetDeadline(deadline)
	}
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.CancelRequest{ProcessID: c.ProcessID, SecretKey: c.SecretKey})
	if err := f.Flush(); err != nil {
		return err
	}
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

// trip sends a Sync and waits for its answer.
func (c *Conn) trip() error {
	c.Send(&pgproto3.Sync{})
	if err := c.Flush(); err != nil {
		return err
	}
	for {
		message, err := c.Receive()
		if err != nil {
			return err
		}
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return nil
		}
	}
}
