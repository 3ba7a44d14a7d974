package model

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotmount/apricotmount/outcome"
)

const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
	// windowLength is the step in which latencies over time are kept.
	windowLength = 250 * time.Millisecond
)

// Recorder keeps what became of calls.
type Recorder struct {
	mu               sync.Mutex
	all              *hdrhistogram.Histogram
	windows          map[int64]*hdrhistogram.Histogram
	Calls            int
	FailedCalls      int
	Attempts         int
	Refusals         int
	Probes           int
	FailuresByReason map[string]int
	ExtraAttempts    map[outcome.ExtraAttemptReason]int
	from             time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{}
	r.Reset()
	return r
}

// Reset forgets what was kept, after a warm-up.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = hdrhistogram.New(lowestMicros, highestMicros, digits)
	r.windows = map[int64]*hdrhistogram.Histogram{}
	r.Calls, r.FailedCalls, r.Attempts, r.Refusals, r.Probes = 0, 0, 0, 0, 0
	r.FailuresByReason = map[string]int{}
	r.ExtraAttempts = map[outcome.ExtraAttemptReason]int{}
	r.from = time.Now()
}

func (r *Recorder) done(began time.Time, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(began, took)
}

// lost counts a call that was not done as one that took its whole deadline.
func (r *Recorder) lost(o outcome.Outcome, reason outcome.Reason, deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.FailedCalls++
	r.FailuresByReason[string(o)+" "+string(reason)]++
	r.record(time.Now(), deadline)
}

func (r *Recorder) record(began time.Time, took time.Duration) {
	r.Calls++
	us := min(max(took.Microseconds(), lowestMicros), highestMicros)
	// The value lies within the histogram's bounds.
	_ = r.all.RecordValue(us)
	w := int64(began.Sub(r.from) / windowLength)
	if r.windows[w] == nil {
		r.windows[w] = hdrhistogram.New(lowestMicros, highestMicros, 2)
	}
	_ = r.windows[w].RecordValue(us)
}

// CountExtraAttempt counts an extra attempt, made or skipped, by its reason.
func (r *Recorder) CountExtraAttempt(reason outcome.ExtraAttemptReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ExtraAttempts[reason]++
}

func (r *Recorder) attempt() { r.count(&r.Attempts) }
func (r *Recorder) refused() { r.count(&r.Refusals) }
func (r *Recorder) probe()   { r.count(&r.Probes) }

func (r *Recorder) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// Merge returns the latencies of all recorders together.
func MergeLatencies(recorders ...*Recorder) *hdrhistogram.Histogram {
	all := hdrhistogram.New(lowestMicros, highestMicros, digits)
	for _, r := range recorders {
		r.mu.Lock()
		all.Merge(r.all)
		r.mu.Unlock()
	}
	return all
}

// Millis returns a percentile of the latencies in milliseconds.
func (r *Recorder) LatencyMillis(percentile float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.all.ValueAtPercentile(percentile)) / 1000
}

// Between returns a percentile of the calls that began between two instants
// since the last reset, in milliseconds.
func (r *Recorder) LatencyMillisBetween(from, to time.Duration, percentile float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := hdrhistogram.New(lowestMicros, highestMicros, 2)
	for w := int64(from / windowLength); w < int64(to/windowLength); w++ {
		if r.windows[w] != nil {
			all.Merge(r.windows[w])
		}
	}
	return float64(all.ValueAtPercentile(percentile)) / 1000
}
