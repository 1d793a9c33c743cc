//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// The times of the case. beat is the interval of the databases' check-ins: an entry expires after
// three of them.
const (
	beat       = 1200 * time.Millisecond
	cutAt      = 2 * time.Second
	cutFor     = 10 * time.Second
	deafAt     = 4 * time.Second
	deafFor    = 6500 * time.Millisecond
	playedFor  = 16 * time.Second
	writePause = 40 * time.Millisecond
)

// playLost lets two copies of a database lose their path to the store, while the third one receives
// nothing for a while.
func playLost(r *record, dir string, trouble bool) (int, error) {
	g, err := newGroup("stock", []string{"csepel", "ujpest", "hajdu"}, r)
	if err != nil {
		return 0, err
	}
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
	begin := time.Now()
	stop := make(chan struct{})
	var writers sync.WaitGroup
	counts := newCounts()
	for i, target := range proxies {
		writers.Go(func() { write(r, target, fmt.Sprintf("w%d", i+1), counts, stop) })
	}
	if trouble {
		troubles(r, g, p, begin)
	}
	time.Sleep(time.Until(begin.Add(playedFor)))
	close(stop)
	writers.Wait()
	return judge(r, g, counts), nil
}

// registerGroups registers the databases of a group and of two more, which the case leaves alone.
func registerGroups(p *platform, g *group, r *record) error {
	groups := []*group{g}
	for _, service := range []string{"counts", "routes"} {
		other, err := newGroup(service, []string{"csepel", "ujpest", "hajdu"}, r)
		if err != nil {
			return err
		}
		groups = append(groups, other)
	}
	for _, of := range groups {
		for _, m := range of.members {
			p.register(of, m, "ready")
		}
	}
	return nil
}

// troubles cuts the primary and the replica of its region from the store, and makes the other
// replica deaf. They still run, and every proxy reaches them.
func troubles(r *record, g *group, p *platform, begin time.Time) {
	at := func(after time.Duration, f func()) { time.AfterFunc(time.Until(begin.Add(after)), f) }
	for i, m := range g.members[:2] {
		// The members check in at different moments of the interval.
		at(cutAt+3*beat-time.Duration(i)*300*time.Millisecond, func() {
			p.objects.Delete("servers", m.id)
			r.write("the entry of %s expires", m.id)
		})
		at(cutAt+cutFor, func() {
			p.register(g, m, "ready")
			r.write("%s checks in again", m.id)
		})
	}
	deaf := g.members[2]
	at(cutAt, func() { r.write("%s and %s are cut from the store", g.members[0].id, g.members[1].id) })
	at(deafAt, func() { g.setDeaf(deaf, true); r.write("%s receives nothing", deaf.id) })
	at(deafAt+deafFor, func() { g.setDeaf(deaf, false); r.write("%s can receive again", deaf.id) })
}

// counts are the answers that consumers got.
type counts struct {
	mu      sync.Mutex
	answers map[string]int
	acked   map[string]bool
}

func newCounts() *counts { return &counts{answers: make(map[string]int), acked: make(map[string]bool)} }

func (c *counts) add(id, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[answer]++
	if answer == "COMPLETE" {
		c.acked[id] = true
	}
}

// write sends single writes, one after the other, and connects again after a failure.
func write(r *record, target *proxy, name string, c *counts, stop <-chan struct{}) {
	var session *consumer
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(writePause):
		}
		var err error
		if session == nil {
			if session, err = connect(target.callers, "orders", name); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		answer, idle := session.query(id, "WRITE item "+id)
		c.add(id, answer)
		r.write("%s sends WRITE %s: %s", target.name, id, answer)
		if !idle {
			session.close()
			session = nil
		}
	}
}

// judge compares what consumers were acknowledged with the logs of the databases that were promoted.
func judge(r *record, g *group, c *counts) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := 0
	for _, id := range g.lost {
		if c.acked[id] {
			lost++
			r.write("LOST: the consumer got COMPLETE for %s, and the promoted database lacks it", id)
		}
	}
	r.write("answers: %v; %d acknowledged writes are lost", c.answers, lost)
	if lost > 0 {
		return broken
	}
	return held
}
