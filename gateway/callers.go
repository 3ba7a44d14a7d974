package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloseMargin is how much longer than the operator allows a caller's connection may
// stay unused: a request may be on its way when the time is over.
const idleCloseMargin = time.Second

// idleConns closes callers' connections that carry nothing for too long. Its zero
// value holds none.
type idleConns struct {
	mu sync.Mutex
	// idleSince is when each unused connection was last in use.
	idleSince map[net.Conn]time.Time
}

// trackState follows a connection of the callers' server.
func (c *idleConns) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince == nil {
		c.idleSince = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew, http.StateIdle:
		c.idleSince[conn] = time.Now()
	default:
		delete(c.idleSince, conn)
	}
}

// closeExpired closes the connections that are unused for longer than the limit, if there
// is one, and returns how many.
func (c *idleConns) closeExpired(now time.Time, limit time.Duration) (closed int) {
	if limit <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > limit+idleCloseMargin {
			conn.Close()
			delete(c.idleSince, conn)
			closed++
		}
	}
	return closed
}
