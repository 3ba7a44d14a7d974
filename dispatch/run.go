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
	// maxAttemptsPerRound bounds the refused attempts of one round, after which the
	// call backs off, and the attempts of a hedge.
	maxAttemptsPerRound = 8
	// minBackoff and maxBackoff bound the backoff between rounds, which doubles
	// each time and has jitter.
	minBackoff = 1 * time.Millisecond
	maxBackoff = 4 * time.Millisecond
	// maxConnectFailures bounds the attempts of a call that fail to get a
	// connection.
	maxConnectFailures = 4
)

// run is the state of one call in execution.
type run struct {
	dispatcher *Dispatcher
	service    *Service
	call       *Call
	sender     Sender
	gatePermit admission.Permit
	allowance  retry.Allowance
	arrivedAt  time.Time

	// excluded lists the targets that the next choice excludes.
	excluded          []vm.ID
	roundRefusalCount int
	// backoff is the mean delay before the next round; zero before the first one.
	backoff             time.Duration
	connectFailureCount int
	// possibleRunCount is the number of failed attempts that may have run at their
	// targets.
	possibleRunCount int
	// mayHaveRun reports whether any attempt may have run.
	mayHaveRun  bool
	claimLapsed bool
	// isLate reports whether the call was admitted by LateCallLimiter because it
	// can no longer meet its objective, and hasReleasedLateCall whether it has been
	// released there.
	isLate, hasReleasedLateCall bool
	// hasWaited reports whether the call has waited for capacity.
	hasWaited bool
	// turnPlace is the call's place among those that wait for a turn at a target with a
	// rate limit; nil if it does not wait for one.
	turnPlace *turnPlace
	// lastLossReason is the reason recorded for the most recent lost response, or
	// "" if none was lost.
	lastLossReason outcome.Reason
}

// execute makes attempts until one gets a response or no other may be made.
func (r *run) execute(ctx context.Context) (*CallResponse, *CallFailure) {
	if claimFailure := r.acquireClaim(ctx); claimFailure.Reason != "" {
		return nil, &CallFailure{Outcome: claimFailure.Outcome, Reason: claimFailure.Reason, ExtraAttempts: r.allowance.Spent()}
	}
	for {
		if reason := r.stopReason(ctx); reason != "" {
			return nil, r.callFailure(reason)
		}
		loadChanged := r.service.Table.LoadChanged()
		r.queryLoad(ctx)
		reservation, status := r.service.Table.PickWithOptions(time.Now(), r.pickOptions())
		if status == target.PickBackedOff {
			if remaining := r.service.Table.BackOffRemaining(time.Now()); remaining > 0 && !r.canAwaitReturn(remaining) {
				return nil, r.backOffFailure(remaining)
			}
		}
		if status == target.PickLimited {
			if fail := r.joinTurnQueue(); fail != nil {
				return nil, fail
			}
		}
		if r.canWaitForCapacity(status) {
			if reason := r.waitForCapacity(ctx, loadChanged, reservation); reason != "" {
				return nil, r.capacityFailure(reason, reservation)
			}
			continue
		}
		if status != target.PickOK {
			if reason := r.handleNoTarget(ctx, status); reason != "" {
				return nil, r.callFailure(reason)
			}
			continue
		}
		r.releaseLateCall(true)
		r.leaveTurnQueue()
		r.notifyDecision(Placed, reservation, nil)
		resp, failure := r.attemptWithHedge(ctx, reservation)
		if resp != nil && !r.retryServerFailure(resp) {
			return resp, nil
		}
		if resp != nil {
			continue
		}
		if reason := r.handleFailure(ctx, failure); reason != "" {
			fail := r.callFailure(reason)
			fail.RetryAfter = r.refusalRetryAfter(reason, reservation)
			return nil, fail
		}
	}
}

// maxLoadQueryRounds bounds the rounds of load queries for one choice: one to
// targets in the node's own zone, one to targets in other zones, and one more after
// unanswered queries.
const maxLoadQueryRounds = 3

// queryLoad queries the targets whose load reports the next choice needs and that
// have no fresh one.
func (r *run) queryLoad(ctx context.Context) {
	if r.service.LoadQuerier == nil {
		return
	}
	for range maxLoadQueryRounds {
		refs := r.service.Table.TargetsToQuery(time.Now(), r.pickOptions())
		if len(refs) == 0 {
			return
		}
		r.service.LoadQuerier.QueryLoad(ctx, refs)
	}
}

// pickOptions returns the options for choosing the target of the next attempt.
func (r *run) pickOptions() target.PickOptions {
	return target.PickOptions{Exclude: r.excluded, Objective: r.call.Profile.LatencyObjective, MaxForecast: r.forecastLimit(), IsWaiting: r.hasWaited, AvoidLimited: r.mustYieldTurn()}
}

// capacityFailure returns the result of a call for which no target has capacity in
// time.
func (r *run) capacityFailure(reason outcome.Reason, reservation target.Reservation) *CallFailure {
	fail := r.callFailure(reason)
	fail.RetryAfter = r.capacityRetryAfter(reservation)
	return fail
}

// acquireClaim acquires the call's claim, if it has one.
func (r *run) acquireClaim(ctx context.Context) outcome.Failure {
	if r.call.Claim == nil {
		return outcome.Failure{}
	}
	return r.call.Claim.Acquire(ctx)
}

// stopReason returns the reason why no attempt may start any more, or "".
func (r *run) stopReason(ctx context.Context) outcome.Reason {
	if !time.Now().Before(r.call.Deadline) {
		return outcome.DeadlinePassed
	}
	if ctx.Err() != nil {
		return outcome.CallerGone
	}
	return ""
}

// callFailure returns the result of a call without a response: Unknown if an
// attempt may have run, otherwise NotRun. It releases the claim of a call that was
// not run.
func (r *run) callFailure(reason outcome.Reason) *CallFailure {
	if r.mayHaveRun {
		return &CallFailure{Outcome: outcome.Unknown, Reason: unknownReason(reason, r.lastLossReason), ExtraAttempts: r.allowance.Spent()}
	}
	if r.call.Claim != nil {
		r.call.Claim.Release()
	}
	return &CallFailure{Outcome: outcome.NotRun, Reason: reason, ExtraAttempts: r.allowance.Spent()}
}

// checkFailure checks that a call reported as not run had no attempt that may have
// run.
func (r *run) checkFailure(fail *CallFailure) {
	r.dispatcher.Checks.Check(fail.Outcome != outcome.NotRun || !r.mayHaveRun, invariant.NotRunIsTrue)
}

// unknownReason returns the reason for the outcome Unknown: reason is why the call
// ended, and lastLossReason is run.lastLossReason.
func unknownReason(reason, lastLossReason outcome.Reason) outcome.Reason {
	switch {
	case reason == outcome.CallerGone:
		return outcome.CallerGoneAfterSend
	case lastLossReason != "":
		return lastLossReason
	case reason == outcome.DeadlinePassed:
		return outcome.AttemptTimeout
	default:
		return outcome.AnswerLost
	}
}

// handleNoTarget handles a choice that found no target: it backs off and returns "",
// or returns the reason to end the call.
func (r *run) handleNoTarget(ctx context.Context, status target.PickStatus) outcome.Reason {
	switch {
	case status == target.PickNoTarget:
		return outcome.NoTarget
	case status == target.PickOnlyCold:
		return r.waitBackoff(ctx, outcome.OnlyColdTargets)
	case status == target.PickLimited:
		return r.waitBackoff(ctx, outcome.TargetsLimited)
	default:
		return r.waitBackoff(ctx, outcome.TargetsRefused)
	}
}

// waitBackoff waits between rounds of attempts and returns "". It returns the given
// reason immediately if the wait would end after the deadline or more than the
// profile's QueueTimeout after the arrival of the call.
func (r *run) waitBackoff(ctx context.Context, reason outcome.Reason) outcome.Reason {
	if r.backoff == 0 {
		r.backoff = minBackoff
	}
	d := r.backoff/2 + rand.N(r.backoff)
	r.backoff = min(2*r.backoff, maxBackoff)
	resumeAt := time.Now().Add(d)
	if resumeAt.Sub(r.arrivedAt) > r.call.Profile.QueueTimeout || resumeAt.After(r.call.Deadline) {
		return reason
	}
	pause.For(ctx, d)
	r.excluded = r.excluded[:0]
	r.roundRefusalCount = 0
	return ""
}

// handleFailure handles a failed attempt: it returns "" if another attempt may
// follow, or the reason to end the call.
func (r *run) handleFailure(ctx context.Context, f *AttemptFailure) outcome.Reason {
	if reason := r.stopReason(ctx); reason != "" {
		return reason
	}
	if r.claimLapsed {
		return outcome.ClaimLapsed
	}
	switch f.Result {
	case target.Refused:
		return r.handleRefusal(ctx)
	case target.ConnectFailed:
		return r.handleConnectFailure(f)
	case target.TimedOut:
		return r.handleLostResponse(outcome.AttemptTimeout, outcome.RetryAttemptTimeout, f)
	default:
		return r.handleLostResponse(outcome.AnswerLost, outcome.RetryAnswerLost, f)
	}
}

// retryServerFailure discards a server error (5xx) if the call can be retried, and
// reports whether it did.
func (r *run) retryServerFailure(resp *CallResponse) bool {
	if !resp.Response.IsServerError() || !r.call.Profile.Idempotent || !r.chargeRetry() {
		return false
	}
	r.dispatcher.countExtraAttempt(outcome.RetryServerFailed)
	r.mayHaveRun = true
	resp.Response.Discard()
	resp.cancel()
	r.service.Table.Finish(resp.reservation, time.Now(), target.ServerFailed, resp.Response.Report())
	r.excluded = append(r.excluded, resp.reservation.Ref.ID)
	return true
}

// handleRefusal handles an attempt that the target refused. It returns the same as
// handleFailure.
func (r *run) handleRefusal(ctx context.Context) outcome.Reason {
	if !r.call.BodyReplayable {
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
		return outcome.TargetsRefused
	}
	r.dispatcher.countExtraAttempt(outcome.RetryTargetRefused)
	r.roundRefusalCount++
	if r.roundRefusalCount < maxAttemptsPerRound && r.dispatcher.spendRefusalRetryToken(r.service) {
		return ""
	}
	if r.service.ExtraAttemptBudget != nil {
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
		return outcome.TargetsRefused
	}
	// One refusal means that one target is full. A whole round of refusals means
	// that more calls are open than the targets have capacity for.
	r.service.Gate.DecreaseLimit(time.Now())
	return r.waitBackoff(ctx, outcome.TargetsRefused)
}

// handleConnectFailure handles an attempt of which nothing was written. It returns
// the same as handleFailure. The retry needs no token.
func (r *run) handleConnectFailure(f *AttemptFailure) outcome.Reason {
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

// handleLostResponse handles an attempt whose response was lost. It returns the same
// as handleFailure.
func (r *run) handleLostResponse(reason outcome.Reason, retryReason outcome.ExtraAttemptReason, f *AttemptFailure) outcome.Reason {
	r.lastLossReason = reason
	if !f.Written {
		return r.handleConnectFailure(f)
	}
	if !r.chargeRetry() {
		return reason
	}
	r.dispatcher.countExtraAttempt(retryReason)
	return ""
}

// chargeRetry charges a retry after an attempt that may have run to the token budget
// and to the call's allowance. It reports whether the retry may be made.
func (r *run) chargeRetry() bool {
	switch {
	case !r.call.Profile.Idempotent:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNotIdempotent)
	case !r.call.BodyReplayable:
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
	case !time.Now().Before(r.call.Deadline):
		r.dispatcher.countExtraAttempt(outcome.ForgoneDeadline)
	case r.allowance.Remaining() < 1:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoAllowance)
	case !r.service.spendRetryToken():
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
	default:
		return r.allowance.Spend()
	}
	return false
}

// recordPossibleRun records that a failed attempt may have run at its target.
func (r *run) recordPossibleRun(f *AttemptFailure) {
	if !f.Written || f.Result == target.Refused {
		return
	}
	r.mayHaveRun = true
	r.possibleRunCount++
	if !r.call.Profile.Idempotent {
		r.dispatcher.Checks.Check(r.possibleRunCount <= 1, invariant.SendOnce)
	}
}
