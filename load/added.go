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
const addedWorkers = 2

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
	parts := make([]Added, addedWorkers)
	var running sync.WaitGroup
	for i := range parts {
		running.Go(func() { parts[i] = c.measureAdded(ctx, target, path) })
	}
	running.Wait()
	a := newAdded()
	for _, p := range parts {
		a.Through.Merge(p.Through)
		a.Direct.Merge(p.Direct)
	}
	return a
}

func newAdded() Added {
	return Added{Through: NewHistogram(), Direct: NewHistogram()}
}

// measureAdded is what one caller measures.
func (c *Callers) measureAdded(ctx context.Context, target, path string) Added {
	a := newAdded()
	for ctx.Err() == nil {
		n, ok := c.Balancer.Pick()
		if !ok {
			pause.For(ctx, lookEvery)
			continue
		}
		c.timeOne("http://"+n.Callers+path, a.Through)
		c.timeOne("http://"+target+path, a.Direct)
	}
	return a
}

// timeOne times one call; one that fails is not part of the measurement.
func (c *Callers) timeOne(url string, h *hdrhistogram.Histogram) {
	began := time.Now()
	resp, err := c.client.Get(url)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	// The latency lies within the histogram's bounds.
	_ = h.RecordValue(time.Since(began).Microseconds())
}
