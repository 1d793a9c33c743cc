package duty

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The pause after a failed accept doubles from minAcceptPause to maxAcceptPause.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Accept accepts connections until the listener is closed or ctx ends, and calls
// handle with each. After a temporary failure, such as too many open files, it
// pauses and tries again, so that the process keeps accepting connections.
func Accept(ctx context.Context, listener net.Listener, handle func(net.Conn)) error {
	pause := minAcceptPause
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			handle(conn)
			continue
		case errors.Is(err, net.ErrClosed):
			return err
		}
		Pause(ctx, pause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause = min(2*pause, maxAcceptPause)
	}
}
