package duty

import "sync"

// Cell holds an immutable value that one worker replaces and others read.
type Cell[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// NewCell returns a cell that holds value.
func NewCell[T any](value T) *Cell[T] {
	return &Cell[T]{value: value, changed: make(chan struct{})}
}

// Load returns the current value.
func (c *Cell[T]) Load() T {
	value, _ := c.Watch()
	return value
}

// Watch returns the current value and a channel that is closed when it is replaced.
func (c *Cell[T]) Watch() (T, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value, c.changed
}

// Store replaces the value and closes the channel that Watch returned.
func (c *Cell[T]) Store(value T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = value
	close(c.changed)
	c.changed = make(chan struct{})
}
