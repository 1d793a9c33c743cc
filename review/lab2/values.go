//go:build review2

package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// The figures of the case: one of nine databases fails this share of its requests, and consumers set a
// value before each operation.
const (
	failedShare = 4 // of 10 requests
	greyFor     = 6 * time.Second
	valuesFor   = 10 * time.Second
	setters     = 4
)

// grey is a database that fails a part of its requests. It fails every request whose number, counted
// since it became grey, is below failedShare of ten.
type grey struct {
	on    bool
	count int
}

// fails reports whether the next request fails. The group's lock must be held.
func (y *grey) fails() bool {
	if !y.on {
		return false
	}
	y.count++
	return y.count*7%10 < failedShare
}

// setting is a consumer's statement that ran with other values than those it was acknowledged.
type setting struct{ id, member, want, got string }

// acknowledged are the values that consumers were acknowledged, by consumer.
type acknowledged struct {
	mu     sync.Mutex
	values map[string]string
}

func (a *acknowledged) set(consumer, value string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.values[consumer] = value
}

// check compares the values of a connection with those of the consumer whose statement runs there.
func (a *acknowledged) check(id, member string, values map[string]string) *setting {
	a.mu.Lock()
	defer a.mu.Unlock()
	consumer, _, _ := strings.Cut(id, "-")
	want, known := a.values[consumer]
	if got := format(values); known && got != want {
		return &setting{id: id, member: member, want: want, got: got}
	}
	return nil
}

func format(values map[string]string) string {
	parts := make([]string, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, name+"="+values[name])
	}
	return strings.Join(parts, ",")
}

// playValues lets a database fail a part of its requests while consumers set values.
func playValues(r *record, dir string, trouble bool) (int, error) {
	g, err := newGroup("stock", []string{"csepel", "ujpest", "hajdu"}, r)
	if err != nil {
		return 0, err
	}
	g.settings = &acknowledged{values: make(map[string]string)}
	p := &platform{objects: labpf.NewObjects()}
	if err := registerGroups(p, g, r); err != nil {
		return 0, err
	}
	p.configure(1, []string{"stock", "counts", "routes"}, []route{{name: "orders", kind: "primary"}}, nil)
	storeAddress, err := serve(p)
	if err != nil {
		return 0, err
	}
	promoteAddress, err := serve(g)
	if err != nil {
		return 0, err
	}
	var proxies []*proxy
	for i, zone := range []string{"csepel", "ujpest", "hajdu"} {
		started, err := startProxy(dir, fmt.Sprint("front-", i+1), zone, storeAddress, promoteAddress, nil)
		if err != nil {
			return 0, err
		}
		defer started.stop()
		proxies = append(proxies, started)
	}
	for _, started := range proxies {
		if err := started.awaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		at := func(after time.Duration, on bool) {
			time.AfterFunc(after, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.members[0].grey.on = on
				r.write("%s fails a part of its requests: %v", g.members[0].id, on)
			})
		}
		at(2*time.Second, true)
		at(2*time.Second+greyFor, false)
	}
	until := time.Now().Add(valuesFor)
	var running sync.WaitGroup
	for i := range setters {
		running.Go(func() { setAndWrite(r, g, proxies[i%len(proxies)], fmt.Sprint("c", i), until) })
	}
	running.Wait()
	return judgeValues(r, g), nil
}

// setAndWrite sets a value and writes, again and again. Each consumer has values of its own.
func setAndWrite(r *record, g *group, target *proxy, name string, until time.Time) {
	var session *consumer
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(20 * time.Millisecond)
		if session == nil {
			var err error
			if session, err = connect(target.callers, "orders", name); err != nil {
				continue
			}
			g.settings.set(name, "")
		}
		value := fmt.Sprintf("%s.%d", name, n)
		if answer, _ := session.query(fmt.Sprintf("%s-%d-set", name, n), "SET zone "+value); answer != "COMPLETE" {
			session.close()
			session = nil
			continue
		}
		g.settings.set(name, "zone="+value)
		id := fmt.Sprintf("%s-%d-write", name, n)
		answer, idle := session.query(id, "WRITE item "+id)
		r.write("%s sends SET zone %s, COMPLETE, and WRITE %s: %s", target.name, value, id, answer)
		if !idle || answer != "COMPLETE" {
			session.close()
			session = nil
		}
	}
}

func judgeValues(r *record, g *group) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.wrong {
		r.write("PINNED: %s ran at %s with the values %q; its consumer was acknowledged %q", s.id, s.member, s.got, s.want)
	}
	r.write("%d statements ran, %d of them with other values", len(g.runs), len(g.wrong))
	if len(g.wrong) > 0 {
		return broken
	}
	return held
}
