package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/inventory"
	"github.com/apricotmount/apricotmount/platform"
	"github.com/apricotmount/apricotmount/platform/platformtest"
	"github.com/apricotmount/apricotmount/vm"
)

// proxiedDecoder decodes the records of targets with addresses of proxies, so that one node
// can lose its path to the targets.
type proxiedDecoder struct {
	platform.RecordDecoder
	t *testing.T

	mu      sync.Mutex
	mode    platformtest.LinkMode
	proxies map[vm.Address]*platformtest.Proxy
}

// DecodeTarget decodes a record and replaces the address in it.
func (d *proxiedDecoder) DecodeTarget(id string, value []byte) (r inventory.TargetRecord, ok bool) {
	r, ok = d.RecordDecoder.DecodeTarget(id, value)
	if !ok {
		return r, ok
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.proxies[r.VM.Address]
	if p == nil {
		var err error
		if p, err = platformtest.NewProxy(string(r.VM.Address)); err != nil {
			d.t.Error(err)
			return r, false
		}
		p.SetMode(d.mode)
		d.t.Cleanup(p.Close)
		d.proxies[r.VM.Address] = p
	}
	r.VM.Address = vm.Address(p.Address())
	return r, true
}

// setMode sets the mode of the paths to all targets. With reset, connections are reset too.
func (d *proxiedDecoder) setMode(m platformtest.LinkMode, reset bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	for _, p := range d.proxies {
		p.SetMode(m)
		if reset {
			p.Reset()
		}
	}
}

// newPartableCluster returns a cluster whose nodes reach the targets through proxies of their
// own.
func newPartableCluster(t *testing.T, nodeCount, targetCount int) (c *testCluster, paths []*proxiedDecoder) {
	t.Helper()
	c = newTestCluster(t)
	c.putPlan(1, "a")
	for i := range targetCount {
		c.startTarget(fmt.Sprint("i-", i), "a", "east").WarmCallDuration = 20 * time.Millisecond
	}
	c.useProxies(&paths)
	for range nodeCount {
		c.startNode("east", c.storeAddress)
	}
	for i := range nodeCount {
		c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(i) })
	}
	c.linkNodes()
	return c, paths
}

// useProxies makes the next nodes reach the targets through proxies, and appends their decoders
// to paths.
func (c *testCluster) useProxies(paths *[]*proxiedDecoder) {
	c.newDecoder = func() inventory.Decoder {
		d := &proxiedDecoder{t: c.t, proxies: map[vm.Address]*platformtest.Proxy{}}
		*paths = append(*paths, d)
		return d
	}
}

// tally counts the calls of each node in a period.
type tally struct {
	mu           sync.Mutex
	sent, served []int
	// slowest is the time of the slowest call.
	slowest time.Duration
}

// loadAll sends calls to all nodes for d, one each interval, and counts them by node.
func (c *testCluster) loadAll(d, interval time.Duration) *tally {
	counts := &tally{sent: make([]int, len(c.nodes)), served: make([]int, len(c.nodes))}
	var calls sync.WaitGroup
	i := 0
	for start := time.Now(); time.Since(start) < d; time.Sleep(interval) {
		node, path := i%len(c.nodes), fmt.Sprint("/x/", i)
		i++
		calls.Go(func() {
			start := time.Now()
			status, _ := c.get(node, path)
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.sent[node]++
			counts.slowest = max(counts.slowest, time.Since(start))
			if status == http.StatusOK {
				counts.served[node]++
			}
		})
	}
	calls.Wait()
	return counts
}

// sum returns the calls sent to and served by the nodes from first to last.
func (c *tally) sum(first, last int) (sent, served int) {
	for i := first; i <= last; i++ {
		sent += c.sent[i]
		served += c.served[i]
	}
	return sent, served
}

// Four of six nodes lose the path to all targets, while callers, the store and the other nodes
// still reach them. From 3 s on they serve nine of ten as many calls as the others.
func TestNodesPartedFromAllTargetsServeThroughOthers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		mode  platformtest.LinkMode
		reset bool
	}{
		{"silent", platformtest.LinkSilent, false},
		{"reset", platformtest.LinkClosed, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const cutCount, nodeCount = 4, 6
			c, paths := newPartableCluster(t, nodeCount, 8)
			c.loadAll(time.Second, 10*time.Millisecond)
			for _, p := range paths[:cutCount] {
				p.setMode(tt.mode, tt.reset)
			}
			c.loadAll(3*time.Second, 10*time.Millisecond)
			counts := c.loadAll(3*time.Second, 10*time.Millisecond)
			cutSent, cutServed := counts.sum(0, cutCount-1)
			otherSent, otherServed := counts.sum(cutCount, nodeCount-1)
			t.Logf("parted: %d of %d served, others: %d of %d, slowest %s", cutServed, cutSent, otherServed, otherSent, counts.slowest)
			if got, want := float64(cutServed)/float64(cutSent), 0.9*float64(otherServed)/float64(otherSent); got < want {
				t.Errorf("share of calls served at parted nodes: got %.2f, want at least %.2f", got, want)
			}
			if got := float64(otherServed) / float64(otherSent); got < 0.98 {
				t.Errorf("share of calls served at the others: got %.2f, want at least 0.98", got)
			}
			for _, p := range paths[:cutCount] {
				p.setMode(platformtest.LinkOpen, true)
			}
			time.Sleep(time.Second)
			back := c.loadAll(time.Second, 10*time.Millisecond)
			if sent, served := back.sum(0, nodeCount-1); served < sent*98/100 {
				t.Errorf("calls served from a second after the paths are back: got %d of %d, want at least 98 of 100", served, sent)
			}
		})
	}
}

// The node that carries the calls of a parted one stops as planned, under load. All of them are
// answered.
func TestPlannedStopOfCarryingNodeLosesNoCall(t *testing.T) {
	c, paths := newPartableCluster(t, 3, 8)
	paths[0].setMode(platformtest.LinkSilent, false)
	c.waitFor(waitTimeout, "calls that go through other nodes", func() bool { status, _ := c.get(0, "/x/1"); return status == http.StatusOK })
	var stop sync.WaitGroup
	stop.Go(func() {
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		c.nodes[1].Stop(ctx)
	})
	var served, sent int
	var mu sync.Mutex
	var calls sync.WaitGroup
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(4 * time.Millisecond) {
		sent++
		calls.Go(func() {
			if status, _ := c.get(0, "/x/1"); status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	calls.Wait()
	stop.Wait()
	if served != sent {
		t.Errorf("calls of the parted node that were served: got %d of %d, want all", served, sent)
	}
}

// All nodes are parted from all targets: a call is refused soon and with a time, whichever
// node it arrives at.
func TestCallIsRefusedSoonWhenAllNodesAreParted(t *testing.T) {
	c, paths := newPartableCluster(t, 3, 8)
	for _, p := range paths {
		p.setMode(platformtest.LinkSilent, false)
	}
	c.loadAll(2*time.Second, 10*time.Millisecond)
	for i := range c.nodes {
		start := time.Now()
		status, h := c.get(i, "/x/1")
		if elapsed := time.Since(start); status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" || elapsed > 700*time.Millisecond {
			t.Errorf("node %d: got %d with Retry-After %q after %s, want 503 with a time at once", i, status, h.Get("Retry-After"), elapsed)
		}
	}
	for _, p := range paths {
		p.setMode(platformtest.LinkOpen, true)
	}
	for i := range c.nodes {
		c.waitFor(2*time.Second, "a node that serves again", func() bool { status, _ := c.get(i, "/x/1"); return status == http.StatusOK })
	}
}

// Guards against headers that callers may send and that are too long for the port between nodes:
// a call that goes through another node then ends with status 431.
func TestHeadersOfCallAreTooLongForOtherNode(t *testing.T) {
	c, paths := newPartableCluster(t, 2, 8)
	paths[0].setMode(platformtest.LinkClosed, true)
	c.waitFor(waitTimeout, "calls that go through the other node", func() bool { status, _ := c.get(0, "/x/1"); return status == http.StatusOK })
	r, err := http.NewRequest(http.MethodGet, "http://"+c.settings[0].CallerAddress+"/x/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.RequestIDHeader, "long")
	r.Header.Set("Long", strings.Repeat("x", 100<<10))
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status: got %d, want 200", resp.StatusCode)
	}
}
