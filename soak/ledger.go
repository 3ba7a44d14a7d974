package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// finding is a promise that was broken.
type finding struct {
	Promise string
	Detail  string
}

// call is what targets and its caller saw of a call.
type call struct {
	// by is the node that got it.
	node           *node
	unsafe         bool
	arrivals, runs int
	// refused says that its caller was told that it has not run.
	reportedNotRun bool
}

// sum counts, in one second, the calls sent and the arrivals beyond the first of
// each.
type secondCounts struct{ sent, extraArrivals int }

// account is what targets and callers saw of each call.
type recorder struct {
	mu    sync.Mutex
	calls map[string]*call
	// first is when the first call was sent; sums are counted by seconds from it.
	firstSentAt   time.Time
	seconds       []secondCounts
	findings      []finding
	outcomeCounts map[string]int
}

func newRecorder() *recorder {
	return &recorder{calls: map[string]*call{}, outcomeCounts: map[string]int{}}
}

func (r *recorder) addFinding(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, finding{promise, fmt.Sprintf(format, args...)})
}

// now returns the sum of the present second. The lock must be held.
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

// sent notes a call before it leaves for a node.
func (r *recorder) recordSent(id string, unsafe bool, n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[id] = &call{node: n, unsafe: unsafe}
	r.currentSecond().sent++
}

// arrived notes that a call reached a target.
func (r *recorder) recordArrival(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.calls[id]
	if c == nil {
		r.findings = append(r.findings, finding{"unasked", "a target got " + id + ", which nobody sent"})
		return
	}
	c.arrivals++
	if c.arrivals > 1 {
		r.currentSecond().extraArrivals++
	}
}

// ran notes that a target runs a call, and returns the node that sent it there.
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

// told notes what a caller was told.
func (r *recorder) recordOutcome(id, outcome string, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomeCounts[outcome]++
	r.calls[id].reportedNotRun = notRun
}

// settle checks what only the end shows.
func (r *recorder) checkTotals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.calls {
		if c.unsafe && c.runs > 1 {
			r.findings = append(r.findings, finding{"at-most-once", fmt.Sprintf("%s ran %d times", id, c.runs)})
		}
		if c.reportedNotRun && c.unsafe && c.runs > 0 {
			r.findings = append(r.findings, finding{"not-run-is-true", id + " ran, and its caller was told that it did not"})
		}
	}
	r.checkRetryBudget()
}

const (
	// budgetWindow is the span of the bound on arrivals beyond the first, in seconds.
	retryBudgetWindowSeconds = 10
	// budgetPart and budgetSlack are that bound: a part of the calls, and some more.
	retryBudgetRatio = platformtest.RetryPart
	retryBudgetSlack = platformtest.RetrySlack
)

// settleSums checks the arrivals beyond the first of each call.
func (r *recorder) checkRetryBudget() {
	for from := range r.seconds {
		calls := max(r.windowTotal(from, sentCount), r.windowTotal(from-retryBudgetWindowSeconds/2, sentCount), r.windowTotal(from-retryBudgetWindowSeconds, sentCount))
		extra, limit := r.windowTotal(from, extraArrivalCount), int(retryBudgetRatio*float64(calls))+retryBudgetSlack
		if extra > limit {
			r.findings = append(r.findings, finding{"retry-budget", fmt.Sprintf("%d arrivals beyond the first in the %d s from second %d, %d are allowed", extra, retryBudgetWindowSeconds, from, limit)})
		}
	}
}

func sentCount(s secondCounts) int         { return s.sent }
func extraArrivalCount(s secondCounts) int { return s.extraArrivals }

// total adds up a figure over the window that begins at a second.
func (r *recorder) windowTotal(from int, figure func(secondCounts) int) (n int) {
	for i := max(from, 0); i < min(from+retryBudgetWindowSeconds, len(r.seconds)); i++ {
		n += figure(r.seconds[i])
	}
	return n
}
