package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// The load: all nodes were killed, and callers are there before a fresh one knows
// what to serve. They wait for what it learns within a moment, and no longer.
func TestCallsWaitForAFreshNode(t *testing.T) {
	tests := []struct {
		name     string
		informed time.Duration
		want     bool
		waited   time.Duration
	}{
		{"told in a moment", 100 * time.Millisecond, true, 100 * time.Millisecond},
		{"told too late", 2 * planWaitTimeout, false, planWaitTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{initialized: make(chan struct{}), upstreams: &upstreams{}}
				n.upstreams.active.Store(&activeConfig{plan: &Plan{Version: 1}})
				time.AfterFunc(tt.informed, func() { close(n.initialized) })
				began := time.Now()
				plan := n.waitForPlan(t.Context())
				if got := plan != nil; got != tt.want {
					t.Errorf("plan: got %v, want %v", got, tt.want)
				}
				if got := time.Since(began); got != tt.waited {
					t.Errorf("waited: got %s, want %s", got, tt.waited)
				}
				time.Sleep(2 * planWaitTimeout)
			})
		})
	}
}
