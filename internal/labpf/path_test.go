package labpf_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labpf"
)

// site is a platform with proxies on it.
type site struct {
	*WithT
	t        *testing.T
	platform *labpf.Platform
	proxies  []*app.Proxy
	stops    []func()
	log      *lines
}

// lines keeps what all proxies log.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) with(part string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, part) {
			found = append(found, line)
		}
	}
	return found
}

const invariantBroken = `"Event":901`

func newSite(t *testing.T, proxies int) *site {
	return newSiteWith(t, proxies, func(*config.Settings) {})
}

// newSiteWith starts a site whose proxies have changed settings.
func newSiteWith(t *testing.T, proxies int, change func(*config.Settings)) *site {
	s := &site{WithT: NewWithT(t), t: t, log: &lines{}}
	platform, cleanUp, err := labpf.New(labpf.Options{Members: 3, Lag: 20 * time.Millisecond, PromoteDelay: 300 * time.Millisecond, Connections: 40})
	s.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	s.platform = platform
	for i := range proxies {
		s.startWith(i, change)
	}
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
		if t.Failed() {
			t.Log(strings.Join(s.log.with(`"Event":`), ""))
		}
		s.Expect(s.log.with(invariantBroken)).To(BeEmpty())
		s.Expect(platform.Outcome().Lost).To(BeZero(), "acknowledged entries that a promoted member did not hold")
	})
	return s
}

// peerSecret is another one in each process, so that proxies of tests that run beside each
// other, and take addresses that others had, are not taken for these.
var peerSecret = fmt.Sprint("a secret of the stand-ins of process ", os.Getpid())

// settingsOf returns the settings of the proxy of a number.
func (s *site) settingsOf(i int) config.Settings {
	settings := config.Default()
	settings.Host, settings.DataCentre = fmt.Sprint("front-", i+1), labpf.DataCentre(i)
	settings.Regions = labpf.Regions()
	settings.Region = settings.Regions[settings.DataCentre]
	settings.Protocol = config.Lines
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.StoreAddress, settings.PromoteAddress = s.platform.StoreAddress(), s.platform.CloudAddress()
	settings.PeerSecret, settings.OperatorSecret = peerSecret, "a secret of the stand-ins"
	settings.Timing.PollMs, settings.Timing.WatchMs = 50, 1000
	settings.Timing.DrainMs, settings.Timing.OpenMs, settings.Timing.LingerMs = 3000, 1000, 100
	return settings
}

func (s *site) start(i int) *app.Proxy { return s.startWith(i, func(*config.Settings) {}) }

// startWith starts the proxy of a number with changed settings.
func (s *site) startWith(i int, change func(*config.Settings)) *app.Proxy {
	settings := s.settingsOf(i)
	change(&settings)
	proxy, stop, err := app.New(settings, s.log)
	s.Expect(err).NotTo(HaveOccurred())
	s.proxies, s.stops = append(s.proxies, proxy), append(s.stops, stop)
	return proxy
}

// caller is a session of a caller.
type caller struct {
	conn    net.Conn
	answers *bufio.Reader
}

var lastID atomic.Int64

// patience bounds every answer that a test waits for.
const patience = 20 * time.Second

func dial(address, service string) (*caller, error) { return dialWith(address, service, "tester") }

// dialWith connects as a caller that presents a name or a key.
func dialWith(address, service, key string) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, answers: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", service, key); err != nil {
		return nil, err
	}
	line, err := c.answers.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("got %q", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// enter connects to a proxy, and tries again until it is ready.
func (s *site) enter(proxy int, service string) *caller { return s.enterWith(proxy, service, "tester") }

// enterWith is like enter for a caller that presents a name or a key.
func (s *site) enterWith(proxy int, service, key string) *caller {
	var c *caller
	s.Eventually(func() (err error) {
		c, err = dialWith(s.proxies[proxy].Address(), service, key)
		return err
	}, patience, 20*time.Millisecond).Should(Succeed())
	s.t.Cleanup(func() { _ = c.conn.Close() })
	return c
}

// ask runs a statement and returns its rows, and the code of an error or "".
func (c *caller) ask(text string) (rows []string, code, state string, err error) {
	return c.askAs(fmt.Sprint("q", lastID.Add(1)), text)
}

// askAs is like ask with a given ID.
func (c *caller) askAs(id, text string) (rows []string, code, state string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return nil, "", "", err
	}
	for {
		line, err := c.answers.ReadString('\n')
		if err != nil {
			return nil, "", "", err
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch word {
		case "DATAROW":
			rows = append(rows, rest)
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			state, _, _ = strings.Cut(rest, " ")
			return rows, code, state, nil
		}
	}
}

// does runs a statement that must succeed, and returns its first row.
func (s *site) does(c *caller, text string) string {
	rows, code, _, err := c.ask(text)
	s.Expect(err).NotTo(HaveOccurred(), text)
	s.Expect(code).To(BeEmpty(), text)
	if len(rows) == 0 {
		return ""
	}
	return rows[0]
}

// comes runs a statement until it succeeds, as a caller does after an honest refusal.
func (s *site) comes(c *caller, text string) {
	s.Eventually(func() string {
		_, code, _, err := c.ask(text)
		s.Expect(err).NotTo(HaveOccurred())
		return code
	}, patience, 20*time.Millisecond).Should(BeEmpty(), text)
}

func TestSessionsReadTheirOwnWrites(t *testing.T) {
	s := newSite(t, 2)
	for i := range 20 {
		c := s.enter(i%2, labpf.Session)
		value := fmt.Sprint("v", i)
		s.comes(c, "WRITE own "+value)
		s.Expect(s.does(c, "READ own")).To(Equal(value))
		s.Expect(s.platform.Count(value)).To(Equal(1))
	}
	a, b := s.enter(0, labpf.Latest), s.enter(1, labpf.Latest)
	for i := range 20 {
		value := fmt.Sprint("w", i)
		s.does(a, "WRITE shared "+value)
		s.Expect(s.does(b, "READ shared")).To(Equal(value), "another session sees what was acknowledged")
	}
}

func TestTransactionsAndWhatTheyLeaveBehind(t *testing.T) {
	s := newSite(t, 1)
	a, b := s.enter(0, labpf.Session), s.enter(0, labpf.Latest)
	s.comes(a, "WRITE k before")
	s.does(a, "SET zone north")
	s.does(a, "PREPARE p READ q2c")
	s.does(b, "PREPARE p WRITE q2c")
	s.does(a, "BEGIN")
	s.does(a, "WRITE k inside")
	s.Expect(s.does(a, "READ k")).To(Equal("inside"))
	s.Expect(s.does(b, "READ k")).To(Equal("before"), "another session sees no open transaction")
	s.does(b, "EXECUTE p other value")
	s.does(a, "ROLLBACK")
	s.Expect(s.does(a, "EXECUTE p k")).To(Equal("before"))
	s.does(a, "BEGIN READ")
	_, code, state, err := a.ask("WRITE k not-here")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect([]string{code, state}).To(Equal([]string{"READONLY", "E"}))
	_, code, _, err = a.ask("READ k")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(code).To(Equal("MALFORMED"), "a failed transaction can only be ended")
	s.does(a, "ROLLBACK")
	s.does(a, "BEGIN")
	s.does(a, "WRITE k after")
	s.does(a, "COMMIT")
	s.Expect(s.does(a, "READ k")).To(Equal("after"))
	_, code, _, err = a.ask("EXECUTE unknown k")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(code).To(Equal("NOSTMT"))
}

// failover writes through two proxies while something happens to the primary, and
// returns how long no write was acknowledged. Every acknowledged write must be kept, once.
func (s *site) failover(happens func(primary *labpf.Member)) time.Duration {
	writers := []*caller{s.enter(0, labpf.Session), s.enter(1, labpf.Session)}
	for i, w := range writers {
		s.comes(w, fmt.Sprintf("WRITE a%d first", i))
	}
	happens(s.platform.Primary())
	began := time.Now()
	var gap atomic.Int64
	var running sync.WaitGroup
	for i, w := range writers {
		running.Go(func() {
			for n := range 1000 {
				value := fmt.Sprintf("f%d-%d", i, n)
				_, code, _, err := w.ask(fmt.Sprintf("WRITE a%d %s", i, value))
				if err != nil {
					s.t.Error(err)
					return
				}
				if code == "" {
					gap.Store(max(gap.Load(), int64(time.Since(began))))
					if count := s.platform.Count(value); count != 1 {
						s.t.Errorf("write %s: got it %d times, want once", value, count)
					}
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			s.t.Error("no write was acknowledged")
		})
	}
	running.Wait()
	return time.Duration(gap.Load())
}

// target is the longest gap in writes that the users accept.
const target = 6 * time.Second

func TestACrashedPrimaryIsReplaced(t *testing.T) {
	s := newSite(t, 3)
	s.Expect(s.failover((*labpf.Member).Crash)).To(BeNumerically("<", target))
	s.Expect(s.platform.Outcome().Promotions).To(Equal(1))
}

func TestAPrimaryIsReplacedWhileTheStoreIsDown(t *testing.T) {
	s := newSite(t, 3)
	s.Expect(s.failover(func(m *labpf.Member) {
		s.platform.SetDown(true)
		m.Crash()
	})).To(BeNumerically("<", target))
}

// TestAnOrderThatIsCarriedOutLateIsSealedOff loses the first order for a promotion, which
// is carried out after the second one has long taken effect.
func TestAnOrderThatIsCarriedOutLateIsSealedOff(t *testing.T) {
	s := newSite(t, 3)
	s.Expect(s.failover(func(m *labpf.Member) {
		s.platform.LoseOrders(2, 4*time.Second)
		m.Crash()
	})).To(BeNumerically("<", target))
	writer := s.enter(0, labpf.Session)
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
		s.comes(writer, "WRITE late x")
	}
	s.Expect(s.platform.Outcome().Promotions).To(Equal(1))
}

// TestOneProxyOfNineFailsOver lists eight hosts that have ended.
func TestOneProxyOfNineFailsOver(t *testing.T) {
	s := newSite(t, 2)
	for i := range 7 {
		s.platform.Put("proxies", fmt.Sprint("gone-", i), map[string]any{
			"Name": fmt.Sprint("gone-", i), "DataCentre": "csepel", "Region": "budapest", "PeerAddress": "127.0.0.1:1",
		})
	}
	s.Expect(s.failover((*labpf.Member).Crash)).To(BeNumerically("<", target))
}

// TestAPrimaryThatIsCutOffServesNoReads cuts the primary off from its replicas. It does
// not hear of the promotion that another promoter orders, and the proxies still reach it.
func TestAPrimaryThatIsCutOffServesNoReads(t *testing.T) {
	s := newSite(t, 3)
	reader, writer := s.enter(0, labpf.Latest), s.enter(1, labpf.Latest)
	s.comes(writer, "WRITE shared 0")
	old := s.platform.Primary()
	s.platform.Cut(old, true)
	s.platform.Hold(2)
	time.Sleep(lease)
	s.True(s.platform.Promote(next(s.platform, old).Name()))
	s.Eventually(s.platform.Primary, patience, time.Millisecond).ShouldNot(BeIdenticalTo(old))
	latest := 0
	for n := 1; n <= 40; n++ {
		if _, code, _, err := writer.ask(fmt.Sprint("WRITE shared ", n)); err == nil && code == "" {
			latest = n
		}
		rows, code, _, err := reader.ask("READ shared")
		s.Expect(err).NotTo(HaveOccurred())
		if code == "" {
			s.Expect(rows).To(Equal([]string{fmt.Sprint(latest)}))
		}
	}
	s.Expect(latest).To(BeNumerically(">", 0))
}

// lease is how long a promoter waits after the members have promised.
const lease = 1050 * time.Millisecond

// True expects a condition.
func (s *site) True(is bool) { s.Expect(is).To(BeTrue()) }

// next returns a member that is not the given one.
func next(p *labpf.Platform, other *labpf.Member) *labpf.Member {
	if m := p.Member(1); m != other {
		return m
	}
	return p.Member(2)
}

func TestEntriesThatLapseChangeNothing(t *testing.T) {
	s := newSite(t, 2)
	c := s.enter(0, labpf.Session)
	s.comes(c, "WRITE k 1")
	for i := range 3 {
		s.platform.Delete("servers", s.platform.Member(i).Name())
	}
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		s.does(c, "WRITE k 2")
	}
	s.Expect(s.platform.Outcome().Promotions).To(BeZero())
}

// TestAnOpenTransactionOutlivesItsRoute drops a route while a transaction is open on it.
func TestAnOpenTransactionOutlivesItsRoute(t *testing.T) {
	s := newSite(t, 1)
	s.enter(0, labpf.Session)
	s.platform.PutConfig(5, labpf.Route{Name: "added", Kind: "primary"})
	c := s.enter(0, "added")
	s.comes(c, "WRITE k 1")
	s.does(c, "BEGIN")
	s.does(c, "WRITE k 2")
	s.platform.PutConfig(9)
	s.Eventually(func() error {
		_, err := dial(s.proxies[0].Address(), "added")
		return err
	}, patience, 20*time.Millisecond).Should(MatchError(ContainSubstring("NODB")))
	s.does(c, "COMMIT")
	s.Expect(s.platform.Count("2")).To(Equal(1))
	_, code, _, err := c.ask("READ k")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(code).To(Equal("NODB"))
}

func TestRoutesComeAndGoWhileTheStoreForgets(t *testing.T) {
	s := newSite(t, 2)
	s.enter(0, labpf.Session)
	s.platform.PutConfig(5, labpf.Route{Name: "added", Kind: "primary"})
	s.does(s.enter(0, "added"), "READ k")
	s.does(s.enter(1, "added"), "READ k")
	s.platform.Compact()
	s.platform.PutConfig(9)
	for i := range 2 {
		s.Eventually(func() string {
			_, err := dial(s.proxies[i].Address(), "added")
			if err == nil {
				return ""
			}
			return err.Error()
		}, patience, 20*time.Millisecond).Should(ContainSubstring("NODB"))
	}
}

// TestAProxyThatStartsWhileTheStoreIsDownDeniesNothing answers that it is not ready; a
// service may be listed that it does not know of.
func TestAProxyThatStartsWhileTheStoreIsDownDeniesNothing(t *testing.T) {
	s := newSite(t, 0)
	s.platform.SetDown(true)
	s.start(0)
	_, err := dial(s.proxies[0].Address(), labpf.Session)
	s.Expect(err).To(MatchError(ContainSubstring("BUSY")))
	s.platform.SetDown(false)
	s.comes(s.enter(0, labpf.Session), "WRITE k 1")
}

func TestALeavingProxyCutsNothingOff(t *testing.T) {
	s := newSite(t, 1)
	idle, open := s.enter(0, labpf.Session), s.enter(0, labpf.Session)
	s.comes(open, "WRITE k 1")
	s.does(open, "BEGIN")
	s.does(open, "WRITE k 2")
	cut := make(chan int, 1)
	go func() { cut <- s.proxies[0].Drain() }()
	_, err := idle.answers.ReadByte()
	s.Expect(err).To(MatchError(io.EOF), "an idle session is closed without a message")
	s.does(open, "COMMIT")
	s.Expect(<-cut).To(BeZero())
	s.Expect(s.platform.Count("2")).To(Equal(1))
}

// TestBadInputEndsOneSession sends what is no request, beside a session that goes on.
func TestBadInputEndsOneSession(t *testing.T) {
	s := newSite(t, 1)
	good := s.enter(0, labpf.Session)
	s.comes(good, "WRITE k 1")
	for _, bad := range []string{"HELLO\r\n", "QUERY x DROP k\r\n", "QUERY x READ\r\n", "\r\n", "QUERY x READ k\n", "QUERY " + strings.Repeat("x", 1<<20+1)} {
		c := s.enter(0, labpf.Session)
		_, _ = io.WriteString(c.conn, bad)
		_ = c.conn.SetReadDeadline(time.Now().Add(patience))
		answer, err := io.ReadAll(c.conn)
		s.Expect(err == nil || strings.Contains(err.Error(), "reset")).To(BeTrue(), "%.20q: %v", bad, err)
		if len(answer) > 0 {
			s.Expect(string(answer)).To(Or(HavePrefix("ERROR MALFORMED"), HavePrefix("ERROR TOOBIG")))
		}
		s.Expect(s.does(good, "READ k")).To(Equal("1"))
	}
}
