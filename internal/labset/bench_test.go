package labset_test

import (
	"context"
	"io"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labset"
)

const (
	benchCallers = 16
	benchText    = "SELECT 1"
	benchTime    = 3 * time.Second
	// idleCallers is as many as one process can hold both ends of, at two open
	// files each.
	idleCallers = 9_500
)

func benchSet(b *testing.B, members int) *labset.Set {
	b.Helper()
	set, cleanUp, err := labset.New(labset.Options{Members: members, Proxies: 1, Log: io.Discard, Settings: func(s *config.Settings) {
		s.Limits.CallerConnections = 2 * idleCallers
		s.Limits.MemberConnections = 2 * benchCallers
	}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cleanUp)
	if err := set.AwaitReady(context.Background(), readyWait); err != nil {
		b.Fatal(err)
	}
	return set
}

// drive sends a statement from so many callers at once, and returns how many
// were answered in a second and the sorted times that each took.
func drive(b *testing.B, url string, settings map[string]string, callers int) (float64, []time.Duration) {
	b.Helper()
	config, err := pgx.ParseConfig(url)
	if err != nil {
		b.Fatal(err)
	}
	for name, value := range settings {
		config.RuntimeParams[name] = value
	}
	var mu sync.Mutex
	var times []time.Duration
	var failed []error
	var running sync.WaitGroup
	ends := time.Now().Add(benchTime)
	for range callers {
		running.Go(func() {
			own, err := driveOne(config, ends)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, err)
			}
			times = append(times, own...)
		})
	}
	running.Wait()
	if len(failed) > 0 {
		b.Fatal(len(failed), "callers failed, the first with:", failed[0])
	}
	slices.Sort(times)
	return float64(len(times)) / benchTime.Seconds(), times
}

func driveOne(config *pgx.ConnConfig, ends time.Time) ([]time.Duration, error) {
	ctx := context.Background()
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	var times []time.Duration
	for time.Now().Before(ends) {
		began := time.Now()
		if _, err := conn.Exec(ctx, benchText); err != nil {
			return nil, err
		}
		times = append(times, time.Since(began))
	}
	return times, nil
}

// BenchmarkProxyOverhead compares statements through a proxy with the same ones
// sent to a member, in real time on the same cores. Through the proxy at most as
// many run at a time as the member has slots.
func BenchmarkProxyOverhead(b *testing.B) {
	token := map[string]string{"poplarrouter.kind": "stock", "poplarrouter.floor": ""}
	for name, settings := range map[string]map[string]string{"production": token, "production/barrier": stock} {
		b.Run(name, func(b *testing.B) {
			set := benchSet(b, 3)
			// With one replica left, both ways use the same member.
			set.StopMember(2)
			direct := "postgres://caller@" + set.Members()[1].Address() + "/stock?sslmode=disable"
			readOnly := map[string]string{"options": "-c default_transaction_read_only=on"}
			for b.Loop() {
				directRate, _ := drive(b, direct, readOnly, benchCallers)
				rate, _ := drive(b, set.URL(0), settings, benchCallers)
				_, directTimes := drive(b, direct, readOnly, 1)
				_, times := drive(b, set.URL(0), settings, 1)
				b.ReportMetric(100*rate/directRate, "of-direct-%")
				b.ReportMetric(rate, "statements/s")
				b.ReportMetric(added(times, directTimes, 0.5), "added-p50-us")
				b.ReportMetric(added(times, directTimes, 0.99), "added-p99-us")
			}
		})
	}
	b.Run("production/idle", benchIdle)
}

func added(through, direct []time.Duration, part float64) float64 {
	at := func(times []time.Duration) time.Duration { return times[int(part*float64(len(times)-1))] }
	return float64((at(through) - at(direct)).Nanoseconds()) / float64(time.Microsecond)
}

func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// benchIdle measures the memory of idle callers. The callers' own sides live in
// the same process; what a bare connection of theirs takes is counted in.
func benchIdle(b *testing.B) {
	set := benchSet(b, 1)
	for b.Loop() {
		before := inUse()
		conns := make(chan *pgx.Conn, idleCallers)
		var running sync.WaitGroup
		for range runtime.NumCPU() {
			running.Go(func() {
				for range idleCallers / runtime.NumCPU() {
					conn, err := pgx.Connect(context.Background(), set.URL(0))
					if err != nil {
						b.Error(err)
						return
					}
					conns <- conn
				}
			})
		}
		running.Wait()
		close(conns)
		withClients := inUse()
		b.ReportMetric((withClients-before)/float64(len(conns))/1024, "idle-caller-and-client-KB")
		var kept []io.Closer
		for conn := range conns {
			h, err := conn.PgConn().Hijack()
			if err != nil {
				b.Fatal(err)
			}
			kept = append(kept, h.Conn)
		}
		b.ReportMetric((inUse()-before)/float64(len(kept))/1024, "idle-caller-KB")
		for _, c := range kept {
			_ = c.Close()
		}
	}
}
