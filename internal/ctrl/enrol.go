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

// enrolTimeout ends one try to enter a host into the list.
const enrolTimeout = 2 * time.Second

// Register enters a host into the list of hosts in the store, and tries again until it
// has succeeded. It is for platforms on which hosts list themselves.
func Register(s store.Store, log *event.Log, host book.Host, retry time.Duration) func() {
	return duty.Run(func(ctx context.Context) error {
		for ctx.Err() == nil {
			err := enrol(ctx, s, host)
			if err == nil {
				log.Emit(event.HostEnrolled, event.Fields{"Host": host.Name, "PeerAddress": host.PeerAddress})
				return nil
			}
			log.Emit(event.StoreFailed, event.Fields{"Op": "enrol", "Cause": err.Error()})
			duty.Pause(ctx, retry)
		}
		return nil
	})
}

func enrol(ctx context.Context, s store.Store, host book.Host) error {
	ctx, cancel := context.WithTimeout(ctx, enrolTimeout)
	defer cancel()
	mine, err := json.Marshal(host)
	if err != nil {
		return err
	}
	key := book.HostKey(host.Name)
	_, err = s.Put(ctx, key, mine, "")
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	// The host was listed before, or the answer to this write was lost.
	held, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	var was book.Host
	if json.Unmarshal(held.Value, &was) == nil {
		if again, err := json.Marshal(was); err == nil && bytes.Equal(again, mine) {
			return nil
		}
	}
	_, err = s.Put(ctx, key, mine, held.Version)
	return err
}
