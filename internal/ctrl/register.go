package ctrl

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/store"
)

// registerTimeout limits one attempt to register a host.
const registerTimeout = 2 * time.Second

// HostList is the list of hosts as this proxy knows it.
type HostList interface {
	// HostListed reports whether the list has exactly the given entry, as it does after a
	// restart. It may wait for the list.
	HostListed(ctx context.Context, host book.Host) bool
	// AwaitUnlisted waits until the list has no entry of a host that was registered, or has
	// not shown one in time. Another entry under the host's name belongs to its successor.
	AwaitUnlisted(ctx context.Context, host string)
}

// Register adds a host to the list of hosts in the store and keeps it there: a store that was
// restored from a copy may have lost the entry. It is for platforms on which hosts register
// themselves.
func Register(s store.Store, log *event.Log, host book.Host, retry time.Duration, list HostList) func() {
	return duty.Run(func(ctx context.Context) error {
		listed := list.HostListed(ctx, host)
		for ctx.Err() == nil {
			if !listed {
				registerUntilDone(ctx, s, log, host, retry)
			}
			list.AwaitUnlisted(ctx, host.Name)
			listed = false
		}
		return nil
	})
}

func registerUntilDone(ctx context.Context, s store.Store, log *event.Log, host book.Host, retry time.Duration) {
	for ctx.Err() == nil {
		err := register(ctx, s, host)
		if err == nil {
			log.Emit(event.HostRegistered, event.Fields{"Host": host.Name, "PeerAddress": host.PeerAddress})
			return
		}
		log.Emit(event.StoreFailed, event.Fields{"Op": "enrol", "Cause": err.Error()})
		duty.Pause(ctx, retry)
	}
}

func register(ctx context.Context, s store.Store, host book.Host) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(host)
	if err != nil {
		return err
	}
	key := book.HostKey(host.Name)
	_, err = s.Put(ctx, key, body, "")
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	// The host was registered before, or the answer to this write was lost.
	object, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	var listed book.Host
	if json.Unmarshal(object.Value, &listed) == nil {
		if encoded, err := json.Marshal(listed); err == nil && bytes.Equal(encoded, body) {
			return nil
		}
	}
	_, err = s.Put(ctx, key, body, object.Version)
	return err
}
