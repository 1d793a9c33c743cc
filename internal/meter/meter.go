// Package meter counts the bytes that the proxy sends and receives, by kind of
// traffic and by the region at the other end, since bytes between regions are
// paid for.
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
	// Work is callers' statements and their answers, to and from members.
	Work Kind = "work"
	// Control is questions and orders to members.
	Control Kind = "control"
	// Peer is traffic between proxies.
	Peer Kind = "peer"
)

// Meter counts bytes.
type Meter struct {
	bytes *prometheus.CounterVec
}

// New returns a meter whose counts are in a registry.
func New(registry prometheus.Registerer) *Meter {
	m := &Meter{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarrouter_bytes_total",
		Help: "Bytes sent and received, by kind of traffic, region of the other end and direction.",
	}, []string{"kind", "region", "direction"})}
	registry.MustRegister(m.bytes)
	return m
}

// Wrap returns a connection whose bytes are counted.
func (m *Meter) Wrap(conn net.Conn, kind Kind, region string) net.Conn {
	return &counted{
		Conn: conn,
		sent: m.bytes.WithLabelValues(string(kind), region, "sent"),
		got:  m.bytes.WithLabelValues(string(kind), region, "received"),
	}
}

// Dial returns a function that opens counted TCP connections.
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

type counted struct {
	net.Conn
	sent prometheus.Counter
	got  prometheus.Counter
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.got.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}
