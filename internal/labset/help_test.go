package labset_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/labset"
)

func operate(ctx context.Context, set *labset.Set, method, path string) (*http.Response, error) {
	p := set.Proxies()[0]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.Settings.OperatorAddress+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+p.Settings.OperatorSecret)
	return http.DefaultClient.Do(request)
}

func switchOver(ctx context.Context, set *labset.Set, _ int, target string) error {
	response, err := operate(ctx, set, http.MethodPost, app.PathSwitchover+"?Database="+labset.Database+"&Member="+target)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusAccepted))
	return nil
}

// status returns what the first proxy believes.
func status(ctx context.Context, set *labset.Set) app.Status {
	response, err := operate(ctx, set, http.MethodGet, app.PathStatus)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var s app.Status
	Expect(json.NewDecoder(response.Body).Decode(&s)).To(Succeed())
	return s
}

// lentTo returns how many connections the first proxy has lent.
func lentTo(ctx context.Context, set *labset.Set) int {
	lent := 0
	for _, p := range status(ctx, set).Pools {
		lent += p.Lent
	}
	return lent
}

// freeSlots returns how many slots the first proxy has to give out.
func freeSlots(ctx context.Context, set *labset.Set) int {
	free := 0
	for _, q := range status(ctx, set).Queues {
		free += q.Free
	}
	return free
}

// sheetSerial returns the serial of the sheet in force on the first proxy.
func sheetSerial(ctx context.Context, set *labset.Set) uint64 { return status(ctx, set).Sheet.Serial }

// loadSheet loads the set's sheet with one text replaced.
func loadSheet(ctx context.Context, set *labset.Set, was, is string) error {
	csv, err := labset.Sheet()
	if err != nil {
		return err
	}
	_, err = book.Load(ctx, set.Store(), "tester", strings.Replace(csv, was, is, 1), time.Now())
	return err
}

// TestNoAddressIsGivenTwice asks for addresses that are not used yet.
func TestNoAddressIsGivenTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 50 {
		address, err := labset.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("got %s twice", address)
		}
		seen[address] = true
	}
}
