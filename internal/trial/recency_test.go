package trial_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// putCustomer adds a customer with a key to the sheet in the store.
func (s *site) putCustomer() {
	client, cleanUp := store.New(s.store, time.Second)
	defer cleanUp()
	o, err := client.Get(context.Background(), string(book.Sheet))
	s.Expect(err).NotTo(HaveOccurred())
	var doc book.SheetDoc
	s.Expect(json.Unmarshal(o.Value, &doc)).To(Succeed())
	doc.Serial++
	doc.Customers = []sheet.Customer{{Name: "kranz", KeyDigests: []string{sheet.KeyDigest("one")}}}
	raw, err := json.Marshal(doc)
	s.Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(context.Background(), string(book.Sheet), raw, o.Version)
	s.Expect(err).NotTo(HaveOccurred())
}

// TestFrozenProxyDoesNotTrustItsProof guards against a process that was frozen, and accepts
// keys by a proof from before: the log must say that the proof was too old, and then renewed.
func TestFrozenProxyDoesNotTrustItsProof(t *testing.T) {
	const revoke = 3000
	s := &site{WithT: NewWithT(t), t: t, dir: t.TempDir()}
	s.SetDefaultEventuallyTimeout(patience)
	out, err := exec.Command("go", "build", "-o", s.dir+string(filepath.Separator), "poplarrouter.example/poplarrouter/cmd/...").CombinedOutput()
	s.Expect(err).NotTo(HaveOccurred(), string(out))
	s.startMembers()
	s.startStore()
	for _, p := range s.proxies {
		p.settings.Customers.StrictRevocation, p.settings.Customers.RevokeMs = true, revoke
	}
	s.putCustomer()
	s.startProxies()
	p := s.proxies[0]
	log := func() string {
		raw, err := os.ReadFile(s.log(p.settings.Host))
		s.Expect(err).NotTo(HaveOccurred())
		return string(raw)
	}
	time.Sleep(revoke * time.Millisecond)
	s.Expect(log()).NotTo(ContainSubstring("key-proof-expired"))
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * revoke * time.Millisecond)
	p.signal(syscall.SIGCONT)
	s.Eventually(log).Should(And(ContainSubstring("key-proof-expired"), ContainSubstring("key-proof-renewed")))
	response, err := http.Get("http://" + p.settings.OperatorAddress + app.PathReady)
	s.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	s.Expect(response.StatusCode).To(Equal(http.StatusOK))
}
