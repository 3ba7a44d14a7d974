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
// forecast, and waits for it here, where a reservation is cheaper to take back than at
// a target. Once it is late it makes way: it is sent only where a slot is free,
// and only as many late calls wait as get through. One that cannot end within its
// deadline is refused at once.
const (
	// lateForecastRatio is the forecast, in units of a call's usual time, up to which a
	// late call is sent: a free slot at a target that is not slow.
	lateForecastRatio = 1.5
	// lateDeadlineShare is the part of the time left that a late call's forecast may take.
	lateDeadlineShare = 0.85
	// minRecheckDelay and maxRecheckDelay bound the time after which a waiting call
	// looks again where no response of a target updated anything new.
	minRecheckDelay = 50 * time.Millisecond
	maxRecheckDelay = 100 * time.Millisecond
)

// forecastLimit is the longest forecast with which an attempt is sent now; zero if the
// profile states no objective.
func (r *run) forecastLimit() time.Duration {
	objective := r.call.Profile.Objective
	if objective == 0 {
		return 0
	}
	usual := r.service.Table.Usual()
	left := time.Until(r.call.Deadline)
	if r.isLate || r.sendCount > 0 {
		return max(time.Nanosecond, min(time.Duration(lateForecastRatio*float64(usual)), time.Duration(lateDeadlineShare*float64(left))))
	}
	return max(time.Nanosecond, min(objective-time.Since(r.arrivedAt), left))
}

// canWaitForCapacity reports whether a call for which no target was found may wait for
// one: some are there, and the profile states within what time.
func (r *run) canWaitForCapacity(status target.None) bool {
	if r.service.Scout == nil || r.call.Profile.Objective == 0 {
		return false
	}
	if status == target.NoneOther {
		// All may have been tried; one that refused may have room by then.
		r.excluded = r.excluded[:0]
	}
	return status != target.Found && status != target.NoneKnown
}

// waitForCapacity waits until a target may have room, or ends the call for the returned
// reason.
func (r *run) waitForCapacity(ctx context.Context, updated <-chan struct{}, reservation target.Place) outcome.Reason {
	if !r.hasWaited {
		r.notifyDecision(Waiting, reservation, nil)
	}
	r.hasWaited = true
	if !r.isLate && r.cannotMeetObjective() {
		if !r.service.Overflow.Enter() {
			return outcome.QueueFull
		}
		r.isLate = true
	}
	if time.Until(r.call.Deadline) < r.service.Table.Usual() {
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

// cannotMeetObjective reports whether no target at its usual pace could response within the
// objective any more.
func (r *run) cannotMeetObjective() bool {
	return time.Since(r.arrivedAt)+r.service.Table.Usual() > r.call.Profile.Objective
}

// leaveOverflow books the end of a late call's wait.
func (r *run) leaveOverflow(sent bool) {
	if r.isLate && !r.hasLeftOverflow {
		r.hasLeftOverflow = true
		r.service.Overflow.Leave(sent)
	}
}

// freeSlotRetryAfter is when a call may come back that a target refused although it had
// slots free: what made it refuse is not a lack of room, and the next try is as
// good at once, but not at the same instant for all.
const freeSlotRetryAfter = 60 * time.Millisecond

// refusalRetryAfter is when a call may come back that targets refused; zero if nothing is
// known.
func (r *run) refusalRetryAfter(reason outcome.Reason, reservation target.Place) time.Duration {
	if reason != outcome.TargetsRefused || !reservation.Seen.Detailed {
		return 0
	}
	if reservation.Seen.Running < reservation.Seen.Slots {
		return freeSlotRetryAfter
	}
	return r.capacityRetryAfter(reservation)
}

// capacityRetryAfter is when a target may have room for a call that was refused.
func (r *run) capacityRetryAfter(reservation target.Place) time.Duration {
	return max(reservation.Finish-r.call.Profile.Objective, r.service.Table.Usual())
}
