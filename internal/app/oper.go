package app

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// The paths of the operators' listener.
const (
	PathMetrics    = "/metrics"
	PathHealth     = "/health"
	PathReady      = "/ready"
	PathStatus     = "/status"
	PathDrain      = "/drain"
	PathSwitchover = "/switchover"
)

// operator serves health, metrics, the status and operators' orders over HTTP.
// Orders and the status need the operators' secret.
type operator struct {
	settings config.Settings
	books    *ctrl.Documents
	bases    *ctrl.Controllers
	front    *front.Front
	ports    *ports
	mesh     *peer.Mesh
	drained  *leaving
	address  string
}

func newOperator(lc fx.Lifecycle, s config.Settings, books *ctrl.Documents, bases *ctrl.Controllers, f *front.Front, p *ports, mesh *peer.Mesh, registry *prometheus.Registry, l *leaving) (*operator, error) {
	o := &operator{settings: s, books: books, bases: bases, front: f, ports: p, mesh: mesh, drained: l}
	listener, err := net.Listen("tcp", s.OperatorAddress)
	if err != nil {
		return nil, err
	}
	o.address = listener.Addr().String()
	const headerTimeout = 5 * time.Second
	server := &http.Server{Handler: o.routes(registry), ReadHeaderTimeout: headerTimeout}
	done := duty.Start(context.Background(), func(context.Context) error { return server.Serve(listener) })
	onStop(lc, func() {
		_ = server.Close()
		<-done
	})
	return o, nil
}

func (o *operator) routes(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+PathReady, o.ready)
	mux.HandleFunc("GET "+PathStatus, o.guarded(o.status))
	mux.HandleFunc("POST "+PathDrain, o.guarded(o.drain))
	mux.HandleFunc("POST "+PathSwitchover, o.guarded(o.switchover))
	return mux
}

// guarded lets a request through only with the operators' secret.
func (o *operator) guarded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(o.settings.OperatorSecret)) != 1 {
			http.Error(w, "got no valid operator secret", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// ready tells the balancer whether to send callers here.
func (o *operator) ready(w http.ResponseWriter, _ *http.Request) {
	held := o.books.Book()
	if o.front.Leaving() || held.Serial(book.Sheet) == 0 || held.Serial(book.Databases) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status is what a proxy believes.
type Status struct {
	config.Place
	Draining bool
	Callers  int
	// Room is how many more callers of each rank could connect.
	Room      []RankCapacity
	Sheet     SheetStatus
	Serials   map[book.Kind]uint64
	Peers     []string
	Databases []DatabaseStatus
	Pools     []ctrl.PoolCount
	Queues    []QueueStatus
}

// RankCapacity is how many more callers of one rank could connect.
type RankCapacity struct {
	Rank sheet.Rank
	Room int
}

// SheetStatus tells which sheet is in force.
type SheetStatus struct {
	Serial   uint64
	LoadedBy string
	LoadedAt time.Time
}

// DatabaseStatus is what a proxy believes of one database.
type DatabaseStatus struct {
	Name    string
	Term    group.Term
	Primary string
	Members []MemberStatus
}

// MemberStatus is what a proxy believes of one member.
type MemberStatus struct {
	Name     string
	Region   string
	Role     string
	Term     group.Term
	Fence    group.Term
	Received group.Position
	Applied  group.Position
	Silent   bool
	AgeMs    int64
}

// QueueStatus is the use of one member's slots.
type QueueStatus struct {
	Member  string
	Free    int
	Lent    int
	Waiting int
}

func (o *operator) status(w http.ResponseWriter, _ *http.Request) {
	held := o.books.Book()
	loaded := held.Loaded()
	s := Status{
		Place:    o.settings.Place,
		Draining: o.front.Leaving(),
		Callers:  o.front.Callers(),
		Sheet:    SheetStatus{Serial: loaded.Serial, LoadedBy: loaded.LoadedBy, LoadedAt: loaded.LoadedAt},
		Serials:  held.Serials(),
		Peers:    o.mesh.Neighbours(),
		Pools:    o.bases.Pools(),
	}
	for r := sheet.Rank(1); r <= sheet.MaxRank; r++ {
		s.Room = append(s.Room, RankCapacity{Rank: r, Room: o.front.Room(r)})
	}
	for _, name := range slices.Sorted(slices.Values(o.bases.Names())) {
		if base, found := o.bases.Get(name); found {
			s.Databases = append(s.Databases, databaseStatus(base.View(), time.Now()))
		}
	}
	for key, g := range o.ports.queues() {
		free, lent, waiting := g.Counts()
		s.Queues = append(s.Queues, QueueStatus{Member: key, Free: free, Lent: lent, Waiting: waiting})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

func databaseStatus(v view.View, now time.Time) DatabaseStatus {
	d := DatabaseStatus{Name: v.Name(), Term: v.Term()}
	if primary, found := v.Primary(); found {
		d.Primary = primary.Member
	}
	for _, m := range v.Members() {
		ms := MemberStatus{Name: m.Name, Region: m.Region, Silent: v.Silent(m.Name), Role: "unknown"}
		if r, heard := v.Report(m.Name); heard {
			ms.Role, ms.Term, ms.Fence = r.State.Role.String(), r.State.Term, r.State.Fence
			ms.Received, ms.Applied = r.State.Received, r.State.Applied
			ms.AgeMs = now.Sub(r.SentAt).Milliseconds()
		}
		d.Members = append(d.Members, ms)
	}
	return d
}

// drain makes the proxy leave. The answer comes at once.
func (o *operator) drain(w http.ResponseWriter, _ *http.Request) {
	o.drained.ask()
	w.WriteHeader(http.StatusAccepted)
}

func (o *operator) switchover(w http.ResponseWriter, r *http.Request) {
	database, target := r.URL.Query().Get("Database"), r.URL.Query().Get("Member")
	base, found := o.bases.Get(database)
	if !found {
		http.Error(w, "no such database: "+database, http.StatusNotFound)
		return
	}
	v := base.View()
	if _, known := v.Member(target); !known {
		http.Error(w, "no such member: "+target, http.StatusNotFound)
		return
	}
	if v.Silent(target) {
		http.Error(w, "the member does not answer: "+target, http.StatusConflict)
		return
	}
	base.HandOver(target)
	w.WriteHeader(http.StatusAccepted)
}
