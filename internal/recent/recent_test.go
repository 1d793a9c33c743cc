package recent_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/recent"
)

var seeds = flag.Int("seeds", 60, "number of simulated sites")

// disturb breaks something at random.
func (s *sim) disturb(list []recent.Host) {
	h, other := s.hosts[s.rng.IntN(len(s.hosts))], s.hosts[s.rng.IntN(len(s.hosts))]
	length := time.Duration(s.rng.Int64N(int64(12 * time.Second)))
	switch s.rng.IntN(9) {
	case 0:
		if h.frozenUntil < s.now {
			h.frozenUntil = s.now + length
			h.suspensions = append(h.suspensions, [2]time.Duration{s.now, h.frozenUntil})
		}
	case 1:
		s.cuts[[2]*host{h, other}] = s.now + length
	case 2:
		// The host reaches no other one.
		for _, o := range s.hosts {
			s.cuts[[2]*host{h, o}], s.cuts[[2]*host{o, h}] = s.now+length, s.now+length
		}
	case 3:
		h.refusedUntil = s.now + length
	case 4:
		s.downUntil = s.now + length/2
	case 5:
		h.sheet = other.sheet
		s.start(h, list)
	case 6:
		s.restore(length / 2)
	default:
		s.change()
	}
}

// list returns the list of hosts.
func (s *sim) list() []recent.Host {
	var list []recent.Host
	for _, h := range s.hosts {
		list = append(list, h.Host)
	}
	return list
}

// runWithFaults runs the hosts for some minutes under faults, and sends statements to them.
func (s *sim) runWithFaults() {
	s.faults = true
	list := s.list()
	for at := time.Second; at < 3*time.Minute; at += 10 * time.Millisecond {
		s.run(at)
		if s.rng.IntN(60) == 0 {
			s.disturb(list)
		}
		s.statement(s.hosts[s.rng.IntN(len(s.hosts))], keys[s.rng.IntN(len(keys))])
	}
}

// TestRemovedKeyIsRefusedInTime guards against a key that a host still accepts more than
// RevokeMs after the store acknowledged its removal: because a link, the store or the host
// itself was silent, slow, frozen or suspended, the host restarted from a peer's copy, or the
// store was restored from an older copy.
func TestRemovedKeyIsRefusedInTime(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(uint64(seed), 2, 5)
			s.runWithFaults()
			g.Expect(s.violations).To(BeEmpty())
			g.Expect(s.accepted).To(BeNumerically(">", 1000))
		})
	}
}

// TestSuspensionIsSeenByTheSimulation guards against a simulation that would not find a clock
// that leaves out suspended time.
func TestSuspensionIsSeenByTheSimulation(t *testing.T) {
	g := NewWithT(t)
	found := 0
	for seed := range uint64(10) {
		s := newSim(seed, 2, 5)
		s.monotonic = true
		s.runWithFaults()
		found += len(s.violations)
	}
	g.Expect(found).To(BeNumerically(">", 0))
}

// step is how often the tests below look at the hosts.
const step = 50 * time.Millisecond

// watchHosts runs the simulation for a time, and returns for how long each host was not recent.
func (s *sim) watchHosts(length time.Duration) map[string]time.Duration {
	missing := make(map[string]time.Duration)
	for end := s.now + length; s.now < end; {
		s.run(s.now + step)
		for _, h := range s.hosts {
			if !h.state.Recent(s.clock(h)) {
				missing[h.Name] += step
			}
		}
	}
	return missing
}

// counts returns the calls of all hosts since the last time, and those of the busiest host.
func (s *sim) countCalls() (reads, queries, most int) {
	for _, h := range s.hosts {
		reads, queries, most = reads+h.reads, queries+h.queries, max(most, h.reads)
		h.reads, h.queries = 0, 0
	}
	return reads, queries, most
}

// quiet returns a simulation without faults, after its hosts have started.
func quiet(regions, perRegion int) *sim {
	s := newSim(7, regions, perRegion)
	for _, h := range s.hosts {
		h.watches = false
	}
	s.run(5 * time.Second)
	s.countCalls()
	return s
}

// TestHostsStayRecentAtLowCost guards against hosts that refuse keys although nothing is
// broken, and against a number of store calls that grows with the number of hosts.
func TestHostsStayRecentAtLowCost(t *testing.T) {
	for _, perRegion := range []int{1, 2, 10, 30, 140} {
		t.Run(fmt.Sprint(perRegion), func(t *testing.T) {
			g := NewWithT(t)
			s := quiet(3, perRegion)
			const length = 20
			g.Expect(s.watchHosts(length * time.Second)).To(BeEmpty())
			reads, queries, _ := s.countCalls()
			t.Logf("%d hosts: %.2f reads and %.1f queries a second, %.2f queries for each host", 3*perRegion, float64(reads)/length, float64(queries)/length, float64(queries)/length/float64(3*perRegion))
			// Two readers in each of three regions, every 0.8 s.
			g.Expect(reads).To(BeNumerically("<=", 3*2*(length*5/4+1)))
			g.Expect(queries).To(BeNumerically("<=", 3*perRegion*length*2))
		})
	}
}

// TestHostInTouchStaysRecent guards against a host that refuses keys although it still has a
// path to the store, or a peer that has one.
func TestHostInTouchStaysRecent(t *testing.T) {
	const far = time.Hour
	for name, cut := range map[string]func(s *sim, h *host){
		"store only": func(s *sim, h *host) { s.isolate(h, nil) },
		"one peer only": func(s *sim, h *host) {
			h.refusedUntil = far
			s.isolate(h, s.reader(h.Region))
		},
		"readers turned away": func(s *sim, h *host) {
			for _, o := range s.hosts {
				if o.state.Reader() && o.Region == h.Region {
					o.refusedUntil = far
				}
			}
		},
		"readers gone": func(s *sim, h *host) {
			for _, o := range s.hosts {
				if o.state.Reader() && o.Region == h.Region && o != h {
					o.frozenUntil = far
				}
			}
		},
		"region turned away": func(s *sim, h *host) {
			for _, o := range s.hosts {
				if o.Region == h.Region {
					o.refusedUntil = far
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, i := range []int{0, 3, 20} {
				g := NewWithT(t)
				s := quiet(3, 30)
				h := s.hosts[i]
				cut(s, h)
				const length = 20
				missing := s.watchHosts(length * time.Second)
				for _, o := range s.hosts {
					if o.frozenUntil == 0 {
						g.Expect(missing[o.Name]).To(BeZero(), o.Name)
					}
				}
				reads, _, most := s.countCalls()
				t.Logf("host %d: %.2f reads a second, %.2f at the busiest host", i, float64(reads)/length, float64(most)/length)
				g.Expect(most).To(BeNumerically("<=", length*5/4+1))
				g.Expect(reads).To(BeNumerically("<=", 3*2*(length*5/4+1)+15*length))
			}
		})
	}
}

// isolate cuts the links of a host to all others but one.
func (s *sim) isolate(h, except *host) {
	for _, o := range s.hosts {
		if o != except {
			s.cuts[[2]*host{h, o}], s.cuts[[2]*host{o, h}] = time.Hour, time.Hour
		}
	}
}

// reader returns a reader of a region.
func (s *sim) reader(region string) *host {
	for _, h := range s.hosts {
		if h.Region == region && h.state.Reader() {
			return h
		}
	}
	return nil
}
