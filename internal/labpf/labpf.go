// Package labpf stands in for the users' platform: a store of objects with revisions
// and watches, databases of the line protocol that replicate one log, and the call that
// promotes. It is written from the platform's pages, for tests and demonstrations.
package labpf

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options describe a platform with one database.
type Options struct {
	// Members is how many members the database has, Lag how long after it was received
	// an entry is applied, and PromoteDelay how long after the order a promotion takes
	// effect.
	Members      int
	Lag          time.Duration
	PromoteDelay time.Duration
	// Connections is how many connections each member takes.
	Connections int
	// Via returns the address under which a member is listed, given its own; nil stands
	// for the same.
	Via func(address string) (string, error)
	// OnStatement is called for each statement of a caller that a member receives, before the
	// member runs it, and by several goroutines at a time. Unless it is nil, statements are not
	// recorded.
	OnStatement func(Statement)
}

// Database is the name of the platform's database.
const Database = "stock"

// The names that callers connect to, one for each kind of read.
const (
	Latest  = "latest"
	Session = "session"
	Bounded = "bounded"
)

// dataCentres are where members and proxies stand, in turn.
var dataCentres = []string{"csepel", "ujpest", "hajdu"}

// Regions gives the region of each data centre.
func Regions() map[string]string {
	return map[string]string{"csepel": "budapest", "ujpest": "budapest", "hajdu": "debrecen"}
}

// DataCentre returns where the proxy or member of a number stands.
func DataCentre(i int) string { return dataCentres[i%len(dataCentres)] }

// Platform is a running platform.
type Platform struct {
	*Objects
	*Group
	storeAddress string
	cloudAddress string
	stops        []func()
}

// New starts a platform and returns it with its clean-up function.
func New(options Options) (*Platform, func(), error) {
	p := &Platform{Objects: NewObjects(), Group: newGroup(options)}
	var err error
	if p.storeAddress, err = p.serve(p.Objects); err != nil {
		return nil, nil, err
	}
	if p.cloudAddress, err = p.serve(&cloud{group: p.Group, seen: make(map[string]uint64)}); err != nil {
		p.close()
		return nil, nil, err
	}
	for i := range options.Members {
		if err := p.startMember(i); err != nil {
			p.close()
			return nil, nil, err
		}
	}
	p.lead(0)
	p.PutConfig(1)
	return p, p.close, nil
}

// StoreAddress returns the IP and port of the store.
func (p *Platform) StoreAddress() string { return p.storeAddress }

// CloudAddress returns the IP and port of the call that promotes.
func (p *Platform) CloudAddress() string { return p.cloudAddress }

const headerTimeout = 5 * time.Second

func (p *Platform) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	p.stops = append(p.stops, func() {
		_ = server.Close()
		<-ended
	})
	return listener.Addr().String(), nil
}

func (p *Platform) startMember(i int) error {
	m, err := p.add(fmt.Sprintf("i-%d", i+1))
	if err != nil {
		return err
	}
	p.stops = append(p.stops, m.stop)
	address := m.address
	if p.options.Via != nil {
		if address, err = p.options.Via(address); err != nil {
			return err
		}
	}
	role := "replica"
	if i == 0 {
		role = "primary"
	}
	p.Put("servers", m.name, map[string]any{
		"service": Database, "address": address, "zone": DataCentre(i), "version": "v1", "slots": 5, "state": "ready", "db_role": role, "seq": 1,
	})
	return nil
}

// Route is a name that callers connect to.
type Route struct {
	Name      string
	Kind      string
	Staleness time.Duration
	// Private is set if callers need the key of a tenant.
	Private bool
}

// PutConfig writes a configuration with a version and further routes.
func (p *Platform) PutConfig(version int, more ...Route) { p.PutTenants(version, nil, more...) }

// PutTenants writes a configuration with a version, a list of tenants unless it is nil, and
// further routes.
func (p *Platform) PutTenants(version int, tenants any, more ...Route) {
	routes := append([]Route{
		{Name: Latest, Kind: "primary"},
		{Name: Session, Kind: "read_your_writes", Staleness: 2500 * time.Millisecond},
		{Name: Bounded, Kind: "bounded_staleness", Staleness: 1500 * time.Millisecond},
	}, more...)
	list := make([]map[string]any, 0, len(routes))
	for i, r := range routes {
		route := map[string]any{
			"name": fmt.Sprint("r-", i), "database": r.Name, "type": r.Kind, "timeout_ms": 1000, "target_latency_ms": 4000,
			"priority": i % 3, "service": Database, "max_staleness_ms": r.Staleness.Milliseconds(),
		}
		if r.Private {
			route["public"] = false
		}
		list = append(list, route)
	}
	config := map[string]any{
		"version": version, "routes": list, "limits": map[string]any{"tx_idle_ms": 3000},
		"services": []map[string]any{{"name": Database, "max_conns": p.options.Connections, "sync_replicas": 1}},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	p.Put("config", "main", config)
}

func (p *Platform) close() {
	var running sync.WaitGroup
	for _, stop := range p.stops {
		running.Go(stop)
	}
	running.Wait()
}
