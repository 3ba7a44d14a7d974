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

func sum(counts map[int]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
