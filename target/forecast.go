package target

import (
	"time"

	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/vm"
)

// LoadQuerySettings sets how targets are queried for their load right before a
// choice. The zero value disables load queries.
//
// Load queries are meant for workloads in which load shifts faster than reports
// arrive: a quarter of the targets is several times slower than the rest, and
// the slow set changes within a few hundred milliseconds.
type LoadQuerySettings struct {
	// MaxReportAge is the age up to which a report is fresh; a target whose
	// report is older is queried again.
	MaxReportAge time.Duration
	// SameZoneCount and OtherZoneCount are the numbers of targets, in the
	// node's zone and in other zones, that should have a fresh report for one
	// choice; as many as are missing are queried.
	SameZoneCount, OtherZoneCount int
}

const (
	// defaultBaselineSeconds is the baseline service time before the first
	// sample.
	defaultBaselineSeconds = 0.2
	// baselineWindow is the number of samples of the baseline service time from
	// which on the weight of a new sample no longer falls.
	baselineWindow = 30
	// maxBaselineSampleRatio caps one sample, in multiples of the baseline.
	maxBaselineSampleRatio = 3.0
	// maxBaselineForecastRatio is the forecast ratio, which is the forecast
	// latency divided by the baseline service time, up to which the latency of a
	// call is used as a baseline sample.
	maxBaselineForecastRatio = 1.2
	// kneeUtilization is the utilization from which a target slows down, and
	// kneeSlowdown the factor by which it does.
	kneeUtilization = 0.8
	kneeSlowdown    = 1.7
	// noReportFactor is the forecast ratio of a target that has neither a fresh
	// report nor an open attempt of this node.
	noReportFactor = 3.0
	// unresponsiveFactor is the least forecast ratio of a target that left a
	// load query unanswered: it may be full.
	unresponsiveFactor = 4.0
	// unhealthyFactor multiplies the forecast of a target whose health check
	// fails.
	unhealthyFactor = 3.0
	// ownLoadPenalty is the relative increase of the forecast of a target that
	// does not report its load, when this node's calls fill all its slots.
	ownLoadPenalty = 0.2
	// objectiveShare is the share of an objective within which a forecast is
	// considered to meet it safely.
	objectiveShare = 0.75
	// waitingSameZoneQueries and waitingOtherZoneQueries limit SameZoneCount
	// and OtherZoneCount of LoadQuerySettings each time a waiting call tries
	// again.
	waitingSameZoneQueries  = 2
	waitingOtherZoneQueries = 1
	// unresponsivePeriod is how long a target that left a load query unanswered
	// is not queried.
	unresponsivePeriod = 400 * time.Millisecond
)

// BaselineServiceTime returns the baseline service time: the average latency of
// a call at a target of normal speed with a free slot.
func (t *Table) BaselineServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.baselineOrDefaultSeconds() * float64(time.Second))
}

// LoadChanged returns a channel that is closed when an attempt ends, or a probe
// or load query returns a report: a target's load may have changed.
func (t *Table) LoadChanged() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loadChanged == nil {
		t.loadChanged = make(chan struct{})
	}
	return t.loadChanged
}

// notifyLoadChanged closes the channel that LoadChanged returned. t.mu must be
// held.
func (t *Table) notifyLoadChanged() {
	if t.loadChanged != nil {
		close(t.loadChanged)
		t.loadChanged = nil
	}
}

// TargetsToQuery returns the targets to query before a choice. Targets in other
// zones are returned only when no more queries are due in the node's zone and
// no target there has an acceptable forecast.
func (t *Table) TargetsToQuery(now time.Time, opts PickOptions) (refs []Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := t.settings.LoadQuery
	if query == (LoadQuerySettings{}) || t.gatherCandidates(now, opts, true) != PickOK {
		return nil
	}
	nowTick := t.toTick(now)
	if opts.IsWaiting {
		query.SameZoneCount, query.OtherZoneCount = min(query.SameZoneCount, waitingSameZoneQueries), min(query.OtherZoneCount, waitingOtherZoneQueries)
	}
	t.markPreferred(opts, true)
	sameZoneRefs := t.sampleForQuery(nowTick, true, query.SameZoneCount)
	if len(sameZoneRefs) > 0 {
		return sameZoneRefs
	}
	if t.bestSameZoneForecast() <= t.acceptableForecast(opts.Objective) {
		return nil
	}
	t.markPreferred(opts, false)
	return t.sampleForQuery(nowTick, false, query.OtherZoneCount)
}

// sampleForQuery draws random preferred candidates that have no fresh report,
// from the node's zone if sameZone is true and from other zones otherwise. It
// draws at most n, less one for each candidate there that has a fresh report.
// Unresponsive targets are excluded. t.mu must be held.
func (t *Table) sampleForQuery(nowTick tick, sameZone bool, n int) (refs []Ref) {
	for _, e := range t.eligible {
		if e.sameZone == sameZone && t.hasFreshReport(e, nowTick) {
			n--
		}
	}
	for _, i := range t.rng.Perm(len(t.eligible)) {
		if len(refs) >= n {
			break
		}
		if e := t.eligible[i]; e.sameZone == sameZone && e.isPreferred && !t.hasFreshReport(e, nowTick) && !e.isUnresponsive(nowTick) {
			refs = append(refs, e.ref)
		}
	}
	return refs
}

// bestSameZoneForecast returns the shortest forecast of the candidates in the
// node's zone, or the longest duration if there are none. t.mu must be held.
func (t *Table) bestSameZoneForecast() time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for i := range t.candidates {
		if c := &t.candidates[i]; c.SameZone {
			shortest = min(shortest, c.Forecast)
		}
	}
	return shortest
}

// acceptableForecast returns the forecast up to which a target of the node's
// zone is preferred to faster ones in other zones.
func (t *Table) acceptableForecast(objective time.Duration) time.Duration {
	return time.Duration(objectiveShare * float64(objective))
}

// hasFreshReport reports whether the target's last report is at most
// LoadQuerySettings.MaxReportAge old. t.mu must be held.
func (t *Table) hasFreshReport(e *entry, nowTick tick) bool {
	return e.reportedAt != 0 && nowTick-e.reportedAt <= tick(t.settings.LoadQuery.MaxReportAge)
}

// isUnresponsive reports whether the target left a load query unanswered within
// the last unresponsivePeriod.
func (e *entry) isUnresponsive(nowTick tick) bool {
	return e.unansweredAt != 0 && nowTick-e.unansweredAt < tick(unresponsivePeriod)
}

// MarkUnresponsive records that a target left a load query unanswered.
func (t *Table) MarkUnresponsive(id vm.ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil {
		e.unansweredAt = t.toTick(now)
	}
}

// MarkAddressReused takes a target out of use until the list replaces or
// removes it, because another process has its address.
func (t *Table) MarkAddressReused(id vm.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil {
		e.addressReused = true
	}
}

// storeReport keeps a report for forecasts. t.mu must be held.
func (t *Table) storeReport(e *entry, now time.Time, r Report) {
	e.unansweredAt = 0
	e.coldUntil = 0
	if r.ColdStartRemaining > 0 {
		e.coldUntil = t.toTick(now) + tick(r.ColdStartRemaining)
	}
	if !r.IsDetailed {
		// Without details, the response only shows that a slot was free. Only
		// this node's own attempts are assumed to run.
		r.RunningCount, r.Slots, r.SlowdownFactor = e.ownInFlight, 0, 1
	}
	e.report = r
	e.reportedAt = t.toTick(now)
	e.sentSinceReport = 0
}

// expireColdStart makes a target unverified when its cold start is over, so
// that it is queried again: a node that may not send to a target in cold start
// does not query it either. t.mu must be held.
func (t *Table) expireColdStart(e *entry, now time.Time, nowTick tick) {
	if e.state == Cold && e.coldUntil != 0 && nowTick >= e.coldUntil {
		t.setState(e, Unverified, now)
	}
}

// slots returns how many calls a target runs at once. t.mu must be held.
func (t *Table) slots(e *entry) int {
	if e.slots > 0 {
		return e.slots
	}
	return max(1, t.svc.Slots)
}

// setForecast sets the forecast of a candidate: the time until a slot is free
// plus the service time at the target's speed, increased by excess failures and
// a failing health check. t.mu must be held.
func (t *Table) setForecast(c *routing.Candidate, e *entry, now tick) {
	ratio := t.forecastRatio(e, now)
	if excessFailureRate := e.failureRate - t.failureRate; excessFailureRate > 0 {
		ratio *= 1 + failurePenalty*excessFailureRate*e.statsWeight(now)
	}
	if e.report.IsUnhealthy {
		ratio *= unhealthyFactor
	}
	c.ForecastRatio = ratio
	c.Forecast = time.Duration(ratio * t.baselineOrDefaultSeconds() * float64(time.Second))
}

// forecastRatio returns the forecast latency divided by the baseline service
// time, before failures and health are considered. t.mu must be held.
func (t *Table) forecastRatio(e *entry, now tick) float64 {
	if e.isUnresponsive(now) {
		return max(unresponsiveFactor, e.avgLatencySeconds*e.statsWeight(now)/t.baselineOrDefaultSeconds())
	}
	if !t.hasFreshReport(e, now) {
		return noReportFactor * (1 + float64(e.ownInFlight)/float64(t.slots(e)))
	}
	slots := t.slots(e)
	if e.report.Slots > 0 {
		slots = e.report.Slots
	}
	callsAhead := e.report.RunningCount + e.report.WaitingCount + e.sentSinceReport
	waitRatio := max(0, float64(callsAhead+1-slots)) / float64(slots)
	serviceRatio := 1.0
	if float64(min(callsAhead+1, slots)) > kneeUtilization*float64(slots) {
		serviceRatio = kneeSlowdown
	}
	ratio := (waitRatio*kneeSlowdown + serviceRatio) * e.report.SlowdownFactor
	if !e.report.IsDetailed {
		// The target does not report its speed; its finished and open attempts
		// are used instead.
		ratio *= t.slowness(e, now) * (1 + ownLoadPenalty*float64(e.ownInFlight)/float64(slots))
	}
	return ratio
}

// baselineOrDefaultSeconds returns the baseline service time in seconds. t.mu
// must be held.
func (t *Table) baselineOrDefaultSeconds() float64 {
	if t.baselineSeconds == 0 {
		return defaultBaselineSeconds
	}
	return t.baselineSeconds
}

// updateBaseline adds the latency of a call to the baseline service time if its
// forecast ratio was low: its target ran at normal speed and had a free slot.
// The latency of other calls depends more on the target than on the work. t.mu
// must be held.
func (t *Table) updateBaseline(latency time.Duration, forecastRatio float64) {
	if forecastRatio <= 0 || forecastRatio > maxBaselineForecastRatio {
		return
	}
	// A single call may be an outlier: its target may have stalled.
	sample := min(latency.Seconds()/forecastRatio, maxBaselineSampleRatio*t.baselineOrDefaultSeconds())
	t.baselineSampleCount = min(t.baselineSampleCount+1, baselineWindow)
	t.baselineSeconds = t.baselineOrDefaultSeconds() + (sample-t.baselineOrDefaultSeconds())/float64(t.baselineSampleCount+1)
}
