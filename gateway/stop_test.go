package gateway

import (
	"testing"
	"time"
)

// A leaving node takes calls until the balancer has noticed, and none so late that
// it could not end within the grace: the users take three seconds for the longest
// time that a caller may still send.
func TestHowLongALeavingNodeTakes(t *testing.T) {
	const (
		twoMisses = 2 * time.Second
		mayStill  = 3 * time.Second
	)
	for _, grace := range []time.Duration{6 * time.Second, 8 * time.Second, 30 * time.Second} {
		if got := acceptDuration(grace); got <= twoMisses || got > mayStill {
			t.Errorf("grace %s: got %s, want more than %s and %s at most", grace, got, twoMisses, mayStill)
		}
	}
	if got, want := acceptDuration(2*time.Second), time.Second; got != want {
		t.Errorf("grace 2s: got %s, want %s", got, want)
	}
}
