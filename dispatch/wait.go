package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
)

// Calls wait for capacity when the load exceeds what the targets can serve within
// the objective. While a call can still meet its objective, it is sent only to a
// target that is forecast to meet it; otherwise it waits in this node, where
// withdrawing it is cheaper than at a target. A late call, which can no longer meet
// its objective, yields to the others: it is sent only to a free slot, and
// LateCallLimiter admits only as many late calls as get through. A call that cannot
// end within its deadline is refused immediately.
const (
	// lateForecastRatio is the longest forecast with which a late call is sent, in
	// units of a call's usual time. Only a free slot at a target that is not slow
	// has such a forecast.
	lateForecastRatio = 1.5
	// lateDeadlineShare is the share of the remaining time that a late call's
	// forecast may take.
	lateDeadlineShare = 0.85
	// minRecheckDelay and maxRecheckDelay bound the random delay after which a
	// waiting call checks the targets again if no load update arrives.
	minRecheckDelay = 50 * time.Millisecond
	maxRecheckDelay = 100 * time.Millisecond
)

// forecastLimit returns the longest forecast with which an attempt may be sent now,
// or zero if the profile has no objective.
func (r *run) forecastLimit() time.Duration {
	objective := r.call.Profile.LatencyObjective
	if objective == 0 {
		return 0
	}
	baseline := r.service.Table.BaselineServiceTime()
	remaining := time.Until(r.call.Deadline)
	if r.isLate || r.sendCount > 0 {
		return max(time.Nanosecond, min(time.Duration(lateForecastRatio*float64(baseline)), time.Duration(lateDeadlineShare*float64(remaining))))
	}
	return max(time.Nanosecond, min(objective-time.Since(r.arrivedAt), remaining))
}

// canWaitForCapacity reports whether a call without a target may wait for one: the
// service has targets, targets can be queried, and the profile has an objective.
func (r *run) canWaitForCapacity(status target.PickStatus) bool {
	if r.service.LoadQuerier == nil || r.call.Profile.LatencyObjective == 0 {
		return false
	}
	if status == target.PickNoneAvailable {
		// All targets may be excluded; one that refused may have capacity by the
		// next check.
		r.excluded = r.excluded[:0]
	}
	return status != target.PickOK && status != target.PickNoTarget
}

// waitForCapacity waits until a target may have capacity. A non-empty reason ends
// the call instead.
func (r *run) waitForCapacity(ctx context.Context, updated <-chan struct{}, reservation target.Reservation) outcome.Reason {
	if !r.hasWaited {
		r.notifyDecision(Waiting, reservation, nil)
	}
	r.hasWaited = true
	if !r.isLate && r.cannotMeetObjective() {
		if !r.service.LateCallLimiter.TryAcquire() {
			return outcome.QueueFull
		}
		r.isLate = true
	}
	if time.Until(r.call.Deadline) < r.service.Table.BaselineServiceTime() {
		return outcome.DeadlineTooClose
	}
	timer := time.NewTimer(minRecheckDelay + rand.N(maxRecheckDelay-minRecheckDelay))
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ""
}

// cannotMeetObjective reports whether even a target with a free slot and usual
// latency would respond after the objective.
func (r *run) cannotMeetObjective() bool {
	return time.Since(r.arrivedAt)+r.service.Table.BaselineServiceTime() > r.call.Profile.LatencyObjective
}

// releaseLateCall ends the wait of a late call, once; sent reports whether the call
// got a target.
func (r *run) releaseLateCall(sent bool) {
	if r.isLate && !r.hasReleasedLateCall {
		r.hasReleasedLateCall = true
		r.service.LateCallLimiter.Release(sent)
	}
}

// freeSlotRetryAfter is the retry delay for a call that was refused by a target
// with free slots. Capacity was not the cause, so an immediate retry would do as
// well; the delay keeps callers from retrying at the same instant.
const freeSlotRetryAfter = 60 * time.Millisecond

// refusalRetryAfter returns the retry delay for a call that targets refused, or
// zero without a detailed load report.
func (r *run) refusalRetryAfter(reason outcome.Reason, reservation target.Reservation) time.Duration {
	if reason != outcome.TargetsRefused || !reservation.Report.IsDetailed {
		return 0
	}
	if reservation.Report.RunningCount < reservation.Report.Slots {
		return freeSlotRetryAfter
	}
	return r.capacityRetryAfter(reservation)
}

// capacityRetryAfter returns the forecast of the time until a target has capacity
// for a refused call, at least the usual time of a call.
func (r *run) capacityRetryAfter(reservation target.Reservation) time.Duration {
	return max(reservation.Forecast-r.call.Profile.LatencyObjective, r.service.Table.BaselineServiceTime())
}
