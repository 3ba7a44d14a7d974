package target

import (
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// Finish ends an attempt and records its result, its latency and the load
// report on its response.
func (t *Table) Finish(reservation Reservation, now time.Time, result Result, report Report) {
	t.notifyFinish(reservation, now, result)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := reservation.entry
	ownBefore := e.ownInFlight
	e.ownInFlight--
	e.startTickSum -= reservation.startTick
	if reservation.incarnation == e.incarnation {
		t.applyNotices(e, now, report)
	}
	t.applyReport(e, now, report, ownBefore)
	if reservation.incarnation == e.incarnation {
		t.applyLimit(e, report, LimitFromCall)
	}
	t.notifyLoadChanged()
	if e.instance != reservation.instance && reservation.instance != "" {
		// The attempt was sent to a replaced process; its result does not apply
		// to the current one.
		return
	}
	switch result {
	case Answered:
		t.recordSuccess(e, now, now.Sub(reservation.StartedAt), reservation.forecastRatio)
	case ServerFailed:
		t.recordFailure(e, now)
		e.lastResponseAt = now
	case Refused:
		t.recordRefusal(e, now, report)
	case ConnectFailed, Broken, TimedOut:
		t.recordFailure(e, now)
	case Cancelled:
		// The attempt was open for this long without a response. That indicates
		// slowness only if it exceeds the target's average.
		t.recordMinLatency(e, now, now.Sub(reservation.StartedAt))
	}
}

// recordSuccess records a complete response; forecastRatio is that of the
// Reservation. t.mu must be held.
func (t *Table) recordSuccess(e *entry, now time.Time, latency time.Duration, forecastRatio float64) {
	e.lastResponseAt = now
	e.servedCount++
	e.consecutiveFailures = 0
	t.decayStats(e, now)
	e.avgLatencySeconds = movingAverage(e.avgLatencySeconds, latency.Seconds())
	t.updateBaseline(latency, forecastRatio)
	t.avgLatencySeconds = movingAverage(t.avgLatencySeconds, latency.Seconds())
	e.failureRate += averageWeight * (0 - e.failureRate)
	t.failureRate += averageWeight * (0 - t.failureRate)
	t.countTrialResponse(e)
}

// countTrialResponse counts a successful response of a target on trial after an
// ejection. t.mu must be held.
func (t *Table) countTrialResponse(e *entry) {
	if e.trialResponsesRemaining == 0 {
		return
	}
	e.trialResponsesRemaining--
	if e.trialResponsesRemaining == 0 {
		e.ejectionCount = 0
		t.notifyChange(e, TargetReinstated)
	}
}

// decayStats moves the target's latency and failure rate towards the service's
// averages according to their age, before a new sample is added. t.mu must be
// held.
func (t *Table) decayStats(e *entry, now time.Time) {
	nowTick := t.toTick(now)
	weight := e.statsWeight(nowTick)
	if e.avgLatencySeconds > 0 {
		e.avgLatencySeconds = t.avgLatencySeconds + (e.avgLatencySeconds-t.avgLatencySeconds)*weight
	}
	e.failureRate = t.failureRate + (e.failureRate-t.failureRate)*weight
	e.statsUpdatedAt = nowTick
}

// recordMinLatency adds a lower bound of an attempt's latency to the target's
// average if it exceeds the average. t.mu must be held.
func (t *Table) recordMinLatency(e *entry, now time.Time, minLatency time.Duration) {
	if minLatency.Seconds() > e.avgLatencySeconds {
		t.decayStats(e, now)
		e.avgLatencySeconds = movingAverage(e.avgLatencySeconds, minLatency.Seconds())
	}
}

// recordFailure records a failed attempt and ejects the target after
// ejectAfterFailures consecutive ones. t.mu must be held.
func (t *Table) recordFailure(e *entry, now time.Time) {
	e.consecutiveFailures++
	t.decayStats(e, now)
	e.failureRate += averageWeight * (1 - e.failureRate)
	t.failureRate += averageWeight * (1 - t.failureRate)
	if e.consecutiveFailures >= ejectAfterFailures {
		t.eject(e, now)
	}
}

// eject takes a failing target out of use for a period, and then puts it on
// trial. The period doubles with each ejection, up to maxEjectionPeriod; it is
// baseEjectionPeriod again after a successful trial. If more than half of the
// targets that accept work would be ejected, the failures are not attributed to
// single targets and this one stays in use. t.mu must be held.
func (t *Table) eject(e *entry, now time.Time) {
	if t.toTick(now) < e.ejectedUntil {
		return
	}
	ejectedCount, acceptingCount := 1, 0
	for _, other := range t.entries {
		if !other.acceptsWork() {
			continue
		}
		acceptingCount++
		if other != e && t.toTick(now) < other.ejectedUntil {
			ejectedCount++
		}
	}
	if 2*ejectedCount > acceptingCount {
		t.notifyChange(e, EjectionSkipped)
		return
	}
	period := min(baseEjectionPeriod<<min(e.ejectionCount, 5), maxEjectionPeriod)
	// Jitter keeps nodes from resuming use of the target at the same time.
	period += time.Duration(t.rng.Int64N(int64(period)))
	e.ejectionCount++
	e.ejectedUntil = t.toTick(now.Add(period))
	e.trialResponsesRemaining = trialResponses
	t.notifyChange(e, TargetEjected)
}

// recordRefusal records that the target refused an attempt before starting it.
// Without a report on the response, the target is assumed to be full. t.mu must
// be held.
func (t *Table) recordRefusal(e *entry, now time.Time, report Report) {
	e.lastResponseAt = now
	if report.IsDetailed && report.RunningCount < report.Slots {
		// The target refuses attempts although it is not full. This counts as a
		// failure, because its low load would otherwise attract more attempts.
		t.decayStats(e, now)
		e.failureRate += averageWeight * (1 - e.failureRate)
		t.failureRate += averageWeight * (1 - t.failureRate)
	}
	if report.IsPresent {
		return
	}
	e.othersInFlight = max(e.othersInFlight, float64(t.svc.Slots-e.ownInFlight))
	e.othersReportedAt = t.toTick(now)
}

// applyReport updates a target from a load report; ownIncluded is the number of
// this node's attempts that the report includes. t.mu must be held.
func (t *Table) applyReport(e *entry, now time.Time, r Report, ownIncluded int) {
	if !r.IsPresent || e.isReplaced(r.Instance) {
		return
	}
	if r.Instance != "" && r.Instance != e.instance {
		t.changeInstance(e, r.Instance, now)
	}
	t.setState(e, t.reportedState(e, r, now), now)
	t.storeReport(e, now, r)
	e.othersInFlight = max(0, float64(r.InFlight-ownIncluded))
	e.othersReportedAt = t.toTick(now)
	t.avgOthersInFlight += averageWeight * (e.othersInFlight - t.avgOthersInFlight)
}

// changeInstance records a new instance of a target and calls Settings.OnChange,
// unless it is the first one that becomes known. t.mu must be held.
func (t *Table) changeInstance(e *entry, i Instance, now time.Time) {
	isFirst := e.instance == ""
	e.replaceInstance(i, now)
	if !isFirst {
		t.notifyChange(e, InstanceChanged)
	}
}

// reportedState returns the state after a report. A target that reports no
// state stays in cold start for the service's cold period after a change of
// instance, and is live otherwise.
func (t *Table) reportedState(e *entry, r Report, now time.Time) State {
	if r.State != Unverified {
		return r.State
	}
	if e.state == Cold && now.Sub(e.coldSince) < t.svc.ColdPeriod {
		return Cold
	}
	return Live
}

// setState changes the state of a target and calls Settings.OnChange. t.mu must
// be held.
func (t *Table) setState(e *entry, s State, now time.Time) {
	if e.state == s {
		return
	}
	if s == Cold {
		e.coldSince = now
	}
	change := StateChanged
	// The two states differ, so only Unverified and Live have this sum.
	if e.state+s == Unverified+Live {
		change = VerificationChanged
	}
	e.state = s
	t.notifyChange(e, change)
}

// RecordReport records the report of a probe, of a load query or of a connection
// that was verified before it carried work. Without a report, it only delays the
// next probe.
func (t *Table) RecordReport(id vm.ID, now time.Time, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(id)
	if e == nil {
		return
	}
	e.lastProbeAt = now
	t.applyNotices(e, now, r)
	if r.IsPresent {
		e.lastResponseAt = now
		t.applyReport(e, now, r, e.ownInFlight)
		t.notifyLoadChanged()
	}
	t.applyLimit(e, r, LimitFromLoadQuery)
}

// MarkUnverified records that a target's connections broke, so its process may
// have been replaced. A live target becomes unverified and takes one attempt at
// a time until its next report.
func (t *Table) MarkUnverified(id vm.ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil && e.state == Live {
		t.setState(e, Unverified, now)
	}
}

// Observation is the state of a target's instance as a peer observed it.
type Observation struct {
	ID       vm.ID
	Instance Instance
	State    State
}

// RecordObservation records a peer's observation, made the given age ago. It is
// ignored if it names no instance or a replaced one, if its state is
// Unverified, or if this node received a response from the target since.
func (t *Table) RecordObservation(now time.Time, o Observation, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(o.ID)
	if e == nil || o.Instance == "" || e.isReplaced(o.Instance) || o.State == Unverified {
		return
	}
	if now.Add(-age).Before(e.lastResponseAt) {
		return
	}
	e.lastProbeAt = now
	if o.Instance != e.instance {
		t.changeInstance(e, o.Instance, now)
	}
	t.setState(e, o.State, now)
}

// NextProbeTarget returns the target to probe next and records it as probed now;
// ok is false if no probe is due. It chooses the least recently probed target
// that was not probed within interval, is not withdrawn, and is ejected or not
// live. Another target needs no probes: responses to its calls show its state.
func (t *Table) NextProbeTarget(now time.Time, interval time.Duration) (ref Ref, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest *entry
	for _, e := range t.entries {
		if e.withdrawn || e.state == Live && t.toTick(now) >= e.ejectedUntil {
			continue
		}
		if t.toTick(now) < e.backOffUntil {
			continue
		}
		if now.Sub(e.lastProbeAt) < interval {
			continue
		}
		if oldest == nil || e.lastProbeAt.Before(oldest.lastProbeAt) {
			oldest = e
		}
	}
	if oldest == nil {
		return Ref{}, false
	}
	oldest.lastProbeAt = now
	return oldest.ref, true
}

// movingAverage returns an exponential moving average with a sample added. If old
// is zero, the sample is the first one and becomes the average.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + averageWeight*(sample-old)
}
