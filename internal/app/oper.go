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
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/ctrl"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/front"
	"poplarrouter.example/poplarrouter/internal/limit"
	"poplarrouter.example/poplarrouter/internal/peer"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// HTTP paths on OperatorAddress.
const (
	PathMetrics    = "/metrics"
	PathHealth     = "/health"
	PathReady      = "/ready"
	PathStatus     = "/status"
	PathDrain      = "/drain"
	PathSwitchover = "/switchover"
	PathExplain    = "/explain"
)

// operator serves health, metrics, status and operators' commands over HTTP. Commands and
// status require the operator secret.
type operator struct {
	settings    config.Settings
	documents   *ctrl.Documents
	controllers *ctrl.Controllers
	front       *front.Front
	parts       *protocolParts
	mesh        *peer.Connections
	drainer     *drainer
	limiter     *limit.Limiter
	recency     keyRecency
	explainer   *chain.Explainer
	address     string
}

func newOperator(lc fx.Lifecycle, s config.Settings, documents *ctrl.Documents, controllers *ctrl.Controllers, f *front.Front, p *protocolParts, mesh *peer.Connections, registry *prometheus.Registry, d *drainer, limiter *limit.Limiter, k keyRecency, x *chain.Explainer) (*operator, error) {
	o := &operator{settings: s, documents: documents, controllers: controllers, front: f, parts: p, mesh: mesh, drainer: d, limiter: limiter, recency: k, explainer: x}
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
	mux.HandleFunc("GET "+PathStatus, o.authorized(o.status))
	mux.HandleFunc("GET "+PathExplain, o.authorized(o.explain))
	mux.HandleFunc("POST "+PathDrain, o.authorized(o.drain))
	mux.HandleFunc("POST "+PathSwitchover, o.authorized(o.switchover))
	return mux
}

// authorized passes a request to next only if it carries the operator secret.
func (o *operator) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		secret := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(secret), []byte(o.settings.OperatorSecret)) != 1 {
			http.Error(w, "got no valid operator secret", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// ready reports to the load balancer whether this proxy accepts callers.
func (o *operator) ready(w http.ResponseWriter, _ *http.Request) {
	documents := o.documents.Book()
	if o.front.DrainStarted() || documents.Serial(book.Sheet) == 0 || documents.Serial(book.Databases) == 0 || o.recency.missing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status is the state of a proxy and its view of the databases.
type Status struct {
	config.Place
	Draining bool
	Callers  int
	// Room is the remaining caller capacity of each rank.
	Room      []RankCapacity
	Sheet     SheetStatus
	Serials   map[book.Kind]uint64
	Peers     []string
	Databases []DatabaseStatus
	Pools     []ctrl.PoolCount
	Queues    []QueueStatus
	Caps      limit.Status
	// KeyProof is the proof that the list of keys is recent, if one is required.
	KeyProof *KeyProofStatus `json:",omitempty"`
}

// KeyProofStatus describes the proof that the list of keys is recent.
type KeyProofStatus struct {
	// Recent is set if keyed requests are accepted. AgeMs is the age of the proof, or -1 without
	// one, and Source the host that gave it, or the store.
	Recent bool
	AgeMs  int64
	Source string `json:",omitempty"`
	// Reader is set if this host is one of those that read the store for their region.
	Reader bool
}

// RankCapacity is the number of additional callers of one rank that could connect.
type RankCapacity struct {
	Rank sheet.Rank
	Room int
}

// SheetStatus identifies the sheet in force.
type SheetStatus struct {
	Serial   uint64
	LoadedBy string
	LoadedAt time.Time
}

// DatabaseStatus is a proxy's view of one database.
type DatabaseStatus struct {
	Name    string
	Term    group.Term
	Primary string
	Members []MemberStatus
}

// MemberStatus is a proxy's view of one member.
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

// QueueStatus is the usage of one member's slots.
type QueueStatus struct {
	Member  string
	Free    int
	Lent    int
	Waiting int
}

func (o *operator) status(w http.ResponseWriter, _ *http.Request) {
	documents := o.documents.Book()
	loaded := documents.SheetDoc()
	s := Status{
		Place:    o.settings.Place,
		Draining: o.front.DrainStarted(),
		Callers:  o.front.Callers(),
		Sheet:    SheetStatus{Serial: loaded.Serial, LoadedBy: loaded.LoadedBy, LoadedAt: loaded.LoadedAt},
		Serials:  documents.Serials(),
		Peers:    o.mesh.ConnectedPeers(),
		Pools:    o.controllers.Pools(),
		Caps:     o.limiter.Status(documents.Sheet().Customers()),
		KeyProof: o.recency.status(),
	}
	for r := sheet.Rank(1); r <= sheet.MaxRank; r++ {
		s.Room = append(s.Room, RankCapacity{Rank: r, Room: o.front.SpareCapacity(r)})
	}
	for _, name := range slices.Sorted(slices.Values(o.controllers.Names())) {
		if controller, found := o.controllers.Get(name); found {
			s.Databases = append(s.Databases, databaseStatus(controller.View(), time.Now()))
		}
	}
	for key, g := range o.parts.queues() {
		free, inUse, waiting := g.Counts()
		s.Queues = append(s.Queues, QueueStatus{Member: key, Free: free, Lent: inUse, Waiting: waiting})
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
		status := MemberStatus{Name: m.Name, Region: m.Region, Silent: v.Silent(m.Name), Role: "unknown"}
		if r, reported := v.Report(m.Name); reported {
			status.Role, status.Term, status.Fence = r.State.Role.String(), r.State.Term, r.State.Fence
			status.Received, status.Applied = r.State.Received, r.State.Applied
			status.AgeMs = now.Sub(r.SentAt).Milliseconds()
		}
		d.Members = append(d.Members, status)
	}
	return d
}

// explain tells where a request would go.
func (o *operator) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	question := chain.Question{
		Service: query.Get("Service"), Access: sheet.Access(query.Get("Access")), Caller: query.Get("Caller"), Kind: query.Get("Kind"), Customer: query.Get("Customer"),
	}
	if question.Access != sheet.Read && question.Access != sheet.Write {
		http.Error(w, "want the Access read or write", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o.explainer.Explain(question, time.Now()))
}

// drain starts a drain of the proxy and answers without waiting for its end.
func (o *operator) drain(w http.ResponseWriter, _ *http.Request) {
	o.drainer.request()
	w.WriteHeader(http.StatusAccepted)
}

// switchover requests that a member becomes the primary of a database.
func (o *operator) switchover(w http.ResponseWriter, r *http.Request) {
	database, target := r.URL.Query().Get("Database"), r.URL.Query().Get("Member")
	controller, found := o.controllers.Get(database)
	if !found {
		http.Error(w, "no such database: "+database, http.StatusNotFound)
		return
	}
	v := controller.View()
	if _, known := v.Member(target); !known {
		http.Error(w, "no such member: "+target, http.StatusNotFound)
		return
	}
	if v.Silent(target) {
		http.Error(w, "the member does not answer: "+target, http.StatusConflict)
		return
	}
	controller.HandOver(target)
	w.WriteHeader(http.StatusAccepted)
}
