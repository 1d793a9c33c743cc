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

// tally sums up what the callers saw.
type tally struct {
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	states map[string]int
}

const (
	longestMicros = 60_000_000
	digits        = 3
)

func (f loadFlags) run(ctx context.Context) error {
	t := &tally{times: hdrhistogram.New(1, longestMicros, digits), states: make(map[string]int)}
	ctx, cancel := context.WithTimeout(ctx, f.duration)
	defer cancel()
	var callers sync.WaitGroup
	for range f.callers {
		callers.Go(func() { f.send(ctx, t) })
	}
	callers.Wait()
	t.print(f.duration)
	return nil
}

func (f loadFlags) send(ctx context.Context, t *tally) {
	for ctx.Err() == nil {
		conn, err := pgx.Connect(ctx, f.url)
		if err != nil {
			t.fail(ctx, err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil && !conn.IsClosed() {
			began := time.Now()
			if _, err := conn.Exec(ctx, f.query); err != nil {
				t.fail(ctx, err)
				continue
			}
			t.done(time.Since(began))
		}
		_ = conn.Close(context.WithoutCancel(ctx))
	}
}

func (t *tally) done(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.times.RecordValue(d.Microseconds())
}

func (t *tally) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		t.states[refusal.Code]++
		return
	}
	t.states["connection"]++
}

func (t *tally) print(d time.Duration) {
	const median, tail = 50, 99
	fmt.Printf("%d done, %.0f a second, p50 %d us, p99 %d us\n", t.times.TotalCount(),
		float64(t.times.TotalCount())/d.Seconds(), t.times.ValueAtPercentile(median), t.times.ValueAtPercentile(tail))
	for state, count := range t.states {
		fmt.Printf("%d failed with %s\n", count, state)
	}
}
