// Package store reaches the platform's object store.
//
// An object is a value with a version under a key. A version is an opaque text
// that changes with every write; a write may be made conditional on the version
// that was read. A watch is a read that waits until the version has changed.
package store

import (
	"context"
	"fmt"
)

// Version names one state of an object. The empty Version means that the object
// does not exist.
type Version string

// Object is one value as it was read.
type Object struct {
	Version Version
	Value   []byte
}

// Store is what the proxy needs of the platform's store.
type Store interface {
	// Get reads an object. It returns *MissingError if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is still the given one, and returns
	// the new version. An empty version creates the object. It returns
	// *ConflictError if another version is in place. After any other error the
	// write may or may not have taken effect.
	Put(ctx context.Context, key string, value []byte, was Version) (Version, error)
	// Watch returns the object once its version differs from the given one, or
	// *UnchangedError when the store's waiting time is over.
	Watch(ctx context.Context, key string, seen Version) (Object, error)
}

// MissingError reports that there is no object under a key.
type MissingError struct{ Key string }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("get %s: no such object", e.Key) }

// ConflictError reports that an object changed since it was read.
type ConflictError struct {
	Key  string
	Want Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("put %s: the object is no longer at version %q", e.Key, e.Want)
}

// UnchangedError reports a watch that ended without a change.
type UnchangedError struct{ Key string }

// Error implements error.
func (e *UnchangedError) Error() string { return fmt.Sprintf("watch %s: no change", e.Key) }

// StatusError reports an answer that the protocol does not foresee.
type StatusError struct {
	Op     string
	Key    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: got HTTP status %d", e.Op, e.Key, e.Status)
}

// SizeError reports a value that is larger than the store holds.
type SizeError struct {
	Key  string
	Got  int
	Max int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("put %s: got %d bytes, want at most %d", e.Key, e.Got, e.Max)
}
