package gateway_test

import (
	"cmp"
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

// crashyTargets are targets whose process ends when it begins to run a request whose path
// contains harmfulPart. Each comes back at its address as a new instance.
type crashyTargets struct {
	c *testCluster

	mu sync.Mutex
	// runs are the times at which a process began to run a harmful request.
	runs []time.Time
	// isMended makes the harmful requests complete.
	isMended bool
	hosts    []*platformtest.Host
	// startCounts are the numbers of the processes that run.
	startCounts []int
}

const harmfulPart = "harmful"

// crashDelay is the time from the start of a harmful request to the end of its process.
const crashDelay = 30 * time.Millisecond

func (ct *crashyTargets) start(i int, service, z string) {
	ct.c.t.Helper()
	host := &platformtest.Host{Downtime: 1500 * time.Millisecond}
	ct.hosts, ct.startCounts = append(ct.hosts, host), append(ct.startCounts, 0)
	var address string
	ready := make(chan struct{})
	host.Start = func(n int) http.Handler {
		id := fmt.Sprintf("i-%d-%d", i, n)
		target := &platformtest.Target{ID: id, Slots: 6, WarmCallDuration: 20 * time.Millisecond}
		register := func() {
			<-ready
			if n > 1 {
				ct.c.store.Put(platformtest.TargetsTopic, fmt.Sprintf("i-%d-%d", i, n-1), "")
			}
			ct.c.store.Put(platformtest.TargetsTopic, id, target.RecordJSON(service, z, address, "ready", n))
		}
		ct.mu.Lock()
		ct.startCounts[i] = n
		ct.mu.Unlock()
		go register()
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.Path, harmfulPart) && ct.recordRun() {
				time.Sleep(crashDelay)
				host.Crash(n)
				return
			}
			target.ServeHTTP(w, r)
		})
	}
	var err error
	if address, err = host.Open(); err != nil {
		ct.c.t.Fatal(err)
	}
	close(ready)
	ct.c.t.Cleanup(host.Close)
}

// recordRun records that a harmful request runs, and reports whether that ends the process.
func (ct *crashyTargets) recordRun() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.runs = append(ct.runs, time.Now())
	return !ct.isMended
}

// runsAfter returns how many harmful requests ran later than d after the n-th crash.
func (ct *crashyTargets) runsAfter(n int, d time.Duration) (count int) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for i, at := range ct.runs {
		if i >= n && at.After(ct.runs[n-1].Add(crashDelay+d)) {
			count++
		}
	}
	return count
}

func (ct *crashyTargets) runCount() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return len(ct.runs)
}

// get sends one call with a path to a node and returns its status and headers.
func (c *testCluster) get(i int, path string) (status int, h http.Header) {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.settings[i].CallerAddress+path, nil)
	if err != nil {
		return 0, nil
	}
	req.Host = "h.example"
	req.Header.Set(platform.RequestIDHeader, fmt.Sprint("id-", c.callCount.Add(1)))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

// newCrashyCluster returns a cluster with a plan, crashy targets and ready, linked nodes.
func newCrashyCluster(t *testing.T, nodeCount, targetCount int) (*testCluster, *crashyTargets) {
	t.Helper()
	c := newTestCluster(t)
	return c, c.startCrashy(nodeCount, targetCount)
}

// startCrashy publishes a plan and starts crashy targets and ready, linked nodes.
func (c *testCluster) startCrashy(nodeCount, targetCount int) *crashyTargets {
	c.t.Helper()
	ct := &crashyTargets{c: c}
	c.putPlan(1, "a")
	for i := range targetCount {
		ct.start(i, "a", "east")
	}
	for range nodeCount {
		c.startNode("east", c.storeAddress)
	}
	for i := range nodeCount {
		c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(i) })
	}
	c.linkNodes()
	return ct
}

// linkTime is long enough for nodes with each other's addresses to open their links.
const linkTime = time.Second

// linkNodes makes all nodes known to each other and waits until they are linked.
func (c *testCluster) linkNodes() {
	var fleet []vm.VM
	for _, s := range c.settings {
		address := cmp.Or(s.AdvertisedAddress, s.PeerAddress)
		fleet = append(fleet, vm.VM{ID: vm.ID(address), Address: address, Zone: s.Zone, Role: vm.RoleEntry})
	}
	for _, n := range c.nodes {
		n.AddNodes(fleet)
	}
	time.Sleep(linkTime)
}

// load sends calls to the nodes in rotation for d, one each interval, with the path that
// pathOf returns, and counts those that were served.
func (c *testCluster) load(d, interval time.Duration, pathOf func(i int) string) (served, sent int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for start := time.Now(); time.Since(start) < d; time.Sleep(interval) {
		i := sent
		sent++
		calls.Go(func() {
			if status, _ := c.get(i%len(c.nodes), pathOf(i)); status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	calls.Wait()
	return served, sent
}

// A request that ended three targets reaches at most three more, at whichever node its copies
// arrive, and the calls beside it are served.
func TestRequestThatEndsTargetsIsHeldBackByTheFleet(t *testing.T) {
	c, ct := newCrashyCluster(t, 3, 8)
	var harmful sync.WaitGroup
	harmful.Go(func() { c.load(12*time.Second, 250*time.Millisecond, func(int) string { return "/x/" + harmfulPart }) })
	served, sent := c.load(12*time.Second, 8*time.Millisecond, func(i int) string { return fmt.Sprint("/x/", i) })
	harmful.Wait()
	const contactTime = 3 * time.Second
	if got := ct.runsAfter(3, contactTime); got > 3 {
		t.Errorf("runs of the harmful request later than 3 s after the third crash: got %d of %d, want at most 3", got, ct.runCount())
	}
	t.Logf("%d runs of the harmful request, %d of %d calls beside it served", ct.runCount(), served, sent)
	if min := sent * 95 / 100; served < min {
		t.Errorf("calls served beside it: got %d of %d, want at least %d", served, sent, min)
	}
}

// holdHarmful sends a harmful request until the fleet holds it back.
func (ct *crashyTargets) holdHarmful() {
	ct.c.t.Helper()
	for range 20 {
		ct.c.get(0, "/x/"+harmfulPart)
		if ct.runCount() >= 3 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ct.c.t.Fatalf("runs of the harmful request: got %d, want 3", ct.runCount())
}

// A node that starts later refuses the request too, at once and with a time. When the fault is
// mended, a trial frees the request at all nodes.
func TestHeldRequestIsRefusedByNewNodeAndFreedByTrial(t *testing.T) {
	c, ct := newCrashyCluster(t, 2, 6)
	ct.holdHarmful()
	runs := ct.runCount()
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(2) })
	c.linkNodes()
	start := time.Now()
	status, h := c.get(2, "/x/"+harmfulPart)
	if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" || time.Since(start) > time.Second {
		t.Errorf("answer of a node that started later: got %d with Retry-After %q after %s, want 503 with a time at once", status, h.Get("Retry-After"), time.Since(start))
	}
	if got := ct.runCount(); got != runs {
		t.Errorf("runs after the request was held: got %d more, want none", got-runs)
	}
	ct.mu.Lock()
	ct.isMended = true
	ct.mu.Unlock()
	c.waitFor(waitTimeout, "a trial that completes", func() bool { status, _ := c.get(1, "/x/"+harmfulPart); return status == http.StatusOK })
	for i := range c.nodes {
		c.waitFor(time.Second, "a node that serves the request again", func() bool { status, _ := c.get(i, "/x/"+harmfulPart); return status == http.StatusOK })
	}
}

// Most targets of a service end one after the other while one popular call runs at all of
// them. It is not what ended them, so it is not held back.
func TestPopularCallIsNotHeldAfterEndOfItsTargets(t *testing.T) {
	c, ct := newCrashyCluster(t, 3, 8)
	var calls sync.WaitGroup
	var served, sent int
	calls.Go(func() {
		served, sent = c.load(4*time.Second, 5*time.Millisecond, func(int) string { return "/x/popular" })
	})
	for i := range 6 {
		time.Sleep(150 * time.Millisecond)
		ct.mu.Lock()
		n := ct.startCounts[i]
		ct.mu.Unlock()
		ct.hosts[i].Crash(n)
	}
	calls.Wait()
	if min := sent * 95 / 100; served < min {
		t.Errorf("popular calls served: got %d of %d, want at least %d", served, sent, min)
	}
	if status, _ := c.get(0, "/x/popular"); status != http.StatusOK {
		t.Errorf("popular call afterwards: got %d, want 200", status)
	}
}

// A node whose connections to the targets are reset and refused takes them for ended. The other
// nodes refute that, so the calls that were open there are not held.
func TestPartedNodeCausesNoHeldCall(t *testing.T) {
	c, paths := newPartableCluster(t, 3, 8)
	const path = "/x/steady"
	stop := make(chan struct{})
	var calls sync.WaitGroup
	for _, i := range []int{1, 2} {
		calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.get(i, fmt.Sprint("/x/other-", n))
				}
			}
		})
	}
	for range 4 {
		var open sync.WaitGroup
		for range 8 {
			open.Go(func() { c.get(0, path) })
		}
		time.Sleep(10 * time.Millisecond)
		paths[0].setMode(platformtest.LinkClosed, true)
		open.Wait()
		paths[0].setMode(platformtest.LinkOpen, true)
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	calls.Wait()
	for i := range c.nodes {
		c.waitFor(time.Second, "a node that serves the call", func() bool { status, _ := c.get(i, path); return status == http.StatusOK })
	}
}
