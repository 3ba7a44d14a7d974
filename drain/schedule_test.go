package drain

import (
	"testing"
	"time"
)

// acceptTime returns how long a node accepts calls after the begin of its stop.
func acceptTime(grace time.Duration) time.Duration {
	start := time.Now()
	return ForGrace(start, grace).AcceptEnd.Sub(start)
}

// A leaving node must accept calls until the external load balancer has removed it after
// two failed checks, but none so late that it could not end within the grace period. Users
// allow three seconds as the longest time in which calls may still arrive.
func TestAcceptTimeCoversFailedChecks(t *testing.T) {
	const (
		twoFailedChecks = 2 * time.Second
		maxAccept       = 3 * time.Second
	)
	for _, grace := range []time.Duration{6 * time.Second, 8 * time.Second, 30 * time.Second} {
		if got := acceptTime(grace); got <= twoFailedChecks || got > maxAccept {
			t.Errorf("grace %s: got %s, want more than %s and at most %s", grace, got, twoFailedChecks, maxAccept)
		}
	}
	if got, want := acceptTime(2*time.Second), time.Second; got != want {
		t.Errorf("grace 2s: got %s, want %s", got, want)
	}
}
