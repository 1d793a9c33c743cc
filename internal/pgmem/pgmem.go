// Package pgmem connects to members over the PostgreSQL protocol. A ControlConn is the control
// connection to a member, and a Conn a pooled connection.
package pgmem

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/internal/member"
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Login configures how the proxy connects and logs in to members.
type Login struct {
	User     string
	Password string
	// Database is the name of the database at the members.
	Database string
	// Host is the name of this proxy. Members use it to distinguish the connections of
	// different proxies.
	Host string
	// Dial opens TCP connections. If it is nil, pgconn's default is used.
	Dial DialFunc
}

// config returns the configuration of a connection to address (IP:port, or a name in place of the
// IP). It returns *AddressError for any other text.
func (l Login) config(address string) (*pgconn.Config, error) {
	host, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	// The host and the port are named so that the environment does not determine them.
	c, err := pgconn.ParseConfig("host=localhost port=5432 sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.Host, c.Port = host, port
	c.User, c.Password, c.Database = l.User, l.Password, l.Database
	c.RuntimeParams["application_name"] = l.Host
	c.Fallbacks = nil
	if l.Dial != nil {
		c.DialFunc = pgconn.DialFunc(l.Dial)
	}
	return c, nil
}

// AddressError reports a text that is not the address of a member.
type AddressError struct{ Got string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("connect to member: got address %q, want an IP or a name and a port", e.Got)
}

func splitAddress(address string) (host string, port uint16, err error) {
	invalid := &AddressError{Got: address}
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, invalid
	}
	number, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || number == 0 {
		return "", 0, invalid
	}
	if _, err := netip.ParseAddr(host); err != nil && !isHostName(host) {
		return "", 0, invalid
	}
	return host, uint16(number), nil
}

// isHostName reports whether a text has only characters of names of hosts.
func isHostName(text string) bool {
	for i := range len(text) {
		b := text[i]
		if !strings.ContainsRune("-._", rune(b)) && (b < '0' || b > '9') && (b|0x20 < 'a' || b|0x20 > 'z') {
			return false
		}
	}
	return text != ""
}

// Conn is a logged-in connection to a member.
type Conn struct {
	*pgproto3.Frontend
	net.Conn
	// ProcessID and SecretKey allow a cancel request for this connection.
	ProcessID uint32
	SecretKey []byte
	// Prepared holds the names of the statements prepared on this connection.
	Prepared map[string]struct{}
	// Dirty is set once a request has changed session settings of the connection.
	Dirty bool

	address string
	reads   *readTracker
}

var _ member.ProtocolConn = (*Conn)(nil)

// NewPool returns a pool of at most limit connections to the member at address (IP:port), and a
// function that closes it. A connection that was idle for at least idleCheck is pinged before it is
// reused.
func NewPool(address string, login Login, limit int, idleCheck time.Duration) (*member.Pool, func()) {
	return member.NewPool(member.PoolOptions{
		Address: address,
		Open: func(ctx context.Context, mode member.Mode, _ string) (member.ProtocolConn, error) {
			return Dial(ctx, address, login, mode)
		},
		Control:   func() member.SlotControl { return NewControlConn(address, login) },
		Limit:     limit,
		IdleCheck: idleCheck,
	})
}

// Dial opens a connection and logs in. The context bounds the entire operation.
func Dial(ctx context.Context, address string, login Login, mode member.Mode) (*Conn, error) {
	config, err := login.config(address)
	if err != nil {
		return nil, err
	}
	if mode == member.ReadOnly {
		config.RuntimeParams["options"] = "-c default_transaction_read_only=on"
	}
	tracker := &readTracker{}
	dial := config.DialFunc
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracker.Conn = conn
		return tracker, nil
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
		reads:     tracker,
	}, nil
}

// ID implements member.ProtocolConn. It returns the process ID.
func (c *Conn) ID() uint32 { return c.ProcessID }

// AwaitsAnswer implements member.ProtocolConn.
func (c *Conn) AwaitsAnswer(now time.Time, atLeast time.Duration) bool {
	return c.reads.blockedFor(now, atLeast)
}

// Cancel implements member.ProtocolConn. It blockedFor until the member has accepted the request.
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

// Ping implements member.ProtocolConn. It sends a Sync and blockedFor for the answer.
func (c *Conn) Ping() error {
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

// readTracker is a network connection that records since when a read has been blocked.
type readTracker struct {
	net.Conn
	since atomic.Pointer[time.Time]
}

// Read implements net.Conn.
func (r *readTracker) Read(p []byte) (int, error) {
	now := time.Now()
	r.since.Store(&now)
	defer r.since.Store(nil)
	return r.Conn.Read(p)
}

// blockedFor reports whether a read has been blocked for at least the given time.
func (r *readTracker) blockedFor(now time.Time, atLeast time.Duration) bool {
	since := r.since.Load()
	return since != nil && now.Sub(*since) >= atLeast
}
