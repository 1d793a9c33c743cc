package labpf_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/labpf"
)

// explains asks a proxy where a request would go, with the given operator secret.
func (s *site) explains(proxy int, secret, query string) (e chain.Explanation, status int) {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+s.proxies[proxy].OperatorAddress()+app.PathExplain+"?"+query, http.NoBody)
	s.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	s.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		s.Expect(json.NewDecoder(response.Body).Decode(&e)).To(Succeed())
	}
	return e, response.StatusCode
}

// TestExplainTellsWhereARequestWouldGo guards against an explanation that sends requests, that is
// open to anyone, or that leaves out what the routing considers.
func TestExplainTellsWhereARequestWouldGo(t *testing.T) {
	s, homes, others := newFleet(t)
	secret := s.settingsOf(0).OperatorSecret
	query := "Access=read&Customer=anna&Service=" + labpf.Session
	_, status := s.explains(others[0], "wrong", query)
	s.Expect(status).To(Equal(http.StatusUnauthorized))
	before := len(s.log.with(relayed))
	var e chain.Explanation
	s.Eventually(func() int {
		e, status = s.explains(others[0], secret, query)
		return len(e.Owners)
	}, patience, 50*time.Millisecond).Should(BeNumerically(">=", len(homes)), "the list of hosts is complete")
	s.Expect(status).To(Equal(http.StatusOK))
	s.Expect(e.Refusal).To(BeEmpty())
	s.Expect(e.Owners[0].Chosen).To(BeTrue())
	s.Expect(slices.ContainsFunc(e.Owners[1:], func(o chain.OwnerChoice) bool { return o.Chosen || o.Why == "" })).To(BeFalse())
	again, _ := s.explains(others[0], secret, query)
	s.Expect(again.Owners[0].Host).To(Equal(e.Owners[0].Host), "a customer keeps its owner")
	s.Expect(s.log.with(relayed)).To(HaveLen(before), "nothing was relayed")

	s.Eventually(func() bool {
		write, _ := s.explains(homes[0], secret, "Access=write&Service="+labpf.Session)
		return write.Refusal == "" && len(write.Owners) == 0 && len(write.Members) > 1 && write.Members[0].Chosen &&
			write.Members[0].Role == "primary" && write.Members[1].Why == "not the primary"
	}, patience, 50*time.Millisecond).Should(BeTrue())
	refused, _ := s.explains(homes[0], secret, "Access=read&Service=none")
	s.Expect(refused.Refusal).NotTo(BeEmpty())
}
