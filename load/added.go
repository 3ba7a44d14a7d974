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

// addedWorkers is how many callers measure at once; they send back to back, so
// that the processors do not fall idle between calls.
const overheadWorkers = 2

// Added holds the latencies of calls through nodes and of the same calls sent
// straight to a target, in turn.
type Added struct {
	Through, Direct *hdrhistogram.Histogram
}

// Millis is the time that the system adds at a percentile, in milliseconds.
func (a Added) Millis(percentile float64) float64 {
	return Millis(a.Through, percentile) - Millis(a.Direct, percentile)
}

// MeasureAdded sends a call through a node and one straight to a target in turn
// until ctx ends. The path must lead to the target's service.
func (c *Callers) MeasureAdded(ctx context.Context, target, path string) Added {
	results := make([]Added, overheadWorkers)
	var workers sync.WaitGroup
	for i := range results {
		workers.Go(func() { results[i] = c.measureOverhead(ctx, target, path) })
	}
	workers.Wait()
	a := newOverhead()
	for _, p := range results {
		a.Through.Merge(p.Through)
		a.Direct.Merge(p.Direct)
	}
	return a
}

func newOverhead() Added {
	return Added{Through: NewHistogram(), Direct: NewHistogram()}
}

// measureAdded is what one caller measures.
func (c *Callers) measureOverhead(ctx context.Context, target, path string) Added {
	a := newOverhead()
	for ctx.Err() == nil {
		n, ok := c.Balancer.Pick()
		if !ok {
			pause.For(ctx, readinessInterval)
			continue
		}
		c.timeCall("http://"+n.Callers+path, a.Through)
		c.timeCall("http://"+target+path, a.Direct)
	}
	return a
}

// timeOne times one call; one that fails is not part of the measurement.
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
	// The latency lies within the histogram's bounds.
	_ = h.RecordValue(time.Since(start).Microseconds())
}
