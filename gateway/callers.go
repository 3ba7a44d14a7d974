package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleMargin is how much longer than the operator allows a caller's connection may
// stay unused: a request may be on its way when the time is over.
const idleMargin = time.Second

// idleCallers closes callers' connections that carry nothing for too long. Its zero
// value holds none.
type idleCallers struct {
	mu sync.Mutex
	// since is when each unused connection was last in use.
	since map[net.Conn]time.Time
}

// state follows a connection of the callers' server.
func (c *idleCallers) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == nil {
		c.since = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew, http.StateIdle:
		c.since[conn] = time.Now()
	default:
		delete(c.since, conn)
	}
}

// sweep closes the connections that are unused for longer than the limit, if there
// is one, and returns how many.
func (c *idleCallers) sweep(now time.Time, limit time.Duration) (closed int) {
	if limit <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit+idleMargin {
			conn.Close()
			delete(c.since, conn)
			closed++
		}
	}
	return closed
}
