package even_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/even"
)

// The trace models hosts that choose among members of equal capacity. Each host reports the
// mean of its own work in flight at each member once a second, and all others receive the
// report 0.1 to 1 s later, so that a choice uses reports of 0.1 to 2 s age. All ways to
// choose get the same arrivals and the same reports.
const (
	memberCount  = 9
	slotCount    = 4
	meanService  = 20 * time.Millisecond
	traceLength  = 40 * time.Second
	warmUp       = 5 * time.Second
	window       = time.Second
	reportPeriod = time.Second
	minTransit   = 100 * time.Millisecond
	maxTransit   = time.Second
	callersEach  = 8
	// callerSkew is the deviation of the logarithm of the callers' rates.
	callerSkew = 1
)

// site describes the hosts, members and load of a trace.
type site struct {
	hosts int
	// load is the offered load relative to the capacity of all members.
	load float64
	// slots is the capacity of each member.
	slots []int
	// silent is set if no report arrives.
	silent bool
	// customers is the number of customers whose turn their callers have, or 0 if each
	// caller has a turn of its own.
	customers uint64
}

// customerSite returns a site in which hosts choose among owners by the turn of a customer, and
// know only their own work and the times of its answers. A tenth of the callers belongs to
// one customer.
func customerSite(hosts int) site {
	s := equalSite(hosts)
	s.silent, s.customers = true, 87
	return s
}

// turn returns the turn of a caller.
func (s site) turn(caller uint64) uint64 {
	switch {
	case s.customers == 0:
		return caller
	case caller%10 == 0:
		return even.Mix(0)
	default:
		return even.Mix(even.Mix(caller) % s.customers)
	}
}

func equalSite(hosts int) site {
	return site{hosts: hosts, load: 0.7, slots: slices.Repeat([]int{slotCount}, memberCount)}
}

// unequalSite returns a site whose largest member has six times the capacity of the smallest.
func unequalSite(hosts int) site {
	return site{hosts: hosts, load: 0.7, slots: []int{1, 1, 2, 2, 3, 4, 5, 6, 6}}
}

// arrival is one request of a trace.
type arrival struct {
	at      time.Duration
	host    int
	turn    uint64
	service time.Duration
	draw    uint64
}

// arrivals returns the seeded requests of all callers in order of time. Every five seconds the
// callers of one host send ten times as much for half a second.
func (s site) arrivals(seed uint64) []arrival {
	const burstEvery, burstLength, burstFactor = 5 * time.Second, time.Second / 2, 10
	rng := rand.New(rand.NewPCG(seed, 3))
	rates, sum, slots := make([]float64, s.hosts*callersEach), 0.0, 0
	for i := range rates {
		rates[i] = math.Exp(rng.NormFloat64() * callerSkew)
		sum += rates[i]
	}
	for _, n := range s.slots {
		slots += n
	}
	total := s.load * float64(slots) / meanService.Seconds()
	var list []arrival
	for c, rate := range rates {
		host := c / callersEach
		for t := 0.0; ; {
			at := time.Duration(t * float64(time.Second))
			factor := 1.0
			if at%burstEvery < burstLength && int(at/burstEvery)*7%s.hosts == host {
				factor = burstFactor
			}
			t += rng.ExpFloat64() / (rate / sum * total * factor)
			if at = time.Duration(t * float64(time.Second)); at >= traceLength {
				break
			}
			list = append(list, arrival{
				at: at, host: host, turn: s.turn(uint64(c)), service: time.Duration((0.5 + rng.Float64()) * float64(meanService)), draw: rng.Uint64(),
			})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// way chooses a member for an arrival. The candidates hold the work of the arrival's host and
// what the other hosts reported.
type way struct {
	name   string
	choose func(m *model, a arrival, list []even.Candidate) int
}

// totalLoad returns the reported work at a member with the host's own work, relative to its
// capacity.
func totalLoad(c even.Candidate) float64 { return (float64(c.Own) + c.Others) / c.Capacity }

// least returns the candidate with the least load of those with the given indexes, and of
// several the first one.
func least(list []even.Candidate, load func(even.Candidate) float64, indexes ...int) int {
	return slices.MinFunc(indexes, func(a, b int) int {
		return int(math.Copysign(1, load(list[a])-load(list[b])))
	})
}

func all(list []even.Candidate) []int {
	indexes := make([]int, len(list))
	for i := range list {
		indexes[i] = i
	}
	return indexes
}

// two returns two different random candidates.
func two(a arrival, list []even.Candidate) (first, second int) {
	n := uint64(len(list))
	first = int(a.draw % n)
	return first, (first + 1 + int(a.draw>>32%(n-1))) % len(list)
}

func reportedOnly(c even.Candidate) float64 { return c.Others / c.Capacity }

// discounted returns a load in which the report counts less with its age.
func discounted(c even.Candidate) float64 {
	return (float64(c.Own) + c.Others*math.Exp(-c.Age.Seconds()/2)) / c.Capacity
}

const subsetSize = 3

// ways returns the ways to choose that are compared. The one called production is used.
func ways() []way {
	return []way{
		{"round-robin", func(m *model, a arrival, list []even.Candidate) int {
			m.turns[a.host]++
			return m.turns[a.host] % len(list)
		}},
		{"rotation-by-caller", func(_ *model, a arrival, list []even.Candidate) int { return int(a.turn % uint64(len(list))) }},
		{"random", func(_ *model, a arrival, list []even.Candidate) int { return int(a.draw % uint64(len(list))) }},
		{"least-by-report", func(_ *model, _ arrival, list []even.Candidate) int {
			return least(list, reportedOnly, all(list)...)
		}},
		{"two-random", func(_ *model, a arrival, list []even.Candidate) int {
			x, y := two(a, list)
			return least(list, reportedOnly, x, y)
		}},
		{"two-with-own-and-age", func(_ *model, a arrival, list []even.Candidate) int {
			x, y := two(a, list)
			return least(list, discounted, x, y)
		}},
		{"subsets", func(_ *model, a arrival, list []even.Candidate) int {
			first := a.host % len(list)
			return least(list, totalLoad, first, (first+1)%len(list), (first+subsetSize-1)%len(list))
		}},
		{"weighted-by-free", func(_ *model, a arrival, list []even.Candidate) int {
			sum, free := 0.0, make([]float64, len(list))
			for i, c := range list {
				free[i] = max(c.Capacity*(1-totalLoad(c)), 0.1)
				sum += free[i]
			}
			rest := float64(a.draw>>11) / (1 << 53) * sum
			for i, f := range free {
				if rest -= f; rest < 0 {
					return i
				}
			}
			return len(list) - 1
		}},
		{"production", func(m *model, a arrival, list []even.Candidate) int {
			c, b := m.balances[a.host].Choose(list, a.turn, a.draw, slotCount/2, epoch.Add(a.at))
			m.balances[a.host] = b
			return c.Index
		}},
	}
}

var epoch = time.Unix(0, 0)

// model runs a trace in virtual time.
type model struct {
	site
	way    way
	now    time.Duration
	events eventHeap
	// turns and balances are the state of the hosts' ways to choose.
	turns    []int
	balances []even.Balance
	times    []*even.Times
	// own is the work in flight by host and member, and work the integral of it over time
	// since the host's last report.
	own     [][]int
	work    [][]float64
	changed [][]time.Duration
	// reported is the last report by host and member, its sum over hosts, and reportedAt the
	// sum of the times at which the last reports were sent.
	reported   [][]float64
	sum        []float64
	reportedAt time.Duration
	lastReport []time.Duration
	// busy and queues are the state of the members.
	busy   []int
	queues [][]arrival
	// sent is the service time that was sent to each member by window.
	sent [][]float64
	// waits holds the times for which work waited at the members.
	waits []time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func matrix[T any](rows, columns int) [][]T {
	m := make([][]T, rows)
	for i := range m {
		m[i] = make([]T, columns)
	}
	return m
}

// run runs a trace and returns the finished model.
func run(s site, w way, seed uint64) *model {
	n := len(s.slots)
	m := &model{
		site: s, way: w, turns: make([]int, s.hosts), balances: make([]even.Balance, s.hosts), own: matrix[int](s.hosts, n), work: matrix[float64](s.hosts, n),
		changed: matrix[time.Duration](s.hosts, n), reported: matrix[float64](s.hosts, n), sum: make([]float64, n),
		lastReport: make([]time.Duration, s.hosts), busy: make([]int, n), queues: make([][]arrival, n),
		sent: matrix[float64](int(traceLength/window)+1, n),
	}
	for _, a := range s.arrivals(seed) {
		m.schedule(a.at, func() { m.arrive(a) })
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	for h := range s.hosts {
		m.times = append(m.times, even.NewTimes())
		m.turns[h] = rng.IntN(n)
		for at := time.Duration(rng.Int64N(int64(reportPeriod))); at < traceLength && !s.silent; at += reportPeriod {
			transit := minTransit + time.Duration(rng.Int64N(int64(maxTransit-minTransit)))
			m.schedule(at, func() { m.report(h, transit) })
		}
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m
}

func (m *model) schedule(at time.Duration, do func()) { heap.Push(&m.events, event{at: at, do: do}) }

// integrate adds the work in flight since the last change to the integral.
func (m *model) integrate(host, member int) {
	m.work[host][member] += float64(m.own[host][member]) * (m.now - m.changed[host][member]).Seconds()
	m.changed[host][member] = m.now
}

// report sends the mean work in flight of a host since its last report.
func (m *model) report(host int, transit time.Duration) {
	mean := make([]float64, len(m.slots))
	for i := range mean {
		m.integrate(host, i)
		mean[i] = m.work[host][i] / reportPeriod.Seconds()
		m.work[host][i] = 0
	}
	sentAt := m.now
	m.schedule(m.now+transit, func() {
		for i := range mean {
			m.sum[i] += mean[i] - m.reported[host][i]
		}
		m.reported[host] = mean
		m.reportedAt += sentAt - m.lastReport[host]
		m.lastReport[host] = sentAt
	})
}

// arrive chooses a member for an arrival and sends it there.
func (m *model) arrive(a arrival) {
	list := make([]even.Candidate, len(m.slots))
	for i := range list {
		list[i] = even.Candidate{
			Name: fmt.Sprint(i), Own: m.own[a.host][i], Others: max(m.sum[i]-m.reported[a.host][i], 0), Reported: !m.silent,
			Slowness: m.slowness(a.host, i), Age: m.now - m.reportedAt/time.Duration(m.hosts), Capacity: float64(m.slots[i]),
		}
	}
	i := m.way.choose(m, a, list)
	m.integrate(a.host, i)
	m.own[a.host][i]++
	m.sent[m.now/window][i] += a.service.Seconds() / float64(m.slots[i])
	m.queues[i] = append(m.queues[i], a)
	m.start(i)
}

// slowness returns how slow a member is for a host. Only owners have one.
func (m *model) slowness(host, member int) float64 {
	if m.customers == 0 {
		return 0
	}
	return m.times[host].Slowness(fmt.Sprint(member), epoch.Add(m.now))
}

// start starts the first waiting work of a member if a slot is free.
func (m *model) start(i int) {
	if m.busy[i] >= m.slots[i] || len(m.queues[i]) == 0 {
		return
	}
	a := m.queues[i][0]
	m.queues[i] = m.queues[i][1:]
	m.busy[i]++
	if a.at >= warmUp {
		m.waits = append(m.waits, m.now-a.at)
	}
	m.schedule(m.now+a.service, func() {
		m.times[a.host].Answered(fmt.Sprint(i), even.Work{}, m.now-a.at, epoch.Add(m.now))
		m.busy[i]--
		m.integrate(a.host, i)
		m.own[a.host][i]--
		m.start(i)
	})
}

// figures summarizes a run after its warm-up.
type figures struct {
	// busiest is the work sent to the busiest member in a window relative to the mean, and
	// switches how often another member becomes the busiest one in a second.
	busiest, switches float64
	// p99 is the 99th percentile of the time for which work waits.
	p99 time.Duration
	// correlation is that of the work sent to a member in two successive windows.
	correlation float64
}

func (m *model) figures() figures {
	windows := m.sent[warmUp/window : traceLength/window]
	f := figures{correlation: m.correlation(windows)}
	last, switches := -1, 0
	for _, w := range windows {
		sum := 0.0
		for _, x := range w {
			sum += x
		}
		most := slices.Max(w)
		f.busiest += most * float64(len(w)) / sum / float64(len(windows))
		if i := slices.Index(w, most); i != last {
			switches++
			last = i
		}
	}
	f.switches = float64(switches) / (float64(len(windows)) * window.Seconds())
	slices.Sort(m.waits)
	f.p99 = m.waits[len(m.waits)*99/100]
	return f
}

// correlation returns the mean autocorrelation of the members' loads for one window.
func (m *model) correlation(windows [][]float64) float64 {
	sum := 0.0
	for i := range m.slots {
		mean := 0.0
		for _, w := range windows {
			mean += w[i] / float64(len(windows))
		}
		var covariance, variance float64
		for k, w := range windows {
			variance += (w[i] - mean) * (w[i] - mean)
			if k > 0 {
				covariance += (w[i] - mean) * (windows[k-1][i] - mean)
			}
		}
		if variance > 0 {
			sum += covariance / variance / float64(len(m.slots))
		}
	}
	return sum
}
