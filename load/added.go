package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotmount/apricotmount/pause"
)

// overheadWorkers is the number of concurrent callers that measure the overhead.
// They send back to back, so that the processors do not go idle between calls.
const overheadWorkers = 2

// Added holds the latencies of calls through nodes (Through) and of the same
// calls sent directly to a target (Direct), sent alternately.
type Overhead struct {
	ViaNode, Direct *hdrhistogram.Histogram
}

// Millis returns the difference of the two latencies at a percentile, in
// milliseconds.
func (a Overhead) PercentileMillis(percentile float64) float64 {
	return PercentileMillis(a.ViaNode, percentile) - PercentileMillis(a.Direct, percentile)
}

// MeasureAdded sends calls alternately through a node and directly to a target
// until ctx ends. The path must be routed to the target's service.
func (c *Callers) MeasureOverhead(ctx context.Context, target, path string) Overhead {
	results := make([]Overhead, overheadWorkers)
	var workers sync.WaitGroup
	for i := range results {
		workers.Go(func() { results[i] = c.measureOverhead(ctx, target, path) })
	}
	workers.Wait()
	a := newOverhead()
	for _, p := range results {
		a.ViaNode.Merge(p.ViaNode)
		a.Direct.Merge(p.Direct)
	}
	return a
}

func newOverhead() Overhead {
	return Overhead{ViaNode: NewHistogram(), Direct: NewHistogram()}
}

// measureOverhead runs the measurement of one caller.
func (c *Callers) measureOverhead(ctx context.Context, target, path string) Overhead {
	a := newOverhead()
	for ctx.Err() == nil {
		n, ok := c.Balancer.Pick()
		if !ok {
			pause.For(ctx, readinessInterval)
			continue
		}
		c.timeCall("http://"+n.CallerAddress+path, a.ViaNode)
		c.timeCall("http://"+target+path, a.Direct)
	}
	return a
}

// timeCall records the latency of one call. A failed call is not recorded.
func (c *Callers) timeCall(url string, h *hdrhistogram.Histogram) {
	start := time.Now()
	resp, err := c.client.Get(url)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	// The latency is within the histogram's bounds.
	_ = h.RecordValue(time.Since(start).Microseconds())
}
