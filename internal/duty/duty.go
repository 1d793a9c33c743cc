// Package duty starts and stops background workers.
//
// A worker is one goroutine with one task. It takes a context and reports its
// result on a channel. Workers pass items to one another through rings, which are
// queues of fixed capacity.
package duty

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Start runs f in a goroutine and returns the channel that receives its result.
// The channel is buffered, so the goroutine ends even if nobody reads the result.
func Start(ctx context.Context, f func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- f(ctx)
	}()
	return done
}

// Run starts f with a new context and returns a clean-up function that cancels the
// context and waits until f has returned.
func Run(f func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := Start(ctx, f)
	return func() {
		cancel()
		<-done
	}
}

// Ring is a queue of fixed capacity between workers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// NewRing returns a ring that holds up to capacity items.
func NewRing[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds the item and reports whether the ring had capacity for it. It never
// blocks; an item offered to a full ring is counted as dropped.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which the consumer receives items.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Dropped returns the number of items that were offered while the ring was full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Pause waits for the duration d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Group tracks workers that end by themselves.
type Group struct {
	running sync.WaitGroup
}

// Go starts f as a worker of the group. The error of f is discarded, so f reports
// its failures itself.
func (g *Group) Go(ctx context.Context, f func(context.Context) error) {
	g.running.Go(func() { _ = f(ctx) })
}

// Wait blocks until every worker of the group has ended.
func (g *Group) Wait() { g.running.Wait() }
