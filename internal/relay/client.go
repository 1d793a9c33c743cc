package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/budget"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// DialFunc opens a connection to another proxy that carries jobs only.
type DialFunc func(ctx context.Context, h book.Host) (net.Conn, error)

// Options are the dependencies of a Client.
type Options struct {
	Host   string
	Region string
	Dial   DialFunc
	// Owners returns the hosts that own a database, and reports whether this host is one of
	// them.
	Owners func(database string) (hosts []string, local bool)
	// Substitutes returns the hosts that serve a database while none of its owners is
	// reachable.
	Substitutes func(database string) []string
	// Hosts returns the host list of the documents in force.
	Hosts func() []book.Host
	// SheetSerial returns the serial of the sheet in force. Nil stands for 0.
	SheetSerial func() uint64
	// Load returns the work that another proxy last reported to have and the time since, or
	// false if it is unknown. Nil means that it is always unknown.
	Load func(host string) (work float64, age time.Duration, found bool)
	// Balances is the state of the choice among owners that are equally suitable. Nil means
	// a new one.
	Balances *even.Balances
	// Memory is the memory budget. Nil means that memory is not limited.
	Memory *budget.Budget
}

// Client sends requests to the proxies that own their databases.
type Client struct {
	options Options

	mu     sync.Mutex
	owners map[string]*owner
	closed bool

	times *answerTimes
}

var _ chain.Relay = (*Client)(nil)

// New returns a client and a function that closes its connections.
func New(options Options) (*Client, func()) {
	if options.SheetSerial == nil {
		options.SheetSerial = func() uint64 { return 0 }
	}
	if options.Balances == nil {
		options.Balances = even.NewBalances()
	}
	c := &Client{options: options, owners: make(map[string]*owner), times: newAnswerTimes()}
	return c, c.close
}

// Route implements chain.Relay.
func (c *Client) Route(database string, turn uint64) []string {
	list, local := c.all(database)
	if local {
		return nil
	}
	choose := func(list []even.Candidate, turn, draw uint64, light float64, now time.Time) even.Choice {
		return c.options.Balances.Choose(database, list, turn, draw, light, now)
	}
	order := orderCandidates(choose, list, c.options.Region, turn, time.Now())
	if i := slices.Index(order, c.options.Host); i >= 0 {
		// This host is a substitute: it serves the request itself once the proxies before
		// it have been tried.
		return order[:i]
	}
	return order
}

// all returns the owners and substitutes of a database, and whether this host is an owner.
func (c *Client) all(database string) (list []Candidate, local bool) {
	ownerHosts, local := c.options.Owners(database)
	list = c.candidates(ownerHosts, false)
	return append(list, c.candidates(c.options.Substitutes(database), true)...), local
}

func (c *Client) candidates(hosts []string, substitutes bool) []Candidate {
	list := make([]Candidate, 0, len(hosts))
	for _, host := range hosts {
		if o := c.owner(host); o != nil {
			candidate := o.candidate()
			candidate.Substitute = substitutes
			candidate.Slowness = c.times.slowness(host, time.Now())
			if c.options.Load != nil {
				candidate.Reported, candidate.ReportAge, candidate.HasReport = c.options.Load(host)
			}
			list = append(list, candidate)
		}
	}
	return list
}

// Open implements chain.Relay.
func (c *Client) Open(ctx context.Context, host string) (chain.RelayConn, error) {
	o := c.owner(host)
	if o == nil {
		return nil, fault.New(fault.Undispatched, "relay", "host %q is no longer listed", host)
	}
	if conn := o.get(); conn != nil {
		return conn, nil
	}
	conn, err := o.dial(ctx, c.options.Dial)
	if err != nil {
		return nil, fault.Wrap(err, fault.Undispatched, "relay", "no connection to proxy %s", host)
	}
	return conn, nil
}

// owner returns the owner with the given host name, or nil if the host is not listed or
// the client is closed. A host whose address has changed gets a new owner, with no
// connections and no record of failures.
func (c *Client) owner(name string) *owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	for _, h := range c.options.Hosts() {
		if h.Name != name {
			continue
		}
		o := c.owners[name]
		if o == nil || o.host.PeerAddress != h.PeerAddress {
			if o != nil {
				o.close()
			}
			o = &owner{host: h, sheetSerial: c.options.SheetSerial, memory: c.options.Memory, times: c.times}
			c.owners[name] = o
		}
		return o
	}
	return nil
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, o := range c.owners {
		o.close()
	}
}
