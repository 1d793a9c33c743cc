//go:build review

// Package lab has the stand-ins of the review: the platform's store, the call that promotes,
// databases of the line protocol, a fleet of proxies as separate processes, and consumers.
package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// Store stands in for the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
}

// NewStore starts a store and returns it with its address.
func NewStore() (*Store, string, error) {
	s := &Store{revision: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	address, err := serveHTTP(s)
	return s, address, err
}

func serveHTTP(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Put writes an object as the operator or a database does.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, object{Meta: meta{Name: name}, Spec: raw})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) remove(kind, name string) {
	o, found := s.kinds[kind][name]
	if !found {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.note(change{kind: kind, Object: o, Deleted: true})
}

func (s *Store) put(kind string, o object) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.revision++
	o.Meta.Created = s.revision
	if old, found := s.kinds[kind][o.Meta.Name]; found {
		o.Meta.Created = old.Meta.Created
	}
	o.Meta.Revision = s.revision
	s.kinds[kind][o.Meta.Name] = o
	s.note(change{kind: kind, Object: o})
	return o
}

func (s *Store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/poplarrouter/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const pageItems = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, found := s.kinds[kind][name]; found {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var names []string
	for n := range s.kinds[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	items := []object{}
	for _, n := range names[:min(len(names), pageItems)] {
		items = append(items, s.kinds[kind][n])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []change{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.Object.Meta.Revision > since {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-over:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o.Meta.Name, _, _ = strings.Cut(name, "/")
	}
	old, found := s.kinds[kind][o.Meta.Name]
	switch {
	case r.Method == http.MethodPost && found:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodPost && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.remove(kind, o.Meta.Name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.put(kind, o))
	}
}
