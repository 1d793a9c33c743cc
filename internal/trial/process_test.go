// Package trial_test runs the programs as separate processes, and kills, stops
// and resumes them.
package trial_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labset"
	"poplarrouter.example/poplarrouter/internal/pgmem"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
)

const patience = time.Minute

// site is a store, three members and three proxies, each a process.
type site struct {
	*WithT
	t       *testing.T
	dir     string
	store   string
	members []*process
	// links are between the proxies, or other members, and each member.
	links []*link
	// shipping is between the first primary and its replicas.
	shipping *link
	proxies  []*process
}

type process struct {
	*exec.Cmd
	address  string
	settings config.Settings
}

func (p *process) signal(s syscall.Signal) { _ = p.Process.Signal(s) }

func newSite(t *testing.T) *site {
	s := &site{WithT: NewWithT(t), t: t, dir: t.TempDir()}
	s.SetDefaultEventuallyTimeout(patience)
	build := exec.Command("go", "build", "-o", s.dir+string(filepath.Separator), "poplarrouter.example/poplarrouter/cmd/...")
	out, err := build.CombinedOutput()
	s.Expect(err).NotTo(HaveOccurred(), string(out))
	s.startMembers()
	s.startStore()
	s.startProxies()
	return s
}

func (s *site) free() string {
	address, err := labset.FreeAddress()
	s.Expect(err).NotTo(HaveOccurred())
	return address
}

// start runs a program until the test ends, with its log in a file if a name is
// given.
func (s *site) start(log, program string, args ...string) *process {
	p := &process{Cmd: exec.Command(filepath.Join(s.dir, program), args...)} //nolint:gosec // a program that the test built
	p.Stderr = os.Stderr
	if log != "" {
		file, err := os.Create(s.log(log))
		s.Expect(err).NotTo(HaveOccurred())
		s.t.Cleanup(func() { _ = file.Close() })
		p.Stdout, p.Stderr = file, file
	}
	s.Expect(p.Start()).To(Succeed())
	s.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	return p
}

// log returns the path of a proxy's log.
func (s *site) log(host string) string { return filepath.Join(s.dir, host+".log") }

func (s *site) write(name string, body any) string {
	raw, ok := body.([]byte)
	if !ok {
		var err error
		raw, err = json.Marshal(body)
		s.Expect(err).NotTo(HaveOccurred())
	}
	path := filepath.Join(s.dir, name)
	s.Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	return path
}

func (s *site) startMembers() {
	for i := range 3 {
		address := s.free()
		args := []string{"member", "-address", address}
		if i > 0 {
			args = append(args, "-leader", s.shipping.address())
		}
		m := s.start("", "poplarlab", args...)
		m.address = address
		s.members = append(s.members, m)
		s.links = append(s.links, newLink(s.t, address))
		if i == 0 {
			s.shipping = newLink(s.t, address)
		}
	}
	for _, m := range s.members {
		s.awaitListener(m.address)
	}
}

// awaitListener waits until a process listens at an address. Proxies that are ready
// have not necessarily reached a member.
func (s *site) awaitListener(address string) {
	s.Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	}).Should(Succeed())
}

func (s *site) startStore() {
	d := book.Database{Name: labset.Database, Slots: 5, Connections: 35}
	for i := range s.members {
		d.Members = append(d.Members, view.Member{Name: fmt.Sprintf("member-%d", i+1), Address: s.links[i].address(), DataCentre: "dc-1", Region: "region-1"})
	}
	hosts := book.HostsDoc{Serial: 1}
	s.store = s.free()
	for i := range 3 {
		settings := labset.SettingsOf(fmt.Sprintf("host-%d", i+1), s.store)
		settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = s.free(), s.free(), s.free()
		settings.Seeds = []string{}
		settings.TraceElections = true
		s.proxies = append(s.proxies, &process{settings: settings})
		hosts.Hosts = append(hosts.Hosts, book.Host{Name: settings.Host, DataCentre: "dc-1", Region: "region-1", PeerAddress: settings.PeerAddress})
	}
	databases := s.write("databases.json", book.DatabasesDoc{Serial: 1, Databases: []book.Database{d}})
	s.start("", "poplarlab", "store", "-address", s.store, "-databases", databases, "-hosts", s.write("hosts.json", hosts))
	csv, err := labset.Sheet()
	s.Expect(err).NotTo(HaveOccurred())
	sheet := s.write("sheet.csv", []byte(csv))
	s.Eventually(func() error {
		return exec.Command(filepath.Join(s.dir, "poplarrouter"), "sheet", "-store", s.store, "-operator", "anna", "load", sheet).Run() //nolint:gosec // as above
	}).Should(Succeed())
}

func (s *site) startProxies() {
	for i, p := range s.proxies {
		file := s.write(p.settings.Host+".json", p.settings)
		started := s.start(p.settings.Host, "poplarrouter", "serve", "-settings", file)
		started.settings, started.address = p.settings, p.settings.CallerAddress
		s.proxies[i] = started
	}
	for _, p := range s.proxies {
		s.Eventually(func() (int, error) {
			response, err := http.Get("http://" + p.settings.OperatorAddress + app.PathReady)
			if err != nil {
				return 0, err
			}
			_ = response.Body.Close()
			return response.StatusCode, nil
		}).Should(Equal(http.StatusOK))
	}
}

func (s *site) connect(proxy int, kind string) *pgx.Conn {
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&poplarrouter.kind=%s", labset.Caller, labset.Password, s.proxies[proxy].address, labset.Service, kind)
	conn, err := pgx.Connect(context.Background(), url)
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (s *site) count(proxy int) int {
	n, err := s.tryCount(proxy)
	s.Expect(err).NotTo(HaveOccurred())
	return n
}

func (s *site) tryCount(proxy int) (n int, err error) {
	err = s.connect(proxy, "stock").QueryRow(context.Background(), "SELECT count(*) FROM crates").Scan(&n)
	return n, err
}

// writeThrough writes rows through the first proxy until so many were acknowledged after the fault, and
// returns how many were in all. It begins the fault after the tenth.
func (s *site) writeThrough(fault func()) int {
	conn := s.connect(0, "order")
	_, err := conn.Exec(context.Background(), "CREATE TABLE crates (id INTEGER PRIMARY KEY)")
	s.Expect(err).NotTo(HaveOccurred())
	const before, after = 10, 20
	acknowledged := 0
	began := time.Now()
	for i := 0; acknowledged < before+after; i++ {
		s.Expect(time.Since(began)).To(BeNumerically("<", patience), "writes go on")
		if conn.IsClosed() {
			conn = s.connect(0, "order")
		}
		if _, err := conn.Exec(context.Background(), "INSERT INTO crates VALUES ($1)", i); err == nil {
			acknowledged++
		}
		if acknowledged == before && fault != nil {
			fault()
			fault = nil
		}
	}
	return acknowledged
}

func TestPrimaryIsKilled(t *testing.T) {
	s := newSite(t)
	acknowledged := s.writeThrough(func() { s.members[0].signal(syscall.SIGKILL) })
	for i := range s.proxies {
		s.Expect(s.count(i)).To(BeNumerically(">=", acknowledged))
	}
}

func TestPrimaryIsStoppedAndResumed(t *testing.T) {
	s := newSite(t)
	acknowledged := s.writeThrough(func() { s.members[0].signal(syscall.SIGSTOP) })
	s.members[0].signal(syscall.SIGCONT)
	// The old primary still thinks that it is one, until it is told to follow.
	more := s.connect(1, "order")
	for i := range 10 {
		_, err := more.Exec(context.Background(), "INSERT INTO crates VALUES ($1)", 1000+i)
		s.Expect(err).NotTo(HaveOccurred())
	}
	for i := range s.proxies {
		s.Expect(s.count(i)).To(BeNumerically(">=", acknowledged+10))
	}
}

func TestProxyIsStoppedWhileThePrimaryIsReplaced(t *testing.T) {
	s := newSite(t)
	acknowledged := s.writeThrough(func() {
		s.proxies[2].signal(syscall.SIGSTOP)
		s.members[0].signal(syscall.SIGKILL)
	})
	s.proxies[2].signal(syscall.SIGCONT)
	s.Expect(s.count(2)).To(BeNumerically(">=", acknowledged), "a proxy that slept reads what was acknowledged meanwhile")
}

func TestProxyIsKilled(t *testing.T) {
	s := newSite(t)
	held := s.connect(2, "order")
	acknowledged := s.writeThrough(nil)
	_, err := held.Exec(context.Background(), "BEGIN; INSERT INTO crates VALUES (5000)")
	s.Expect(err).NotTo(HaveOccurred())
	s.proxies[2].signal(syscall.SIGKILL)
	conn := s.connect(1, "order")
	s.Eventually(func() error {
		_, err := conn.Exec(context.Background(), "INSERT INTO crates VALUES (5001)")
		return err
	}).Should(Succeed())
	s.Expect(s.count(0)).To(Equal(acknowledged+1), "nothing of the dead proxy's transaction is left")
}

func TestProxyIsTerminatedUnderLoad(t *testing.T) {
	s := newSite(t)
	conn := s.connect(0, "stock")
	slept := make(chan error, 1)
	go func() { _, err := conn.Exec(context.Background(), "SELECT pg_sleep(1)"); slept <- err }()
	time.Sleep(300 * time.Millisecond)
	s.proxies[0].signal(syscall.SIGTERM)
	s.Expect(<-slept).To(Succeed())
	state, err := s.proxies[0].Process.Wait()
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(state.ExitCode()).To(BeZero())
}

// state returns what a member says of itself.
func (s *site) state(m *process) group.State {
	conn, err := pgx.Connect(context.Background(), "postgres://caller@"+m.address+"/stock?sslmode=disable")
	s.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close(context.Background()) }()
	results, err := conn.PgConn().Exec(context.Background(), pgmem.StatusQuery).ReadAll()
	s.Expect(err).NotTo(HaveOccurred())
	state, err := pgmem.ParseState(string(results[0].Rows[0][0]))
	s.Expect(err).NotTo(HaveOccurred())
	return state
}

// dispatcher returns the proxy that gives out a member's slots.
func (s *site) dispatcher(m *process) string { return s.state(m).LeaseHolder }

func TestDispatcherIsStoppedAndResumed(t *testing.T) {
	s := newSite(t)
	primary := s.members[0]
	s.Eventually(func() string { return s.dispatcher(primary) }).ShouldNot(BeEmpty())
	first := s.dispatcher(primary)
	other := 0
	for i, p := range s.proxies {
		if p.settings.Host == first {
			p.signal(syscall.SIGSTOP)
			defer p.signal(syscall.SIGCONT)
		} else {
			other = i
		}
	}
	conn := s.connect(other, "order")
	write := func() error {
		_, err := conn.Exec(context.Background(), "SELECT 1")
		return err
	}
	s.Eventually(write).Should(Succeed())
	s.Expect(s.dispatcher(primary)).NotTo(Equal(first))
	for _, p := range s.proxies {
		p.signal(syscall.SIGCONT)
	}
	for range 20 {
		s.Expect(write()).To(Succeed(), "after the first dispatcher came back")
	}
}
