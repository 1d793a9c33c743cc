package labpf_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/labpf"
)

// private is a service that requires a key.
const private = "private"

var privateRoute = labpf.Route{Name: private, Kind: "read_your_writes", Staleness: 2500 * time.Millisecond, Private: true}

func tenant(name string, keys ...string) labpf.Tenant { return labpf.Tenant{Name: name, Keys: keys} }

// putTenants writes a configuration with a private service and waits until every proxy has it
// in force.
func (s *site) putTenants(version int, tenants ...labpf.Tenant) {
	marker := fmt.Sprint("version", version)
	s.platform.PutTenants(version, tenants, privateRoute, labpf.Route{Name: marker, Kind: "primary"})
	for i := range s.proxies {
		s.Eventually(func() error {
			c, err := dial(s.proxies[i].Address(), marker)
			if err == nil {
				_ = c.conn.Close()
			}
			return err
		}, patience, 10*time.Millisecond).Should(Succeed())
	}
}

// connectedFor returns the names with which the connections were opened over which members
// received the statements with a marker.
func (s *site) connectedFor(marker string) map[string]int {
	names := make(map[string]int)
	for _, st := range s.platform.Statements() {
		if strings.Contains(st.Text, marker) {
			names[st.Connected]++
		}
	}
	return names
}

// refuses runs a statement that must be answered with AUTHFAIL, and returns the state after it.
func (s *site) refuses(c *caller, text string) (state string) {
	_, code, state, err := c.ask(text)
	s.Expect(err).NotTo(HaveOccurred(), text)
	s.Expect(code).To(Equal("AUTHFAIL"), text)
	return state
}

// TestUnknownKeyIsRefused guards against serving callers without a known key on a service that
// requires one, and against refusing them on a public one.
func TestUnknownKeyIsRefused(t *testing.T) {
	s := newSite(t, 2)
	s.putTenants(2, tenant("acme", "key-of-acme"), tenant("zenith", "key-of-zenith"))
	for _, key := range []string{"key-of-acme-2", "acme", "", "KEY-OF-ACME"} {
		_, err := dialWith(s.proxies[0].Address(), private, key)
		s.Expect(err).To(MatchError(ContainSubstring("ERROR AUTHFAIL")), "key %q", key)
	}
	open := s.enterWith(0, labpf.Session, "no-such-key")
	s.comes(open, "WRITE k marker-open")
	known := s.enterWith(1, private, "key-of-acme")
	s.comes(known, "WRITE k marker-known")
	shared := s.enterWith(1, labpf.Session, "key-of-zenith")
	s.comes(shared, "WRITE k marker-shared")
	s.Expect(s.connectedFor("marker-open")).To(HaveKey(HavePrefix("front-")))
	s.Expect(s.connectedFor("marker-known")).To(HaveLen(1))
	s.Expect(s.connectedFor("marker-known")).To(HaveKey("acme"))
	s.Expect(s.connectedFor("marker-shared")).To(HaveKey("zenith"), "a public service also tells customers apart")
}

// TestRemovedKeyIsRefusedInOpenSessions guards against serving a key that was removed, or moved
// to another customer, over a session or a transaction that was opened before.
func TestRemovedKeyIsRefusedInOpenSessions(t *testing.T) {
	s := newSite(t, 1)
	s.putTenants(2, tenant("acme", "first", "second"), tenant("zenith", "third"))
	idle, open, committing, other := s.enterWith(0, private, "first"), s.enterWith(0, private, "first"), s.enterWith(0, private, "first"), s.enterWith(0, private, "second")
	s.comes(idle, "WRITE k before")
	for _, c := range []*caller{open, committing} {
		s.does(c, "BEGIN")
		s.does(c, "WRITE k inside")
	}
	s.putTenants(3, tenant("acme", "second"), tenant("zenith", "third"))
	s.Expect(s.refuses(idle, "WRITE k after")).To(Equal("I"))
	s.Expect(s.refuses(idle, "BEGIN")).To(Equal("I"))
	s.Expect(s.refuses(open, "WRITE k after")).To(Equal("E"))
	s.does(open, "ROLLBACK")
	s.Expect(s.refuses(committing, "COMMIT")).To(Equal("I"))
	s.does(other, "WRITE k other")
	s.Expect(s.platform.Count("inside") + s.platform.Count("after")).To(BeZero())
	s.putTenants(4, tenant("acme", "second", "first"), tenant("zenith", "third"))
	s.does(idle, "WRITE k restored")
	s.does(open, "WRITE k restored")
	s.does(open, "BEGIN")
	s.does(open, "WRITE k inside")
	s.putTenants(5, tenant("acme", "second"), tenant("zenith", "third", "first"))
	s.Expect(s.refuses(open, "READ k")).To(Equal("E"))
	s.does(open, "ROLLBACK")
	s.does(open, "WRITE k moved")
	s.Expect(s.connectedFor("moved")).To(Equal(map[string]int{"zenith": 1}))
	s.Expect(s.platform.Count("inside")).To(BeZero())
}

// TestPublicSessionsFollowTheirKey guards against refusing callers of a public service when keys
// change, and against running their statements in the name of a customer who does not hold the key.
func TestPublicSessionsFollowTheirKey(t *testing.T) {
	s := newSite(t, 1)
	c, inside := s.enterWith(0, labpf.Session, "first"), s.enterWith(0, labpf.Session, "first")
	ranAs := func(c *caller, marker, name string) {
		s.does(c, "WRITE k "+marker)
		s.Expect(s.connectedFor(marker)).To(Equal(map[string]int{name: 1}), marker)
	}
	s.comes(c, "WRITE k ready")
	ranAs(c, "plain", "front-1")
	s.does(inside, "BEGIN")
	s.does(inside, "WRITE k inside-1")
	s.putTenants(2, tenant("acme", "first"))
	ranAs(c, "named", "acme")
	ranAs(inside, "inside-2", "front-1")
	s.does(inside, "COMMIT")
	ranAs(inside, "outside", "acme")
	s.putTenants(3, tenant("zenith", "first"))
	ranAs(c, "shifted", "zenith")
	s.does(inside, "BEGIN")
	ranAs(inside, "again", "zenith")
	s.putTenants(4)
	ranAs(c, "dropped", "front-1")
	s.Expect(s.refuses(inside, "COMMIT")).To(Equal("I"))
	ranAs(inside, "after", "front-1")
	s.Expect(s.platform.Count("again")).To(BeZero())
}

// TestRemovedKeyIsRefusedInRelayedTransactions guards against a transaction that continues at its
// owner, or is committed there, after the caller's key was removed.
func TestRemovedKeyIsRefusedInRelayedTransactions(t *testing.T) {
	s, _, others := newFleet(t)
	s.putTenants(2, tenant("acme", "first", "second"))
	writing, committing, other := s.enterWith(others[0], private, "first"), s.enterWith(others[1], private, "first"), s.enterWith(others[0], private, "second")
	s.comes(other, "WRITE k before")
	for _, c := range []*caller{writing, committing} {
		s.does(c, "BEGIN")
		s.does(c, "WRITE k inside")
	}
	s.putTenants(3, tenant("acme", "second"))
	s.Expect(s.refuses(writing, "WRITE k after")).To(Equal("E"))
	s.does(writing, "ROLLBACK")
	s.Expect(s.refuses(committing, "COMMIT")).To(Equal("I"))
	s.does(other, "WRITE k other")
	s.Expect(s.does(other, "READ k")).To(Equal("other"))
	s.Expect(s.platform.Count("inside") + s.platform.Count("after")).To(BeZero())
	s.Expect(s.connectedFor("after")).To(BeEmpty())
}

// TestStatementsRunInTheNameOfTheirCustomer guards against a statement that reaches a member on a
// connection of another customer: many customers share few connections, and some of their
// requests are relayed.
func TestStatementsRunInTheNameOfTheirCustomer(t *testing.T) {
	s, homes, others := newFleet(t)
	const customers, seed = 12, 1
	list := make([]labpf.Tenant, customers)
	for i := range list {
		list[i] = tenant(fmt.Sprint("tenant-", i), fmt.Sprint("key-", i, "-a"), fmt.Sprint("key-", i, "-b"))
	}
	s.putTenants(2, list...)
	entries := []int{homes[0], homes[1], others[0], others[1]}
	var running sync.WaitGroup
	for i := range 3 * customers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		service, key := private, fmt.Sprint("key-", i%customers, "-", string("ab"[random.IntN(2)]))
		if random.IntN(4) == 0 {
			service = labpf.Session
		}
		c := s.enterWith(entries[i%len(entries)], service, key)
		running.Go(func() { c.work(t, random, fmt.Sprintf("of-%s-", list[i%customers].Name)) })
	}
	for i := range entries {
		c, random := s.enterWith(entries[i], labpf.Session, "unknown"), rand.New(rand.NewPCG(seed, uint64(1000+i)))
		running.Go(func() { c.work(t, random, "of-nobody-") })
	}
	running.Wait()
	for _, customer := range list {
		names := s.connectedFor("of-" + customer.Name + "-")
		s.Expect(names).To(HaveLen(1), "the statements of %s ran on connections of %v", customer.Name, names)
		s.Expect(names[customer.Name]).To(BeNumerically(">", 0))
	}
	for name := range s.connectedFor("of-nobody-") {
		s.Expect(name).To(HavePrefix("front-"))
	}
	s.Expect(s.log.with(relayed)).NotTo(BeEmpty())
}

// work runs statements and transactions whose items have a prefix. Each must be answered; a
// refusal is tried again.
func (c *caller) work(t *testing.T, random *rand.Rand, prefix string) {
	run := func(text string) (code string) {
		_, code, _, err := c.ask(text)
		if err != nil || code == "AUTHFAIL" {
			t.Errorf("%s: got code %q, error %v", text, code, err)
		}
		return code
	}
	for n := range 15 {
		item := fmt.Sprint(prefix, n)
		switch random.IntN(3) {
		case 0:
			run("READ " + item)
		case 1:
			run("WRITE " + item + " v")
		default:
			run("BEGIN")
			if run("WRITE "+item+" v") == "" && run("READ "+item) == "" {
				run("COMMIT")
				continue
			}
			run("ROLLBACK")
		}
	}
}

// TestKeysAppearInNoOutput guards against a key in a log line, an error, the status, a metric or a
// document. Callers present keys before, while and after they are known.
func TestKeysAppearInNoOutput(t *testing.T) {
	s := newSite(t, 2)
	const secret = "k3y-7f"
	early, err := dialWith(s.proxies[0].Address(), private, secret+"-early")
	s.Expect(err).To(HaveOccurred())
	s.Expect(early).To(BeNil())
	s.putTenants(2, tenant("acme", secret+"-1", secret+"-2"), tenant("zenith", secret+"-2"), labpf.Tenant{Name: "bad name", Keys: []string{secret + "-3"}}, labpf.Tenant{Name: "minus", Keys: []string{secret + "-4"}, Rate: -1})
	var errors []string
	for _, service := range []string{private, labpf.Session, "no-such-service"} {
		for _, key := range []string{"-1", "-2", "-3", "-unknown"} {
			c, err := dialWith(s.proxies[0].Address(), service, secret+key)
			if err != nil {
				errors = append(errors, err.Error())
				continue
			}
			s.comes(c, "WRITE k 1")
			s.does(c, "BEGIN")
			s.does(c, "WRITE k 2")
			t.Cleanup(func() { _ = c.conn.Close() })
		}
	}
	_, err = dialWith(s.proxies[0].Address(), secret+"-1", private)
	s.Expect(err).To(MatchError(ContainSubstring("NODB")), "the fields are exchanged")
	errors = append(errors, err.Error())
	open := s.enterWith(1, private, secret+"-1")
	s.putTenants(3, tenant("acme", secret+"-2"))
	s.refuses(open, "READ k")
	_ = open.conn.Close()
	time.Sleep(100 * time.Millisecond)
	for i := range s.proxies {
		for _, path := range []string{app.PathStatus, app.PathMetrics} {
			s.Expect(s.operator(i, path)).NotTo(ContainSubstring(secret), path)
		}
	}
	s.Expect(s.log.with("acme")).NotTo(BeEmpty(), "the log names the customer")
	s.Expect(s.log.with(secret)).To(BeEmpty())
	s.Expect(errors).NotTo(BeEmpty())
	s.Expect(strings.Join(errors, " ")).NotTo(ContainSubstring(secret))
	for _, name := range s.platform.Names("proxies") {
		s.Expect(name).NotTo(ContainSubstring(secret))
	}
	for name := range s.platform.Opened() {
		s.Expect(name).NotTo(ContainSubstring(secret))
	}
}

// operator returns the answer of a proxy to an operator's request.
func (s *site) operator(proxy int, path string) string {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+s.proxies[proxy].OperatorAddress()+path, http.NoBody)
	s.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+s.settingsOf(proxy).OperatorSecret)
	response, err := http.DefaultClient.Do(request)
	s.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	s.Expect(response.StatusCode).To(Equal(http.StatusOK))
	text, err := io.ReadAll(response.Body)
	s.Expect(err).NotTo(HaveOccurred())
	return string(text)
}
