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
	// triesPerRound is how many targets are tried before the call pauses.
	triesPerRound = 8
	// pauseLow and pauseHigh bound the pause between rounds; it doubles.
	pauseLow  = 1 * time.Millisecond
	pauseHigh = 4 * time.Millisecond
	// maxConnectFailures bounds the attempts of a call that found no connection.
	maxConnectFailures = 4
)

// run is one call on its way.
type run struct {
	d         *Dispatcher
	svc       *Service
	call      *Call
	sender    Sender
	admitted  admission.Permit
	allowance retry.Allowance
	arrived   time.Time

	avoid           []vm.ID
	tries           int
	pause           time.Duration
	connectFailures int
	sends           int
	mayHaveRun      bool
	claimLapsed     bool
	// late says that the call waits beyond its objective, and waitEnded that this
	// wait is over.
	late, waitEnded bool
	// waits says that the call has found no room before.
	waits bool
	last  outcome.Reason
}

// carry makes attempts until one is answered or none may follow.
func (r *run) carry(ctx context.Context) (*CallResponse, *CallFailure) {
	if refusal := r.acquire(ctx); refusal.Reason != "" {
		return nil, &CallFailure{Outcome: refusal.Outcome, Reason: refusal.Reason, ExtraAttempts: r.allowance.Spent()}
	}
	for {
		if reason := r.ended(ctx); reason != "" {
			return nil, r.lost(reason)
		}
		told := r.svc.Table.LoadChanged()
		r.look(ctx)
		place, none := r.svc.Table.PickWithOptions(time.Now(), r.wish())
		if r.mayAwaitRoom(none) {
			if reason := r.awaitRoom(ctx, told, place); reason != "" {
				return nil, r.noRoom(reason, place)
			}
			continue
		}
		if none != target.PickOK {
			if reason := r.without(ctx, none); reason != "" {
				return nil, r.lost(reason)
			}
			continue
		}
		r.endWait(true)
		r.decided(Placed, place, nil)
		won, failure := r.race(ctx, place)
		if won != nil && !r.tryFailedAgain(won) {
			return won, nil
		}
		if won != nil {
			continue
		}
		if reason := r.failed(ctx, failure); reason != "" {
			lost := r.lost(reason)
			lost.RetryAfter = r.roomAfter(reason, place)
			return nil, lost
		}
	}
}

// lookRounds bounds how often targets are asked for one choice: those of the own
// zone, others, and once more for what left the first question unanswered.
const lookRounds = 3

// look asks for what the table has not seen and the choice needs.
func (r *run) look(ctx context.Context) {
	if r.svc.LoadQuerier == nil {
		return
	}
	for range lookRounds {
		refs := r.svc.Table.TargetsToQuery(time.Now(), r.wish())
		if len(refs) == 0 {
			return
		}
		r.svc.LoadQuerier.QueryLoad(ctx, refs)
	}
}

// wish is what the next attempt asks of its target.
func (r *run) wish() target.PickOptions {
	return target.PickOptions{Exclude: r.avoid, Objective: r.call.Profile.LatencyObjective, MaxForecast: r.limit(), IsWaiting: r.waits}
}

// noRoom ends a call for which no target has room in time.
func (r *run) noRoom(reason outcome.Reason, place target.Reservation) *CallFailure {
	lost := r.lost(reason)
	lost.RetryAfter = r.roomIn(place)
	return lost
}

func (r *run) acquire(ctx context.Context) outcome.Failure {
	if r.call.Claim == nil {
		return outcome.Failure{}
	}
	return r.call.Claim.Acquire(ctx)
}

// ended says why no attempt may start any more, or "".
func (r *run) ended(ctx context.Context) outcome.Reason {
	if !time.Now().Before(r.call.Deadline) {
		return outcome.DeadlinePassed
	}
	if ctx.Err() != nil {
		return outcome.CallerGone
	}
	return ""
}

// lost says truthfully what became of a call without an answer.
func (r *run) lost(reason outcome.Reason) *CallFailure {
	if r.mayHaveRun {
		return &CallFailure{Outcome: outcome.Unknown, Reason: unknownReason(reason, r.last), ExtraAttempts: r.allowance.Spent()}
	}
	if r.call.Claim != nil {
		r.call.Claim.Release()
	}
	return &CallFailure{Outcome: outcome.NotRun, Reason: reason, ExtraAttempts: r.allowance.Spent()}
}

// checkLost holds what a caller is told against what the attempts may have done.
func (r *run) checkLost(lost *CallFailure) {
	r.d.Checks.Check(lost.Outcome != outcome.NotRun || !r.mayHaveRun, invariant.NotRunIsTrue)
}

func unknownReason(reason, last outcome.Reason) outcome.Reason {
	switch {
	case reason == outcome.CallerGone:
		return outcome.CallerGoneAfterSend
	case last != "":
		return last
	case reason == outcome.DeadlinePassed:
		return outcome.AttemptTimeout
	default:
		return outcome.AnswerLost
	}
}

// without decides what to do when no target takes an attempt: wait a little, or
// give up for the returned reason.
func (r *run) without(ctx context.Context, none target.PickStatus) outcome.Reason {
	switch {
	case none == target.PickNoTarget:
		return outcome.NoTarget
	case none == target.PickOnlyCold:
		return r.waitRound(ctx, outcome.OnlyColdTargets)
	default:
		return r.waitRound(ctx, outcome.TargetsRefused)
	}
}

// waitRound pauses between rounds of attempts while the profile's patience
// lasts, and returns the given reason when it is over.
func (r *run) waitRound(ctx context.Context, reason outcome.Reason) outcome.Reason {
	if r.pause == 0 {
		r.pause = pauseLow
	}
	d := r.pause/2 + rand.N(r.pause)
	r.pause = min(2*r.pause, pauseHigh)
	until := time.Now().Add(d)
	if until.Sub(r.arrived) > r.call.Profile.QueueTimeout || until.After(r.call.Deadline) {
		return reason
	}
	pause.For(ctx, d)
	r.avoid = r.avoid[:0]
	r.tries = 0
	return ""
}

// failed decides what follows a failed attempt: another one (""), or the end
// for the returned reason.
func (r *run) failed(ctx context.Context, f *AttemptFailure) outcome.Reason {
	if reason := r.ended(ctx); reason != "" {
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
		return r.afterLoss(outcome.AttemptTimeout, outcome.RetryAttemptTimeout, f)
	default:
		return r.afterLoss(outcome.AnswerLost, outcome.RetryAnswerLost, f)
	}
}

// tryFailedAgain drops the answer of a target that failed (5xx) in favour of
// another attempt, if the call can bear one.
func (r *run) tryFailedAgain(won *CallResponse) bool {
	if !won.Response.IsServerError() || !r.call.Profile.Idempotent || !r.mayTryAgain() {
		return false
	}
	r.d.further(outcome.RetryServerFailed)
	r.mayHaveRun = true
	won.Response.Discard()
	won.end()
	r.svc.Table.Finish(won.place, time.Now(), target.ServerFailed, won.Response.Report())
	r.avoid = append(r.avoid, won.place.Ref.ID)
	return true
}

func (r *run) afterRefusal(ctx context.Context) outcome.Reason {
	if !r.call.BodyReplayable {
		r.d.further(outcome.ForgoneBodyConsumed)
		return outcome.TargetsRefused
	}
	r.d.further(outcome.RetryTargetRefused)
	r.tries++
	if r.tries < triesPerRound && r.d.mayTryOn(r.svc) {
		return ""
	}
	if r.svc.ExtraAttemptBudget != nil {
		r.d.further(outcome.ForgoneNoTokens)
		return outcome.TargetsRefused
	}
	// One refusal says that one target is full; a round of them, that there are
	// more calls open than the targets have room for.
	r.svc.Gate.DecreaseLimit(time.Now())
	return r.waitRound(ctx, outcome.TargetsRefused)
}

func (r *run) afterConnectFailure(f *AttemptFailure) outcome.Reason {
	if f.BodyConsumed {
		r.d.further(outcome.ForgoneBodyConsumed)
		return outcome.ConnectFailed
	}
	r.connectFailures++
	if r.connectFailures >= maxConnectFailures {
		return outcome.ConnectFailed
	}
	r.d.further(outcome.RetryConnectFailed)
	return ""
}

// afterLoss follows an attempt whose answer was lost. If nothing was written
// the call may be tried again freely.
func (r *run) afterLoss(reason outcome.Reason, why outcome.ExtraAttemptReason, f *AttemptFailure) outcome.Reason {
	r.last = reason
	if !f.Written {
		return r.afterConnectFailure(f)
	}
	if !r.mayTryAgain() {
		return reason
	}
	r.d.further(why)
	return ""
}

// mayTryAgain spends what a further attempt after a possible run costs.
func (r *run) mayTryAgain() bool {
	switch {
	case !r.call.Profile.Idempotent:
		r.d.further(outcome.ForgoneNotIdempotent)
	case !r.call.BodyReplayable:
		r.d.further(outcome.ForgoneBodyConsumed)
	case !time.Now().Before(r.call.Deadline):
		r.d.further(outcome.ForgoneDeadline)
	case r.allowance.Remaining() < 1:
		r.d.further(outcome.ForgoneNoAllowance)
	case !r.svc.spendRetry():
		r.d.further(outcome.ForgoneNoTokens)
	default:
		return r.allowance.Spend()
	}
	return false
}

// noteSent books what an attempt may have done at its target.
func (r *run) noteSent(f *AttemptFailure) {
	if !f.Written || f.Result == target.Refused {
		return
	}
	r.mayHaveRun = true
	r.sends++
	if !r.call.Profile.Idempotent {
		r.d.Checks.Check(r.sends <= 1, invariant.SendOnce)
	}
}
