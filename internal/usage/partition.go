package usage

import (
	"maps"
	"time"
)

const (
	// minStay is the minimum time between two planned changes of a coordinator, because the
	// buckets of a new one are almost empty.
	minStay = 2 * time.Second
	// A coordinator that has answered before is replaced after maxMisses missed answers, and
	// another one after maxFirstMisses.
	maxMisses      = 3
	maxFirstMisses = 2
)

// partition is a host's relation to the coordinator of one partition.
type partition struct {
	number uint32
	// order holds the candidates for coordinator, best first.
	order       []string
	coordinator string
	movedAt     time.Duration
	// ticket is that of the coordinator's newest grant, or 0, and ticketID the ID of that grant.
	ticket   int64
	ticketID uint64
	// delegatedAt is when the last ask that delegates to the present or an earlier coordinator
	// was sent, and delegated is set if it is the present one. freeAt is the time at which the
	// part of this host is no longer delegated to an earlier coordinator.
	delegatedAt time.Duration
	delegated   bool
	freeAt      time.Duration
	// withdrawing is set while the delegation is being withdrawn for a change of coordinator,
	// and withdrawalID is the ID of the ask that does so, or 0.
	withdrawing  bool
	withdrawalID uint64
	// via is the host that passes asks on, because the last answer came that way, or empty.
	// directAt is when an ask is next sent directly all the same.
	via      string
	directAt time.Duration
	// inFlight is the ID of the oldest ask that awaits its answer, or 0, and awaitedSince when
	// it was sent. sent is when the last ask was sent, and misses the number of answers missed
	// in a row.
	inFlight     uint64
	awaitedSince time.Duration
	sent         time.Duration
	misses       int
	// requests are the asks whose tokens would still be accepted, by ID.
	requests map[uint64]request
}

// request is an ask that may still be answered.
type request struct {
	to        string
	sent      time.Duration
	customers []string
}

// newPartition returns the state of a partition when the process starts. A delegation of an
// earlier process may be as young as that.
func newPartition(number uint32, now time.Duration) *partition {
	return &partition{number: number, freeAt: now + DelegationTime, sent: now - RenewInterval, movedAt: now - minStay, requests: make(map[uint64]request)}
}

// delegates reports whether the coordinator may hold this host's part.
func (p *partition) delegates(now time.Duration) bool {
	return p.delegated && now < p.delegatedAt+DelegationTime
}

// moveTo changes the coordinator.
func (p *partition) moveTo(now time.Duration, coordinator string) {
	if p.delegated {
		p.freeAt = max(p.freeAt, p.delegatedAt+DelegationTime)
	}
	p.coordinator, p.movedAt, p.delegated = coordinator, now, false
	p.ticket, p.ticketID, p.misses, p.inFlight = 0, 0, 0, 0
	p.withdrawing, p.withdrawalID, p.via = false, 0, ""
	p.sent = now - RenewInterval
}

// asked records an ask to the coordinator.
func (p *partition) asked(now time.Duration, a Ask, r request) {
	if p.inFlight == 0 {
		p.inFlight, p.awaitedSince = a.ID, now
	}
	p.sent = now
	p.requests[a.ID] = r
	switch {
	case a.Hosts > 0:
		p.delegated, p.delegatedAt, p.withdrawalID = true, now, 0
	case p.withdrawing && a.Ticket != 0:
		p.withdrawalID = a.ID
	}
}

// miss records a missed answer, and reports whether the coordinator is to be replaced.
func (p *partition) miss() bool {
	p.inFlight, p.via = 0, ""
	p.misses++
	if p.ticket == 0 {
		return p.misses >= maxFirstMisses
	}
	return p.misses >= maxMisses
}

// awaitNext records that the asks up to an ID are answered, or were overtaken by its answer.
func (p *partition) awaitNext(answered uint64) {
	p.inFlight = 0
	for id, r := range p.requests {
		if id > answered && r.to == p.coordinator && (p.inFlight == 0 || id < p.inFlight) {
			p.inFlight, p.awaitedSince = id, r.sent
		}
	}
}

// answered records a grant and returns the ask that it answers. It reports false if there is
// none: the grant is repeated or so late that none of its tokens can be used.
func (p *partition) answered(now time.Duration, from, via string, g Grant) (request, bool) {
	asked, known := p.requests[g.ID]
	if known && asked.to == from && from == p.coordinator && g.ID >= p.ticketID {
		p.ticket, p.ticketID, p.misses = g.Ticket, g.ID, 0
		if p.inFlight != 0 && g.ID >= p.inFlight {
			p.via = via
			p.awaitNext(g.ID)
		}
		if p.withdrawing && g.ID == p.withdrawalID {
			p.delegated, p.freeAt = false, now
		}
	}
	maps.DeleteFunc(p.requests, func(_ uint64, r request) bool { return now > r.sent+DelegationTime })
	r, found := p.requests[g.ID]
	if !found || r.to != from {
		return request{}, false
	}
	delete(p.requests, g.ID)
	return r, true
}
