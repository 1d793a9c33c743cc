package member

import (
	"context"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/duty"
)

const (
	// checkPeriod is the interval at which a pool checks for connections that stopped responding.
	checkPeriod = 250 * time.Millisecond
	// answerDelay is the time an answer may take before the pool asks the member whether it
	// still runs the statement.
	answerDelay = 500 * time.Millisecond
	// unresponsiveChecks is the number of consecutive checks after which a connection counts as
	// unresponsive if the member runs nothing for it while an answer is outstanding. One check
	// is not enough, since the answer may be in transit at that time.
	unresponsiveChecks = 3
	// checkTimeout is the time-out of one check.
	checkTimeout = 500 * time.Millisecond
)

// watch is the background task that closes unresponsive connections in use: those with an
// outstanding answer that the member is not working on. Without it, a request would wait until its
// deadline if a device on the network path lost the state of its connection.
func (p *Pool) watch(ctx context.Context) error {
	control := p.options.Control()
	defer control.Close()
	for ctx.Err() == nil {
		select {
		case <-p.inUseSignal:
		case <-ctx.Done():
			return nil
		}
		for p.anyInUse() && ctx.Err() == nil {
			duty.Pause(ctx, checkPeriod)
			if awaitingAnswer := p.awaitingAnswer(time.Now()); len(awaitingAnswer) > 0 {
				p.checkConns(ctx, control, awaitingAnswer)
			}
		}
		control.Close()
	}
	return nil
}

func (p *Pool) anyInUse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.inUse) > 0
}

// awaitingAnswer returns the connections in use whose answer has been outstanding for at least
// answerDelay.
func (p *Pool) awaitingAnswer(now time.Time) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Conn
	for c := range p.inUse {
		if c.AwaitsAnswer(now, answerDelay) {
			list = append(list, c)
			continue
		}
		c.notRunningChecks = 0
	}
	return list
}

// checkConns asks the member which of the connections that await an answer run a statement, and closes
// the unresponsive ones.
func (p *Pool) checkConns(ctx context.Context, control SlotControl, awaitingAnswer []*Conn) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var ids []uint32
	for _, c := range awaitingAnswer {
		ids = append(ids, c.ID())
	}
	running, err := control.Running(ctx, ids)
	if err != nil {
		control.Close()
		return
	}
	unresponsive := false
	for _, c := range awaitingAnswer {
		unresponsive = p.recordCheck(c, slices.Contains(running, c.ID())) || unresponsive
	}
	if unresponsive {
		p.Invalidate()
	}
}

// recordCheck records the result of a check of a connection, and closes the connection if it is
// unresponsive. It reports whether it closed it.
func (p *Pool) recordCheck(c *Conn, running bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, inUse := p.inUse[c]; !inUse || running || !c.AwaitsAnswer(time.Now(), answerDelay) {
		c.notRunningChecks = 0
		return false
	}
	c.notRunningChecks++
	if c.notRunningChecks < unresponsiveChecks {
		return false
	}
	_ = c.Close()
	return true
}
