package gateway_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

const (
	// limitNotice is the time from which a limit that a target names must hold, and
	// limitWindow the span over which its requests are counted.
	limitNotice, limitWindow = 3 * time.Second, 4 * time.Second
)

// allowedInWindow returns how many requests may reach a target with a limit within
// limitWindow: one and a half times what the limit allows, and five.
func allowedInWindow(perSecond float64) float64 {
	return 1.5*perSecond*limitWindow.Seconds() + 5
}

// arrivalLog records when calls reach a target. It is safe for concurrent use.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

// watch records the calls of a target from now on; no call may be under way.
func (a *arrivalLog) watch(t *platformtest.Target) {
	t.OnArrival = func(string, bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.times = append(a.times, time.Now())
	}
}

// busiest returns the most arrivals within limitWindow, counted from the given time.
func (a *arrivalLog) busiest(since time.Time) (most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.times, time.Time.Compare)
	first := 0
	for i, at := range a.times {
		for a.times[first].Before(since) && first < i || at.Sub(a.times[first]) >= limitWindow {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// offerLoad sends calls to all nodes in turn for a duration and returns their statuses.
func (c *testCluster) offerLoad(interval, duration time.Duration) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		calls.Go(func() {
			status, _ := c.call(i % len(c.nodes))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(interval)
	}
	calls.Wait()
	return statuses
}

// A target names the number of requests that it takes from all nodes together, and another
// of its service names none. The first must get no more than it named, summed over the
// nodes, and all calls must be served by the other.
func TestTargetGetsNoMoreThanItsLimitFromAllNodes(t *testing.T) {
	c := newStartedCluster(t, 3)
	const perSecond = 2.5
	var arrivals arrivalLog
	arrivals.watch(c.targets["i-1"])
	c.targets["i-1"].SetLimit(perSecond)
	start := time.Now()
	statuses := c.offerLoad(25*time.Millisecond, limitNotice+limitWindow+time.Second)
	if got, want := arrivals.busiest(start.Add(limitNotice)), allowedInWindow(perSecond); float64(got) > want {
		t.Errorf("calls within %s: got %d, want at most %.0f", limitWindow, got, want)
	}
	if got := statuses[http.StatusOK]; got != sum(statuses) {
		t.Errorf("statuses: got %v, want 200 only", statuses)
	}
}

// A target names its limit on responses to calls only, so that a node learns of it from the
// target when it is too late. A peer that was told must have passed it on before.
func TestNodeKeepsToLimitThatPeerWasTold(t *testing.T) {
	c := newStartedCluster(t, 2)
	limited := c.targets["i-1"]
	limited.NameLimitOnCallsOnly()
	limited.SetLimit(0)
	c.waitFor(waitTimeout, "a call to the limited target", func() bool { c.call(0); return limited.ArrivalCount() > 0 })
	// The peer's word takes one hop.
	time.Sleep(500 * time.Millisecond)
	before := limited.ArrivalCount()
	for range 40 {
		if status, body := c.call(1); status != http.StatusOK {
			t.Fatalf("call: got %d %q, want 200", status, body)
		}
	}
	if got := limited.ArrivalCount() - before; got != 0 {
		t.Errorf("calls of the other node: got %d, want none", got)
	}
}

// A node that is linked after a target has named its limit must keep to it too.
func TestNodeLinkedLaterKeepsToLimit(t *testing.T) {
	c := newStartedCluster(t, 1)
	limited := c.targets["i-1"]
	limited.NameLimitOnCallsOnly()
	limited.SetLimit(0)
	c.waitFor(waitTimeout, "a call to the limited target", func() bool { c.call(0); return limited.ArrivalCount() > 0 })
	c.startNode("east", c.storeAddress)
	c.waitFor(waitTimeout, "a ready node", func() bool { return c.isReady(1) })
	c.linkNodes()
	before := limited.ArrivalCount()
	for range 40 {
		if status, body := c.call(1); status != http.StatusOK {
			t.Fatalf("call: got %d %q, want 200", status, body)
		}
	}
	if got := limited.ArrivalCount() - before; got != 0 {
		t.Errorf("calls of the node that was linked later: got %d, want none", got)
	}
}

// All targets name a limit. They must get what they named and no more, and the callers
// beyond must be refused at once, as not run, with a time to return.
func TestCallersBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	c := newStartedCluster(t, 3)
	const perSecond = 4
	var arrivals [2]arrivalLog
	for i, id := range []string{"i-1", "i-2"} {
		arrivals[i].watch(c.targets[id])
		c.targets[id].SetLimit(perSecond)
	}
	start := time.Now()
	const duration = limitNotice + limitWindow + time.Second
	statuses := c.offerLoad(20*time.Millisecond, duration)
	for i := range arrivals {
		if got, want := arrivals[i].busiest(start.Add(limitNotice)), allowedInWindow(perSecond); float64(got) > want {
			t.Errorf("target %d: got %d calls within %s, want at most %.0f", i+1, got, limitWindow, want)
		}
	}
	if got, want := statuses[http.StatusOK], int(0.8*2*perSecond*duration.Seconds()); got < want {
		t.Errorf("calls served: got %d of %v, want at least %d", got, statuses, want)
	}
	if other := sum(statuses) - statuses[http.StatusOK] - statuses[http.StatusServiceUnavailable]; other != 0 {
		t.Errorf("statuses: got %v, want 200 and 503 only", statuses)
	}
	sentAt := time.Now()
	for time.Since(sentAt) < 2*time.Second {
		callAt := time.Now()
		resp := c.send(0)
		resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			if took := time.Since(callAt); took > 800*time.Millisecond || resp.Header.Get("Retry-After") == "" {
				t.Errorf("refusal: got it after %s with Retry-After %q, want it at once with a time", took, resp.Header.Get("Retry-After"))
			}
		}
	}
}

func sum(counts map[int]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
