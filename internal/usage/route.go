package usage

import (
	"slices"
	"time"
)

// route returns how an ask is sent to the coordinator: directly; after a missed answer also by
// way of another host, because only the link to the coordinator may have failed; and by way of
// the host that passed on the last answer. The coordinator answers the copy that arrives first.
func (h *Host) route(now time.Duration, p *partition, a Ask) []Send {
	direct := Send{To: p.coordinator, Ask: a}
	if p.via != "" {
		relayed := Send{To: p.coordinator, Via: p.via, Ask: a}
		if now < p.directAt {
			return []Send{relayed}
		}
		p.directAt = now + probeTime
		return []Send{direct, relayed}
	}
	if relays := h.relays(p, p.coordinator); p.misses > 0 && len(relays) > 0 {
		return []Send{direct, {To: p.coordinator, Via: relays[(p.misses-1)%len(relays)], Ask: a}}
	}
	return []Send{direct}
}

// probe returns asks that find out whether a host that precedes the coordinator, and did not
// answer earlier, can be reached directly or by way of another host.
func (h *Host) probe(now time.Duration, p *partition) []Send {
	for _, name := range p.order {
		if name == p.coordinator {
			return nil
		}
		if at, down := h.down[name]; down && at <= now {
			h.down[name] = now + probeTime
			sends := []Send{{To: name, Ask: Ask{ID: h.newID(), Boot: h.boot, Partition: p.number}}}
			if relays := h.relays(p, name); len(relays) > 0 {
				sends = append(sends, Send{To: name, Via: relays[0], Ask: sends[0].Ask})
			}
			return sends
		}
	}
	return nil
}

// relays returns the hosts that may pass asks on to a coordinator, best first: if two regions
// do not reach each other, one of a third region may reach both.
func (h *Host) relays(p *partition, coordinator string) []string {
	var third, others []string
	away := h.peers[coordinator].Region
	for _, name := range p.order {
		_, down := h.down[name]
		region := h.peers[name].Region
		switch {
		case down, name == coordinator, name == h.self.Name:
		case region != h.self.Region && region != away:
			third = append(third, name)
		default:
			others = append(others, name)
		}
	}
	return slices.Concat(third, others)
}
