package target

import (
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/vm"
)

// Place is one open attempt at a target; every Place must be given to Finish
// once.
type Place struct {
	Ref Ref
	// Cold says that the target is in cold start and that the attempt must end
	// before Until.
	Cold  bool
	Until time.Time
	// Free says that the target seemed to have a slot free.
	Free    bool
	Started time.Time
	// Finish is the forecast of how long the answer takes; zero if there is none.
	Finish time.Duration
	// Seen is the report behind the forecast and SeenAge its age; it is not
	// Detailed if there was no fresh one.
	Seen    Report
	SeenAge time.Duration

	// ratio is the forecast in units of a call's usual time; zero if there is none.
	forecastRatio float64

	entry     *entry
	instance  Instance
	startTick tick
}

// None says why no target takes an attempt.
type None uint8

// The reasons why no target takes an attempt.
const (
	// Found: there is one.
	Found None = iota
	// NoneKnown: the service has no target that takes work.
	NoneKnown
	// NoneWarm: all that take work are cold and not this node's to use, or full.
	NoneWarm
	// NoneOther: all that take work were to be avoided or have enough of this
	// node's attempts.
	NoneOther
	// NoneInTime: no target is expected to answer within the limit.
	NoneInTime
)

// Wish is what an attempt asks of its target.
type Wish struct {
	// Avoid are targets to be passed over.
	Avoid []vm.ID
	// FreeOnly passes over targets that seem to have no slot free.
	FreeOnly bool
	// Objective is the time within which the answer is wanted; a target of the
	// own zone that meets it goes before faster ones elsewhere. Zero means that
	// none is stated.
	Objective time.Duration
	// Waiting says that the call has looked before and waits for room.
	Waiting bool
	// Limit is the longest forecast that is accepted; zero means any.
	Limit time.Duration
}

// Pick chooses a target for an attempt and opens it there. Targets in avoid
// are passed over; with freeOnly so are those that seem to have no slot free.
func (t *Table) Pick(now time.Time, avoid []vm.ID, freeOnly bool) (res Place, status None) {
	return t.PickBy(now, Wish{Avoid: avoid, FreeOnly: freeOnly})
}

// PickBy chooses a target for an attempt and opens it there. If the best
// forecast is beyond the limit there is NoneInTime, and the place carries the
// forecast.
func (t *Table) PickBy(now time.Time, opts Wish) (res Place, status None) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status = t.gatherCandidates(now, opts.Avoid)
	if status != Found {
		return Place{}, status
	}
	t.updateAvgLoad()
	i := t.choose(opts)
	c := &t.candidates[i]
	if opts.FreeOnly && !c.Free() {
		return Place{}, NoneOther
	}
	if opts.Limit > 0 && c.Finish > opts.Limit && t.hasLoadEvidence(t.toTick(now)) {
		return t.withForecast(Place{Ref: t.eligible[i].ref}, i, now), NoneInTime
	}
	res, status = t.reserve(t.eligible[i], c.Free(), now)
	return t.withForecast(res, i, now), status
}

// foreseen adds to a place what was forecast of its candidate, and from what.
// The lock must be held.
func (t *Table) withForecast(res Place, i int, now time.Time) Place {
	c, e, nowTick := &t.candidates[i], t.eligible[i], t.toTick(now)
	res.Finish = c.Finish
	if t.settings.Sight != (Sight{}) && t.hasFreshReport(e, nowTick) {
		// Only a forecast from a report teaches how long calls take.
		res.forecastRatio = c.Ratio
		res.Seen, res.SeenAge = e.report, time.Duration(nowTick-e.reportedAt)
	}
	return res
}

// anySeen reports whether a candidate has a fresh report or has left a question
// open, as full targets do: without any a forecast says too little to turn a call
// away. The lock must be held.
func (t *Table) hasLoadEvidence(now tick) bool {
	for _, e := range t.eligible {
		if t.hasFreshReport(e, now) || e.isUnresponsive(now) {
			return true
		}
	}
	return false
}

// choose returns the index of the candidate to take. The lock must be held.
func (t *Table) choose(opts Wish) int {
	if t.settings.Sight == (Sight{}) {
		return t.settings.Chooser.Choose(t.candidates, t.rng)
	}
	return routing.Soonest{Within: t.acceptableForecast(opts.Objective)}.Choose(t.candidates, t.rng)
}

// gather fills the candidates of a choice. The lock must be held.
func (t *Table) gatherCandidates(now time.Time, avoid []vm.ID) None {
	t.candidates = t.candidates[:0]
	t.eligible = t.eligible[:0]
	status := NoneKnown
	nowTick := t.toTick(now)
	for _, e := range t.entries {
		if !e.acceptsWork() || nowTick < e.ejectedUntil {
			continue
		}
		t.expireColdStart(e, now, nowTick)
		if e.state == Cold && !t.hasColdStartLease(e, now) {
			status = max(status, NoneWarm)
			continue
		}
		if !t.hasCapacity(e) || slices.Contains(avoid, e.ref.ID) {
			status = NoneOther
			continue
		}
		t.addCandidate(e, nowTick)
	}
	if len(t.candidates) > 0 {
		return Found
	}
	return status
}

// noteLoad keeps the average load of the candidates, in parts of their slots.
// The lock must be held.
func (t *Table) updateAvgLoad() {
	open, slots := 0.0, 0
	for i := range t.candidates {
		c := &t.candidates[i]
		open += float64(c.Own) + c.Others
		slots += c.Slots
	}
	t.avgLoad += avgLoadWeight * (open/float64(slots) - t.avgLoad)
}

// Load is the estimated average load of the service's targets, in parts of
// their slots.
func (t *Table) Load() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avgLoad
}

// addCandidate puts a target among the candidates. The lock must be held.
func (t *Table) addCandidate(e *entry, now tick) {
	n := len(t.candidates)
	t.candidates = append(t.candidates, routing.Candidate{})
	t.eligible = append(t.eligible, e)
	c := &t.candidates[n]
	c.Own = e.ownInFlight
	c.Others = t.estimateOthers(e, now)
	c.Slots = t.slots(e)
	if e.state == Cold {
		c.Slots = max(1, t.svc.ColdSlots)
	}
	c.SameZone = e.sameZone
	c.Slowness = t.slowness(e, now)
	if t.settings.Sight != (Sight{}) {
		t.setForecast(c, e, now)
	}
	if t.settings.Truth != nil {
		c.True = t.settings.Truth(e.ref.ID)
	}
}

func (t *Table) hasColdStartLease(e *entry, now time.Time) bool {
	_, ok := t.settings.Rights.Until(e.ref.ID, now)
	return ok
}

// hasRoom bounds what this node has open at one target: its slots, its cold
// slots in cold start, one during a trial.
func (t *Table) hasCapacity(e *entry) bool {
	limit := t.slots(e)
	if e.state == Cold {
		limit = t.svc.ColdSlots
	}
	if e.trialRemaining > 0 || e.state == Unverified {
		limit = 1
	}
	return e.ownInFlight < limit
}

func (t *Table) reserve(e *entry, free bool, now time.Time) (res Place, status None) {
	res = Place{Ref: e.ref, Free: free, Started: now, entry: e, instance: e.instance}
	if e.state == Cold {
		end, ok := t.settings.Rights.Until(e.ref.ID, now)
		if !ok {
			return Place{}, NoneWarm
		}
		if limiter, isLimiter := t.settings.Rights.(Taker); isLimiter && !limiter.Take(e.ref.ID, now) {
			return Place{}, NoneWarm
		}
		res.Cold, res.Until = true, end
	}
	res.startTick = t.toTick(now)
	e.ownInFlight++
	e.sentSinceReport++
	e.startTickSum += res.startTick
	if res.Cold {
		t.settings.Checks.Hold(e.ownInFlight <= t.svc.ColdSlots, invariant.ColdWithinLimit)
	}
	t.settings.Checks.Hold(!e.withdrawn, invariant.NoWorkOutOfService)
	return res, Found
}

// StillOpen reports whether the target of a place may still be sent to at this
// instant; it is asked right before the first byte is written.
func (t *Table) StillOpen(res Place, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := res.entry
	if !e.acceptsWork() {
		return false
	}
	if e.state != Cold {
		return true
	}
	// What was picked as warm and has turned cold since is not sent.
	return res.Cold && now.Before(res.Until) && res.instance == e.instance
}

// othersAt is the estimate of other nodes' open attempts: the last report while
// it is fresh, the service's average as it grows old.
func (t *Table) estimateOthers(e *entry, now tick) float64 {
	if e.othersReportedAt == 0 || now-e.othersReportedAt >= tick(othersMaxAge) {
		return t.avgOthersInFlight
	}
	age := float64(now-e.othersReportedAt) / float64(othersMaxAge)
	return e.othersInFlight + (t.avgOthersInFlight-e.othersInFlight)*age
}

// slowness is how many times slower than its like a target is, by finished
// calls and their failures while these are fresh, and by calls still open.
func (t *Table) slowness(e *entry, now tick) float64 {
	slowness := 1 + (t.observedSlowness(e)-1)*e.statsWeight(now)
	if t.avgLatencySeconds > 0 && e.ownInFlight > 0 {
		age := float64(now) - float64(e.startTickSum)/float64(e.ownInFlight)
		slowness = max(slowness, age/(openLatencyFactor*t.avgLatencySeconds*float64(time.Second)))
	}
	return min(slowness, maxSlowness)
}

// freshness is how much of a judgement still counts: all of a new one, nothing
// of an old one.
func (e *entry) statsWeight(now tick) float64 {
	age := float64(now-e.statsUpdatedAt) / float64(statsMaxAge)
	return min(max(1-age, 0), 1)
}

// judgement is how many times slower than its like finished calls say a target
// is, at least 1.
func (t *Table) observedSlowness(e *entry) float64 {
	slowness := 1.0
	if t.avgLatencySeconds > 0 {
		slowness = max(slowness, e.avgLatencySeconds/t.avgLatencySeconds)
	}
	if excess := e.failureRate - t.failureRate; excess > 0 {
		slowness = max(slowness, 1+failurePenalty*excess)
	}
	return slowness
}
