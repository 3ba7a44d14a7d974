package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
)

// lateCalls counts how calls ended that were sent while their node stopped.
type lateCalls struct {
	mu                                  sync.Mutex
	complete, refused, failed, cutCount int
	latestRetryAfter, longestRefusal    time.Duration
	hasKeptConnection                   bool
}

// sendWhileStopping sends calls to node 0 at the given interval while it stops, each over a new
// connection, and counts their ends.
func (c *testCluster) sendWhileStopping(callCount int, interval time.Duration) *lateCalls {
	var result lateCalls
	var calls, stop sync.WaitGroup
	stop.Go(func() { c.nodes[0].Stop(c.t.Context()) })
	for i := range callCount {
		calls.Go(func() { result.send(c.settings[0].CallerAddress, fmt.Sprint("late-", i)) })
		time.Sleep(interval)
	}
	calls.Wait()
	stop.Wait()
	return &result
}

// send sends one call and counts how it ended.
func (l *lateCalls) send(address, id string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	sentAt := time.Now()
	if _, err := fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.RequestIDHeader, id); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.cutCount++
		return
	}
	resp.Body.Close()
	l.hasKeptConnection = l.hasKeptConnection || !resp.Close
	switch resp.StatusCode {
	case http.StatusOK:
		l.complete++
	case http.StatusServiceUnavailable:
		l.refused++
		l.longestRefusal = max(l.longestRefusal, time.Since(sentAt))
		if after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
			l.latestRetryAfter = max(l.latestRetryAfter, after)
		}
	default:
		l.failed++
	}
}

// newStoppingCluster returns a cluster of one node with a grace period of 2 s and three targets
// that take the given time for a call. Calls may take 2 s.
func newStoppingCluster(t *testing.T, callDuration time.Duration) *testCluster {
	c := newTestCluster(t)
	c.putPlan(1, "a")
	for i := range 3 {
		c.startTarget(fmt.Sprint("i-", i), "a", "east").WarmCallDuration = callDuration
	}
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	return c
}

// arrivals returns the number of calls that targets have received.
func (c *testCluster) arrivals() (n int) {
	for _, target := range c.targets {
		n += int(target.ArrivalCount())
	}
	return n
}

// Calls that come late in the grace period and take longer than what is left of it were taken,
// passed on and cut off without a response. They must be refused before they are sent: at once,
// with a short time, since other nodes serve them.
func TestStopCutsNoCallThatComesLate(t *testing.T) {
	c := newStoppingCluster(t, 1600*time.Millisecond)
	got := c.sendWhileStopping(18, 50*time.Millisecond)
	t.Logf("complete %d, refused %d, failed %d, cut %d; arrived at targets %d", got.complete, got.refused, got.failed, got.cutCount, c.arrivals())
	if got.cutCount > 0 || got.failed > 0 {
		t.Errorf("calls: got %d cut and %d failed, want none", got.cutCount, got.failed)
	}
	if arrived := c.arrivals(); arrived != got.complete {
		t.Errorf("calls that arrived at targets: got %d, want the %d that are complete", arrived, got.complete)
	}
	if got.longestRefusal > 200*time.Millisecond || got.latestRetryAfter > 200*time.Millisecond {
		t.Errorf("refusals: got one after %s and a retry after %s, want at most 200ms", got.longestRefusal, got.latestRetryAfter)
	}
	if got.hasKeptConnection {
		t.Error("connections: got one kept, want all closed")
	}
}

// Calls that surely end in time must be served while the balancer still sends them, though
// their timeout is longer than what is left.
func TestStopServesCallsThatEndInTime(t *testing.T) {
	c := newStoppingCluster(t, 100*time.Millisecond)
	for range 10 {
		c.call(0)
	}
	got := c.sendWhileStopping(18, 50*time.Millisecond)
	if got.complete != 18 {
		t.Errorf("calls: got %d complete, %d refused, %d failed, %d cut, want 18 complete", got.complete, got.refused, got.failed, got.cutCount)
	}
}
