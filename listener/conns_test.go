package listener

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// closeRecorder is a connection that records whether it was closed.
type closeRecorder struct {
	net.Conn
	isClosed bool
}

func (c *closeRecorder) Close() error {
	c.isClosed = true
	return nil
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	const timeout = 15 * time.Second
	tests := []struct {
		name    string
		states  []http.ConnState
		timeout time.Duration
		after   time.Duration
		want    bool
	}{
		{"idle beyond timeout and margin", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, timeout, timeout + 2*idleCloseMargin, true},
		{"idle within the margin", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, timeout, timeout + idleCloseMargin/2, false},
		{"never used", []http.ConnState{http.StateNew}, timeout, timeout + 2*idleCloseMargin, true},
		{"in use", []http.ConnState{http.StateNew, http.StateActive}, timeout, time.Hour, false},
		{"in use again", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateActive}, timeout, time.Hour, false},
		{"no timeout", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 0, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracked conns
			conn := &closeRecorder{}
			for _, s := range tt.states {
				tracked.trackState(conn, s)
			}
			n := tracked.closeIdle(time.Now().Add(tt.after), tt.timeout)
			if conn.isClosed != tt.want || (n == 1) != tt.want {
				t.Errorf("closed: got %v, counted %d, want %v", conn.isClosed, n, tt.want)
			}
		})
	}
}
