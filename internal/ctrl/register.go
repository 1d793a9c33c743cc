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

// Register adds a host to the list of hosts in the store, and retries until it succeeds.
// It is for platforms on which hosts register themselves. listed reports whether the list
// already has this entry, as it does after a restart; it may wait for the list.
func Register(s store.Store, log *event.Log, host book.Host, retry time.Duration, listed func(context.Context, book.Host) bool) func() {
	return duty.Run(func(ctx context.Context) error {
		if listed(ctx, host) {
			return nil
		}
		for ctx.Err() == nil {
			err := register(ctx, s, host)
			if err == nil {
				log.Emit(event.HostRegistered, event.Fields{"Host": host.Name, "PeerAddress": host.PeerAddress})
				return nil
			}
			log.Emit(event.StoreFailed, event.Fields{"Op": "enrol", "Cause": err.Error()})
			duty.Pause(ctx, retry)
		}
		return nil
	})
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
