package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// finding is one violation of a guarantee.
type finding struct {
	Guarantee string
	Detail    string
}

// call is what the targets and the caller observed of one call.
type call struct {
	// node is the entry node that the call was sent to.
	node           *node
	unsafe         bool
	arrivals, runs int
	// reportedNotRun reports that the status of the caller's response means that the
	// call did not run.
	reportedNotRun bool
}

// secondCounts counts, for one second, the calls sent and the extra arrivals at
// targets, beyond the first arrival of each call.
type secondCounts struct{ sent, extraArrivals int }

// recorder records what targets and callers observe of each call, and the findings.
type recorder struct {
	mu    sync.Mutex
	calls map[string]*call
	// firstSentAt is when the first call was sent; seconds is indexed by the whole
	// seconds since then.
	firstSentAt   time.Time
	seconds       []secondCounts
	findings      []finding
	outcomeCounts map[string]int
}

func newRecorder() *recorder {
	return &recorder{calls: map[string]*call{}, outcomeCounts: map[string]int{}}
}

func (r *recorder) addFinding(guarantee, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, finding{guarantee, fmt.Sprintf(format, args...)})
}

// currentSecond returns the counts of the current second. r.mu must be held.
func (r *recorder) currentSecond() *secondCounts {
	if r.firstSentAt.IsZero() {
		r.firstSentAt = time.Now()
	}
	second := int(time.Since(r.firstSentAt) / time.Second)
	for len(r.seconds) <= second {
		r.seconds = append(r.seconds, secondCounts{})
	}
	return &r.seconds[second]
}

// recordSent records a call before it is sent to a node.
func (r *recorder) recordSent(id string, unsafe bool, n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[id] = &call{node: n, unsafe: unsafe}
	r.currentSecond().sent++
}

// recordArrival records that a call reached a target, and returns the node that the call
// was sent to, or nil if no caller sent it.
func (r *recorder) recordArrival(id string) (n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.calls[id]
	if c == nil {
		r.findings = append(r.findings, finding{"unasked", "a target received " + id + ", which no caller sent"})
		return nil
	}
	c.arrivals++
	if c.arrivals > 1 {
		r.currentSecond().extraArrivals++
	}
	return c.node
}

// recordRun records that a target runs a call, and returns the node that the call was
// sent to, or nil if no caller sent it.
func (r *recorder) recordRun(id string) (n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.calls[id]
	if c == nil {
		return nil
	}
	c.runs++
	return c.node
}

// hasArrived reports whether a call reached a target.
func (r *recorder) hasArrived(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[id].arrivals > 0
}

// recordOutcome records the outcome of a call at its caller, and whether that outcome
// means that the call did not run.
func (r *recorder) recordOutcome(id, outcome string, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomeCounts[outcome]++
	r.calls[id].reportedNotRun = notRun
}

// checkTotals does the checks that need the records of the whole run.
func (r *recorder) checkTotals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.calls {
		if c.unsafe && c.runs > 1 {
			r.findings = append(r.findings, finding{"at-most-once", fmt.Sprintf("%s ran %d times", id, c.runs)})
		}
		if c.reportedNotRun && c.unsafe && c.runs > 0 {
			r.findings = append(r.findings, finding{"not-run-is-true", id + " ran, but was reported to its caller as not run"})
		}
	}
	r.checkRetryBudget()
}

const (
	// retryBudgetWindowSeconds is the window of the limit on extra arrivals, in seconds.
	retryBudgetWindowSeconds = 10
	// retryBudgetRatio and retryBudgetSlack are that limit: a fraction of the calls,
	// plus a constant.
	retryBudgetRatio = platformtest.RetryBudgetRatio
	retryBudgetSlack = platformtest.RetrySlack
)

// checkRetryBudget checks the extra arrivals in each window against the retry budget.
// The calls are the highest count among this window and the windows that begin half a
// window and a whole window earlier.
func (r *recorder) checkRetryBudget() {
	for from := range r.seconds {
		calls := max(r.windowTotal(from, sentCount), r.windowTotal(from-retryBudgetWindowSeconds/2, sentCount), r.windowTotal(from-retryBudgetWindowSeconds, sentCount))
		extra, limit := r.windowTotal(from, extraArrivalCount), int(retryBudgetRatio*float64(calls))+retryBudgetSlack
		if extra > limit {
			r.findings = append(r.findings, finding{"retry-budget", fmt.Sprintf("%d extra arrivals in the %d s from second %d, want at most %d", extra, retryBudgetWindowSeconds, from, limit)})
		}
	}
}

func sentCount(s secondCounts) int         { return s.sent }
func extraArrivalCount(s secondCounts) int { return s.extraArrivals }

// windowTotal sums a count over the window that begins at a second.
func (r *recorder) windowTotal(from int, count func(secondCounts) int) (n int) {
	for i := max(from, 0); i < min(from+retryBudgetWindowSeconds, len(r.seconds)); i++ {
		n += count(r.seconds[i])
	}
	return n
}
