package recent

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/pick"
)

// Host is a host that may be queried.
type Host struct {
	Name   string
	Region string
}

const (
	// readersPerRegion is the number of hosts in each region that read the store often.
	readersPerRegion = 2
	// firstTier is the number of hosts in a region that query the readers. In a larger region
	// the other hosts query these, so that no host has many connections for proofs: with
	// 2,600 hosts in a region, 48 at a reader and about 26 at the others.
	firstTier = 96
	// spares is the number of further hosts that are queried while the first ones give no
	// proof, and queriesPerRound how many of them at a time.
	spares          = 4
	queriesPerRound = 2
	// remoteReaders is the number of readers of each other region that are queried last.
	remoteReaders = 2
)

// plan is whom a host queries for proofs, and how it reads the store.
type plan struct {
	reader bool
	// index is the position of the host in the order of its region.
	index int
	// parents are queried first, one after the other. The others are queried while these
	// give no proof.
	parents []string
	others  []string
	// second is set if the parents are hosts of the first tier. Their own proofs are up to
	// QueryAge old, so the host queries them at a greater age, and less often.
	second bool
}

// WithHosts returns the state for a list of hosts that are not draining. The order of a region
// is that of the key, the same on all hosts.
func (s State) WithHosts(key, self, region string, hosts []Host) State {
	regions := make(map[string][]string)
	for _, h := range hosts {
		regions[h.Region] = append(regions[h.Region], h.Name)
	}
	order := pick.Order(key, regions[region])
	p := plan{index: slices.Index(order, self)}
	if p.index < 0 {
		p.index = len(order)
	}
	p.reader = p.index < readersPerRegion && slices.Contains(order, self)
	readers, tier := split(order, readersPerRegion)
	tier, _ = split(tier, firstTier)
	own := func(hosts []string) []string { return pick.Order("proof/"+self, without(hosts, self)) }
	if p.index < readersPerRegion+firstTier {
		p.parents = own(readers)
		// All hosts of the region query the same two first, which read the store in place
		// of the readers.
		first, rest := split(tier, queriesPerRound)
		p.others = append(without(first, self), firstOf(own(rest), spares-queriesPerRound)...)
		for _, name := range sortedKeys(regions) {
			if name != region {
				p.others = append(p.others, pick.First(key, regions[name], remoteReaders)...)
			}
		}
	} else {
		candidates := own(tier)
		p.parents, candidates = split(candidates, readersPerRegion)
		p.others, p.second = firstOf(candidates, spares), true
	}
	s.plan, s.preferred = p, 0
	return s
}

func sortedKeys(m map[string][]string) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func split(hosts []string, n int) (first, rest []string) {
	n = min(n, len(hosts))
	return hosts[:n], hosts[n:]
}

func firstOf(hosts []string, n int) []string { return hosts[:min(n, len(hosts))] }

func without(hosts []string, host string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == host })
}

// Query is a query to be sent to a peer.
type Query struct {
	Host string
	ID   uint64
}

// Actions are what a host is to do now.
type Actions struct {
	// Queries are to be sent to peers, without waiting for one another's answers.
	Queries []Query
	// Read is set if the store is to be read. Its end is reported by WithRead or
	// WithFailedRead, with At as the time at which it was sent.
	Read bool
	At   time.Duration
	// Next is when Plan is to be called again, unless something changes before.
	Next time.Duration
}

// idlePause is the time until the next call of Plan while the sheet has no customers.
const idlePause = time.Minute

// Plan returns what the host is to do at a time, which counts as the time at which the queries
// and the read are sent.
func (s State) Plan(now time.Duration) (State, Actions) {
	if !s.active {
		return s, Actions{Next: now + idlePause}
	}
	a := Actions{At: now}
	s, a.Read = s.planRead(now)
	s, a.Queries = s.planQueries(now)
	a.Next = s.nextRound(now)
	if !s.reading {
		a.Next = min(a.Next, s.nextRead(now))
	}
	return s, a
}

func (s State) planRead(now time.Duration) (State, bool) {
	if s.reading || now < s.nextRead(now) {
		return s, false
	}
	s.reading, s.everRead, s.readAt = true, true, now
	// The constants are those of a common linear congruential generator.
	s.seed = s.seed*6364136223846793005 + 1442695040888963407
	return s, true
}

// nextRead returns when the store is to be read next.
func (s State) nextRead(now time.Duration) time.Duration {
	period := s.rules.ReadPeriod
	if !s.plan.reader || s.failures > 0 {
		period = s.rules.ReadPause
	}
	age := s.proofAge(now)
	if len(s.plan.parents) > 0 && !s.plan.reader && s.failures > 0 && age > s.rules.LossAge {
		period <<= min(s.failures, maxDoublings)
	}
	if !s.everRead {
		period, s.readAt = 0, now
	}
	if s.plan.reader {
		return s.readAt + period
	}
	return max(s.readAt+period, now-age+s.rules.ReadAge+s.stagger())
}

// stagger returns by how much the read of this host is delayed: half to the whole of its part.
func (s State) stagger() time.Duration {
	part := s.rules.Stagger * time.Duration(min(s.plan.index, maxStagger))
	const fractions = 1 << 10
	fraction := time.Duration(s.seed >> 54) //nolint:gosec // ten bits
	return part/2 + part/2*fraction/fractions
}

// queryAge returns the age of the proof above which peers are queried.
func (s State) queryAge() time.Duration {
	if s.plan.second {
		return s.rules.QueryAge * 4 / 3
	}
	return s.rules.QueryAge
}

// nextRound returns when the next round of queries is due.
func (s State) nextRound(now time.Duration) time.Duration {
	age := s.proofAge(now)
	due := now - age + s.queryAge()
	if !s.everQueried {
		return due
	}
	pause := s.rules.QueryPause
	if s.round > 0 && age > s.rules.LossAge {
		pause *= queryFactor
	}
	return max(due, s.queriedAt+pause)
}

func (s State) planQueries(now time.Duration) (State, []Query) {
	if now < s.nextRound(now) {
		return s, nil
	}
	var queries []Query
	s.queries = slices.DeleteFunc(slices.Clone(s.queries), func(q query) bool { return now-q.sentAt > s.rules.Limit })
	for _, host := range s.targets() {
		s.nextID++
		s.queries = append(s.queries, query{id: s.nextID, host: host, sentAt: now})
		queries = append(queries, Query{Host: host, ID: s.nextID})
	}
	s.queries = s.queries[max(0, len(s.queries)-maxQueries):]
	s.queriedAt, s.everQueried = now, true
	s.round++
	return s, queries
}

// targets returns the hosts that are queried in this round. The first round goes to one parent
// and to the host that gave the last proof; later ones to all parents and some others.
func (s State) targets() []string {
	p := s.plan
	var hosts []string
	if s.round == 0 {
		if len(p.parents) > 0 {
			hosts = append(hosts, p.parents[s.preferred%len(p.parents)])
		}
		if slices.Contains(p.others, s.proof.Source) {
			hosts = append(hosts, s.proof.Source)
		}
		return hosts
	}
	hosts = slices.Clone(p.parents)
	for i := range min(queriesPerRound, len(p.others)) {
		hosts = append(hosts, p.others[((s.round-1)*queriesPerRound+i)%len(p.others)])
	}
	return hosts
}
