// Package store is the client of the platform's object store.
//
// An object is a value with a version under a key. A version is an opaque string that
// changes with every write; a write is conditional on the version that was read. A
// watch is a read that waits until the version differs from the one given.
package store

import (
	"context"
	"fmt"
	"time"
)

// Version identifies one state of an object. The empty Version stands for an object
// that does not exist.
type Version string

// Object is a value with the version at which it was read.
type Object struct {
	Version Version
	Value   []byte
	// AskedAt is the reading of the client's clock before it sent the request of which the
	// object is the answer, or 0 if it is not known. No later version had been acknowledged
	// by then.
	AskedAt time.Duration
}

// Store is the interface of the platform's store to the proxy.
type Store interface {
	// Get reads an object. It returns *MissingError if the object does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is still previous, and returns the new
	// version. With an empty previous it creates the object. It returns
	// *ConflictError if the object has another version. After any other error it is
	// unknown whether the write took effect.
	Put(ctx context.Context, key string, value []byte, previous Version) (Version, error)
	// Watch returns the object once its version differs from seen, or *UnchangedError
	// when the time-out of the watch has passed.
	Watch(ctx context.Context, key string, seen Version) (Object, error)
}

// Confirmer is a store that can be asked whether an object is still the newest.
type Confirmer interface {
	// Confirm returns the object if its version differs from seen, or *UnchangedError. The
	// answer covers every write that was acknowledged before the call. Its versions are not
	// comparable with those of Watch. It may be called while a Watch of the key waits, which
	// still reports every change.
	Confirm(ctx context.Context, key string, seen Version) (Object, error)
}

// MissingError reports that no object exists under a key.
type MissingError struct{ Key string }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("get %s: no such object", e.Key) }

// ConflictError reports that an object no longer has the version Want.
type ConflictError struct {
	Key  string
	Want Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("put %s: the object is no longer at version %q", e.Key, e.Want)
}

// UnchangedError reports that a watch timed out without a change.
type UnchangedError struct {
	Key string
	// AskedAt is that of an Object with the value that was last returned, or 0 if it is not
	// known.
	AskedAt time.Duration
}

// Error implements error.
func (e *UnchangedError) Error() string { return fmt.Sprintf("watch %s: no change", e.Key) }

// StatusError reports an unexpected HTTP status.
type StatusError struct {
	Op     string
	Key    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: got HTTP status %d", e.Op, e.Key, e.Status)
}

// SizeError reports a value that is larger than the store accepts.
type SizeError struct {
	Op  string
	Key string
	// Got is the size of the value in bytes, or how many were read of it.
	Got int
	Max int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s %s: got %d bytes, want at most %d", e.Op, e.Key, e.Got, e.Max)
}
