package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// DialFunc opens a connection to a proxy that is handed over to jobs.
type DialFunc func(ctx context.Context, h book.Host) (net.Conn, error)

// Options are what a Client depends on.
type Options struct {
	Host   string
	Region string
	Dial   DialFunc
	// Owners returns the hosts that serve a database, and whether this one does.
	Owners func(database string) (hosts []string, here bool)
	// Substitutes returns the hosts that serve a database while none of its homes can be
	// reached.
	Substitutes func(database string) []string
	// Hosts returns the list of hosts.
	Hosts func() []book.Host
}

// Client sends requests to the proxies that serve their databases.
type Client struct {
	options Options

	mu      sync.Mutex
	targets map[string]*target
	closed  bool
}

var _ chain.Relay = (*Client)(nil)

// New returns a client and its clean-up function.
func New(options Options) (*Client, func()) {
	c := &Client{options: options, targets: make(map[string]*target)}
	return c, c.close
}

// Route implements chain.Relay.
func (c *Client) Route(database string, turn uint64) []string {
	homes, here := c.options.Owners(database)
	if here {
		return nil
	}
	list := c.candidates(homes, false)
	list = append(list, c.candidates(c.options.Substitutes(database), true)...)
	order := OrderCandidates(list, c.options.Region, turn, time.Now())
	if i := slices.Index(order, c.options.Host); i >= 0 {
		// Behind those before it, this proxy serves the database itself.
		return order[:i]
	}
	return order
}

func (c *Client) candidates(hosts []string, deputies bool) []Candidate {
	list := make([]Candidate, 0, len(hosts))
	for _, host := range hosts {
		if t := c.target(host); t != nil {
			candidate := t.candidate()
			candidate.Substitute = deputies
			list = append(list, candidate)
		}
	}
	return list
}

// Open implements chain.Relay.
func (c *Client) Open(ctx context.Context, host string) (chain.RelayConn, error) {
	t := c.target(host)
	if t == nil {
		return nil, fault.New(fault.Undispatched, "relay", "host %q is no longer listed", host)
	}
	if l := t.get(); l != nil {
		return l, nil
	}
	l, err := t.dial(ctx, c.options.Dial)
	if err != nil {
		return nil, fault.Wrap(err, fault.Undispatched, "relay", "no connection to proxy %s", host)
	}
	return l, nil
}

// target returns the proxy of a name, or nil if it is not listed. One that moved to
// another address is another proxy.
func (c *Client) target(name string) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	for _, h := range c.options.Hosts() {
		if h.Name != name {
			continue
		}
		t := c.targets[name]
		if t == nil || t.host.PeerAddress != h.PeerAddress {
			if t != nil {
				t.close()
			}
			t = &target{host: h}
			c.targets[name] = t
		}
		return t
	}
	return nil
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, t := range c.targets {
		t.close()
	}
}
