package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// A call waits for capacity that does not come while its node stops as planned. It is refused
// before the end of the grace period, not cut off.
func TestStopRefusesCallsThatStillWait(t *testing.T) {
	c := newTestCluster(t)
	c.putPlan(1, "a")
	// The only target has one slot, which is taken for longer than the grace period.
	c.startTarget("i-1", "a", "east").Slots = 1
	c.targets["i-1"].WarmCallDuration = 10 * time.Second
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	var calls sync.WaitGroup
	calls.Go(func() { c.get(0, "/x/long") })
	c.waitFor(waitTimeout, "a running call", func() bool { return c.targets["i-1"].ArrivalCount() > 0 })
	var stop sync.WaitGroup
	stop.Go(func() { c.nodes[0].Stop(context.Background()) })
	time.Sleep(800 * time.Millisecond)
	status, _ := c.get(0, "/x/waits")
	if status != http.StatusServiceUnavailable {
		t.Errorf("status of the waiting call: got %d, want 503", status)
	}
	stop.Wait()
	calls.Wait()
}
