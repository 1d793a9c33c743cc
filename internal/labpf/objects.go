package labpf

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// Objects is the platform's store.
type Objects struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	// dropped is the revision up to which the history is gone.
	dropped uint64
	changed chan struct{}
	down    bool
	// era is the number of the copy that the store serves.
	era uint64
}

// Copy is the state of a store at one time.
type Copy struct {
	revision uint64
	kinds    map[string]map[string]object
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{revision: 1, era: 1, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// SetDown makes the store refuse all calls, or serve them again.
func (s *Objects) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Compact drops the history.
func (s *Objects) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// Copy returns a copy of the store.
func (s *Objects) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, kinds: make(map[string]map[string]object)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// Restore replaces the contents by a copy, as after the loss of a store. Revisions above that
// of the copy are given out again.
func (s *Objects) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds = make(map[string]map[string]object)
	for kind, objects := range c.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.revision, s.history, s.dropped = c.revision, nil, 0
	s.era++
	s.wake()
}

// PutCopy writes an object as it was in a copy.
func (s *Objects) PutCopy(c Copy, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := c.kinds[kind][name]; found {
		s.put(kind, o)
	}
}

// Put writes an object as the operator or a database does.
func (s *Objects) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the stand-in's own values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, object{Meta: meta{Name: name}, Spec: raw})
}

// Names returns the names of all objects of a kind, sorted.
func (s *Objects) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

// Delete removes an object.
func (s *Objects) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, found := s.kinds[kind][name]
	if !found {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	was.Meta.Revision = s.revision
	s.note(change{kind: kind, Object: was, Deleted: true})
}

func (s *Objects) put(kind string, o object) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.revision++
	o.Meta.Revision = s.revision
	s.kinds[kind][o.Meta.Name] = o
	s.note(change{kind: kind, Object: o})
	return o
}

func (s *Objects) note(c change) {
	s.history = append(s.history, c)
	s.wake()
}

func (s *Objects) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/poplarrouter/objects/"), "/")
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind)
	case r.Method == http.MethodGet:
		s.serveOne(w, kind, name)
	default:
		s.serveWrite(w, r, kind)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Objects) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]object, 0, len(s.kinds[kind]))
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *Objects) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.kinds[kind][name]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Objects) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, gone, changed := s.since(kind, since), s.revision, since < s.dropped || since > s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-over:
			reply(w, http.StatusOK, map[string]any{"events": []change{}, "store_revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Objects) since(kind string, revision uint64) []change {
	var events []change
	for _, c := range s.history {
		if c.kind == kind && c.Object.Meta.Revision > revision {
			events = append(events, c)
		}
	}
	return events
}

// serveWrite creates an object by POST, or replaces one by PUT if its revision is the
// one given.
func (s *Objects) serveWrite(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	was, found := s.kinds[kind][o.Meta.Name]
	creates := r.Method == http.MethodPost
	if creates == found || (!creates && o.Meta.Revision != 0 && o.Meta.Revision != was.Meta.Revision) {
		reply(w, http.StatusConflict, was)
		return
	}
	reply(w, http.StatusOK, s.put(kind, o))
}
