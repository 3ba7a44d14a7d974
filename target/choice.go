package target

import (
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/vm"
)

// Place is a reservation: one open attempt at a target. Every Place must be
// passed to Finish exactly once.
type Reservation struct {
	Ref Ref
	// Cold reports whether the target is in cold start; the attempt must then
	// end before Until, the end of this node's cold-start lease.
	IsCold        bool
	LeaseDeadline time.Time
	// Free reports whether the target is estimated to have a free slot.
	HasFreeSlot bool
	StartedAt   time.Time
	// Finish is the forecast latency of the response; zero if there is no
	// forecast.
	Forecast time.Duration
	// Seen is the load report behind the forecast and SeenAge its age. Both are
	// zero if there was no fresh report or load queries are disabled.
	Report    Report
	ReportAge time.Duration

	// forecastRatio is the forecast latency divided by the baseline service
	// time; zero if the forecast is not based on a report.
	forecastRatio float64

	entry     *entry
	instance  Instance
	startTick tick
}

// None is the status of a choice: Found, or the reason why no target takes an
// attempt.
type PickStatus uint8

// The statuses of a choice.
const (
	// Found: a target was chosen.
	PickOK PickStatus = iota
	// NoneKnown: the service has no target that accepts work and is not ejected.
	PickNoTarget
	// NoneWarm: every target that accepts work is in cold start, and this node
	// may not send to it now.
	PickOnlyCold
	// NoneOther: at least one target accepts work, but each is excluded, has no
	// free slot as required, or has reached this node's limit of open attempts.
	PickNoneAvailable
	// NoneInTime: no target is forecast to respond within the limit.
	PickTooSlow
)

// Wish holds the options of a choice.
type PickOptions struct {
	// Avoid lists targets to exclude.
	Exclude []vm.ID
	// FreeOnly accepts only a target that is estimated to have a free slot.
	RequireFreeSlot bool
	// Objective is the latency objective of the call. A target of the node's
	// zone that meets it is preferred to faster ones in other zones. Zero means
	// that there is no objective.
	Objective time.Duration
	// Waiting reports whether the call found no target before and waits for a
	// free slot.
	IsWaiting bool
	// Limit is the longest acceptable forecast; zero means no limit.
	MaxForecast time.Duration
}

// Pick chooses a target for an attempt and reserves it. Targets in avoid are
// excluded; with freeOnly, only a target estimated to have a free slot is
// accepted.
func (t *Table) Pick(now time.Time, avoid []vm.ID, freeOnly bool) (res Reservation, status PickStatus) {
	return t.PickWithOptions(now, PickOptions{Exclude: avoid, RequireFreeSlot: freeOnly})
}

// PickBy chooses a target for an attempt and reserves it. If the best forecast
// exceeds the limit, it returns NoneInTime and a Place that holds only the
// forecast.
func (t *Table) PickWithOptions(now time.Time, opts PickOptions) (res Reservation, status PickStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status = t.gatherCandidates(now, opts.Exclude)
	if status != PickOK {
		return Reservation{}, status
	}
	t.updateAvgLoad()
	i := t.choose(opts)
	c := &t.candidates[i]
	if opts.RequireFreeSlot && !c.HasFreeSlot() {
		return Reservation{}, PickNoneAvailable
	}
	if opts.MaxForecast > 0 && c.Forecast > opts.MaxForecast && t.hasLoadEvidence(t.toTick(now)) {
		return t.withForecast(Reservation{Ref: t.eligible[i].ref}, i, now), PickTooSlow
	}
	res, status = t.reserve(t.eligible[i], c.HasFreeSlot(), now)
	return t.withForecast(res, i, now), status
}

// withForecast adds the forecast of candidate i, and the report behind it, to a
// reservation. t.mu must be held.
func (t *Table) withForecast(res Reservation, i int, now time.Time) Reservation {
	c, e, nowTick := &t.candidates[i], t.eligible[i], t.toTick(now)
	res.Forecast = c.Forecast
	if t.settings.LoadQuery != (LoadQuerySettings{}) && t.hasFreshReport(e, nowTick) {
		// Only a forecast based on a report contributes to the baseline service
		// time.
		res.forecastRatio = c.ForecastRatio
		res.Report, res.ReportAge = e.report, time.Duration(nowTick-e.reportedAt)
	}
	return res
}

// hasLoadEvidence reports whether any candidate has a fresh report or is
// unresponsive, which full targets are. Without either, a forecast is too
// uncertain to reject a call. t.mu must be held.
func (t *Table) hasLoadEvidence(now tick) bool {
	for _, e := range t.eligible {
		if t.hasFreshReport(e, now) || e.isUnresponsive(now) {
			return true
		}
	}
	return false
}

// choose returns the index of the chosen candidate. t.mu must be held.
func (t *Table) choose(opts PickOptions) int {
	if t.settings.LoadQuery == (LoadQuerySettings{}) {
		return t.settings.Chooser.Choose(t.candidates, t.rng)
	}
	return routing.LeastForecast{SameZoneLimit: t.acceptableForecast(opts.Objective)}.Choose(t.candidates, t.rng)
}

// gatherCandidates fills t.candidates and t.eligible with the targets that may
// take an attempt. t.mu must be held.
func (t *Table) gatherCandidates(now time.Time, avoid []vm.ID) PickStatus {
	t.candidates = t.candidates[:0]
	t.eligible = t.eligible[:0]
	status := PickNoTarget
	nowTick := t.toTick(now)
	for _, e := range t.entries {
		if !e.acceptsWork() || nowTick < e.ejectedUntil {
			continue
		}
		t.expireColdStart(e, now, nowTick)
		if e.state == Cold && !t.hasColdStartLease(e, now) {
			status = max(status, PickOnlyCold)
			continue
		}
		if !t.hasCapacity(e) || slices.Contains(avoid, e.ref.ID) {
			status = PickNoneAvailable
			continue
		}
		t.addCandidate(e, nowTick)
	}
	if len(t.candidates) > 0 {
		return PickOK
	}
	return status
}

// updateAvgLoad adds the load of the current candidates, as open calls per
// slot, to the moving average. t.mu must be held.
func (t *Table) updateAvgLoad() {
	open, slots := 0.0, 0
	for i := range t.candidates {
		c := &t.candidates[i]
		open += float64(c.OwnAttempts) + c.OtherAttempts
		slots += c.Slots
	}
	t.avgLoad += avgLoadWeight * (open/float64(slots) - t.avgLoad)
}

// Load returns the estimated average load of the service's targets, as open
// calls per slot.
func (t *Table) AverageLoad() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avgLoad
}

// addCandidate appends a target to the candidates. t.mu must be held.
func (t *Table) addCandidate(e *entry, now tick) {
	n := len(t.candidates)
	t.candidates = append(t.candidates, routing.Candidate{})
	t.eligible = append(t.eligible, e)
	c := &t.candidates[n]
	c.OwnAttempts = e.ownInFlight
	c.OtherAttempts = t.estimateOthers(e, now)
	c.Slots = t.slots(e)
	if e.state == Cold {
		c.Slots = max(1, t.svc.ColdSlots)
	}
	c.SameZone = e.sameZone
	c.SlownessFactor = t.slowness(e, now)
	if t.settings.LoadQuery != (LoadQuerySettings{}) {
		t.setForecast(c, e, now)
	}
	if t.settings.ActualInFlight != nil {
		c.ActualOpen = t.settings.ActualInFlight(e.ref.ID)
	}
}

// hasColdStartLease reports whether this node holds a lease on the cold slots of
// a target. t.mu must be held.
func (t *Table) hasColdStartLease(e *entry, now time.Time) bool {
	_, ok := t.settings.ColdStartLeases.LeaseDeadline(e.ref.ID, now)
	return ok
}

// hasCapacity reports whether this node may open another attempt at a target.
// The limit is the target's slots, its cold slots in cold start, and one if it
// is unverified or on trial after an ejection.
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

// reserve opens an attempt at a target. It fails if the target is in cold start
// and this node may not send to it now. t.mu must be held.
func (t *Table) reserve(e *entry, free bool, now time.Time) (res Reservation, status PickStatus) {
	res = Reservation{Ref: e.ref, HasFreeSlot: free, StartedAt: now, entry: e, instance: e.instance}
	if e.state == Cold {
		end, ok := t.settings.ColdStartLeases.LeaseDeadline(e.ref.ID, now)
		if !ok {
			return Reservation{}, PickOnlyCold
		}
		if limiter, isLimiter := t.settings.ColdStartLeases.(ColdStartLimiter); isLimiter && !limiter.Allow(e.ref.ID, now) {
			return Reservation{}, PickOnlyCold
		}
		res.IsCold, res.LeaseDeadline = true, end
	}
	res.startTick = t.toTick(now)
	e.ownInFlight++
	e.sentSinceReport++
	e.startTickSum += res.startTick
	if res.IsCold {
		t.settings.Checks.Check(e.ownInFlight <= t.svc.ColdSlots, invariant.ColdWithinLimit)
	}
	t.settings.Checks.Check(!e.withdrawn, invariant.NoWorkOutOfService)
	return res, PickOK
}

// StillOpen reports whether the attempt may still be sent to its target. It
// must be called right before the first byte is written.
func (t *Table) CanSend(res Reservation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := res.entry
	if !e.acceptsWork() {
		return false
	}
	if e.state != Cold {
		return true
	}
	// In cold start, only an attempt that was reserved under a cold-start lease
	// for this instance is sent; one reserved while the target was warm is not.
	return res.IsCold && now.Before(res.LeaseDeadline) && res.instance == e.instance
}

// estimateOthers estimates how many attempts of other nodes are open at a
// target. The last report loses weight linearly with age in favour of the
// service's average, which alone counts from othersMaxAge on.
func (t *Table) estimateOthers(e *entry, now tick) float64 {
	if e.othersReportedAt == 0 || now-e.othersReportedAt >= tick(othersMaxAge) {
		return t.avgOthersInFlight
	}
	age := float64(now-e.othersReportedAt) / float64(othersMaxAge)
	return e.othersInFlight + (t.avgOthersInFlight-e.othersInFlight)*age
}

// slowness estimates how many times slower than the service's average a target
// is, from 1 to maxSlowness. It uses the latency and failures of finished
// attempts, weighted by age, and the age of open attempts.
func (t *Table) slowness(e *entry, now tick) float64 {
	slowness := 1 + (t.observedSlowness(e)-1)*e.statsWeight(now)
	if t.avgLatencySeconds > 0 && e.ownInFlight > 0 {
		age := float64(now) - float64(e.startTickSum)/float64(e.ownInFlight)
		slowness = max(slowness, age/(openLatencyFactor*t.avgLatencySeconds*float64(time.Second)))
	}
	return min(slowness, maxSlowness)
}

// statsWeight is the weight of the target's latency and failure rate, falling
// linearly from 1 for new values to 0 at statsMaxAge.
func (e *entry) statsWeight(now tick) float64 {
	age := float64(now-e.statsUpdatedAt) / float64(statsMaxAge)
	return min(max(1-age, 0), 1)
}

// observedSlowness is how many times slower than the service's average a target
// is by its finished attempts and their failures, at least 1.
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
