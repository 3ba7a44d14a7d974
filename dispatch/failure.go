package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/target"
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

// handleNoTarget handles a choice that found no target: it backs off and returns "",
// or returns the reason to end the call.
func (r *run) handleNoTarget(ctx context.Context, status target.PickStatus) outcome.Reason {
	switch {
	case status == target.PickNoTarget:
		return outcome.NoTarget
	case status == target.PickNoneAvailable && len(r.declining) > 0:
		return outcome.TargetsRefused
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

// retryServerFailure discards a server error (5xx) if the call can be retried before a
// planned stop ends, and reports whether it did.
func (r *run) retryServerFailure(resp *CallResponse) bool {
	if !resp.Response.IsServerError() || !r.call.Profile.Idempotent || !r.endsBeforeStop(time.Now(), 0) || !r.chargeRetry() {
		return false
	}
	resp.hedge.await()
	r.dispatcher.countExtraAttempt(outcome.RetryServerFailed)
	r.mayHaveRun = true
	r.runCount++
	r.suspect.recordCompletion()
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
	if r.suspect.admission.IsTrial {
		// A trial reaches one target only.
		r.dispatcher.countExtraAttempt(outcome.ForgoneSuspected)
		return outcome.TargetsRefused
	}
	r.roundRefusalCount++
	if r.roundRefusalCount < maxAttemptsPerRound && r.dispatcher.spendRefusalRetryToken(r.service) {
		r.dispatcher.countExtraAttempt(outcome.RetryTargetRefused)
		r.isNextPaid = true
		return ""
	}
	if r.service.ExtraAttemptBudget != nil {
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
		return outcome.TargetsRefused
	}
	// One refusal means that one target is full. A whole round of refusals means
	// that more calls are open than the targets have capacity for.
	r.service.Gate.DecreaseLimit(time.Now())
	reason := r.waitBackoff(ctx, outcome.TargetsRefused)
	if reason == "" {
		r.dispatcher.countExtraAttempt(outcome.RetryTargetRefused)
	}
	return reason
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
	case !r.suspect.mayRepeat():
		r.dispatcher.countExtraAttempt(outcome.ForgoneSuspected)
	case !r.call.Profile.Idempotent:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNotIdempotent)
	case !r.call.BodyReplayable:
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
	case !time.Now().Before(r.call.Deadline):
		r.dispatcher.countExtraAttempt(outcome.ForgoneDeadline)
	case r.allowance.Remaining() < 1:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoAllowance)
	case !r.spendRepeatToken():
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
	default:
		r.isNextPaid = r.allowance.Spend()
		return r.isNextPaid
	}
	return false
}

// spendRepeatToken spends a token for a copy after one that has reached a target. It reports
// whether there was one.
func (r *run) spendRepeatToken() bool {
	if r.call.RepeatBudget != nil {
		return r.call.RepeatBudget.Spend()
	}
	return r.service.spendRetryToken()
}

// recordPossibleRun records that a failed attempt may have run at its target.
func (r *run) recordPossibleRun(f *AttemptFailure) {
	if !f.Written || f.Result == target.Refused {
		return
	}
	r.mayHaveRun = true
	r.possibleRunCount++
	r.runCount++
	if !r.call.Profile.Idempotent {
		r.dispatcher.Checks.Check(r.possibleRunCount <= 1, invariant.SendOnce)
	}
}
