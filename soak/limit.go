package soak

import (
	"slices"
	"time"
)

// A target may name how many calls a second it takes from all nodes together. The check
// is the sum over the nodes, as the target sees it.
const (
	// limitNotice is how long after a target first named a limit its calls may exceed it,
	// with a second for slow machines, and limitWindow the span over which they count.
	limitNotice, limitWindow = 4 * time.Second, 4 * time.Second
	// minLimitDuration and maxLimitDuration bound how long a target names a limit.
	minLimitDuration, maxLimitDuration = 6 * time.Second, 14 * time.Second
)

// limits are the rate limits that targets name, in calls a second.
var limits = []float64{0, 0.4, 1, 2.5, 8}

// allowedInWindow returns how many calls may reach a target with a limit in limitWindow.
func allowedInWindow(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// namedLimit is the rate limit that a target names.
type namedLimit struct {
	perSecond float64
	// namedAt is when the target began to name it; zero if it names none.
	namedAt time.Time
	// arrivals holds when calls arrived in the last limitWindow.
	arrivals []time.Time
}

// nameLimits makes a random target, or now and then all of them, name a rate limit for a
// random time, unless it names one already.
func (h *harness) nameLimits() {
	d := minLimitDuration + time.Duration(h.randomInt(int(maxLimitDuration-minLimitDuration)))
	h.mu.Lock()
	defer h.mu.Unlock()
	chosen := []*target{h.randomTarget()}
	if h.rng.IntN(4) == 0 {
		chosen = h.activeTargets()
	}
	chosen = slices.DeleteFunc(chosen, func(t *target) bool { return !t.limit.namedAt.IsZero() })
	for _, t := range chosen {
		t.limit = namedLimit{perSecond: limits[h.rng.IntN(len(limits))], namedAt: time.Now()}
		t.SetLimit(t.limit.perSecond)
	}
	time.AfterFunc(d, func() { h.endLimits(chosen) })
}

// endLimits makes targets name no limit any more.
func (h *harness) endLimits(targets []*target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range targets {
		t.limit = namedLimit{}
		t.SetLimitText("")
	}
}

// checkLimit checks a call of a node that reaches a target against the target's limit.
// Calls of nodes that were disturbed since the target named it do not count. h.mu must be
// held.
func (h *harness) checkLimit(t *target, n *node, now time.Time) {
	if n == nil || t.limit.namedAt.IsZero() || now.Sub(t.limit.namedAt) < limitNotice || !h.toldUndisturbed(t, n, t.limit.namedAt) {
		return
	}
	l := &t.limit
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	if allowed := allowedInWindow(l.perSecond); len(l.arrivals) > allowed {
		h.recorder.addFinding("rate-limit", "%s names a limit of %v a second and got %d calls in %s, want at most %d", t.ID, l.perSecond, len(l.arrivals), limitWindow, allowed)
		l.arrivals = nil
	}
}
