package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
)

// The pauses between the beginnings of faults, and how long one lasts.
const (
	leastPause   = 150 * time.Millisecond
	longestPause = 900 * time.Millisecond
	leastFault   = 200 * time.Millisecond
	longestFault = 4 * time.Second
	// longestDelay is how much a link delays what passes it.
	longestDelay = 200 * time.Millisecond
)

func (r *run) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// injection is a fault that is under way.
type injection struct {
	*run
	pending sync.WaitGroup
	// busy are the parts that a fault has hold of; a further one is left out.
	mu   sync.Mutex
	busy map[any]bool
}

// inject injects faults for the time of the run, and waits until all are over.
func (r *run) inject(ctx context.Context) {
	in := &injection{run: r, busy: make(map[any]bool)}
	deadline := time.Now().Add(r.options.Time)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		in.next()
		duty.Pause(ctx, r.between(leastPause, longestPause))
	}
	in.pending.Wait()
}

// next begins one fault. All that is random is drawn here, so that a seed gives one series.
func (in *injection) next() {
	lasts := in.between(leastFault, longestFault)
	p := in.proxies[in.random.IntN(len(in.proxies))]
	m := in.members[in.random.IntN(len(in.members))]
	delay := in.between(time.Millisecond, longestDelay)
	switch in.random.IntN(13) {
	case 0, 1:
		in.on(p, func() { in.killed(p, lasts/4) })
	case 2, 3:
		in.on(p, func() { in.terminated(p, lasts/4) })
	case 4, 5:
		in.on(p, func() { in.paused(p, lasts) })
	case 6:
		in.fault("reload %s", p.settings.Host)
		p.signal(syscall.SIGHUP)
	case 7:
		in.on(m, func() { in.linked(m, "member", mode{}, lasts) })
	case 8:
		in.on(m, func() {
			in.linked(m, "member", mode{forth: delay%2 == 0, back: delay%2 != 0, delay: delay / 4}, lasts)
		})
	case 9:
		in.fault("reset connections to a member")
		m.reset()
	case 10:
		in.on(in.platform, func() { in.parted(lasts) })
	case 11:
		in.fault("one order is carried out late")
		in.platform.LoseOrders(1, lasts)
	default:
		in.on(in.store, func() { in.storeless(delay, lasts) })
	}
}

// on runs a fault of a part, unless another one has hold of it.
func (in *injection) on(part any, f func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.busy[part] {
		return
	}
	in.busy[part] = true
	in.pending.Go(func() {
		f()
		in.mu.Lock()
		defer in.mu.Unlock()
		in.busy[part] = false
	})
}

func (in *injection) killed(p *proxy, away time.Duration) {
	in.fault("kill %s for %s", p.settings.Host, away)
	p.kill()
	in.again(p, away)
}

func (in *injection) terminated(p *proxy, away time.Duration) {
	in.fault("terminate %s for %s", p.settings.Host, away)
	code, inTime := p.terminate()
	if !inTime || code != 0 {
		in.broken("a terminated proxy ends in time and cleanly", "%s: in time %v, exit code %d", p.settings.Host, inTime, code)
	}
	in.again(p, away)
}

func (in *injection) again(p *proxy, away time.Duration) {
	time.Sleep(away)
	if err := p.start(); err != nil {
		in.broken("the run itself works", "start %s: %s", p.settings.Host, err)
	}
}

func (in *injection) paused(p *proxy, lasts time.Duration) {
	in.fault("pause %s for %s", p.settings.Host, lasts)
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.signal(syscall.SIGCONT)
}

func (in *injection) linked(l *link, to string, m mode, lasts time.Duration) {
	in.fault("link to a %s for %s: %+v", to, lasts, m)
	l.set(m)
	time.Sleep(lasts)
	l.set(passing)
}

// parted cuts the primary off from the other members.
func (in *injection) parted(lasts time.Duration) {
	m := in.platform.Primary()
	if m == nil {
		return
	}
	in.fault("primary %s is cut off from its replicas for %s", m.Name(), lasts)
	in.platform.Cut(m, true)
	time.Sleep(lasts)
	in.platform.Cut(m, false)
}

// storeless makes the store misbehave, in a way that follows from the delay.
func (in *injection) storeless(delay, lasts time.Duration) {
	switch delay % 4 {
	case 0:
		in.linked(in.store, "store", mode{}, lasts)
	case 1:
		in.linked(in.store, "store", mode{forth: true, back: true, delay: delay}, lasts)
	case 2:
		in.fault("store is down for %s", lasts)
		in.platform.SetDown(true)
		time.Sleep(lasts)
		in.platform.SetDown(false)
	default:
		in.fault("store forgets its history")
		in.platform.Compact()
	}
}

// settle waits until every proxy serves a write again. No fault is left by then.
func (r *run) settle(ctx context.Context) {
	r.platform.LoseOrders(0, 0)
	deadline := time.Now().Add(settleTime)
	if err := r.ready(settleTime); err != nil {
		r.broken("all serve again after the faults", "%s", err)
	}
	probe := &caller{run: r, name: "probe", random: r.random}
	for _, p := range r.proxies {
		probe.renew()
		for !probe.serves(p) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				r.broken("all serve again after the faults", "%s served no write within %s", p.settings.Host, settleTime)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// serves tells whether a write through a proxy succeeds.
func (c *caller) serves(p *proxy) bool {
	s, err := enter(p, "session")
	if err != nil {
		return false
	}
	defer func() { _ = s.Close() }()
	c.write(s)
	return c.seen > 0
}
