package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// lateCalls counts how calls ended that were sent while their node stopped.
type lateCalls struct {
	mu                                  sync.Mutex
	complete, refused, failed, cutCount int
	latestRetryAfter, longestRefusal    time.Duration
	hasKeptConnection                   bool
}

// sendWhileStopping sends a call to node 0 over each connection, 50 ms apart, while a node
// stops, and counts how they ended. Without a node, stopped is negative.
func (c *testCluster) sendWhileStopping(stopped int, conns []net.Conn, body string) *lateCalls {
	var result lateCalls
	var calls, stop sync.WaitGroup
	if stopped >= 0 {
		stop.Go(func() { c.nodes[stopped].Stop(c.t.Context()) })
	}
	for i, conn := range conns {
		calls.Go(func() { result.send(conn, fmt.Sprint("late-", i), body) })
		time.Sleep(50 * time.Millisecond)
	}
	calls.Wait()
	stop.Wait()
	return &result
}

// send sends one call and counts how it ended. Half of the body is sent only after a response
// or a while.
func (l *lateCalls) send(conn net.Conn, id, body string) {
	defer conn.Close()
	sentAt := time.Now()
	half := len(body) / 2
	fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", platform.RequestIDHeader, id, len(body), body[:half])
	rest := time.AfterFunc(100*time.Millisecond, func() { _, _ = conn.Write([]byte(body[half:])) })
	defer rest.Stop()
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

// check checks that no call was cut off or failed, and that targets received no call but those
// that are complete.
func (l *lateCalls) check(t *testing.T, arrived int) {
	t.Helper()
	t.Logf("complete %d, refused %d, failed %d, cut %d; arrived at targets %d", l.complete, l.refused, l.failed, l.cutCount, arrived)
	if l.cutCount+l.failed > 0 || arrived != l.complete {
		t.Errorf("calls: got %d cut, %d failed and %d at targets, want none cut or failed and %d", l.cutCount, l.failed, arrived, l.complete)
	}
}

// checkRefusals checks that calls were refused, at once, with a short time and closed connections.
func (l *lateCalls) checkRefusals(t *testing.T) {
	t.Helper()
	if l.refused == 0 || l.longestRefusal > 200*time.Millisecond || l.latestRetryAfter > 200*time.Millisecond {
		t.Errorf("refusals: got %d, one after %s and a retry after %s, want many, at most 200ms", l.refused, l.longestRefusal, l.latestRetryAfter)
	}
	if l.hasKeptConnection {
		t.Error("connections: got one kept, want all closed")
	}
}

// dialNode opens connections to node 0 and, if isKept is set, sends one request over each that
// reaches no target.
func (c *testCluster) dialNode(n int, isKept bool) (conns []net.Conn) {
	c.t.Helper()
	for range n {
		conn, err := net.Dial("tcp", c.settings[0].CallerAddress)
		if err != nil {
			c.t.Fatal(err)
		}
		conns = append(conns, conn)
		if !isKept {
			continue
		}
		fmt.Fprintf(conn, "GET /none HTTP/1.1\r\nHost: h.example\r\n%s: kept\r\n\r\n", platform.RequestIDHeader)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			c.t.Fatal(err)
		}
		resp.Body.Close()
	}
	return conns
}

// setCallDuration sets how long targets take for a call, while they serve none.
func (c *testCluster) setCallDuration(d time.Duration) {
	for _, target := range c.targets {
		target.WarmCallDuration = d
	}
}

// arrivals returns the number of calls that have arrived at targets.
func (c *testCluster) arrivals() (n int) {
	for _, target := range c.targets {
		n += int(target.ArrivalCount())
	}
	return n
}

// lateCallCount is the number of late calls, and longCall a duration that no late call of a stop
// with the grace period of 2 s has left.
const (
	lateCallCount = 18
	longCall      = 1600 * time.Millisecond
)

// Calls that come late in the grace period and take longer than what is left of it were taken,
// passed on and cut off without a response, whichever way they came. They must be refused before
// they are sent: at once, with a short time, since other nodes serve them.
func TestStopCutsNoCallThatComesLate(t *testing.T) {
	upload := strings.Repeat("x", 200<<10)
	for _, tt := range []struct {
		name   string
		isKept bool
		body   string
	}{{"new connections", false, ""}, {"kept connections", true, ""}, {"uploads", false, upload}} {
		t.Run(tt.name, func(t *testing.T) {
			c := newStartedCluster(t, 1)
			c.setCallDuration(longCall)
			got := c.sendWhileStopping(0, c.dialNode(lateCallCount, tt.isKept), tt.body)
			got.check(t, c.arrivals())
			got.checkRefusals(t)
		})
	}
}

// The same for calls that go through another node. If the one that has accepted them stops, it
// must not send them; if the other one stops, a third one serves as many as without a stop.
func TestStopCutsNoLateCallBetweenNodes(t *testing.T) {
	const sender, receiver, none = 0, 1, -1
	results := map[int]*lateCalls{}
	for _, stopped := range []int{none, sender, receiver} {
		c, paths := newPartableCluster(t, 3, 8)
		paths[0].setMode(platformtest.LinkClosed, true)
		c.waitFor(waitTimeout, "a call through another node", func() bool { status, _ := c.get(0, "/x/1"); return status == http.StatusOK })
		before := c.arrivals()
		c.setCallDuration(longCall)
		results[stopped] = c.sendWhileStopping(stopped, c.dialNode(lateCallCount, false), "")
		results[stopped].check(t, c.arrivals()-before)
	}
	results[sender].checkRefusals(t)
	if got, want := results[receiver].complete, results[none].complete; got < want || want == 0 {
		t.Errorf("calls complete while the receiver stops: got %d, want the %d without a stop", got, want)
	}
}

// Calls that surely end in time must be served while the balancer still sends them, though
// their timeout is longer than what is left.
func TestStopServesCallsThatEndInTime(t *testing.T) {
	for _, body := range []string{"", strings.Repeat("x", 200<<10)} {
		c := newStartedCluster(t, 1)
		c.setCallDuration(100 * time.Millisecond)
		var evidence lateCalls
		for _, conn := range c.dialNode(8, false) {
			evidence.send(conn, fmt.Sprint("early-", c.callCount.Add(1)), body)
		}
		if got := c.sendWhileStopping(0, c.dialNode(lateCallCount, false), body); got.complete != lateCallCount {
			t.Errorf("calls with bodies of %d bytes: got %d complete, %d refused, %d failed, %d cut, want %d complete", len(body), got.complete, got.refused, got.failed, got.cutCount, lateCallCount)
		}
	}
}

// The only node through which others send calls stops while it serves some: it must wait for
// them as for calls of its own callers.
func TestStopWaitsForCallsOfOtherNodes(t *testing.T) {
	c, paths := newPartableCluster(t, 2, 8)
	paths[0].setMode(platformtest.LinkClosed, true)
	c.waitFor(waitTimeout, "a call through the other node", func() bool { status, _ := c.get(0, "/x/1"); return status == http.StatusOK })
	before := c.arrivals()
	c.setCallDuration(1300 * time.Millisecond)
	const callCount = 6
	var result lateCalls
	var calls sync.WaitGroup
	for i, conn := range c.dialNode(callCount, false) {
		calls.Go(func() { result.send(conn, fmt.Sprint("open-", i), "") })
	}
	c.waitFor(time.Second, "calls at targets", func() bool { return c.arrivals()-before == callCount })
	c.nodes[1].Stop(t.Context())
	calls.Wait()
	if result.complete != callCount {
		t.Errorf("calls complete: got %d of %d", result.complete, callCount)
	}
}

// streamingTarget is a target whose responses come in two halves, 0.9 s apart.
type streamingTarget struct{ *platformtest.Target }

// streamedHalf is longer than the responses that a node buffers.
var streamedHalf = strings.Repeat("x", 1<<20)

func (s streamingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.Target.ServeHTTP(w, r)
		return
	}
	h := w.Header()
	h.Set(platform.RequestIDHeader, r.Header.Get(platform.RequestIDHeader))
	h.Set("X-Apricotmount-Response-Stamp", "stamp")
	h.Set("Content-Length", fmt.Sprint(2*len(streamedHalf)))
	_, _ = io.WriteString(w, streamedHalf)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(900 * time.Millisecond)
	_, _ = io.WriteString(w, streamedHalf)
}

// Responses that are streamed when the stop begins, and those of calls that come during it and
// surely end in time, must be complete; no other call may be sent.
func TestStopCompletesStreamedResponses(t *testing.T) {
	c := newTestCluster(t)
	c.putPlan(1, "a")
	target := streamingTarget{&platformtest.Target{ID: "i-1", Slots: 60}}
	c.targets["i-1"], c.targetAddresses["i-1"] = target.Target, c.listen(target)
	c.putTarget("i-1", "a", "east", "ready")
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(0) })
	var mu sync.Mutex
	statuses := map[int]int{}
	var calls sync.WaitGroup
	get := func() {
		status, _ := c.get(0, "/x/1")
		mu.Lock()
		defer mu.Unlock()
		statuses[status]++
	}
	for range 4 {
		get()
	}
	for i := range 20 {
		calls.Go(get)
		time.Sleep(50 * time.Millisecond)
		if i == 3 {
			calls.Go(func() { c.nodes[0].Stop(t.Context()) })
		}
	}
	calls.Wait()
	if statuses[http.StatusOK] < 8 || statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != 24 {
		t.Errorf("calls by status, zero if cut off: got %v, want 200 for 8 or more and 503 for the others", statuses)
	}
}
