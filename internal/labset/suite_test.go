package labset_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labset"
)

func TestWholePath(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "whole path")
}

const readyWait = 30 * time.Second

// logBuffer keeps the proxies' logs.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startSet starts a set that ends with the spec, and expects that no promise was
// broken in it.
func startSet(ctx context.Context, o labset.Options) *labset.Set {
	log := &logBuffer{}
	o.Log = log
	set, cleanUp, err := labset.New(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		cleanUp()
		Expect(log.String()).NotTo(ContainSubstring(`"Event":901`))
	})
	Expect(set.AwaitReady(ctx, readyWait)).To(Succeed())
	return set
}

// connect opens a caller's connection with the given start-up settings.
func connect(ctx context.Context, set *labset.Set, proxy int, settings map[string]string) *pgx.Conn {
	config, err := pgx.ParseConfig(set.URL(proxy))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range settings {
		config.RuntimeParams[name] = value
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(ctx context.Context, conn *pgx.Conn, text string, args ...any) {
	GinkgoHelper()
	_, err := conn.Exec(ctx, text, args...)
	Expect(err).NotTo(HaveOccurred())
}

func count(ctx context.Context, conn *pgx.Conn) int {
	GinkgoHelper()
	var n int
	Expect(conn.QueryRow(ctx, "SELECT count(*) FROM crates").Scan(&n)).To(Succeed())
	return n
}

// haveState matches an error that a caller was told with the given SQLSTATE.
func haveState(state string) OmegaMatcher {
	return WithTransform(func(err error) string {
		var told *pgconn.PgError
		if pgxErrorAs(err, &told) {
			return told.Code
		}
		return "none: " + err.Error()
	}, Equal(state))
}

var (
	order = map[string]string{"poplarrouter.kind": "order"}
	stock = map[string]string{"poplarrouter.kind": "stock"}
)
