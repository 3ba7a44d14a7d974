package target

import (
	"time"

	"github.com/apricotmount/apricotmount/invariant"
)

// Reservation is one open attempt at a target. Every Reservation must be
// passed to Finish exactly once.
type Reservation struct {
	Ref Ref
	// IsCold reports whether the target is in cold start; the attempt must then
	// end before LeaseDeadline, the end of this node's cold-start lease.
	IsCold        bool
	LeaseDeadline time.Time
	// HasFreeSlot is the result of routing.Candidate.HasFreeSlot: the target is
	// estimated to have a free slot and is not slow.
	HasFreeSlot bool
	StartedAt   time.Time
	// Forecast is the forecast latency of the response; zero if there is no
	// forecast.
	Forecast time.Duration
	// Report is the load report behind the forecast and ReportAge its age. Both
	// are zero if there was no fresh report or load queries are disabled.
	Report    Report
	ReportAge time.Duration
	// Limit is the target's rate limit and LimitAge the time since the target named it;
	// both are zero without one.
	Limit    RateLimit
	LimitAge time.Duration

	// forecastRatio is the forecast latency divided by the baseline service
	// time; zero if the forecast is not based on a report.
	forecastRatio float64

	entry       *entry
	route       string
	lane        Lane
	instance    Instance
	incarnation int64
	startTick   tick
	// hasTurn reports whether the attempt is counted against a rate limit.
	hasTurn bool
}

// Incarnation returns the incarnation of the listed VM that the attempt was reserved for;
// zero if unknown.
func (r Reservation) Incarnation() int64 {
	return r.incarnation
}

// Instance returns the instance that the attempt was reserved for; empty if unknown.
func (r Reservation) Instance() Instance {
	return r.instance
}

// withForecast adds the forecast of candidate i, and the report behind it, to a
// reservation. t.mu must be held.
func (t *Table) withForecast(reservation Reservation, i int, now time.Time) Reservation {
	c, e, nowTick := &t.candidates[i], t.eligible[i], t.toTick(now)
	reservation.Forecast = c.Forecast
	if e.limit.inForce() {
		reservation.Limit, reservation.LimitAge = e.limit.limit, now.Sub(e.limit.toldAt)
	}
	if t.settings.LoadQuery != (LoadQuerySettings{}) && t.hasFreshReport(e, nowTick) {
		// Only a forecast based on a report contributes to the baseline service
		// time.
		reservation.forecastRatio = c.ForecastRatio
		reservation.Report, reservation.ReportAge = e.report, time.Duration(nowTick-e.reportedAt)
	}
	return reservation
}

// reserve opens an attempt at a target. It fails if the target is in cold start
// and this node may not send to it now. t.mu must be held.
func (t *Table) reserve(e *entry, hasFreeSlot bool, now time.Time) (reservation Reservation, status PickStatus) {
	reservation = Reservation{Ref: e.ref, HasFreeSlot: hasFreeSlot, StartedAt: now, entry: e, instance: e.instance, incarnation: e.incarnation}
	if e.state == Cold {
		deadline, ok := t.settings.ColdStartLeases.LeaseDeadline(e.ref.ID, now)
		if !ok {
			return Reservation{}, PickOnlyCold
		}
		if !t.settings.ColdStartLeases.Allow(e.ref.ID, now) {
			return Reservation{}, PickOnlyCold
		}
		reservation.IsCold, reservation.LeaseDeadline = true, deadline
	}
	if e.limit.inForce() {
		if !t.takeTurn(e, now) {
			return Reservation{}, PickLimited
		}
		reservation.hasTurn = true
	}
	reservation.startTick = t.toTick(now)
	e.ownInFlight++
	e.sentSinceReport++
	e.startTickSum += reservation.startTick
	if reservation.IsCold {
		t.settings.Checks.Check(e.ownInFlight <= t.svc.ColdSlots, invariant.ColdWithinLimit)
	}
	t.settings.Checks.Check(!e.withdrawn, invariant.NoWorkOutOfService)
	return reservation, PickOK
}

// CanSend reports whether the attempt may still be sent to its target. It
// must be called right before the first byte is written.
func (t *Table) CanSend(reservation Reservation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := reservation.entry
	if !e.acceptsWork() || t.toTick(now) < e.backOffUntil {
		return false
	}
	// In cold start, only an attempt that was reserved under a cold-start lease
	// for this instance is sent; one reserved before the cold start is not.
	if e.state == Cold && !(reservation.IsCold && now.Before(reservation.LeaseDeadline) && reservation.instance == e.instance) {
		return false
	}
	return reservation.hasTurn || !e.limit.inForce() || t.takeTurn(e, now)
}
