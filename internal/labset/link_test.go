package labset_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/labset"
)

// linkMix is a way to send the callers' work: the kinds of their statements.
type linkMix struct {
	name string
	// read is the kind of the reads: one that replicas serve, or the baseline's
	// kind, which goes to the primary.
	read string
}

// BenchmarkLinkBytes measures the bytes between regions for each statement: one
// write for nine reads, from two callers at each of three proxies, one of them
// in a region apart from the primary's.
func BenchmarkLinkBytes(b *testing.B) {
	var baseline float64
	for _, mix := range []linkMix{{"every-statement-to-primary", "order"}, {"production/barrier", "stock"}, {"production/accepted-age", "count"}} {
		b.Run(mix.name, func(b *testing.B) {
			for b.Loop() {
				perStatement, control := measureLink(b, mix)
				if mix.read == "order" {
					baseline = perStatement
				}
				b.ReportMetric(perStatement, "bytes/statement")
				b.ReportMetric(control, "control-bytes/s")
				b.ReportMetric(100*perStatement/baseline, "of-baseline-%")
			}
		})
	}
}

func measureLink(b *testing.B, mix linkMix) (perStatement, control float64) {
	b.Helper()
	set, cleanUp, err := labset.New(labset.Options{Members: 3, Proxies: 3, Apart: true, Log: io.Discard})
	if err != nil {
		b.Fatal(err)
	}
	defer cleanUp()
	ctx := context.Background()
	if err := set.AwaitReady(ctx, readyWait); err != nil {
		b.Fatal(err)
	}
	sendMix(b, set, mix, 20, "CREATE TABLE IF NOT EXISTS crates (id INTEGER PRIMARY KEY, dough INTEGER)")
	// The quiet control traffic, then the work with its control.
	quietBefore := linkBytes(b, set)
	time.Sleep(costTime)
	control = (linkBytes(b, set) - quietBefore) / costTime.Seconds()
	before, began := linkBytes(b, set), time.Now()
	statements := sendMix(b, set, mix, 300, "")
	quiet := control * time.Since(began).Seconds()
	return (linkBytes(b, set) - before - quiet) / float64(statements), control
}

// sendMix sends so many statements from each of two callers at each proxy.
func sendMix(b *testing.B, set *labset.Set, mix linkMix, each int, first string) int64 {
	b.Helper()
	var sent atomic.Int64
	var running sync.WaitGroup
	for i := range 2 * len(set.Proxies()) {
		running.Go(func() {
			if err := sendOne(set, i%len(set.Proxies()), mix, each, first, &sent); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
	return sent.Load()
}

func sendOne(set *labset.Set, proxy int, mix linkMix, each int, first string, sent *atomic.Int64) error {
	ctx := context.Background()
	writer, err := pgx.Connect(ctx, set.URL(proxy))
	if err != nil {
		return err
	}
	defer func() { _ = writer.Close(ctx) }()
	reader, err := pgx.Connect(ctx, set.URL(proxy)+"&poplarrouter.kind="+mix.read)
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close(ctx) }()
	if first != "" {
		if _, err := writer.Exec(ctx, first); err != nil {
			return err
		}
	}
	for i := range each {
		sent.Add(1)
		if i%10 == 0 {
			_, err = writer.Exec(ctx, "INSERT INTO crates (dough) VALUES (20)")
		} else {
			_, err = reader.Exec(ctx, "SELECT * FROM crates WHERE id <= 5")
		}
		if err != nil {
			return fmt.Errorf("statement %d: %w", i, err)
		}
	}
	return nil
}

var regionLine = regexp.MustCompile(`(?m)^poplarrouter_bytes_total\{.*region="([^"]*)".*\} (\S+)$`)

// linkBytes sums up what the proxies counted to and from other regions. Peers
// count each byte at both ends, of which one is left out.
func linkBytes(b *testing.B, set *labset.Set) float64 {
	b.Helper()
	sum := 0.0
	for _, p := range set.Proxies() {
		response, err := http.Get("http://" + p.Settings.OperatorAddress + app.PathMetrics)
		if err != nil {
			b.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			b.Fatal(err)
		}
		for _, match := range regionLine.FindAllStringSubmatch(string(body), -1) {
			n, err := strconv.ParseFloat(match[2], 64)
			if err != nil {
				b.Fatal(err)
			}
			if match[1] == p.Settings.Region {
				continue
			}
			if peerLine.MatchString(match[0]) {
				n /= 2
			}
			sum += n
		}
	}
	return sum
}

var peerLine = regexp.MustCompile(`kind="peer"`)
