package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// closeRecorder is a connection that only closes.
type closeRecorder struct {
	net.Conn
	isClosed bool
}

func (c *closeRecorder) Close() error {
	c.isClosed = true
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
		{"idle for long", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, limit, limit + 2*idleCloseMargin, true},
		{"idle for a little less", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, limit, limit + idleCloseMargin/2, false},
		{"never used", []http.ConnState{http.StateNew}, limit, limit + 2*idleCloseMargin, true},
		{"in use", []http.ConnState{http.StateNew, http.StateActive}, limit, time.Hour, false},
		{"in use again", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateActive}, limit, time.Hour, false},
		{"no limit", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 0, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var callers idleConns
			conn := &closeRecorder{}
			for _, s := range tt.states {
				callers.trackState(conn, s)
			}
			n := callers.closeExpired(time.Now().Add(tt.after), tt.limit)
			if conn.isClosed != tt.want || (n == 1) != tt.want {
				t.Errorf("closed: got %v, counted %d, want %v", conn.isClosed, n, tt.want)
			}
		})
	}
}
