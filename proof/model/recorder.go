package model

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotmount/apricotmount/outcome"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	// windowDuration is the width of the time windows, each with a histogram.
	windowDuration = 250 * time.Millisecond
)

// Recorder collects the latencies and results of calls.
type Recorder struct {
	mu          sync.Mutex
	latencies   *hdrhistogram.Histogram
	windows     map[int64]*hdrhistogram.Histogram
	Calls       int
	FailedCalls int
	Attempts    int
	Refusals    int
	Probes      int
	// FailuresByReason counts failed calls by outcome and reason, separated by a space.
	FailuresByReason map[string]int
	ExtraAttempts    map[outcome.ExtraAttemptReason]int
	resetAt          time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{}
	r.Reset()
	return r
}

// Reset discards everything recorded so far, at the end of a warm-up.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	r.windows = map[int64]*hdrhistogram.Histogram{}
	r.Calls, r.FailedCalls, r.Attempts, r.Refusals, r.Probes = 0, 0, 0, 0, 0
	r.FailuresByReason = map[string]int{}
	r.ExtraAttempts = map[outcome.ExtraAttemptReason]int{}
	r.resetAt = time.Now()
}

func (r *Recorder) recordDone(startedAt time.Time, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(startedAt, latency)
}

// recordFailed records a failed call with its whole timeout as its latency, in the
// window in which the call failed.
func (r *Recorder) recordFailed(o outcome.Outcome, reason outcome.Reason, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.FailedCalls++
	r.FailuresByReason[string(o)+" "+string(reason)]++
	r.record(time.Now(), timeout)
}

func (r *Recorder) record(startedAt time.Time, latency time.Duration) {
	r.Calls++
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// micros is within the bounds of the histogram, so RecordValue cannot fail.
	_ = r.latencies.RecordValue(micros)
	window := int64(startedAt.Sub(r.resetAt) / windowDuration)
	if r.windows[window] == nil {
		r.windows[window] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, 2)
	}
	_ = r.windows[window].RecordValue(micros)
}

// CountExtraAttempt counts an extra attempt, sent or skipped, by its reason.
func (r *Recorder) CountExtraAttempt(reason outcome.ExtraAttemptReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ExtraAttempts[reason]++
}

func (r *Recorder) countAttempt() { r.increment(&r.Attempts) }
func (r *Recorder) countRefusal() { r.increment(&r.Refusals) }
func (r *Recorder) countProbe()   { r.increment(&r.Probes) }

func (r *Recorder) increment(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// MergeLatencies returns one histogram, in microseconds, of the latencies of all recorders.
func MergeLatencies(recorders ...*Recorder) *hdrhistogram.Histogram {
	all := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	for _, r := range recorders {
		r.mu.Lock()
		all.Merge(r.latencies)
		r.mu.Unlock()
	}
	return all
}

// LatencyMillis returns a percentile of the latencies, in milliseconds.
func (r *Recorder) LatencyMillis(percentile float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.latencies.ValueAtPercentile(percentile)) / 1000
}

// LatencyMillisBetween returns a latency percentile, in milliseconds, of the calls
// that began, or if they failed ended, between two offsets from the last reset, in
// whole windows.
func (r *Recorder) LatencyMillisBetween(from, to time.Duration, percentile float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, 2)
	for window := int64(from / windowDuration); window < int64(to/windowDuration); window++ {
		if r.windows[window] != nil {
			all.Merge(r.windows[window])
		}
	}
	return float64(all.ValueAtPercentile(percentile)) / 1000
}
