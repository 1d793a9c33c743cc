// Package labkv is a stand-in for the platform's object store, for tests and
// demonstrations. It keeps objects in memory, and can be told to fail, to be
// slow, or to lose the answers of writes that took effect.
package labkv

import (
	"context"
	"strconv"
	"sync"

	"poplarrouter.example/poplarrouter/internal/store"
)

type object struct {
	number  int
	value   []byte
	changed chan struct{}
}

// Memory is a store in memory.
type Memory struct {
	mu      sync.Mutex
	objects map[string]*object
	down    bool
	mute    bool
}

var (
	_ store.Store     = (*Memory)(nil)
	_ store.Confirmer = (*Memory)(nil)
)

// New returns an empty store.
func New() *Memory {
	return &Memory{objects: make(map[string]*object)}
}

// DownError reports a call to a store that was told to be down.
type DownError struct{ Op string }

// Error implements error.
func (e *DownError) Error() string { return e.Op + ": the store is down" }

// SetDown makes every later call fail, or ends that.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// SetMute makes every later write take effect and report an error, or ends that.
func (m *Memory) SetMute(mute bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mute = mute
}

// Get implements store.Store.
func (m *Memory) Get(_ context.Context, key string) (store.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.Object{}, &DownError{Op: "get"}
	}
	o, found := m.objects[key]
	if !found || o.number == 0 {
		return store.Object{}, &store.MissingError{Key: key}
	}
	return o.read(), nil
}

// Put implements store.Store.
func (m *Memory) Put(_ context.Context, key string, value []byte, was store.Version) (store.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return "", &DownError{Op: "put"}
	}
	o := m.object(key)
	if o.version() != was {
		return "", &store.ConflictError{Key: key, Want: was}
	}
	o.number++
	o.value = append([]byte(nil), value...)
	close(o.changed)
	o.changed = make(chan struct{})
	if m.mute {
		return "", &DownError{Op: "put"}
	}
	return o.version(), nil
}

// Watch implements store.Store. It waits until the object changes or the
// context ends.
func (m *Memory) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	for {
		current, changed, err := m.peek(key)
		if err != nil {
			return store.Object{}, err
		}
		if current.Version != seen {
			return current, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Object{}, &store.UnchangedError{Key: key}
		}
	}
}

// Confirm implements store.Confirmer.
func (m *Memory) Confirm(_ context.Context, key string, seen store.Version) (store.Object, error) {
	current, _, err := m.peek(key)
	if err == nil && current.Version == seen {
		err = &store.UnchangedError{Key: key}
	}
	return current, err
}

func (m *Memory) peek(key string) (store.Object, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.Object{}, nil, &DownError{Op: "watch"}
	}
	o := m.object(key)
	return o.read(), o.changed, nil
}

func (m *Memory) object(key string) *object {
	o, found := m.objects[key]
	if !found {
		o = &object{changed: make(chan struct{})}
		m.objects[key] = o
	}
	return o
}

func (o *object) version() store.Version {
	if o.number == 0 {
		return ""
	}
	return store.Version(strconv.Quote(strconv.Itoa(o.number)))
}

func (o *object) read() store.Object {
	return store.Object{Version: o.version(), Value: append([]byte(nil), o.value...)}
}
