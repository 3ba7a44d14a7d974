package target

import (
	"math"
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/vm"
)

// PickStatus is the status of a choice: PickOK, or the reason why no target
// takes an attempt.
type PickStatus uint8

// The statuses of a choice.
const (
	// PickOK: a target was chosen.
	PickOK PickStatus = iota
	// PickNoTarget: the service has no target that accepts work and is not
	// ejected.
	PickNoTarget
	// PickBackedOff: every target that accepts work and is not ejected has asked for
	// a time without requests; Table.BackOffRemaining returns the shortest.
	PickBackedOff
	// PickLimited: every target that accepts work and is not ejected names a rate limit,
	// and this node may send it no call now; Table.NextTurn returns when it may.
	PickLimited
	// PickOnlyCold: every target that accepts work and is not ejected is in cold
	// start, and this node has no lease on it; or the chosen target is in cold
	// start, and ColdStartLeases.Allow permits no attempt now.
	PickOnlyCold
	// PickNoneAvailable: the targets that this node may send to are excluded or
	// have reached its limit of open attempts; or the chosen one has no free
	// slot as required.
	PickNoneAvailable
	// PickTooSlow: the forecast of the chosen target exceeds
	// PickOptions.MaxForecast, and the load of at least one target is known.
	PickTooSlow
)

// PickOptions holds the options of a choice.
type PickOptions struct {
	// Exclude lists targets to exclude.
	Exclude []vm.ID
	// Only, unless empty, lists the only targets to consider, those of LaneCanary
	// included. Otherwise only targets of LaneOpen are considered.
	Only []vm.ID
	// Route is the name of the call's route, for Settings.OnFinish.
	Route string
	// RequireFreeSlot accepts only a target with Reservation.HasFreeSlot.
	RequireFreeSlot bool
	// RequireRoom accepts only targets with a fresh report that shows a free slot and no
	// slow VM. Where load queries are disabled it has no effect.
	RequireRoom bool
	// Objective is the latency objective of the call. A target of the node's
	// zone that meets it is preferred to faster ones in other zones. Zero means
	// that there is no objective.
	Objective time.Duration
	// IsWaiting reports whether the call found no target before and waits for a
	// free slot.
	IsWaiting bool
	// AvoidLimited excludes targets with a rate limit.
	AvoidLimited bool
	// MaxForecast is the longest acceptable forecast; zero means no limit. It is
	// ignored if the load of no target is known.
	MaxForecast time.Duration
}

// Pick chooses a target for an attempt and reserves it, with the options
// PickOptions.Exclude and PickOptions.RequireFreeSlot.
func (t *Table) Pick(now time.Time, exclude []vm.ID, requireFreeSlot bool) (reservation Reservation, status PickStatus) {
	return t.PickWithOptions(now, PickOptions{Exclude: exclude, RequireFreeSlot: requireFreeSlot})
}

// PickWithOptions chooses a target for an attempt and reserves it. With
// PickTooSlow, nothing is reserved: the Reservation holds only the target, its
// forecast and its report, and must not be passed to Finish.
func (t *Table) PickWithOptions(now time.Time, opts PickOptions) (reservation Reservation, status PickStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status = t.gatherCandidates(now, opts, false)
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
	reservation, status = t.reserve(t.eligible[i], c.HasFreeSlot(), now)
	reservation.route, reservation.lane = opts.Route, t.eligible[i].lane
	return t.withForecast(reservation, i, now), status
}

// hasLoadEvidence reports whether the load of any candidate is known: it has a
// fresh report, or it is unresponsive, as a full target is. Without either, a
// forecast is too uncertain to reject a call. t.mu must be held.
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
// take an attempt. For load queries it adds targets whose rate limit keeps this
// node from sending, but was named too long ago. t.mu must be held.
func (t *Table) gatherCandidates(now time.Time, opts PickOptions, forLoadQuery bool) PickStatus {
	t.candidates = t.candidates[:0]
	t.eligible = t.eligible[:0]
	status := PickNoTarget
	nowTick := t.toTick(now)
	for _, e := range t.entries {
		if !e.acceptsWork() || nowTick < e.ejectedUntil || !opts.admits(e) {
			continue
		}
		if nowTick < e.backOffUntil {
			status = max(status, PickBackedOff)
			continue
		}
		t.expireColdStart(e, now, nowTick)
		if e.state == Cold && !t.hasColdStartLease(e, now) {
			status = max(status, PickOnlyCold)
			continue
		}
		t.expireLimit(e, now)
		heldBack := t.isHeldBack(e, now, opts)
		if heldBack && !(forLoadQuery && now.Sub(e.limit.toldAt) > limitRecheckInterval) {
			status = max(status, PickLimited)
			continue
		}
		if !t.hasCapacity(e) || slices.Contains(opts.Exclude, e.ref.ID) {
			status = PickNoneAvailable
			continue
		}
		t.addCandidate(e, nowTick)
		if opts.RequireRoom && !forLoadQuery && !t.hasRoom(nowTick) {
			t.candidates, t.eligible = t.candidates[:len(t.candidates)-1], t.eligible[:len(t.eligible)-1]
			status = PickNoneAvailable
			continue
		}
		if heldBack {
			t.candidates[len(t.candidates)-1].Forecast = math.MaxInt64
		}
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

// AverageLoad returns the estimated average load of the service's targets, as
// open calls per slot.
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
	c.OtherAttempts = t.estimateOthersInFlight(e, now)
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
// is unverified or on trial after an ejection. t.mu must be held.
func (t *Table) hasCapacity(e *entry) bool {
	limit := t.slots(e)
	if e.state == Cold {
		limit = t.svc.ColdSlots
	}
	if e.trialResponsesRemaining > 0 || e.state == Unverified {
		limit = 1
	}
	return e.ownInFlight < limit
}

// estimateOthersInFlight estimates how many attempts of other nodes are open at
// a target. The last report loses weight linearly with age in favour of the
// service's average, which alone counts from othersMaxAge on. t.mu must be held.
func (t *Table) estimateOthersInFlight(e *entry, now tick) float64 {
	if e.othersReportedAt == 0 || now-e.othersReportedAt >= tick(othersMaxAge) {
		return t.avgOthersInFlight
	}
	relativeAge := float64(now-e.othersReportedAt) / float64(othersMaxAge)
	return e.othersInFlight + (t.avgOthersInFlight-e.othersInFlight)*relativeAge
}

// slowness estimates how many times slower than the service's average a target
// is, from 1 to maxSlowness. It uses the latency and failures of finished
// attempts, weighted by age, and the mean age of open attempts. t.mu must be
// held.
func (t *Table) slowness(e *entry, now tick) float64 {
	slowness := 1 + (t.observedSlowness(e)-1)*e.statsWeight(now)
	if t.avgLatencySeconds > 0 && e.ownInFlight > 0 {
		meanOpenAge := float64(now) - float64(e.startTickSum)/float64(e.ownInFlight)
		slowness = max(slowness, meanOpenAge/(openLatencyFactor*t.avgLatencySeconds*float64(time.Second)))
	}
	return min(slowness, maxSlowness)
}

// statsWeight returns the weight of the target's latency and failure rate, which
// falls linearly from 1 for new values to 0 at statsMaxAge.
func (e *entry) statsWeight(now tick) float64 {
	relativeAge := float64(now-e.statsUpdatedAt) / float64(statsMaxAge)
	return min(max(1-relativeAge, 0), 1)
}

// observedSlowness returns how many times slower than the service's average a
// target is by its finished attempts and their failures, at least 1. t.mu must
// be held.
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
