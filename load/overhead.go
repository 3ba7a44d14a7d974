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

// overheadCallerCount is the number of concurrent callers that measure the overhead.
// They send back to back, so that the processors do not go idle between calls.
const overheadCallerCount = 2

// Overhead holds the latencies of calls through nodes (ViaNode) and of the same
// calls sent directly to a target (Direct), sent alternately.
type Overhead struct {
	ViaNode, Direct *hdrhistogram.Histogram
}

// PercentileMillis returns the difference between ViaNode and Direct at a percentile,
// in milliseconds.
func (o Overhead) PercentileMillis(percentile float64) float64 {
	return PercentileMillis(o.ViaNode, percentile) - PercentileMillis(o.Direct, percentile)
}

// MeasureOverhead sends calls alternately through a node and directly to a target
// at targetAddress until ctx ends. The path must be routed to the target's service.
func (c *Callers) MeasureOverhead(ctx context.Context, targetAddress, path string) Overhead {
	results := make([]Overhead, overheadCallerCount)
	var callers sync.WaitGroup
	for i := range results {
		callers.Go(func() { results[i] = c.measureOverhead(ctx, targetAddress, path) })
	}
	callers.Wait()
	o := newOverhead()
	for _, p := range results {
		o.ViaNode.Merge(p.ViaNode)
		o.Direct.Merge(p.Direct)
	}
	return o
}

func newOverhead() Overhead {
	return Overhead{ViaNode: NewHistogram(), Direct: NewHistogram()}
}

// measureOverhead runs the measurement of one caller.
func (c *Callers) measureOverhead(ctx context.Context, targetAddress, path string) Overhead {
	o := newOverhead()
	for ctx.Err() == nil {
		n, ok := c.Balancer.Pick()
		if !ok {
			pause.For(ctx, readinessInterval)
			continue
		}
		c.timeCall("http://"+n.CallerAddress+path, o.ViaNode)
		c.timeCall("http://"+targetAddress+path, o.Direct)
	}
	return o
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
