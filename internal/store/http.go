package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// MaxValue is the size in bytes of the largest value that the store accepts.
const MaxValue = 1 << 20

// answerTimeout is how long the answer to a call may take, in addition to the time for which
// a watch waits.
const answerTimeout = 2 * time.Second

// ObjectPath is the URL path that precedes an object's key.
const ObjectPath = "/objects/"

// The query parameters of a watch.
const (
	ParamSeen = "Seen"
	ParamWait = "WaitMs"
)

// HTTP is a client of a store over HTTP. Versions are sent as ETag and If-Match.
type HTTP struct {
	address string
	wait    time.Duration
	client  *http.Client
}

var (
	_ Store     = (*HTTP)(nil)
	_ Confirmer = (*HTTP)(nil)
)

// New returns a client of the store at address (IP:port), whose watches last at most
// wait, and its clean-up function.
func New(address string, wait time.Duration) (*HTTP, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	h := &HTTP{address: address, wait: wait, client: &http.Client{Transport: transport}}
	return h, transport.CloseIdleConnections
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	return h.read(ctx, "get", key, nil, answerTimeout)
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, seen Version) (Object, error) {
	query := url.Values{}
	query.Set(ParamSeen, string(seen))
	query.Set(ParamWait, strconv.FormatInt(h.wait.Milliseconds(), 10))
	return h.read(ctx, "watch", key, query, h.wait+answerTimeout)
}

// Confirm implements Confirmer.
func (h *HTTP) Confirm(ctx context.Context, key string, seen Version) (Object, error) {
	query := url.Values{}
	query.Set(ParamSeen, string(seen))
	query.Set(ParamWait, "0")
	return h.read(ctx, "confirm", key, query, answerTimeout)
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, previous Version) (Version, error) {
	if len(value) > MaxValue {
		return "", &SizeError{Op: "put", Key: key, Got: len(value), Max: MaxValue}
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, h.url(key, nil), bytes.NewReader(value))
	if err != nil {
		return "", err
	}
	if previous == "" {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", string(previous))
	}
	response, err := h.do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return Version(response.Header.Get("ETag")), nil
	case http.StatusPreconditionFailed:
		return "", &ConflictError{Key: key, Want: previous}
	default:
		return "", &StatusError{Op: "put", Key: key, Status: response.StatusCode}
	}
}

// do sends a request. If there is no answer, it also closes the idle connections, because
// the fault that broke this connection may have broken them too.
func (h *HTTP) do(request *http.Request) (*http.Response, error) {
	response, err := h.client.Do(request)
	if err != nil {
		h.client.CloseIdleConnections()
	}
	return response, err
}

func (h *HTTP) read(ctx context.Context, op, key string, query url.Values, timeout time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(key, query), http.NoBody)
	if err != nil {
		return Object{}, err
	}
	response, err := h.do(request)
	if err != nil {
		return Object{}, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return readObject(response, op, key)
	case http.StatusNotFound:
		return Object{}, &MissingError{Key: key}
	case http.StatusNotModified:
		return Object{}, &UnchangedError{Key: key}
	default:
		return Object{}, &StatusError{Op: op, Key: key, Status: response.StatusCode}
	}
}

func readObject(response *http.Response, op, key string) (Object, error) {
	value, err := io.ReadAll(io.LimitReader(response.Body, MaxValue+1))
	if err != nil {
		return Object{}, err
	}
	if len(value) > MaxValue {
		return Object{}, &SizeError{Op: op, Key: key, Got: len(value), Max: MaxValue}
	}
	return Object{Version: Version(response.Header.Get("ETag")), Value: value}, nil
}

func (h *HTTP) url(key string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: h.address, Path: ObjectPath + key, RawQuery: query.Encode()}
	return u.String()
}
