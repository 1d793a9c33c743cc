package labset_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	osexec "os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labset"
)

// surroundings, in the environment, makes the test binary run a set in place of
// the tests: what surrounds the one proxy that a benchmark measures.
const surroundings = "POPLAR_SURROUNDINGS"

func TestMain(m *testing.M) {
	if os.Getenv(surroundings) == "" {
		os.Exit(m.Run())
	}
	if err := surround(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

// surround runs three members, a store and eight proxies until its input ends.
func surround() error {
	set, cleanUp, err := labset.New(labset.Options{Members: 3, Proxies: 8, Log: io.Discard})
	if err != nil {
		return err
	}
	defer cleanUp()
	if err := set.AwaitReady(context.Background(), readyWait); err != nil {
		return err
	}
	fmt.Println(set.StoreAddress(), set.Proxies()[0].Settings.PeerAddress)
	_, err = io.ReadAll(os.Stdin)
	return err
}

const (
	costTime = 10 * time.Second
	// settleTime is how long a proxy takes to count its databases as idle.
	settleTime = 12 * time.Second
)

// BenchmarkControlCost measures what control costs one proxy, in real time: the
// proxy has this process to itself, and all else runs in another.
func BenchmarkControlCost(b *testing.B) {
	for _, databases := range []int{1, 12, 48} {
		b.Run(fmt.Sprintf("production/databases=%d", databases), func(b *testing.B) {
			for b.Loop() {
				measureCost(b, databases)
			}
		})
	}
}

func measureCost(b *testing.B, databases int) {
	b.Helper()
	child := osexec.Command(os.Args[0]) //nolint:gosec // the test binary itself
	child.Env = append(os.Environ(), surroundings+"=1")
	input, err := child.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := child.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := child.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		_ = input.Close()
		_ = child.Wait()
	}()
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	addresses := strings.Fields(line)
	observeProxy(b, addresses[0], addresses[1], databases)
}

func observeProxy(b *testing.B, storeAddress, seed string, databases int) {
	b.Helper()
	settings := labset.SettingsOf("observed", storeAddress)
	settings.Seeds = []string{seed}
	if err := prepare(&settings, databases); err != nil {
		b.Fatal(err)
	}
	proxy, cleanUp, err := app.New(settings, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	defer cleanUp()
	time.Sleep(settleTime)
	bytesBefore, cpuBefore := scrape(b, proxy.OperatorAddress()), cpuTime()
	began := time.Now()
	time.Sleep(costTime)
	seconds := time.Since(began).Seconds()
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/seconds, "cpu-%")
	b.ReportMetric((scrape(b, proxy.OperatorAddress())-bytesBefore)/seconds, "bytes/s")
	b.ReportMetric(inUse()/(1<<20), "heap-MB")
}

// prepare lists the databases, and the observed proxy among the hosts.
func prepare(settings *config.Settings, databases int) error {
	if err := labset.Multiply(context.Background(), settings.StoreAddress, databases); err != nil {
		return err
	}
	address, err := labset.FreeAddress()
	if err != nil {
		return err
	}
	settings.PeerAddress = address
	return labset.List(context.Background(), settings.StoreAddress, book.Host{
		Name: settings.Host, DataCentre: settings.DataCentre, Region: settings.Region, PeerAddress: address,
	})
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var bytesLine = regexp.MustCompile(`(?m)^poplarrouter_bytes_total\{[^}]*kind="(?:control|peer)"[^}]*\} (\S+)$`)

// scrape sums up the bytes of control that a proxy counted.
func scrape(b *testing.B, address string) float64 {
	b.Helper()
	response, err := http.Get("http://" + address + app.PathMetrics)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		b.Fatal(err)
	}
	sum := 0.0
	for _, match := range bytesLine.FindAllStringSubmatch(string(body), -1) {
		n, err := strconv.ParseFloat(match[1], 64)
		if err != nil {
			b.Fatal(err)
		}
		sum += n
	}
	return sum
}
