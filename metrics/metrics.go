package metrics

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
)

// Registry holds the metrics of one process.
type Registry struct {
	Scope    tally.Scope
	snapshot func() tally.Snapshot // nil if metrics are dropped
}

// NewRegistry returns a registry that prefixes metric names with "apricotmount". It
// uses a test scope because tally offers snapshots, which Handler writes, only there.
func NewRegistry() *Registry {
	scope := tally.NewTestScope("apricotmount", nil)
	return &Registry{Scope: scope, snapshot: scope.Snapshot}
}

// NewDiscardRegistry returns a registry that drops all metrics, for tests and
// simulations. Its Handler responds with 404.
func NewDiscardRegistry() *Registry {
	return &Registry{Scope: tally.NoopScope}
}

// Handler serves the metrics in the Prometheus text format.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if r.snapshot == nil {
			http.NotFound(w, nil)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// The error is ignored: the scraper has closed the connection.
		_ = writeText(w, r.snapshot())
	})
}

// Calls counts outcomes of calls and attempts. The counter of every reason is
// registered at the start, so that a scrape includes those at 0.
type Calls struct {
	done          tally.Counter
	notRun        map[outcome.Reason]tally.Counter
	unknown       map[outcome.Reason]tally.Counter
	extraAttempts map[outcome.ExtraAttemptReason]tally.Counter
	duration      tally.Histogram
	timeToAttempt tally.Histogram
}

// NewCalls registers the call metrics in a scope.
func NewCalls(scope tally.Scope) *Calls {
	// The bounds double from 0.1 ms to about 13 s.
	buckets := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)
	return &Calls{
		done:          scope.Counter("calls_done"),
		notRun:        countersByReason(scope, "calls_not_run", outcome.NotRunReasons),
		unknown:       countersByReason(scope, "calls_unknown", outcome.UnknownReasons),
		extraAttempts: countersByReason(scope, "attempts_further", outcome.ExtraAttemptReasons),
		duration:      scope.Histogram("call_seconds", buckets),
		timeToAttempt: scope.Histogram("added_seconds", buckets),
	}
}

// countersByReason registers one counter for each reason.
func countersByReason[R ~string](scope tally.Scope, name string, reasons []R) map[R]tally.Counter {
	m := make(map[R]tally.Counter, len(reasons))
	for _, r := range reasons {
		c := scope.Tagged(map[string]string{"reason": string(r)}).Counter(name)
		c.Inc(0)
		m[r] = c
	}
	return m
}

// CountDone counts a call with a complete response. It records the call's duration
// and the time from its arrival to the start of the attempt that got the response.
func (c *Calls) CountDone(totalDuration, timeToAttempt time.Duration) {
	c.done.Inc(1)
	c.duration.RecordDuration(totalDuration)
	c.timeToAttempt.RecordDuration(timeToAttempt)
}

// CountNotRun counts a refused call, which no target ran.
func (c *Calls) CountNotRun(r outcome.Reason) {
	incrementReason(c.notRun, r)
}

// CountUnknown counts a call whose outcome is unknown.
func (c *Calls) CountUnknown(r outcome.Reason) {
	incrementReason(c.unknown, r)
}

// CountExtraAttempt counts an extra attempt (retry or hedge) or a skipped one.
func (c *Calls) CountExtraAttempt(r outcome.ExtraAttemptReason) {
	incrementReason(c.extraAttempts, r)
}

// incrementReason increments the counter of a reason; it ignores reasons without one.
func incrementReason[R ~string](m map[R]tally.Counter, r R) {
	if counter, ok := m[r]; ok {
		counter.Inc(1)
	}
}

// NewInvariantCounter registers one violation counter for each invariant and returns
// a function that increments the counter of an invariant.
func NewInvariantCounter(scope tally.Scope) func(n invariant.Name) {
	counters := make([]tally.Counter, invariant.NameCount)
	for n := range invariant.NameCount {
		counters[n] = scope.Tagged(map[string]string{"invariant": n.String()}).Counter("invariants_broken")
		counters[n].Inc(0)
	}
	return func(n invariant.Name) { counters[n].Inc(1) }
}
