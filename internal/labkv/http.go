package labkv

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/store"
)

const longestWait = 60 * time.Second

// ServeHTTP serves the objects under store.Path.
func (m *Memory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, found := strings.CutPrefix(r.URL.Path, store.ObjectPath)
	if !found || key == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch r.Method {
	case http.MethodGet:
		m.serveRead(w, r, key)
	case http.MethodPut:
		m.servePut(w, r, key)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (m *Memory) serveRead(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	if !query.Has(store.ParamWait) {
		o, err := m.Get(r.Context(), key)
		answer(w, o, err)
		return
	}
	wait, err := strconv.Atoi(query.Get(store.ParamWait))
	if err != nil || wait < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := min(time.Duration(wait)*time.Millisecond, longestWait)
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	o, err := m.Watch(ctx, key, store.Version(query.Get(store.ParamSeen)))
	answer(w, o, err)
}

func (m *Memory) servePut(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	version, err := m.Put(r.Context(), key, value, store.Version(r.Header.Get("If-Match")))
	answer(w, store.Object{Version: version}, err)
}

func answer(w http.ResponseWriter, o store.Object, err error) {
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	w.Header().Set("ETag", string(o.Version))
	_, _ = w.Write(o.Value)
}

func statusOf(err error) int {
	var missing *store.MissingError
	var conflict *store.ConflictError
	var unchanged *store.UnchangedError
	switch {
	case errors.As(err, &missing):
		return http.StatusNotFound
	case errors.As(err, &conflict):
		return http.StatusPreconditionFailed
	case errors.As(err, &unchanged):
		return http.StatusNotModified
	default:
		return http.StatusServiceUnavailable
	}
}
