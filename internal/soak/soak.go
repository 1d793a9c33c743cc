// Package soak runs the real program as separate processes against the stand-in of the
// platform, injects faults from outside of it, and checks what callers and members see.
//
// A Run is made of a seed. The seed gives the series of faults: signals to the proxies
// (terminate, kill, stop and resume, reload), links to the members and to the store that
// fall silent, pass one way, delay or reset connections, a store that is down or forgets
// its history, and primaries that are cut off from their replicas or whose orders are
// carried out late. Faults overlap. Callers go on meanwhile, on whatever connections they
// have, and note each answer. They set values and prepare statements under names that others
// use too, with texts that contain words of the protocol.
//
// What is checked: a write runs at most once, an acknowledged one is kept, and one that was
// refused as not run is not there; a transaction is kept whole or not at all; a session
// reads its own writes, and a read that must see everything sees what was acknowledged
// before it; a member runs only what a caller sent, with the values and the prepared statement
// that this caller had set up; a terminated proxy ends in time and cleanly, and no proxy reports a
// broken invariant; and when all faults are over, every proxy serves again. No process ends that
// the run did not start.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// Options describe a run.
type Options struct {
	// Program is the path of the proxies' program, and Dir a folder for their settings
	// and logs.
	Program string
	Dir     string
	Seed    uint64
	// Time is how long faults are injected.
	Time    time.Duration
	Proxies int
	Callers int
	// Progress is told what happens, a line each.
	Progress io.Writer
}

// Broken is a promise that was found broken.
type Broken struct {
	Promise string
	Detail  string
	// At is the time since the run began.
	At time.Duration
}

// Fault is one fault of a run.
type Fault struct {
	At   time.Duration
	What string
}

// Report is what became of a run.
type Report struct {
	Seed uint64
	// Answers counts the answers to callers by their code; OK stands for success, and
	// Lost for a connection that ended without one.
	Answers    map[string]int
	Promotions int
	// Statements counts the statements of callers that members received, and that were checked.
	Statements int
	Faults     []Fault
	Broken     []Broken
}

// run is a run under way.
type run struct {
	options  Options
	began    time.Time
	random   *rand.Rand
	platform *labpf.Platform
	store    *link
	members  []*link
	proxies  []*proxy
	ledger   *ledger
	sent     *sent

	mu     sync.Mutex
	report Report
}

const (
	memberCount  = 3
	replicaLag   = 20 * time.Millisecond
	promoteDelay = 300 * time.Millisecond
	// connections is how many a member takes: fewer than one for each caller.
	connections = 60
	// settleTime is how long a system without faults may take until it serves again: the
	// users' bound on recovery.
	settleTime = 12 * time.Second
)

// Run runs a soak.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{
		options: options, began: time.Now(), random: rand.New(rand.NewPCG(options.Seed, 0)), //nolint:gosec // a seeded run must be repeatable
		ledger: newLedger(), sent: newSent(), report: Report{Seed: options.Seed, Answers: make(map[string]int)},
	}
	stop, err := r.start()
	defer stop()
	if err != nil {
		return r.report, err
	}
	callers, endCallers := context.WithCancel(ctx)
	var calling sync.WaitGroup
	for i := range options.Callers {
		calling.Go(func() { r.call(callers, i) })
	}
	r.inject(ctx)
	r.settle(ctx)
	endCallers()
	calling.Wait()
	r.audit()
	r.report.Promotions, r.report.Statements = r.platform.Outcome().Promotions, r.sent.count()
	return r.report, r.write()
}

// start starts the platform, the links and the proxies, and returns what ends them.
func (r *run) start() (func(), error) {
	var stops []func()
	stop := func() {
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
	}
	platform, stopPlatform, err := labpf.New(labpf.Options{
		Members: memberCount, Lag: replicaLag, PromoteDelay: promoteDelay, Connections: connections, OnStatement: r.received,
		Via: func(address string) (string, error) {
			l, err := newLink(address)
			if err != nil {
				return "", err
			}
			stops = append(stops, l.close)
			r.members = append(r.members, l)
			return l.address(), nil
		},
	})
	if err != nil {
		return stop, err
	}
	stops = append(stops, stopPlatform)
	r.platform = platform
	if r.store, err = newLink(platform.StoreAddress()); err != nil {
		return stop, err
	}
	stops = append(stops, r.store.close)
	for i := range r.options.Proxies {
		p, err := r.newProxy(i)
		if err != nil {
			return stop, err
		}
		r.proxies = append(r.proxies, p)
		stops = append(stops, p.end)
		if err := p.start(); err != nil {
			return stop, err
		}
	}
	return stop, r.ready(settleTime)
}

// broken notes a broken promise.
func (r *run) broken(promise, detail string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Broken{Promise: promise, Detail: fmt.Sprintf(detail, args...), At: time.Since(r.began)}
	r.report.Broken = append(r.report.Broken, b)
	_, _ = fmt.Fprintf(r.options.Progress, "%7.3f BROKEN %s: %s\n", b.At.Seconds(), b.Promise, b.Detail)
}

// answered counts an answer to a caller.
func (r *run) answered(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Answers[code]++
}

// fault notes a fault.
func (r *run) fault(what string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := Fault{At: time.Since(r.began), What: fmt.Sprintf(what, args...)}
	r.report.Faults = append(r.report.Faults, f)
	_, _ = fmt.Fprintf(r.options.Progress, "%7.3f %s\n", f.At.Seconds(), f.What)
}

// write writes the report beside the logs.
func (r *run) write() error {
	raw, err := json.MarshalIndent(r.report, "", "  ")
	if err != nil {
		return err
	}
	const readable = 0o600
	return os.WriteFile(filepath.Join(r.options.Dir, "report.json"), raw, readable)
}
