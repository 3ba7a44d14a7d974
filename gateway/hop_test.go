package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// hopPlan has a route of safe calls to service a, one of unsafe calls to service b, and
	// one of safe calls to both in equal parts.
	hopPlan = `{"version":2,"services":[
{"name":"a","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6},{"name":"b","healthPath":"/health","maxConns":200,"warmupS":3,"warmupPerS":6}],
"limits":{"idleTimeoutMs":15000},"hosts":[{"host":"h.example","paths":[
{"name":"r","pathPrefix":"/x/","routeType":"safe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":"a","maxAttempts":2},
{"name":"u","pathPrefix":"/u/","routeType":"unsafe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"service":"b","maxAttempts":2},
{"name":"w","pathPrefix":"/w/","routeType":"safe","timeoutMs":2000,"targetLatencyMs":600,"priority":1,"backends":[{"service":"a","weight":1},{"service":"b","weight":1}],"maxAttempts":2}]}]}`
	// markedPart is part of the path of a call whose response has a header of the nodes, and
	// endlessPart of one that runs until its connection closes.
	markedPart, endlessPart = "marked", "endless"
)

// hopTarget is a target that runs calls, those with endlessPart and markedPart in their ways.
type hopTarget struct {
	*platformtest.Target
	runs *runLog
}

// runLog records the runs of calls. It is safe for concurrent use.
type runLog struct {
	mu sync.Mutex
	// count maps the IDs of calls to their runs.
	count map[string]int
	// cancelled are the times at which endless calls ended.
	cancelled []time.Time
}

func (l *runLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[id]++
}

func (h hopTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, markedPart) {
		w.Header().Set("Apricot-Relay-Refused", "before-start")
	}
	if strings.Contains(r.URL.Path, endlessPart) {
		// A server notices that a connection has closed once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		h.runs.mu.Lock()
		defer h.runs.mu.Unlock()
		h.runs.cancelled = append(h.runs.cancelled, time.Now())
		return
	}
	h.Target.ServeHTTP(w, r)
}

// newHopCluster returns a cluster with hopPlan, of which node 0 has lost the path to the
// targets of service b and, unless onlyB is true, to those of service a.
func newHopCluster(t *testing.T, onlyB bool) (*testCluster, *runLog) {
	t.Helper()
	c, paths := newPartableCluster(t, 3, 4)
	runs := &runLog{count: map[string]int{}}
	for i := range 4 {
		id := fmt.Sprint("b-", i)
		target := hopTarget{&platformtest.Target{ID: id, Slots: 6, WarmCallDuration: 30 * time.Millisecond, OnRun: runs.add}, runs}
		c.targets[id] = target.Target
		c.targetAddresses[id] = c.listen(target)
		c.putTarget(id, "b", "east", "ready")
	}
	c.store.Put(platformtest.OperatorTopic, "config", hopPlan)
	for i := range c.nodes {
		c.waitFor(waitTimeout, "the route to service b", func() bool { status, _ := c.get(i, "/u/1"); return status == http.StatusOK })
	}
	time.Sleep(linkTime)
	paths[0].mu.Lock()
	defer paths[0].mu.Unlock()
	for id, address := range c.targetAddresses {
		if !onlyB || strings.HasPrefix(id, "b-") {
			paths[0].proxies[vm.Address(address)].SetMode(platformtest.LinkSilent)
		}
	}
	for range 10 {
		c.get(0, "/u/1")
	}
	c.waitFor(waitTimeout, "calls that go through other nodes", func() bool { status, _ := c.get(0, "/u/1"); return status == http.StatusOK })
	return c, runs
}

// Guards against a target whose response has a header by which nodes refuse calls: a call that
// is not idempotent ran again at another target.
func TestTargetCannotMarkResponseAsRefusalOfNode(t *testing.T) {
	t.Parallel()
	c, runs := newHopCluster(t, false)
	for range 20 {
		c.get(0, "/u/"+markedPart)
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for id, got := range runs.count {
		if got > 1 {
			t.Errorf("runs of call %s: got %d, want at most 1", id, got)
		}
	}
}

// A caller that leaves while another node serves its call ends the call at the target.
func TestTargetStopsWhenCallerOfRelayedCallLeaves(t *testing.T) {
	t.Parallel()
	const maxLateness = 500 * time.Millisecond
	c, runs := newHopCluster(t, false)
	const calls = 10
	left := make(chan time.Time, calls)
	for range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.settings[0].CallerAddress+"/u/"+endlessPart, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h.example"
		r.Header.Set(platform.RequestIDHeader, fmt.Sprint("id-", c.callCount.Add(1)))
		go func() {
			if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
				resp.Body.Close()
			}
			left <- time.Now()
		}()
	}
	var last time.Time
	for range calls {
		last = <-left
	}
	c.waitFor(waitTimeout, "ends of the calls at the targets", func() bool {
		runs.mu.Lock()
		defer runs.mu.Unlock()
		return len(runs.cancelled) == calls
	})
	for _, at := range runs.cancelled {
		if got := at.Sub(last); got > maxLateness {
			t.Errorf("time from the caller's end to the target's: got %s, want at most %s", got, maxLateness)
		}
	}
}

// A call that runs for too long at another node ends at the timeout of its route.
func TestRelayedCallEndsAtTimeoutOfRoute(t *testing.T) {
	t.Parallel()
	const maxDuration = 2500 * time.Millisecond
	c, _ := newHopCluster(t, false)
	start := time.Now()
	status, _ := c.get(0, "/u/"+endlessPart)
	if elapsed := time.Since(start); status != http.StatusGatewayTimeout || elapsed > maxDuration {
		t.Errorf("endless call: got %d after %s, want 504 within %s", status, elapsed, maxDuration)
	}
}

// Guards against a call that goes through another node and to another service there: the parts
// of a route are no longer served by their weights.
func TestRelayedCallStaysWithItsService(t *testing.T) {
	t.Parallel()
	c, runs := newHopCluster(t, true)
	runs.mu.Lock()
	clear(runs.count)
	runs.mu.Unlock()
	const calls = 200
	served := 0
	for i := range calls {
		if status, _ := c.get(0, fmt.Sprint("/w/", i)); status == http.StatusOK {
			served++
		}
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	got := float64(len(runs.count)) / calls
	t.Logf("served %d of %d, share of service b %.2f", served, calls, got)
	if got < 0.4 || got > 0.6 {
		t.Errorf("share of the calls at service b: got %.2f, want 0.5", got)
	}
}

// Guards against a call that is not idempotent and runs twice, or that has run and is reported
// as not run, while the nodes that serve the calls of another one stop, as planned and at once,
// and start again at their addresses.
func TestRelayedCallsRunOnceWhileNodesRestart(t *testing.T) {
	c, runs := newHopCluster(t, false)
	url := "http://" + c.settings[0].CallerAddress + "/u/1"
	var mu sync.Mutex
	statuses := map[string]int{}
	send := func(id string) {
		r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
		if err != nil {
			t.Error(err)
			return
		}
		r.Host = "h.example"
		r.Header.Set(platform.RequestIDHeader, id)
		status := 0
		if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
		mu.Lock()
		defer mu.Unlock()
		statuses[id] = status
	}
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	calls.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			id := fmt.Sprint("restart-", i)
			calls.Go(func() { send(id) })
			time.Sleep(4 * time.Millisecond)
		}
	})
	for i, isPlanned := range []bool{true, false, false, true} {
		carrier := len(c.nodes) - 2
		stopCtx, cancelStop := context.WithTimeout(t.Context(), waitTimeout)
		if !isPlanned {
			cancelStop()
		}
		c.nodes[carrier].Stop(stopCtx)
		cancelStop()
		c.peerAddresses = []vm.Address{c.settings[carrier].PeerAddress}
		c.startNode("east", c.storeAddress)
		c.waitFor(waitTimeout, fmt.Sprint("ready node after stop ", i), func() bool { return c.isReady(len(c.nodes) - 1) })
		time.Sleep(300 * time.Millisecond)
	}
	cancel()
	calls.Wait()
	byStatus := map[int]int{}
	for id, status := range statuses {
		byStatus[status]++
		isRefused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if got := runs.count[id]; got > 1 || isRefused && got > 0 {
			t.Errorf("runs of call %s with status %d: got %d", id, status, got)
		}
		if status >= http.StatusMultipleChoices && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			t.Errorf("status of call %s: got %d, which is about the hop", id, status)
		}
	}
	t.Logf("calls by status: %v", byStatus)
	if byStatus[http.StatusOK] == 0 {
		t.Error("calls that were served: got none")
	}
}

// Guards against a request that ends targets and goes through several nodes, where one call ended
// more targets than its route allows attempts.
func TestRelayedHarmfulCallEndsFewTargets(t *testing.T) {
	t.Parallel()
	const maxAttempts = 2
	c := newTestCluster(t)
	var paths []*proxiedDecoder
	c.useProxies(&paths)
	ct := c.startCrashy(3, 8)
	paths[0].setMode(platformtest.LinkSilent, false)
	c.loadAll(time.Second, 10*time.Millisecond)
	c.waitFor(waitTimeout, "calls that go through other nodes", func() bool { status, _ := c.get(0, "/x/1"); return status == http.StatusOK })
	// Earlier calls may pay for a copy of the harmful one.
	for range 20 {
		c.get(0, "/x/1")
	}
	status, _ := c.get(0, "/x/"+harmfulPart)
	if got := ct.runCount(); got == 0 || got > maxAttempts || status < http.StatusInternalServerError {
		t.Errorf("runs and status of a harmful call: got %d and %d, want at most %d and a failure", got, status, maxAttempts)
	}
}
