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
type Overhead struct {
	ViaNode, Direct *hdrhistogram.Histogram
}

// Millis is the time that the system adds at a percentile, in milliseconds.
func (a Overhead) PercentileMillis(percentile float64) float64 {
	return PercentileMillis(a.ViaNode, percentile) - PercentileMillis(a.Direct, percentile)
}

// MeasureAdded sends a call through a node and one straight to a target in turn
// until ctx ends. The path must lead to the target's service.
func (c *Callers) MeasureOverhead(ctx context.Context, target, path string) Overhead {
	parts := make([]Overhead, addedWorkers)
	var running sync.WaitGroup
	for i := range parts {
		running.Go(func() { parts[i] = c.measureAdded(ctx, target, path) })
	}
	running.Wait()
	a := newAdded()
	for _, p := range parts {
		a.ViaNode.Merge(p.ViaNode)
		a.Direct.Merge(p.Direct)
	}
	return a
}

func newAdded() Overhead {
	return Overhead{ViaNode: NewHistogram(), Direct: NewHistogram()}
}

// measureAdded is what one caller measures.
func (c *Callers) measureAdded(ctx context.Context, target, path string) Overhead {
	a := newAdded()
	for ctx.Err() == nil {
		n, ok := c.Balancer.Pick()
		if !ok {
			pause.For(ctx, lookEvery)
			continue
		}
		c.timeOne("http://"+n.CallerAddress+path, a.ViaNode)
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
