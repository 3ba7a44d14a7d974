package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloseMargin is added to the plan's idle timeout before a caller's connection is
// closed: a request may be in transit when the timeout expires.
const idleCloseMargin = time.Second

// idleConns tracks callers' idle connections and closes them after a timeout. The zero
// value is ready to use.
type idleConns struct {
	mu sync.Mutex
	// idleSince maps each idle connection to when it was opened or became idle.
	idleSince map[net.Conn]time.Time
}

// trackState records a connection's state; it is the ConnState hook of the callers'
// server.
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

// closeExpired closes the connections that have been idle for longer than timeout plus
// idleCloseMargin, and returns their number. A timeout of zero closes none.
func (c *idleConns) closeExpired(now time.Time, timeout time.Duration) (closed int) {
	if timeout <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > timeout+idleCloseMargin {
			conn.Close()
			delete(c.idleSince, conn)
			closed++
		}
	}
	return closed
}
