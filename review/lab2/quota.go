//go:build review2

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// The tenant of the case, and the bounds of the rule.
const (
	tenantName  = "miny420"
	tenantKey   = "6aw63is47qdqiqrh4jcd"
	tenantRate  = 100
	tenantBurst = 100
	window      = 5 * time.Second
	overage     = 0.1
	slack       = 20
)

// The times of the case.
const (
	settleFor   = 8 * time.Second
	isolatedFor = 12 * time.Second
	loadAt      = 7 * time.Second
	loadFor     = 7 * time.Second
	sessions    = 8
)

// operation is an operation of a consumer.
type operation struct {
	id   string
	sent time.Time
}

// operations are those that consumers sent.
type operations struct {
	mu      sync.Mutex
	list    []operation
	answers map[string]int
}

// playQuota adds machines while one of the former ones is cut off from the store and all others.
func playQuota(r *record, dir string, trouble bool) (int, error) {
	g, err := newGroup("ledger", []string{"csepel", "ujpest", "hajdu"}, r)
	if err != nil {
		return 0, err
	}
	g.work = 2 * time.Millisecond
	names := []string{"front-a", "front-b", "front-c", "front-d", "front-e", "front-f"}
	zones := []string{"hajdu", "csepel", "ujpest", "csepel", "ujpest", "hajdu"}
	parted := &partition{}
	p := &platform{objects: labpf.NewObjects()}
	var mu sync.Mutex
	links := make(map[string]*link)
	p.peers = func(host, address string) string {
		mu.Lock()
		defer mu.Unlock()
		if links[host] == nil {
			l, err := newLink(link{partition: parted, end: host, target: address, hosts: names})
			if err != nil {
				return address
			}
			links[host] = l
		}
		return links[host].address()
	}
	for _, m := range g.members {
		p.register(g, m, "ready")
	}
	tenants := []map[string]any{{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": tenantRate, "burst": tenantBurst}}
	p.configure(1, []string{"ledger"}, []route{{name: "balances", kind: "bounded_staleness", private: true}}, tenants)
	storeAddress, err := serve(p)
	if err != nil {
		return 0, err
	}
	promoteAddress, err := serve(g)
	if err != nil {
		return 0, err
	}
	var proxies []*proxy
	start := func(i int) error {
		l, err := newLink(link{partition: parted, opener: names[i], end: storeEnd, target: storeAddress})
		if err != nil {
			return err
		}
		started, err := startProxy(dir, names[i], zones[i], l.address(), promoteAddress, &customers{})
		if err == nil {
			proxies = append(proxies, started)
			r.write("%s starts", names[i])
		}
		return err
	}
	defer func() {
		for _, started := range proxies {
			started.stop()
		}
	}()
	for i := range 3 {
		if err := start(i); err != nil {
			return 0, err
		}
	}
	for _, started := range proxies {
		if err := started.awaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(settleFor)
	begin := time.Now()
	if trouble {
		parted.set(names[0])
		r.write("%s is cut off from the store and the other machines", names[0])
	}
	for i := 3; i < 6; i++ {
		if err := start(i); err != nil {
			return 0, err
		}
	}
	time.AfterFunc(isolatedFor, func() { parted.set(""); r.write("the cut is over") })
	time.Sleep(time.Until(begin.Add(loadAt)))
	sent := &operations{answers: make(map[string]int)}
	load(r, proxies, sent, time.Now().Add(loadFor))
	return judgeQuota(r, g, sent), nil
}

// load sends operations over several sessions to each proxy.
func load(r *record, proxies []*proxy, sent *operations, until time.Time) {
	r.write("the tenant begins to send")
	var running sync.WaitGroup
	for _, target := range proxies {
		for i := range sessions {
			running.Go(func() { read(r, target, fmt.Sprintf("%s-%d", target.name, i), sent, until) })
		}
	}
	running.Wait()
}

func read(r *record, target *proxy, name string, sent *operations, until time.Time) {
	var session *consumer
	for n := 0; time.Now().Before(until); n++ {
		if session == nil {
			var err error
			if session, err = connect(target.callers, "balances", tenantKey); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		at := time.Now()
		answer, idle := session.query(id, "READ item")
		sent.mu.Lock()
		sent.list = append(sent.list, operation{id: id, sent: at})
		sent.answers[target.name+" "+answer]++
		sent.mu.Unlock()
		r.write("%s READ %s sent at %.3f: %s", target.name, id, at.Sub(r.begin).Seconds(), answer)
		if !idle {
			session.close()
			session = nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	if session != nil {
		session.close()
	}
}

// judgeQuota counts, for each window, the operations that were both sent and run in it.
func judgeQuota(r *record, g *group, sent *operations) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	sentAt := make(map[string]time.Time)
	for _, o := range sent.list {
		sentAt[o.id] = o.sent
	}
	var ran []struct{ sent, run time.Time }
	for _, x := range g.runs {
		if at, found := sentAt[x.id]; found && x.tenant == tenantName {
			ran = append(ran, struct{ sent, run time.Time }{at, x.at})
		}
	}
	most, mostAt := 0, time.Time{}
	for _, first := range ran {
		end := first.sent.Add(window)
		n := 0
		for _, x := range ran {
			if !x.sent.Before(first.sent) && x.run.Before(end) {
				n++
			}
		}
		if n > most {
			most, mostAt = n, first.sent
		}
	}
	limit := (tenantRate*window.Seconds()+tenantBurst)*(1+overage) + slack
	for _, key := range sortedKeys(sent.answers) {
		r.write("answers: %s %d", key, sent.answers[key])
	}
	r.write("%d operations ran; at most %d of them in the %s from %.3f; the limit is %.0f", len(ran), most, window, mostAt.Sub(r.begin).Seconds(), limit)
	if float64(most) > limit {
		return broken
	}
	return held
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
