package gateway_test

import (
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
}

const harmfulPart = "harmful"

// crashDelay is the time from the start of a harmful request to the end of its process.
const crashDelay = 30 * time.Millisecond

func (ct *crashyTargets) start(i int, service, z string) {
	ct.c.t.Helper()
	host := &platformtest.Host{Downtime: 1500 * time.Millisecond}
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
	return c, ct
}

// linkTime is long enough for nodes that know each other to open their links.
const linkTime = time.Second

// linkNodes makes all nodes known to each other and waits until they are linked.
func (c *testCluster) linkNodes() {
	var fleet []vm.VM
	for _, s := range c.settings {
		fleet = append(fleet, vm.VM{ID: vm.ID(s.PeerAddress), Address: s.PeerAddress, Zone: s.Zone, Role: vm.RoleEntry})
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
