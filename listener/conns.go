package listener

import (
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloseMargin is added to the idle timeout before a connection is closed: a request
// may be in transit when the timeout expires.
const idleCloseMargin = time.Second

// connState is the state of one connection and the time from which it has it.
type connState struct {
	state http.ConnState
	since time.Time
}

// conns tracks the open connections of a server. Its zero value is ready to use.
type conns struct {
	mu     sync.Mutex
	states map[net.Conn]connState
}

// trackState records a connection's state; it is the ConnState hook of a server.
func (c *conns) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = map[net.Conn]connState{}
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = connState{s, time.Now()}
}

// closeIdle closes the connections without a request for longer than timeout plus
// idleCloseMargin, and returns their number. A timeout of zero closes none.
func (c *conns) closeIdle(now time.Time, timeout time.Duration) (closed int) {
	if timeout <= 0 {
		return 0
	}
	return c.closeWhere(wholeHeadAge, func(s connState) bool {
		return s.state != http.StateActive && now.Sub(s.since) > timeout+idleCloseMargin
	})
}

// closeAllIdle closes the connections that wait for a next request.
func (c *conns) closeAllIdle() {
	c.closeWhere(drainedHeadAge, func(s connState) bool { return s.state == http.StateIdle })
}

// closeUnused closes the connections on which no request has begun for the given time.
func (c *conns) closeUnused(now time.Time, age time.Duration) {
	c.closeWhere(drainedHeadAge, func(s connState) bool { return s.state == http.StateNew && now.Sub(s.since) > age })
}

const (
	// wholeHeadAge lets a head that has begun take the time that it may: another limit ends it.
	wholeHeadAge = math.MaxInt64
	// drainedHeadAge is how long a part of a head keeps a connection open while the server
	// drains.
	drainedHeadAge = time.Second
)

// closeWhere closes the connections for which matches returns true. One on which a request
// waits to be read stays open, since the process may not have had the time to read it, and so does
// one whose head began at most headAge ago.
func (c *conns) closeWhere(headAge time.Duration, matches func(s connState) bool) (closed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		if matches(s) && !isReceiving(conn, headAge) {
			conn.Close()
			delete(c.states, conn)
			closed++
		}
	}
	return closed
}

// isReceiving reports whether a request waits to be read, or was received in part and began at most
// headAge ago.
func isReceiving(nc net.Conn, headAge time.Duration) bool {
	if c, ok := nc.(*conn); ok && c.holdsPart(time.Now(), headAge) {
		return true
	}
	return hasUnread(nc)
}

// closeLeastNeeded closes one connection on which no request is being served: of those without
// any request so far the oldest, or else of those that are idle for longer than timeout, or else
// the one that has been sending its head for longest. It returns the connection, or nil if there is
// none.
func (c *conns) closeLeastNeeded(now time.Time, timeout time.Duration) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unused, idle, receiving net.Conn
	var unusedSince, idleSince, receivingSince time.Time
	for nc, s := range c.states {
		if s.state == http.StateActive {
			continue
		}
		if part, ok := nc.(*conn); ok {
			if since, ok := part.receivingSince(); ok {
				receiving, receivingSince = older(receiving, receivingSince, nc, since)
				continue
			}
		}
		switch {
		case s.state == http.StateNew:
			unused, unusedSince = older(unused, unusedSince, nc, s.since)
		case timeout > 0 && now.Sub(s.since) > timeout:
			idle, idleSince = older(idle, idleSince, nc, s.since)
		}
	}
	for _, nc := range []net.Conn{unused, idle, receiving} {
		if nc != nil && (nc == receiving || !hasUnread(nc)) {
			nc.Close()
			delete(c.states, nc)
			return nc
		}
	}
	return nil
}

// older returns the older one of two connections; the first may be nil.
func older(a net.Conn, aSince time.Time, b net.Conn, bSince time.Time) (net.Conn, time.Time) {
	if a == nil || bSince.Before(aSince) {
		return b, bSince
	}
	return a, aSince
}

// count returns the number of open connections.
func (c *conns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}
