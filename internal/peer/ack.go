package peer

import (
	"net"
	"sync"
	"time"
)

// ackDeadline limits the wait for a frame of the peer while a heartbeat is unanswered. A
// connection that went silent without a reset accepts heartbeats for as long as its send
// buffer has room, so only the missing answer shows it. A nil ackDeadline sets no limit.
type ackDeadline struct {
	conn    net.Conn
	timeout time.Duration

	mu       sync.Mutex
	awaiting bool
	// sentAt is when the last heartbeat was sent.
	sentAt time.Time
}

// due reports whether no heartbeat was sent for some time.
func (a *ackDeadline) due(interval time.Duration) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.sentAt) >= interval
}

// await sets the deadline, unless an earlier heartbeat is still unanswered.
func (a *ackDeadline) await() error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = time.Now()
	if a.awaiting {
		return nil
	}
	a.awaiting = true
	return a.conn.SetReadDeadline(time.Now().Add(a.timeout))
}

// received removes the deadline, because a frame has arrived.
func (a *ackDeadline) received() error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.awaiting {
		return nil
	}
	a.awaiting = false
	return a.conn.SetReadDeadline(time.Time{})
}
