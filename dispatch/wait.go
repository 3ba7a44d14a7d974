package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
)

// The wait for room answers a load beyond what the targets bear in time. While a
// call can still be answered within its objective it is sent only where that is
// forecast, and waits for it here, where a place is cheaper to take back than at
// a target. Once it is late it makes way: it is sent only where a slot is free,
// and only as many late calls wait as get through. One that cannot end within its
// deadline is refused at once.
const (
	// lateRatio is the forecast, in units of a call's usual time, up to which a
	// late call is sent: a free slot at a target that is not slow.
	lateRatio = 1.5
	// lateMargin is the part of the time left that a late call's forecast may take.
	lateMargin = 0.85
	// lookAgainLow and lookAgainHigh bound the time after which a waiting call
	// looks again where no answer of a target told anything new.
	lookAgainLow  = 50 * time.Millisecond
	lookAgainHigh = 100 * time.Millisecond
)

// limit is the longest forecast with which an attempt is sent now; zero if the
// profile states no objective.
func (r *run) limit() time.Duration {
	objective := r.call.Profile.LatencyObjective
	if objective == 0 {
		return 0
	}
	usual := r.svc.Table.BaselineServiceTime()
	left := time.Until(r.call.Deadline)
	if r.late || r.sends > 0 {
		return max(time.Nanosecond, min(time.Duration(lateRatio*float64(usual)), time.Duration(lateMargin*float64(left))))
	}
	return max(time.Nanosecond, min(objective-time.Since(r.arrived), left))
}

// mayAwaitRoom reports whether a call for which no target was found may wait for
// one: some are there, and the profile states within what time.
func (r *run) mayAwaitRoom(none target.PickStatus) bool {
	if r.svc.LoadQuerier == nil || r.call.Profile.LatencyObjective == 0 {
		return false
	}
	if none == target.PickNoneAvailable {
		// All may have been tried; one that refused may have room by then.
		r.avoid = r.avoid[:0]
	}
	return none != target.PickOK && none != target.PickNoTarget
}

// awaitRoom waits until a target may have room, or ends the call for the returned
// reason.
func (r *run) awaitRoom(ctx context.Context, told <-chan struct{}, place target.Reservation) outcome.Reason {
	if !r.waits {
		r.decided(Waiting, place, nil)
	}
	r.waits = true
	if !r.late && r.tooLate() {
		if !r.svc.LateCallLimiter.TryAcquire() {
			return outcome.QueueFull
		}
		r.late = true
	}
	if time.Until(r.call.Deadline) < r.svc.Table.BaselineServiceTime() {
		return outcome.DeadlineTooClose
	}
	timer := time.NewTimer(lookAgainLow + rand.N(lookAgainHigh-lookAgainLow))
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ""
}

// tooLate reports whether no target at its usual pace could answer within the
// objective any more.
func (r *run) tooLate() bool {
	return time.Since(r.arrived)+r.svc.Table.BaselineServiceTime() > r.call.Profile.LatencyObjective
}

// endWait books the end of a late call's wait.
func (r *run) endWait(sent bool) {
	if r.late && !r.waitEnded {
		r.waitEnded = true
		r.svc.LateCallLimiter.Release(sent)
	}
}

// refusedPause is when a call may come back that a target refused although it had
// slots free: what made it refuse is not a lack of room, and the next try is as
// good at once, but not at the same instant for all.
const refusedPause = 60 * time.Millisecond

// roomAfter is when a call may come back that targets refused; zero if nothing is
// known.
func (r *run) roomAfter(reason outcome.Reason, place target.Reservation) time.Duration {
	if reason != outcome.TargetsRefused || !place.Report.IsDetailed {
		return 0
	}
	if place.Report.RunningCount < place.Report.Slots {
		return refusedPause
	}
	return r.roomIn(place)
}

// roomIn is when a target may have room for a call that was refused.
func (r *run) roomIn(place target.Reservation) time.Duration {
	return max(place.Forecast-r.call.Profile.LatencyObjective, r.svc.Table.BaselineServiceTime())
}
