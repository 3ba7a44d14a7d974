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
	// maxAttemptsPerRound is the number of targets tried in one round, before the
	// call backs off.
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

	// excluded lists the targets that the next choice passes over.
	excluded            []vm.ID
	roundRefusalCount   int
	backoff             time.Duration
	connectFailureCount int
	// sendCount is the number of failed attempts that may have run.
	sendCount int
	// mayHaveRun reports whether any attempt may have run.
	mayHaveRun  bool
	claimLapsed bool
	// isLate reports whether the call has waited beyond its objective, and
	// hasReleasedLateCall whether this wait has ended.
	isLate, hasReleasedLateCall bool
	// hasWaited reports whether the call has waited for capacity.
	hasWaited bool
	// lastLossReason is why the most recent lost response was lost, or "" if none
	// was.
	lastLossReason outcome.Reason
}

// execute makes attempts until one gets a response or no further one is allowed.
func (r *run) execute(ctx context.Context) (*CallResponse, *CallFailure) {
	if refusal := r.acquireClaim(ctx); refusal.Reason != "" {
		return nil, &CallFailure{Outcome: refusal.Outcome, Reason: refusal.Reason, ExtraAttempts: r.allowance.Spent()}
	}
	for {
		if reason := r.stopReason(ctx); reason != "" {
			return nil, r.callFailure(reason)
		}
		updated := r.service.Table.LoadChanged()
		r.queryLoad(ctx)
		reservation, status := r.service.Table.PickWithOptions(time.Now(), r.pickOptions())
		if r.canWaitForCapacity(status) {
			if reason := r.waitForCapacity(ctx, updated, reservation); reason != "" {
				return nil, r.capacityFailure(reason, reservation)
			}
			continue
		}
		if status != target.PickOK {
			if reason := r.afterNoTarget(ctx, status); reason != "" {
				return nil, r.callFailure(reason)
			}
			continue
		}
		r.releaseLateCall(true)
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
			fail.RetryAfter = r.refusalRetryAfter(reason, reservation)
			return nil, fail
		}
	}
}

// maxLoadQueryRounds bounds the load queries for one choice: one to targets of the
// own zone, one to others, and one more after unanswered queries.
const maxLoadQueryRounds = 3

// queryLoad queries targets without a fresh load report, as far as the choice needs
// them.
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
	return target.PickOptions{Exclude: r.excluded, Objective: r.call.Profile.LatencyObjective, MaxForecast: r.forecastLimit(), IsWaiting: r.hasWaited}
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
// ended, lastLoss why its last attempt had no response.
func unknownReason(reason, lastLoss outcome.Reason) outcome.Reason {
	switch {
	case reason == outcome.CallerGone:
		return outcome.CallerGoneAfterSend
	case lastLoss != "":
		return lastLoss
	case reason == outcome.DeadlinePassed:
		return outcome.AttemptTimeout
	default:
		return outcome.AnswerLost
	}
}

// afterNoTarget handles a choice that found no target: it backs off and returns "",
// or returns the reason to end the call.
func (r *run) afterNoTarget(ctx context.Context, status target.PickStatus) outcome.Reason {
	switch {
	case status == target.PickNoTarget:
		return outcome.NoTarget
	case status == target.PickOnlyCold:
		return r.waitBackoff(ctx, outcome.OnlyColdTargets)
	default:
		return r.waitBackoff(ctx, outcome.TargetsRefused)
	}
}

// waitBackoff waits between rounds of attempts and returns "". It returns the given
// reason at once if the wait would exceed the profile's QueueWait or the deadline.
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

// afterFailure handles a failed attempt: it returns "" if another attempt may
// follow, or the reason to end the call.
func (r *run) afterFailure(ctx context.Context, f *AttemptFailure) outcome.Reason {
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

// retryServerFailure reports whether a call whose target responded with a server
// error (5xx) is retried; if so, it discards the response.
func (r *run) retryServerFailure(resp *CallResponse) bool {
	if !resp.Response.IsServerError() || !r.call.Profile.Idempotent || !r.takeRetry() {
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

// afterRefusal handles an attempt that the target refused, like afterFailure.
func (r *run) afterRefusal(ctx context.Context) outcome.Reason {
	if !r.call.BodyReplayable {
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
		return outcome.TargetsRefused
	}
	r.dispatcher.countExtraAttempt(outcome.RetryTargetRefused)
	r.roundRefusalCount++
	if r.roundRefusalCount < maxAttemptsPerRound && r.dispatcher.spendRefusalRetry(r.service) {
		return ""
	}
	if r.service.ExtraAttemptBudget != nil {
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
		return outcome.TargetsRefused
	}
	// One refusal means that one target is full; a full round of them means that
	// more calls are open than the targets have capacity for.
	r.service.Gate.DecreaseLimit(time.Now())
	return r.waitBackoff(ctx, outcome.TargetsRefused)
}

// afterConnectFailure handles an attempt of which nothing was written, like
// afterFailure.
func (r *run) afterConnectFailure(f *AttemptFailure) outcome.Reason {
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

// afterLostResponse handles an attempt whose response was lost, like afterFailure.
// If nothing was written, the retry needs no token.
func (r *run) afterLostResponse(reason outcome.Reason, retryReason outcome.ExtraAttemptReason, f *AttemptFailure) outcome.Reason {
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

// takeRetry spends the token and the allowance for a retry after an attempt that
// may have run. It reports whether the retry may be made.
func (r *run) takeRetry() bool {
	switch {
	case !r.call.Profile.Idempotent:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNotIdempotent)
	case !r.call.BodyReplayable:
		r.dispatcher.countExtraAttempt(outcome.ForgoneBodyConsumed)
	case !time.Now().Before(r.call.Deadline):
		r.dispatcher.countExtraAttempt(outcome.ForgoneDeadline)
	case r.allowance.Remaining() < 1:
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoAllowance)
	case !r.service.spendRetry():
		r.dispatcher.countExtraAttempt(outcome.ForgoneNoTokens)
	default:
		return r.allowance.Spend()
	}
	return false
}

// recordSend records that a failed attempt may have run at its target.
func (r *run) recordSend(f *AttemptFailure) {
	if !f.Written || f.Result == target.Refused {
		return
	}
	r.mayHaveRun = true
	r.sendCount++
	if !r.call.Profile.Idempotent {
		r.dispatcher.Checks.Check(r.sendCount <= 1, invariant.SendOnce)
	}
}
