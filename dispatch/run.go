package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// maxAttemptsPerRound is how many targets are tried before the call pauses.
	maxAttemptsPerRound = 8
	// minBackoff and maxBackoff bound the pause between rounds; it doubles.
	minBackoff = 1 * time.Millisecond
	maxBackoff = 4 * time.Millisecond
	// maxConnectFailures bounds the attempts of a call that found no connection.
	maxConnectFailures = 4
)

// run is one call on its way.
type run struct {
	dispatcher *Dispatcher
	service    *Service
	call       *Call
	sender     Sender
	gatePermit admission.Place
	allowance  retry.Allowance
	arrivedAt  time.Time

	excluded            []vm.ID
	roundRefusalCount   int
	backoff             time.Duration
	connectFailureCount int
	sendCount           int
	mayHaveRun          bool
	claimLapsed         bool
	// isLate says that the call waits beyond its objective, and hasLeftOverflow that this
	// wait is over.
	isLate, hasLeftOverflow bool
	// hasWaited says that the call has found no room before.
	hasWaited      bool
	lastLossReason outcome.Reason
}

// execute makes attempts until one is answered or status may follow.
func (r *run) execute(ctx context.Context) (*Won, *Lost) {
	if refusal := r.acquireClaim(ctx); refusal.Reason != "" {
		return nil, &Lost{Outcome: refusal.Outcome, Reason: refusal.Reason, Spent: r.allowance.Spent()}
	}
	for {
		if reason := r.stopReason(ctx); reason != "" {
			return nil, r.callFailure(reason)
		}
		updated := r.service.Table.Told()
		r.queryLoad(ctx)
		reservation, status := r.service.Table.PickBy(time.Now(), r.pickOptions())
		if r.canWaitForCapacity(status) {
			if reason := r.waitForCapacity(ctx, updated, reservation); reason != "" {
				return nil, r.capacityFailure(reason, reservation)
			}
			continue
		}
		if status != target.Found {
			if reason := r.afterNoTarget(ctx, status); reason != "" {
				return nil, r.callFailure(reason)
			}
			continue
		}
		r.leaveOverflow(true)
		r.notifyDecision(Placed, reservation, nil)
		resp, failure := r.attemptWithHedge(ctx, reservation)
		if resp != nil && !r.retryServerFailure(resp) {
			return resp, nil
		}
		if resp != nil {
			continue
		}
		if reason := r.afterFailure(ctx, failure); reason != "" {
			fail := r.callFailure(reason)
			fail.RoomIn = r.refusalRetryAfter(reason, reservation)
			return nil, fail
		}
	}
}

// maxLoadQueryRounds bounds how often targets are asked for one choice: those of the own
// zone, others, and once more for what left the first question unanswered.
const maxLoadQueryRounds = 3

// queryLoad asks for what the table has not seen and the choice needs.
func (r *run) queryLoad(ctx context.Context) {
	if r.service.Scout == nil {
		return
	}
	for range maxLoadQueryRounds {
		refs := r.service.Table.Unseen(time.Now(), r.pickOptions())
		if len(refs) == 0 {
			return
		}
		r.service.Scout.Ask(ctx, refs)
	}
}

// pickOptions is what the next attempt asks of its target.
func (r *run) pickOptions() target.Wish {
	return target.Wish{Avoid: r.excluded, Objective: r.call.Profile.Objective, Limit: r.forecastLimit(), Waiting: r.hasWaited}
}

// capacityFailure ends a call for which no target has room in time.
func (r *run) capacityFailure(reason outcome.Reason, reservation target.Place) *Lost {
	fail := r.callFailure(reason)
	fail.RoomIn = r.capacityRetryAfter(reservation)
	return fail
}

func (r *run) acquireClaim(ctx context.Context) outcome.Refusal {
	if r.call.Claim == nil {
		return outcome.Refusal{}
	}
	return r.call.Claim.Acquire(ctx)
}

// stopReason says why no attempt may start any more, or "".
func (r *run) stopReason(ctx context.Context) outcome.Reason {
	if !time.Now().Before(r.call.Deadline) {
		return outcome.DeadlinePassed
	}
	if ctx.Err() != nil {
		return outcome.CallerGone
	}
	return ""
}

// callFailure says truthfully what became of a call without an response.
func (r *run) callFailure(reason outcome.Reason) *Lost {
	if r.mayHaveRun {
		return &Lost{Outcome: outcome.Unknown, Reason: unknownReason(reason, r.lastLossReason), Spent: r.allowance.Spent()}
	}
	if r.call.Claim != nil {
		r.call.Claim.Release()
	}
	return &Lost{Outcome: outcome.NotRun, Reason: reason, Spent: r.allowance.Spent()}
}

// checkFailure holds what a caller is updated against what the attempts may have done.
func (r *run) checkFailure(fail *Lost) {
	r.dispatcher.Checks.Hold(fail.Outcome != outcome.NotRun || !r.mayHaveRun, invariant.NotRunIsTrue)
}

func unknownReason(reason, lastLoss outcome.Reason) outcome.Reason {
	switch {
	case reason == outcome.CallerGone:
		return outcome.CallerGoneSent
	case lastLoss != "":
		return lastLoss
	case reason == outcome.DeadlinePassed:
		return outcome.AttemptTimeout
	default:
		return outcome.AnswerLost
	}
}

// afterNoTarget decides what to do when no target takes an attempt: wait a little, or
// give up for the returned reason.
func (r *run) afterNoTarget(ctx context.Context, status target.None) outcome.Reason {
	switch {
	case status == target.NoneKnown:
		return outcome.NoTarget
	case status == target.NoneWarm:
		return r.waitBackoff(ctx, outcome.OnlyColdTargets)
	default:
		return r.waitBackoff(ctx, outcome.TargetsRefused)
	}
}

// waitBackoff pauses between rounds of attempts while the profile's patience
// lasts, and returns the given reason when it is over.
func (r *run) waitBackoff(ctx context.Context, reason outcome.Reason) outcome.Reason {
	if r.backoff == 0 {
		r.backoff = minBackoff
	}
	d := r.backoff/2 + rand.N(r.backoff)
	r.backoff = min(2*r.backoff, maxBackoff)
	until := time.Now().Add(d)
	if until.Sub(r.arrivedAt) > r.call.Profile.QueueWait || until.After(r.call.Deadline) {
		return reason
	}
	pause.For(ctx, d)
	r.excluded = r.excluded[:0]
	r.roundRefusalCount = 0
	return ""
}

// afterFailure decides what follows a afterFailure attempt: another one (""), or the end
// for the returned reason.
func (r *run) afterFailure(ctx context.Context, f *Failure) outcome.Reason {
	if reason := r.stopReason(ctx); reason != "" {
		return reason
	}
	if r.claimLapsed {
		return outcome.ClaimLapsed
	}
	switch f.Result {
	case target.Refused:
		return r.afterRefusal(ctx)
	case target.ConnectFailed:
		return r.afterConnectFailure(f)
	case target.TimedOut:
		return r.afterLostResponse(outcome.AttemptTimeout, outcome.RetryAttemptTimeout, f)
	default:
		return r.afterLostResponse(outcome.AnswerLost, outcome.RetryAnswerLost, f)
	}
}

// retryServerFailure drops the response of a target that failed (5xx) in favour of
// another attempt, if the call can bear one.
func (r *run) retryServerFailure(resp *Won) bool {
	if !resp.Answer.Failed() || !r.call.Profile.Idempotent || !r.takeRetry() {
		return false
	}
	r.dispatcher.countExtraAttempt(outcome.RetryServerFailed)
	r.mayHaveRun = true
	resp.Answer.Discard()
	resp.cancel()
	r.service.Table.Finish(resp.reservation, time.Now(), target.ServerFailed, resp.Answer.Report())
	r.excluded = append(r.excluded, resp.reservation.Ref.ID)
	return true
}

func (r *run) afterRefusal(ctx context.Context) outcome.Reason {
	if !r.call.Replayable {
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
		return outcome.TargetsRefused
	}
	r.dispatcher.countExtraAttempt(outcome.RetryTargetRefused)
	r.roundRefusalCount++
	if r.roundRefusalCount < maxAttemptsPerRound && r.dispatcher.spendRefusalRetry(r.service) {
		return ""
	}
	if r.service.Arrivals != nil {
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
		return outcome.TargetsRefused
	}
	// One refusal says that one target is full; a round of them, that there are
	// more calls open than the targets have room for.
	r.service.Gate.Shrink(time.Now())
	return r.waitBackoff(ctx, outcome.TargetsRefused)
}

func (r *run) afterConnectFailure(f *Failure) outcome.Reason {
	if f.BodyConsumed {
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
		return outcome.ConnectFailed
	}
	r.connectFailureCount++
	if r.connectFailureCount >= maxConnectFailures {
		return outcome.ConnectFailed
	}
	r.dispatcher.countExtraAttempt(outcome.RetryConnectFailed)
	return ""
}

// afterLostResponse follows an attempt whose response was fail. If nothing was written
// the call may be tried again freely.
func (r *run) afterLostResponse(reason outcome.Reason, retryReason outcome.RetryReason, f *Failure) outcome.Reason {
	r.lastLossReason = reason
	if !f.Written {
		return r.afterConnectFailure(f)
	}
	if !r.takeRetry() {
		return reason
	}
	r.dispatcher.countExtraAttempt(retryReason)
	return ""
}

// takeRetry spends what a further attempt after a possible run costs.
func (r *run) takeRetry() bool {
	switch {
	case !r.call.Profile.Idempotent:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNotSafe)
	case !r.call.Replayable:
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
	case !time.Now().Before(r.call.Deadline):
		r.dispatcher.countExtraAttempt(outcome.ForgoneDeadline)
	case r.allowance.Left() < 1:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoAllowance)
	case !r.service.spendRetry():
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
	default:
		return r.allowance.Take()
	}
	return false
}

// recordSend books what an attempt may have done at its target.
func (r *run) recordSend(f *Failure) {
	if !f.Written || f.Result == target.Refused {
		return
	}
	r.mayHaveRun = true
	r.sendCount++
	if !r.call.Profile.Idempotent {
		r.dispatcher.Checks.Hold(r.sendCount <= 1, invariant.SendOnce)
	}
}
