package target

import (
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// Finish ends an attempt and takes what it taught: how it ended and the report
// its answer carried.
func (t *Table) Finish(res Place, now time.Time, result Result, report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := res.entry
	ownBefore := e.ownInFlight
	e.ownInFlight--
	e.startTickSum -= res.startTick
	t.applyReport(e, now, report, ownBefore)
	t.notifyLoadChanged()
	if e.instance != res.instance && res.instance != "" {
		// The attempt went to an older process; it says nothing of this one.
		return
	}
	switch result {
	case Answered:
		t.recordSuccess(e, now, now.Sub(res.Started), res.forecastRatio)
	case ServerFailed:
		t.recordFailure(e, now)
		e.lastResponseAt = now
	case Refused:
		t.recordRefusal(e, now, report)
	case ConnectFailed, Broken, TimedOut:
		t.recordFailure(e, now)
	case Cancelled:
		// It was open for that long without an answer, which is evidence of
		// slowness only if that is longer than usual.
		t.recordMinLatency(e, now, now.Sub(res.Started))
	}
}

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

// endTrial counts an answer of a target that was out. The lock must be held.
func (t *Table) countTrialResponse(e *entry) {
	if e.trialRemaining == 0 {
		return
	}
	e.trialRemaining--
	if e.trialRemaining == 0 {
		e.ejectionCount = 0
		t.notifyChange(e, NoteReturned)
	}
}

// judge lets an old judgement fade into the average of the target's like before
// a new one is added. The lock must be held.
func (t *Table) decayStats(e *entry, now time.Time) {
	nowTick := t.toTick(now)
	weight := e.statsWeight(nowTick)
	if e.avgLatencySeconds > 0 {
		e.avgLatencySeconds = t.avgLatencySeconds + (e.avgLatencySeconds-t.avgLatencySeconds)*weight
	}
	e.failureRate = t.failureRate + (e.failureRate-t.failureRate)*weight
	e.statsUpdatedAt = nowTick
}

func (t *Table) recordMinLatency(e *entry, now time.Time, latency time.Duration) {
	if latency.Seconds() > e.avgLatencySeconds {
		t.decayStats(e, now)
		e.avgLatencySeconds = movingAverage(e.avgLatencySeconds, latency.Seconds())
	}
}

func (t *Table) recordFailure(e *entry, now time.Time) {
	e.consecutiveFailures++
	t.decayStats(e, now)
	e.failureRate += averageWeight * (1 - e.failureRate)
	t.failureRate += averageWeight * (1 - t.failureRate)
	if e.consecutiveFailures >= ejectAfterFailures {
		t.eject(e, now)
	}
}

// eject takes a bad target out for a while. If as many as half would be out,
// the reports are doubted and the target stays in use. The lock must be held.
func (t *Table) eject(e *entry, now time.Time) {
	if t.toTick(now) < e.ejectedUntil {
		return
	}
	ejected, usable := 1, 0
	for _, other := range t.entries {
		if !other.acceptsWork() {
			continue
		}
		usable++
		if other != e && t.toTick(now) < other.ejectedUntil {
			ejected++
		}
	}
	if 2*ejected > usable {
		t.notifyChange(e, NoteMostFailing)
		return
	}
	period := min(baseEjectionPeriod<<min(e.ejectionCount, 5), maxEjectionPeriod)
	// The jitter keeps the nodes from returning together.
	period += time.Duration(t.rng.Int64N(int64(period)))
	e.ejectionCount++
	e.ejectedUntil = t.toTick(now.Add(period))
	e.trialRemaining = trialResponses
	t.notifyChange(e, NoteEjected)
}

// refused takes a truthful refusal: the target is full now.
func (t *Table) recordRefusal(e *entry, now time.Time, report Report) {
	e.lastResponseAt = now
	if report.Detailed && report.Running < report.Slots {
		// It is not full: it fails, and would look idle for it.
		t.decayStats(e, now)
		e.failureRate += averageWeight * (1 - e.failureRate)
		t.failureRate += averageWeight * (1 - t.failureRate)
	}
	if report.Known {
		return
	}
	e.othersInFlight = max(e.othersInFlight, float64(t.svc.Slots-e.ownInFlight))
	e.othersReportedAt = t.toTick(now)
}

// takeReport takes the load on an answer. The lock must be held.
func (t *Table) applyReport(e *entry, now time.Time, r Report, own int) {
	if !r.Known || e.isReplaced(r.Instance) {
		return
	}
	if r.Instance != e.instance && (r.Instance != "" || !r.Detailed) {
		t.changeInstance(e, r.Instance, now)
	}
	t.setState(e, t.reportedState(e, r, now), now)
	t.storeReport(e, now, r)
	e.othersInFlight = max(0, float64(r.InFlight-own))
	e.othersReportedAt = t.toTick(now)
	t.avgOthersInFlight += averageWeight * (e.othersInFlight - t.avgOthersInFlight)
}

func (t *Table) changeInstance(e *entry, i Instance, now time.Time) {
	first := e.instance == ""
	e.replaceInstance(i, now)
	if !first {
		t.notifyChange(e, NoteInstance)
	}
}

// reportedState is the state after a report. A target that does not tell is
// cold for the service's cold period after a change of instance.
func (t *Table) reportedState(e *entry, r Report, now time.Time) State {
	if r.State != Unverified {
		return r.State
	}
	if e.state == Cold && now.Sub(e.coldSince) < t.svc.ColdPeriod {
		return Cold
	}
	return Live
}

func (t *Table) setState(e *entry, s State, now time.Time) {
	if e.state == s {
		return
	}
	if s == Cold {
		e.coldSince = now
	}
	change := NoteState
	if e.state+s == Unverified+Live {
		change = NoteVerified
	}
	e.state = s
	t.notifyChange(e, change)
}

// Probed takes the report of a probe, or of a connection that was verified
// before it carried work.
func (t *Table) Probed(id vm.ID, now time.Time, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(id)
	if e == nil {
		return
	}
	e.lastProbeAt = now
	if !r.Known {
		return
	}
	e.lastResponseAt = now
	t.applyReport(e, now, r, e.ownInFlight)
	t.notifyLoadChanged()
}

// Suspect notes that a target's connections broke: its process may have been
// replaced. Until it is verified again it takes one attempt at a time.
func (t *Table) Suspect(id vm.ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil && e.state == Live {
		t.setState(e, Unverified, now)
	}
}

// Observation is what a peer saw of a target's instance.
type Observation struct {
	ID       vm.ID
	Instance Instance
	State    State
}

// Hear takes a peer's observation. It moves a target between live, cold, draining and
// leaving only for the instance this node knows, or for one it has not seen
// before; it never revives what this node saw more recently itself.
func (t *Table) Hear(now time.Time, o Observation, age time.Duration) {
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

// ProbeWanted returns a target about which answers leave something unknown:
// one that is not live and has not been probed for the given time.
func (t *Table) ProbeWanted(now time.Time, interval time.Duration) (ref Ref, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest *entry
	for _, e := range t.entries {
		if e.withdrawn || e.state == Live && t.toTick(now) >= e.ejectedUntil {
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

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + averageWeight*(sample-old)
}
