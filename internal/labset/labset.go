// Package labset runs a whole set of stand-ins and proxies in one process, for
// demonstrations and tests: a store, one database of several members, and
// several proxies.
package labset

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/pgfrt"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/internal/view"
)

// What the set's sheet allows.
const (
	Service  = "restock"
	Database = "stock"
	Caller   = "vendor"
	Password = "pretzel"
)

// Secret authenticates the set's proxies and operators.
const Secret = "a secret of the stand-ins"

// Options describe a set.
type Options struct {
	Members int
	Proxies int
	// Apart puts the last third of members and proxies into a second region.
	Apart bool
	// Log receives the logs of all proxies.
	Log io.Writer
	// Member holds the options of each member but its addresses.
	Member labdb.Options
	// Settings changes the settings of each proxy, if it is not nil.
	Settings func(*config.Settings)
}

// Proxy is a proxy of the set.
type Proxy struct {
	*app.Proxy
	Settings config.Settings
	stop     func()
}

// Stop ends the proxy at once.
func (p *Proxy) Stop() { p.stop() }

// Set is a running set.
type Set struct {
	options  Options
	store    *labkv.Memory
	address  string
	members  []*labdb.Member
	stops    []func()
	proxies  []*Proxy
	cleanUps []func()
}

// New starts a set and returns it with its clean-up function.
func New(options Options) (*Set, func(), error) {
	s := &Set{options: options, store: labkv.New()}
	for _, step := range []func() error{s.startStore, s.startMembers, s.putDocs, s.startProxies} {
		if err := step(); err != nil {
			s.close()
			return nil, nil, err
		}
	}
	return s, s.close, nil
}

func (s *Set) close() {
	for i := len(s.cleanUps) - 1; i >= 0; i-- {
		s.cleanUps[i]()
	}
}

// Store returns the store, to be put down or slowed.
func (s *Set) Store() *labkv.Memory { return s.store }

// StoreAddress returns the store's IP and port.
func (s *Set) StoreAddress() string { return s.address }

// Members returns the members; the first began as the primary.
func (s *Set) Members() []*labdb.Member { return s.members }

// Proxies returns the proxies.
func (s *Set) Proxies() []*Proxy { return s.proxies }

// StopMember ends a member at once.
func (s *Set) StopMember(i int) { s.stops[i]() }

// URL returns the PostgreSQL URL of a proxy for the sheet's caller.
func (s *Set) URL(proxy int) string { return s.URLOf(s.proxies[proxy]) }

// URLOf returns the PostgreSQL URL of a proxy for the sheet's caller.
func (s *Set) URLOf(p *Proxy) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", Caller, Password, p.Address(), Service)
}

// StartProxyLike ends a proxy and starts another in its place, which knows
// nothing of what the first one knew.
func (s *Set) StartProxyLike(i int, host string) (*Proxy, error) {
	settings := s.proxies[i].Settings
	settings.Host = host
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = anyPort, anyPort, anyPort
	for j, p := range s.proxies {
		if j != i {
			settings.Seeds = append(settings.Seeds, p.Settings.PeerAddress)
		}
	}
	s.proxies[i].Stop()
	if err := s.startProxy(settings); err != nil {
		return nil, err
	}
	return s.proxies[len(s.proxies)-1], nil
}

const headerTimeout = 5 * time.Second

func (s *Set) startStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	s.address = listener.Addr().String()
	s.cleanUps = append(s.cleanUps, func() {
		_ = server.Close()
		<-ended
	})
	return nil
}

func (s *Set) startMembers() error {
	for i := range s.options.Members {
		o := s.options.Member
		o.Address = "127.0.0.1:0"
		if o.Slots == 0 {
			o.Slots = 5
		}
		if i > 0 {
			o.Leader = s.members[0].Address()
		}
		m, cleanUp, err := labdb.New(o)
		if err != nil {
			return err
		}
		stop := sync.OnceFunc(cleanUp)
		s.members = append(s.members, m)
		s.stops = append(s.stops, stop)
		s.cleanUps = append(s.cleanUps, stop)
	}
	return nil
}

// DatabasesDoc returns the document that lists the set's database.
func (s *Set) DatabasesDoc(serial uint64) book.DatabasesDoc {
	d := book.Database{Name: Database, Slots: 5, Connections: 60}
	for i, m := range s.members {
		d.Members = append(d.Members, view.Member{
			Name: fmt.Sprintf("member-%d", i+1), Address: m.Address(), DataCentre: "dc-1", Region: s.region(i, len(s.members)),
		})
	}
	return book.DatabasesDoc{Serial: serial, Databases: []book.Database{d}}
}

// Sheet returns the set's sheet.
func Sheet() (string, error) {
	verifier, err := pgfrt.Verifier(Password, "salt of the stand-in", 4096)
	if err != nil {
		return "", err
	}
	row := fmt.Sprintf("%s,%s,%s,%s,", Service, Database, Caller, verifier)
	return "Service,Database,Caller,Secret,Kind,Access,Idempotent,Rank,DeadlineMs,Worth,AcceptedAgeMs\n" +
		row + "order,write,no,1,10000,10,0\n" +
		row + "stock,read,yes,2,10000,5,0\n" +
		row + "count,read,yes,3,10000,1,60000\n", nil
}

func (s *Set) putDocs() error {
	ctx := context.Background()
	csv, err := Sheet()
	if err != nil {
		return err
	}
	if _, err := book.Load(ctx, s.store, "labset", csv, time.Now()); err != nil {
		return err
	}
	return s.Put(book.Databases, s.DatabasesDoc(1))
}

// Put writes a document into the store, over the one that is there.
func (s *Set) Put(kind book.Kind, body any) error {
	ctx := context.Background()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	old, _ := s.store.Get(ctx, string(kind))
	_, err = s.store.Put(ctx, string(kind), raw, old.Version)
	return err
}

// The ports that FreeAddress gives lie below those that the system gives to
// outgoing connections, which could otherwise take one before it is used.
const (
	lowestPort = 15_000
	portCount  = 15_000
	portTries  = 100
	// processPorts is how far the first ports of processes with successive numbers lie
	// apart: a port that one process was given, and has not used yet, is no other's.
	processPorts = 64
)

// lastPort counts the ports that this process was given.
var lastPort atomic.Uint32

// NoPortError reports that no free port was found.
type NoPortError struct{ Last error }

// Error implements error.
func (e *NoPortError) Error() string {
	return "find port: none of the ports tried is free: " + e.Last.Error()
}

// Unwrap returns the cause.
func (e *NoPortError) Unwrap() error { return e.Last }

// FreeAddress returns an address of this machine on which nothing listens.
func FreeAddress() (string, error) {
	var last error
	for range portTries {
		place := os.Getpid()*processPorts + int(lastPort.Add(1))
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+place%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
		last = err
	}
	return "", &NoPortError{Last: last}
}

func (s *Set) settings(i int) config.Settings {
	c := SettingsOf(fmt.Sprintf("host-%d", i+1), s.address)
	c.Region = s.region(i, s.options.Proxies)
	if s.options.Settings != nil {
		s.options.Settings(&c)
	}
	return c
}

func (s *Set) region(i, of int) string {
	if s.options.Apart && i >= of*2/3 {
		return "region-2"
	}
	return "region-1"
}

// anyPort lets the system pick the port.
const anyPort = "127.0.0.1:0"

// SettingsOf returns the settings of a proxy of the set beside the store at the
// given address. The system picks its ports.
func SettingsOf(host, storeAddress string) config.Settings {
	c := config.Default()
	c.Place = config.Place{Host: host, DataCentre: "dc-1", Region: "region-1"}
	c.CallerAddress, c.PeerAddress, c.OperatorAddress = anyPort, anyPort, anyPort
	c.StoreAddress = storeAddress
	c.PeerSecret, c.OperatorSecret = Secret, Secret
	return c
}

// Multiply lists the set's database under so many further names, all with the
// same members, in the store at the given address.
func Multiply(ctx context.Context, storeAddress string, databases int) error {
	return edit(ctx, storeAddress, book.Databases, func(doc *book.DatabasesDoc) {
		doc.Serial++
		for i := 1; i < databases; i++ {
			further := doc.Databases[0]
			further.Name = fmt.Sprintf("%s-%d", Database, i)
			doc.Databases = append(doc.Databases, further)
		}
	})
}

// List lists one more host, in the store at the given address.
func List(ctx context.Context, storeAddress string, host book.Host) error {
	return edit(ctx, storeAddress, book.Hosts, func(doc *book.HostsDoc) {
		doc.Serial++
		doc.Hosts = append(doc.Hosts, host)
	})
}

// edit changes a document in a store.
func edit[T any](ctx context.Context, storeAddress string, kind book.Kind, change func(*T)) error {
	client, cleanUp := store.New(storeAddress, time.Second)
	defer cleanUp()
	object, err := client.Get(ctx, string(kind))
	if err != nil {
		return err
	}
	var doc T
	if err := json.Unmarshal(object.Value, &doc); err != nil {
		return err
	}
	change(&doc)
	raw, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	_, err = client.Put(ctx, string(kind), raw, object.Version)
	return err
}

// startProxies starts the proxies, and lists them once their ports are known.
func (s *Set) startProxies() error {
	hosts := book.HostsDoc{Serial: 1}
	for i := range s.options.Proxies {
		if err := s.startProxy(s.settings(i)); err != nil {
			return err
		}
		c := s.proxies[i].Settings
		hosts.Hosts = append(hosts.Hosts, book.Host{Name: c.Host, DataCentre: c.DataCentre, Region: c.Region, PeerAddress: c.PeerAddress})
	}
	return s.Put(book.Hosts, hosts)
}

func (s *Set) startProxy(settings config.Settings) error {
	proxy, cleanUp, err := app.New(settings, s.options.Log)
	if err != nil {
		return err
	}
	stop := sync.OnceFunc(cleanUp)
	settings.PeerAddress, settings.OperatorAddress = proxy.PeerAddress(), proxy.OperatorAddress()
	s.proxies = append(s.proxies, &Proxy{Proxy: proxy, Settings: settings, stop: stop})
	s.cleanUps = append(s.cleanUps, stop)
	return nil
}

// NotReadyError reports a set whose proxies did not become ready in time.
type NotReadyError struct{ Waited time.Duration }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("start set: not ready within %s", e.Waited)
}

const readyLook = 20 * time.Millisecond

// AwaitReady waits until every proxy is ready for callers.
func (s *Set) AwaitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, p := range s.proxies {
		for !Ready(ctx, p.Settings.OperatorAddress) {
			select {
			case <-time.After(readyLook):
			case <-ctx.Done():
				return &NotReadyError{Waited: limit}
			}
		}
	}
	return nil
}

// Ready tells whether a proxy reports itself ready, given the address for its operators.
func Ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+app.PathReady, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
