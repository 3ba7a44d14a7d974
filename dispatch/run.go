package dispatch

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
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
	// declining lists the nodes that have refused this call for a reason that lies with the
	// call; they stay excluded.
	declining []vm.ID
	// backoff is the mean delay before the next round; zero before the first one.
	backoff             time.Duration
	connectFailureCount int
	// possibleRunCount is the number of failed attempts that may have run at their
	// targets.
	possibleRunCount int
	// runCount is the number of attempts before the current one that may have run,
	// including those that got a server error.
	runCount int
	// hasAttempted reports whether any attempt was made.
	hasAttempted bool
	// hasReached reports whether an attempt has reached a target, which ran or refused it.
	hasReached bool
	// isNextPaid reports whether a copy was paid for that has not reached a target yet.
	isNextPaid bool
	// hasEarned reports whether a relayed call has added its tokens to the budgets.
	hasEarned bool
	// hasTriedCanary reports whether it was decided if the call goes to a new version.
	hasTriedCanary bool
	// mayHaveRun reports whether any attempt may have run.
	mayHaveRun  bool
	claimLapsed bool
	// isLate reports whether the call was admitted by LateCallLimiter because it
	// can no longer meet its objective, and hasReleasedLateCall whether it has been
	// released there.
	isLate, hasReleasedLateCall bool
	// hasWaited reports whether the call has waited for capacity.
	hasWaited bool
	// place is the call's place among those that wait for capacity; nil if it does not wait.
	place *admission.Place
	// turnPlace is the call's place among those that wait for a turn at a target with a
	// rate limit; nil if it does not wait for one.
	turnPlace *turnPlace
	suspect   suspect
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
		if r.mustQueue() {
			if reason := r.waitForTurn(ctx); reason != "" {
				return nil, r.capacityFailure(reason, target.Reservation{})
			}
			continue
		}
		loadChanged := r.service.Table.LoadChanged()
		reservation, status := r.pick(ctx)
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
		if !r.endsBeforeStop(time.Now(), reservation.Forecast) {
			r.service.Table.Finish(reservation, time.Now(), target.Cancelled, target.Report{})
			return nil, r.callFailure(outcome.NodeStopping)
		}
		r.releaseLateCall(true)
		r.leaveBacklog(true)
		r.leaveTurnQueue()
		r.notifyDecision(Placed, reservation, nil)
		resp, failure := r.attemptWithHedge(ctx, reservation)
		if resp != nil {
			r.markReached()
		}
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
func (r *run) queryLoad(ctx context.Context, options func() target.PickOptions) {
	if r.service.LoadQuerier == nil {
		return
	}
	for range maxLoadQueryRounds {
		refs := r.service.Table.TargetsToQuery(time.Now(), options())
		if len(refs) == 0 {
			return
		}
		r.service.LoadQuerier.QueryLoad(ctx, refs)
	}
}

// pickOptions returns the options for choosing the target of the next attempt.
func (r *run) pickOptions() target.PickOptions {
	return target.PickOptions{Exclude: append(r.excluded[:len(r.excluded):len(r.excluded)], r.declining...), Route: string(r.call.Profile.Name), Objective: r.call.Profile.LatencyObjective, MaxForecast: r.forecastLimit(), IsWaiting: r.hasWaited, AvoidLimited: r.mustYieldTurn()}
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
	if r.suspect.isHeld() {
		return outcome.Quarantined
	}
	if r.dispatcher.isStopping.Load() || !r.endsBeforeStop(time.Now(), 0) {
		return outcome.NodeStopping
	}
	if r.service.isPathLost() {
		return outcome.PathLost
	}
	return ""
}

// callFailure returns the result of a call without a response: Unknown if an
// attempt may have run, otherwise NotRun. It releases the claim of a call that was
// not run.
func (r *run) callFailure(reason outcome.Reason) *CallFailure {
	canForward := r.canForward(reason)
	if r.mayHaveRun {
		return &CallFailure{Outcome: outcome.Unknown, Reason: unknownReason(reason, r.lastLossReason), ExtraAttempts: r.allowance.Spent(), HasReached: r.hasReached, CanForward: canForward, Allowance: r.allowance, IsCounted: true}
	}
	if r.call.Claim != nil {
		r.call.Claim.Release()
	}
	fail := &CallFailure{Outcome: outcome.NotRun, Reason: reason, ExtraAttempts: r.allowance.Spent(), HasReached: r.hasReached, CanForward: canForward, Allowance: r.allowance, IsCounted: true}
	if reason == outcome.NodeStopping {
		fail.RetryAfter = stopRetryAfter
	}
	return fail
}

// markReached records that an attempt has reached a target. A relayed call adds its tokens to the
// budgets then, if it has not done so at another node: until then another one may serve it.
func (r *run) markReached() {
	r.hasReached = true
	r.isNextPaid = false
	if r.call.IsRelayed && !r.call.IsCounted && !r.hasEarned {
		r.hasEarned = true
		r.service.earnTokens()
	}
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
