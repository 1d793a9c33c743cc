package labpf_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
