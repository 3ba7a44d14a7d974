package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
)

// newHedgingFleet returns a fleet of three nodes whose calls are hedged after a few milliseconds.
func newHedgingFleet(t *testing.T, p profile.Profile) *testFleet {
	t.Helper()
	const latency = 5 * time.Millisecond
	p.Idempotent, p.Hedge, p.HedgePercentile = true, true, profile.DefaultHedgePercentile
	f := newTestFleet(t, p, 3, 12)
	for _, n := range f.nodes {
		n.service.ExtraAttemptBudget.SetSettings(retry.Settings{TokensPerCall: 1000, Burst: 1000})
		enableHedges(n, latency)
	}
	return f
}

// enableHedges gives a node the latencies and tokens that hedges need.
func enableHedges(n *fleetNode, latency time.Duration) {
	const count = 100
	for range count {
		n.service.Latencies.Observe(time.Now(), latency)
		n.service.ExtraAttemptBudget.Earn()
	}
}

// Guards against a node that does not state the hedge of a relayed call among its extra attempts,
// so that the sender goes beyond the call's limit of targets.
func TestHedgeAtOtherNodeIsNotCharged(t *testing.T) {
	const maxRetries = 2
	f := newHedgingFleet(t, profile.Profile{CallTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxRetries: maxRetries})
	f.respond = func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusInternalServerError)
	}
	f.nodes[0].path.set(true)
	for i := range 5 {
		id := fmt.Sprint("call-", i)
		f.call(0, id)
		if got := f.runCount(id); got > maxRetries+1 {
			t.Errorf("targets that ran a call: got %d, want at most %d", got, maxRetries+1)
		}
	}
}

// Guards against a call that waits for its hedge on a path that is lost before it goes through
// another node.
func TestHedgeOnLostPathDelaysCall(t *testing.T) {
	const attemptTimeout, maxDelay = 4 * time.Second, 2 * time.Second
	f := newHedgingFleet(t, profile.Profile{CallTimeout: 8 * time.Second, AttemptTimeout: attemptTimeout, MaxRetries: 3})
	f.respond = func(_ http.ResponseWriter, r *http.Request) {
		if !f.nodes[0].path.IsLost() {
			<-r.Context().Done()
		}
	}
	time.AfterFunc(300*time.Millisecond, func() { f.nodes[0].path.set(true) })
	start := time.Now()
	w := f.call(0, "call")
	if took := time.Since(start); w.Code != http.StatusOK || took > maxDelay {
		t.Errorf("call: got status %d after %v, want 200 within %v", w.Code, took.Round(time.Millisecond), maxDelay)
	}
}
