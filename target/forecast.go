package target

import (
	"time"

	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/vm"
)

// Sight says how targets are asked for their state right before a choice. The
// zero value asks none.
//
// It answers a load that shifts faster than reports travel: a quarter of the
// targets several times slower than the rest, and which ones changes within a
// few hundred milliseconds.
type Sight struct {
	// Lifetime is how old a report may be before it is asked for again.
	Lifetime time.Duration
	// Near and Far are how many targets of the own zone and of others are asked
	// for one choice.
	Near, Far int
}

const (
	// usualWork stands for a call's time before any was seen, in seconds.
	defaultBaselineSeconds = 0.2
	// workMemory is how many calls the average of the usual time remembers.
	baselineWindow = 30
	// maxSample bounds what one call may say, in usual times.
	maxBaselineSampleRatio = 3.0
	// plainRatio is the forecast, in usual times, up to which a call's time says
	// how long the work takes.
	maxBaselineForecastRatio = 1.2
	// knee is the part of its slots from which a target slows down, and
	// kneeFactor by how much.
	kneeUtilization = 0.8
	kneeSlowdown    = 1.7
	// blindFactor is how many times longer a target without a fresh report is
	// assumed to take.
	noReportFactor = 3.0
	// muteFactor is the same for one that has left a question open: it may be
	// full.
	unresponsiveFactor = 4.0
	// unwellFactor is the same for one whose health check fails.
	unhealthyFactor = 3.0
	// plainLoad is how much longer a target that does not say its load is assumed to
	// take when all its slots hold this node's calls.
	ownLoadPenalty = 0.2
	// comfortShare is the part of an objective within which a forecast counts as
	// safely met.
	objectiveShare = 0.75
	// waitingNear and waitingFar are how many targets a call that waits asks each
	// time it looks again.
	waitingSameZoneQueries  = 2
	waitingOtherZoneQueries = 1
	// muteFor is how long a target that left a question unanswered is not asked.
	unresponsivePeriod = 400 * time.Millisecond
)

// Usual is the time of a call at usual pace with a slot free.
func (t *Table) Usual() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.baselineOrDefaultSeconds() * float64(time.Second))
}

// Told returns a channel that is closed when a call's end tells something of a
// target's load.
func (t *Table) Told() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loadChanged == nil {
		t.loadChanged = make(chan struct{})
	}
	return t.loadChanged
}

// tell closes the channel of Told. The lock must be held.
func (t *Table) notifyLoadChanged() {
	if t.loadChanged != nil {
		close(t.loadChanged)
		t.loadChanged = nil
	}
}

// Unseen returns the targets to ask before a choice: first those of the own
// zone, and once these are known and none of them meets the objective, others.
func (t *Table) Unseen(now time.Time, opts Wish) (refs []Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := t.settings.Sight
	if query == (Sight{}) || t.gatherCandidates(now, opts.Avoid) != Found {
		return nil
	}
	nowTick := t.toTick(now)
	if opts.Waiting {
		query.Near, query.Far = min(query.Near, waitingSameZoneQueries), min(query.Far, waitingOtherZoneQueries)
	}
	sameZoneRefs := t.sampleForQuery(nowTick, true, query.Near)
	if len(sameZoneRefs) > 0 {
		return sameZoneRefs
	}
	if t.bestSameZoneForecast() <= t.acceptableForecast(opts.Objective) {
		return nil
	}
	return t.sampleForQuery(nowTick, false, query.Far)
}

// unseen draws gathered candidates without a fresh report, so many that with those
// that have one there are n. The lock must be held.
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
		if e := t.eligible[i]; e.sameZone == sameZone && !t.hasFreshReport(e, nowTick) && !e.isUnresponsive(nowTick) {
			refs = append(refs, e.ref)
		}
	}
	return refs
}

// bestNear is the least forecast among gathered candidates of the own zone. The
// lock must be held.
func (t *Table) bestSameZoneForecast() time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for i := range t.candidates {
		if c := &t.candidates[i]; c.SameZone {
			shortest = min(shortest, c.Finish)
		}
	}
	return shortest
}

// comfort is the forecast up to which a target of the own zone is good enough.
func (t *Table) acceptableForecast(objective time.Duration) time.Duration {
	return time.Duration(objectiveShare * float64(objective))
}

func (t *Table) hasFreshReport(e *entry, nowTick tick) bool {
	return e.reportedAt != 0 && nowTick-e.reportedAt <= tick(t.settings.Sight.Lifetime)
}

func (e *entry) isUnresponsive(nowTick tick) bool {
	return e.unansweredAt != 0 && nowTick-e.unansweredAt < tick(unresponsivePeriod)
}

// Mute notes that a target left a question unanswered.
func (t *Table) Mute(id vm.ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil {
		e.unansweredAt = t.toTick(now)
	}
}

// Drop takes a target out of use until the list says something new of it: its
// address is another process's.
func (t *Table) Drop(id vm.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.find(id); e != nil {
		e.addressReused = true
	}
}

// takeDetail keeps a detailed report. The lock must be held.
func (t *Table) storeReport(e *entry, now time.Time, r Report) {
	e.unansweredAt = 0
	e.coldUntil = 0
	if r.ColdLeft > 0 {
		e.coldUntil = t.toTick(now) + tick(r.ColdLeft)
	}
	if !r.Detailed {
		// All it says is that a slot was free, since it answered; how many of this
		// node's calls are open there is known anyway.
		r.Running, r.Slots, r.Pace = e.ownInFlight, 0, 1
	}
	e.report = r
	e.reportedAt = t.toTick(now)
	e.sentSinceReport = 0
}

// warmUp ends a cold start whose time is over, until the target is asked again: a
// node that may not send to a target in cold start does not ask it either. The
// lock must be held.
func (t *Table) expireColdStart(e *entry, now time.Time, nowTick tick) {
	if e.state == Cold && e.coldUntil != 0 && nowTick >= e.coldUntil {
		t.setState(e, Unverified, now)
	}
}

// slots is how many calls a target runs at once. The lock must be held.
func (t *Table) slots(e *entry) int {
	if e.slots > 0 {
		return e.slots
	}
	return max(1, t.svc.Slots)
}

// forecast fills in when a candidate is expected to answer: the time until a
// slot is free, and the work at the target's pace. The lock must be held.
func (t *Table) setForecast(c *routing.Candidate, e *entry, now tick) {
	ratio := t.forecastRatio(e, now)
	if excessFailureRate := e.failureRate - t.failureRate; excessFailureRate > 0 {
		ratio *= 1 + failurePenalty*excessFailureRate*e.statsWeight(now)
	}
	if e.report.Unwell {
		ratio *= unhealthyFactor
	}
	c.Ratio = ratio
	c.Finish = time.Duration(ratio * t.baselineOrDefaultSeconds() * float64(time.Second))
}

// waitAndWork is the time to an answer in units of a call's usual time.
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
	ahead := e.report.Running + e.report.Waiting + e.sentSinceReport
	waitRatio := max(0, float64(ahead+1-slots)) / float64(slots)
	serviceRatio := 1.0
	if float64(min(ahead+1, slots)) > kneeUtilization*float64(slots) {
		serviceRatio = kneeSlowdown
	}
	ratio := (waitRatio*kneeSlowdown + serviceRatio) * e.report.Pace
	if !e.report.Detailed {
		// The target does not say how slow it is; its finished and open calls do.
		ratio *= t.slowness(e, now) * (1 + ownLoadPenalty*float64(e.ownInFlight)/float64(slots))
	}
	return ratio
}

// usual is a call's usual time in seconds.
func (t *Table) baselineOrDefaultSeconds() float64 {
	if t.baselineSeconds == 0 {
		return defaultBaselineSeconds
	}
	return t.baselineSeconds
}

// learnWork takes how long a call took that found a slot free at a target of
// usual pace; others say more of their target than of the work. The lock must be
// held.
func (t *Table) updateBaseline(latency time.Duration, ratio float64) {
	if ratio <= 0 || ratio > maxBaselineForecastRatio {
		return
	}
	// One call may say little: its target may have stood still meanwhile.
	sample := min(latency.Seconds()/ratio, maxBaselineSampleRatio*t.baselineOrDefaultSeconds())
	t.baselineSamples = min(t.baselineSamples+1, baselineWindow)
	t.baselineSeconds = t.baselineOrDefaultSeconds() + (sample-t.baselineOrDefaultSeconds())/float64(t.baselineSamples+1)
}
