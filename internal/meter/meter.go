// Package meter counts the bytes that the proxy sends and receives, by kind of
// traffic and by region of the remote end, because traffic between regions is
// billed.
package meter

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is a kind of traffic.
type Kind string

// The kinds of traffic.
const (
	// Work is the traffic of callers' statements and their answers, to and from members.
	Work Kind = "work"
	// Control is the traffic of status queries and control commands to members.
	Control Kind = "control"
	// Peer is the traffic between proxies.
	Peer Kind = "peer"
)

// Meter counts the bytes of wrapped connections.
type Meter struct {
	bytes *prometheus.CounterVec
}

// New returns a meter that registers its counters in registry.
func New(registry prometheus.Registerer) *Meter {
	m := &Meter{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarrouter_bytes_total",
		Help: "Bytes sent and received, by kind of traffic, region of the other end and direction.",
	}, []string{"kind", "region", "direction"})}
	registry.MustRegister(m.bytes)
	return m
}

// Wrap returns conn with its bytes counted under kind and region.
func (m *Meter) Wrap(conn net.Conn, kind Kind, region string) net.Conn {
	return &countedConn{
		Conn:     conn,
		sent:     m.bytes.WithLabelValues(string(kind), region, "sent"),
		received: m.bytes.WithLabelValues(string(kind), region, "received"),
	}
}

// Dial returns a function that opens connections with Wrap applied.
func (m *Meter) Dial(kind Kind, region string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Wrap(conn, kind, region), nil
	}
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	sent     prometheus.Counter
	received prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

// CloseWrite closes the writing side of a TCP connection, so that the other end receives
// what was written before. Other connections are closed.
func (c *countedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return c.Close()
}
