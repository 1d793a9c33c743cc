package member

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
)

const (
	// lookPeriod is how often a pool looks for connections that went silent.
	lookPeriod = 250 * time.Millisecond
	// patience is how long an answer may take before the member is asked whether
	// it still works on it.
	patience = 500 * time.Millisecond
	// quietLooks is after how many looks in a row a connection counts as silent,
	// on which an answer is awaited while the member runs nothing for it. An
	// answer may be under way at one of them.
	quietLooks = 3
	// lookTimeout ends a look.
	lookTimeout = 500 * time.Millisecond
)

// watch is the duty that ends lent connections that went silent: an answer is
// awaited on them which the member is not working on. Work is not kept waiting
// for its deadline by a path that lost track of its connection.
func (p *Pool) watch(ctx context.Context) error {
	link := p.options.Control()
	defer link.Close()
	for ctx.Err() == nil {
		select {
		case <-p.lending:
		case <-ctx.Done():
			return nil
		}
		for p.anyLent() && ctx.Err() == nil {
			duty.Pause(ctx, lookPeriod)
			if waiting := p.waiting(time.Now()); len(waiting) > 0 {
				p.look(ctx, link, waiting)
			}
		}
		link.Close()
	}
	return nil
}

func (p *Pool) anyLent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lent) > 0
}

// waiting returns the lent connections on which an answer has been awaited for
// some time.
func (p *Pool) waiting(now time.Time) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Conn
	for c := range p.lent {
		if c.AwaitsAnswer(now, patience) {
			list = append(list, c)
			continue
		}
		c.quiet = 0
	}
	return list
}

func (p *Pool) look(ctx context.Context, control SlotControl, waiting []*Conn) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	var ids []uint32
	for _, c := range waiting {
		ids = append(ids, c.ID())
	}
	running, err := control.Running(ctx, ids)
	if err != nil {
		control.Close()
		return
	}
	silent := false
	for _, c := range waiting {
		silent = p.judge(c, slices.Contains(running, c.ID())) || silent
	}
	if silent {
		p.Invalidate()
	}
}

// judge counts a look at a connection, and closes one that is silent.
func (p *Pool) judge(c *Conn, running bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, lent := p.lent[c]; !lent || running || !c.AwaitsAnswer(time.Now(), patience) {
		c.quiet = 0
		return false
	}
	c.quiet++
	if c.quiet < quietLooks {
		return false
	}
	_ = c.Close()
	return true
}
