package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/target"
)

// Calls wait for capacity when the load exceeds what the targets can serve within
// the objective. They wait in the service's backlog, which decides whose turn it is to look
// for a target; one that would wait for longer than its objective allows is refused at once.
//
// While a call can still meet its objective, it is sent only to a
// target that is forecast to meet it; otherwise it waits in this node, where
// cancelling it is cheaper than at a target. A late call, which can no longer meet
// its objective, has lower priority: it is sent only to a free slot, and
// LateCallLimiter adapts the number of waiting late calls to how many of them are
// sent. A call whose remaining time is less than the baseline service time is
// refused immediately.
const (
	// lateForecastRatio is the longest forecast with which a late call is sent, as a
	// multiple of the baseline service time. Only a target that has a free slot and
	// is not slow has such a forecast.
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
// or zero if the profile has no objective. A retry after an attempt that may have
// run has the limit of a late call.
func (r *run) forecastLimit() time.Duration {
	objective := r.call.Profile.LatencyObjective
	if objective == 0 {
		return 0
	}
	baseline := r.service.Table.BaselineServiceTime()
	remaining := time.Until(r.call.Deadline)
	if r.isLate || r.possibleRunCount > 0 {
		return max(time.Nanosecond, min(time.Duration(lateForecastRatio*float64(baseline)), time.Duration(lateDeadlineShare*float64(remaining))))
	}
	return max(time.Nanosecond, min(objective-r.call.Age-time.Since(r.arrivedAt), remaining))
}

// canWaitForCapacity reports whether a call without a target may wait for one: a
// target accepts work, targets can be queried, and the profile has an objective. It
// clears the excluded targets if no other was available.
func (r *run) canWaitForCapacity(status target.PickStatus) bool {
	if r.service.LoadQuerier == nil || r.call.Profile.LatencyObjective == 0 {
		return false
	}
	if status == target.PickNoneAvailable {
		// All targets may be excluded. One that refused may have capacity by the next
		// check.
		r.excluded = r.excluded[:0]
	}
	return status != target.PickOK && status != target.PickNoTarget
}

// waitForCapacity waits until the targets' load has changed, the recheck delay is
// over or ctx is done, and it is the call's turn to look for a target; it returns "". It
// returns the reason to end the call if the call may not wait.
func (r *run) waitForCapacity(ctx context.Context, loadChanged <-chan struct{}, reservation target.Reservation) outcome.Reason {
	if !r.hasWaited {
		r.notifyDecision(Waiting, reservation, nil)
	}
	r.hasWaited = true
	if reason := r.checkWait(); reason != "" {
		return reason
	}
	if r.turnPlace != nil {
		r.pauseWait(ctx, loadChanged)
		return ""
	}
	if !r.joinBacklog() {
		return outcome.QueueFull
	}
	if r.place.IsNext() {
		r.pauseWait(ctx, loadChanged)
		return ""
	}
	return r.waitForTurn(ctx)
}

// pauseWait waits until the targets' load has changed, the recheck delay is over or ctx is
// done.
func (r *run) pauseWait(ctx context.Context, loadChanged <-chan struct{}) {
	timer := time.NewTimer(r.recheckDelay())
	defer timer.Stop()
	select {
	case <-loadChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mustQueue reports whether the call leaves the targets to other calls that wait for
// capacity.
func (r *run) mustQueue() bool {
	if r.place != nil {
		return !r.place.IsNext()
	}
	if r.turnPlace != nil || r.hasAttempted || r.service.LoadQuerier == nil || r.call.Profile.LatencyObjective == 0 {
		return false
	}
	return r.service.Backlog.HasBefore(r.call.Profile.Urgency, r.cannotMeetObjective())
}

// waitForTurn waits until it is the call's turn to look for a target, the recheck delay is
// over or ctx is done, and returns "". It returns the reason to end the call if the call may
// not wait.
func (r *run) waitForTurn(ctx context.Context) outcome.Reason {
	if !r.hasWaited {
		r.notifyDecision(Waiting, target.Reservation{}, nil)
	}
	r.hasWaited = true
	if reason := r.checkWait(); reason != "" {
		return reason
	}
	if !r.joinBacklog() {
		return outcome.QueueFull
	}
	r.pauseWait(ctx, r.place.Turn())
	return ""
}

// checkWait returns the reason to end a call that waits, or "". A call that can no longer
// meet its objective becomes late, if LateCallLimiter admits it.
func (r *run) checkWait() outcome.Reason {
	if !r.isLate && r.cannotMeetObjective() {
		if !r.service.LateCallLimiter.TryAcquire() {
			return outcome.QueueFull
		}
		r.isLate = true
		if r.place != nil {
			r.place.SetLate()
		}
	}
	if time.Until(r.call.Deadline) < r.service.Table.BaselineServiceTime() {
		return outcome.DeadlineTooClose
	}
	return ""
}

// joinBacklog gives the call a place in the backlog. It reports false if there is no room.
func (r *run) joinBacklog() bool {
	if r.place == nil {
		r.place = r.service.Backlog.Join(time.Now(), r.call.Caller, r.call.Profile.Urgency, r.isLate || r.possibleRunCount > 0)
	}
	return r.place != nil
}

// leaveBacklog ends the call's wait for capacity, if it waits; isSent reports whether it got
// a target.
func (r *run) leaveBacklog(isSent bool) {
	if r.place != nil {
		r.place.Leave(time.Now(), isSent)
		r.place = nil
		return
	}
	if isSent {
		r.service.Backlog.RecordSent(r.call.Profile.Urgency)
	}
}

// recheckDelay returns the time until a waiting call checks the targets again if no load
// update arrives.
func (r *run) recheckDelay() time.Duration {
	delay := minRecheckDelay + rand.N(maxRecheckDelay-minRecheckDelay)
	if r.turnPlace == nil {
		return delay
	}
	next := r.service.Table.NextTurn(time.Now(), 0)
	if !next.IsSender {
		return delay
	}
	return max(minTurnDelay, min(delay, next.Wait))
}

// minTurnDelay keeps a call from checking all the time while its turn is due but goes to a
// more urgent one.
const minTurnDelay = 2 * time.Millisecond

// cannotMeetObjective reports whether even a target that takes only the baseline
// service time would respond after the objective. For a call that does not wait yet, it
// includes the expected wait.
func (r *run) cannotMeetObjective() bool {
	now := time.Now()
	elapsed := r.call.Age + now.Sub(r.arrivedAt)
	if r.place == nil {
		elapsed += r.service.Backlog.ExpectedWait(now, r.call.Caller, r.call.Profile.Urgency, false)
	}
	return elapsed+r.service.Table.BaselineServiceTime() > r.call.Profile.LatencyObjective
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
// with free slots. Capacity was not the cause, so an immediate retry would be as
// likely to succeed. The delay, which package entry randomizes, keeps callers from
// retrying at the same instant.
const freeSlotRetryAfter = 15 * time.Millisecond

// canAwaitReturn reports whether a call can wait in this node until the first target
// that asked for a time without requests takes them again: it can still meet its
// objective then or, without one, its queue timeout has not passed.
func (r *run) canAwaitReturn(remaining time.Duration) bool {
	elapsed := time.Since(r.arrivedAt) + remaining
	if objective := r.call.Profile.LatencyObjective; objective > 0 {
		return elapsed+r.service.Table.BaselineServiceTime() <= objective
	}
	return elapsed <= r.call.Profile.QueueTimeout
}

// backOffFailure returns the result of a call whose targets all want no requests for the
// remaining time at least.
func (r *run) backOffFailure(remaining time.Duration) *CallFailure {
	fail := r.callFailure(outcome.TargetsRefused)
	fail.EarliestRetry = remaining
	return fail
}

// refusalRetryAfter returns the retry delay for a call that targets refused. It
// returns zero for other reasons and without a detailed load report.
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
// for a refused call, at least the baseline service time.
func (r *run) capacityRetryAfter(reservation target.Reservation) time.Duration {
	return max(reservation.Forecast-r.call.Profile.LatencyObjective, r.service.Table.BaselineServiceTime())
}
