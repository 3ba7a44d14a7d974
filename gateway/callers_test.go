package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// closer is a connection that only closes.
type closer struct {
	net.Conn
	closed bool
}

func (c *closer) Close() error {
	c.closed = true
	return nil
}

func TestUnusedConnectionsOfCallers(t *testing.T) {
	const limit = 15 * time.Second
	tests := []struct {
		name   string
		states []http.ConnState
		limit  time.Duration
		after  time.Duration
		want   bool
	}{
		{"idle for long", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, limit, limit + 2*idleMargin, true},
		{"idle for a little less", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, limit, limit + idleMargin/2, false},
		{"never used", []http.ConnState{http.StateNew}, limit, limit + 2*idleMargin, true},
		{"in use", []http.ConnState{http.StateNew, http.StateActive}, limit, time.Hour, false},
		{"in use again", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateActive}, limit, time.Hour, false},
		{"no limit", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 0, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var callers idleCallers
			conn := &closer{}
			for _, s := range tt.states {
				callers.state(conn, s)
			}
			n := callers.sweep(time.Now().Add(tt.after), tt.limit)
			if conn.closed != tt.want || (n == 1) != tt.want {
				t.Errorf("closed: got %v, counted %d, want %v", conn.closed, n, tt.want)
			}
		})
	}
}
