//go:build review

// Command case5 crashes the primary of a database while one of its voters stands still, and
// wakes that voter when another one makes its first call.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/place"
	"poplarrouter.example/poplarrouter/review/lab"
)

const (
	held   = 0
	broken = 1
	cannot = 2
)

// hosts are the proxies of the deployment by zone. The numbers are those of hosts that were
// replaced over time.
var hosts = map[string][]string{
	"mobile-yard":    {"front-mobile-yard-38", "front-mobile-yard-39", "front-mobile-yard-42"},
	"charlotte-yard": {"front-charlotte-yard-37", "front-charlotte-yard-39", "front-charlotte-yard-40"},
	"biloxi-yard":    {"front-biloxi-yard-16", "front-biloxi-yard-17", "front-biloxi-yard-18"},
}

// pair are two hosts whose tokens have the same host number.
var pair = []string{"front-charlotte-yard-40", "front-biloxi-yard-18"}

func main() {
	folder := flag.String("folder", "", "for settings and logs")
	path := flag.String("record", "record.txt", "the record")
	trouble := flag.Bool("trouble", true, "freeze a proxy")
	flag.Parse()
	lab.KillOnSignal(cannot)
	record, err := lab.NewRecord(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(cannot)
	}
	verdict, err := run(record, *folder, *trouble)
	if err != nil {
		record.Addf("could not run: %v", err)
		fmt.Println("could not run:", err)
		verdict = cannot
	}
	os.Exit(verdict)
}

// serviceName returns the name of a service whose first two voters are the pair. Names are
// new each day.
func serviceName() (string, []string) {
	var list []book.Host
	for _, zone := range lab.Zones {
		for _, name := range hosts[zone] {
			list = append(list, book.Host{Name: name, DataCentre: zone, Region: lab.Regions[zone], Capacity: 0.4})
		}
	}
	for i := 0; ; i++ {
		name := fmt.Sprint("rounds", i)
		owners, _ := place.Owners(name, list)
		if slices.Contains(pair, owners[0]) && slices.Contains(pair, owners[1]) {
			return name, owners
		}
	}
}

// orders are the calls to the platform's API.
type orders struct {
	mu      sync.Mutex
	holders map[uint64][]string
	onFirst func(holder string)
}

func (o *orders) take(holder string, token uint64) {
	o.mu.Lock()
	first := len(o.holders) == 0
	if !slices.Contains(o.holders[token], holder) {
		o.holders[token] = append(o.holders[token], holder)
	}
	o.mu.Unlock()
	if first {
		o.onFirst(holder)
	}
}

func run(record *lab.Record, folder string, trouble bool) (int, error) {
	store, storeAddress, err := lab.NewStore()
	if err != nil {
		return cannot, err
	}
	service, owners := serviceName()
	calls := &orders{holders: make(map[uint64][]string), onFirst: func(string) {}}
	group := &lab.Group{
		Service: service, NetDelay: 2 * time.Millisecond, Lag: 60 * time.Millisecond, PromoteDelay: time.Second, Work: 5 * time.Millisecond, MaxConns: 60,
		CloudDelay: 60 * time.Millisecond, OnOrder: calls.take, Record: record,
	}
	cloud, err := lab.ServeCloud(group)
	if err != nil {
		return cannot, err
	}
	for i, zone := range lab.Zones {
		if _, err := group.Add(store, fmt.Sprintf("i-%d", i+1), zone); err != nil {
			return cannot, err
		}
	}
	store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "database": "orders", "path_prefix": "/", "type": "primary", "timeout_ms": 1000, "target_latency_ms": 1000, "priority": 0, "service": service, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 60, "protocol": "h1", "tls": false, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	var fleet []*lab.Proxy
	defer func() {
		for _, p := range fleet {
			p.Kill()
		}
	}()
	for _, zone := range lab.Zones {
		for _, name := range hosts[zone] {
			p, err := lab.StartProxy(folder, name, zone, storeAddress, cloud)
			if err != nil {
				return cannot, err
			}
			fleet = append(fleet, p)
		}
	}
	if err := lab.AwaitReady(fleet, 20*time.Second); err != nil {
		return cannot, err
	}
	time.Sleep(8 * time.Second) // The list of hosts settles.
	stop := make(chan struct{})
	defer close(stop)
	for i, p := range fleet {
		go write(record, p, fmt.Sprint("w", i), stop)
	}
	time.Sleep(2 * time.Second)
	first := fleet[slices.IndexFunc(fleet, func(p *lab.Proxy) bool { return p.Name == owners[0] })]
	if trouble {
		record.Addf("%s stands still", first.Name)
		first.Freeze()
		defer first.Wake()
		calls.onFirst = func(holder string) {
			record.Addf("%s wakes", first.Name)
			first.Wake()
		}
		time.Sleep(300 * time.Millisecond)
	}
	group.Crash()
	time.Sleep(6 * time.Second)
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if len(calls.holders) == 0 {
		return cannot, errors.New("nobody ordered a promotion")
	}
	verdict := held
	for token, holders := range calls.holders {
		if len(holders) > 1 {
			record.Addf("BROKEN, ONE: %v promote with the same generation number %d", holders, token)
			verdict = broken
		}
	}
	record.Addf("%d generation numbers; verdict %d", len(calls.holders), verdict)
	fmt.Printf("%d generation numbers, verdict %d\n", len(calls.holders), verdict)
	return verdict, nil
}

// write writes an item a few times a second.
func write(record *lab.Record, p *lab.Proxy, name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		if c, err := lab.Connect(record, p, "orders", fmt.Sprintf("%s.%d", name, i)); err == nil {
			_, _ = c.Query(fmt.Sprintf("WRITE %s.%d tray", name, i))
			c.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}
