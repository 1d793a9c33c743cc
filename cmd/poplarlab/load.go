package main

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"poplarrouter.example/poplarrouter/internal/cli"
)

type loadFlags struct {
	url      string
	callers  int
	duration time.Duration
	query    string
}

func loadCommand() *cli.Command {
	var f loadFlags
	const callers = 4
	return &cli.Command{
		CommandName: "load",
		Summary:     "send statements from many callers and report times and errors",
		Text:        "poplarlab load -url URL [-callers N] [-for DURATION] [-query SQL]",
		Flags: func(set *flag.FlagSet) {
			set.StringVar(&f.url, "url", "", "the PostgreSQL URL to connect to")
			set.IntVar(&f.callers, "callers", callers, "callers at a time, one connection each")
			set.DurationVar(&f.duration, "for", 5*time.Second, "how long to send")
			set.StringVar(&f.query, "query", "SELECT 1", "the statement to send")
		},
		Run: func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

// results collects the latencies and errors of all callers.
type results struct {
	mu          sync.Mutex
	latencies   *hdrhistogram.Histogram
	errorCounts map[string]int
}

const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

func (f loadFlags) run(ctx context.Context) error {
	r := &results{latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits), errorCounts: make(map[string]int)}
	ctx, cancel := context.WithTimeout(ctx, f.duration)
	defer cancel()
	var callers sync.WaitGroup
	for range f.callers {
		callers.Go(func() { f.send(ctx, r) })
	}
	callers.Wait()
	r.print(f.duration)
	return nil
}

// send runs the statement repeatedly until ctx ends, and reconnects when the connection
// is closed.
func (f loadFlags) send(ctx context.Context, r *results) {
	for ctx.Err() == nil {
		conn, err := pgx.Connect(ctx, f.url)
		if err != nil {
			r.fail(ctx, err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil && !conn.IsClosed() {
			start := time.Now()
			if _, err := conn.Exec(ctx, f.query); err != nil {
				r.fail(ctx, err)
				continue
			}
			r.done(time.Since(start))
		}
		_ = conn.Close(context.WithoutCancel(ctx))
	}
}

func (r *results) done(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latencies.RecordValue(d.Microseconds())
}

func (r *results) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var serverError *pgconn.PgError
	if errors.As(err, &serverError) {
		r.errorCounts[serverError.Code]++
		return
	}
	r.errorCounts["connection"]++
}

func (r *results) print(d time.Duration) {
	const median, tail = 50, 99
	fmt.Printf("%d done, %.0f a second, p50 %d us, p99 %d us\n", r.latencies.TotalCount(),
		float64(r.latencies.TotalCount())/d.Seconds(), r.latencies.ValueAtPercentile(median), r.latencies.ValueAtPercentile(tail))
	for code, count := range r.errorCounts {
		fmt.Printf("%d failed with %s\n", count, code)
	}
}
