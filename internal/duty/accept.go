package duty

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The pause after a failed accept doubles from the first to the longest.
const (
	firstPause   = 5 * time.Millisecond
	longestPause = time.Second
)

// Accept takes connections from a listener until it is closed, and hands each to
// take. A failure that may pass, such as too many open files, is followed by a
// pause: it must not leave a process deaf.
func Accept(ctx context.Context, listener net.Listener, take func(net.Conn)) error {
	pause := firstPause
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			pause = firstPause
			take(conn)
			continue
		case errors.Is(err, net.ErrClosed):
			return err
		}
		Pause(ctx, pause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause = min(2*pause, longestPause)
	}
}
