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
	snapshot func() tally.Snapshot
}

// NewRegistry returns a registry whose metrics carry the prefix "apricotmount".
func NewRegistry() *Registry {
	scope := tally.NewTestScope("apricotmount", nil)
	return &Registry{Scope: scope, snapshot: scope.Snapshot}
}

// Discard returns a registry that keeps nothing, for tests and trials.
func NewDiscardRegistry() *Registry {
	return &Registry{Scope: tally.NoopScope}
}

// Handler serves the metrics as text.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if r.snapshot == nil {
			http.NotFound(w, nil)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// A scraper that is gone needs no answer.
		_ = writeText(w, r.snapshot())
	})
}

// Calls counts what became of calls and attempts; every reason has a counter
// from the start, so that a scraper sees zeros.
type Calls struct {
	done    tally.Counter
	notRun  map[outcome.Reason]tally.Counter
	unknown map[outcome.Reason]tally.Counter
	retries map[outcome.ExtraAttemptReason]tally.Counter
	latency tally.Histogram
	added   tally.Histogram
}

// NewCalls returns the call counters of a scope.
func NewCalls(scope tally.Scope) *Calls {
	buckets := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)
	return &Calls{
		done:    scope.Counter("calls_done"),
		notRun:  byReason(scope, "calls_not_run", outcome.NotRunReasons),
		unknown: byReason(scope, "calls_unknown", outcome.UnknownReasons),
		retries: byReason(scope, "attempts_further", outcome.ExtraAttemptReasons),
		latency: scope.Histogram("call_seconds", buckets),
		added:   scope.Histogram("added_seconds", buckets),
	}
}

func byReason[R ~string](scope tally.Scope, name string, reasons []R) map[R]tally.Counter {
	m := make(map[R]tally.Counter, len(reasons))
	for _, r := range reasons {
		c := scope.Tagged(map[string]string{"reason": string(r)}).Counter(name)
		c.Inc(0)
		m[r] = c
	}
	return m
}

// Done counts a call that was answered whole.
func (c *Calls) CountDone(took, added time.Duration) {
	c.done.Inc(1)
	c.latency.RecordDuration(took)
	c.added.RecordDuration(added)
}

// NotRun counts a refusal.
func (c *Calls) CountNotRun(r outcome.Reason) {
	inc(c.notRun, r)
}

// Unknown counts a call whose outcome is unknown.
func (c *Calls) CountUnknown(r outcome.Reason) {
	inc(c.unknown, r)
}

// CountExtraAttempt counts an extra attempt, made or skipped.
func (c *Calls) CountExtraAttempt(r outcome.ExtraAttemptReason) {
	inc(c.retries, r)
}

func inc[R ~string](m map[R]tally.Counter, r R) {
	if counter, ok := m[r]; ok {
		counter.Inc(1)
	}
}

// WatchInvariants returns counters of broken promises, one per promise.
func NewInvariantCounter(scope tally.Scope) func(n invariant.Name) {
	counters := make([]tally.Counter, invariant.NameCount)
	for n := range invariant.NameCount {
		counters[n] = scope.Tagged(map[string]string{"invariant": n.String()}).Counter("invariants_broken")
		counters[n].Inc(0)
	}
	return func(n invariant.Name) { counters[n].Inc(1) }
}
