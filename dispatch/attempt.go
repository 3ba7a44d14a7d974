package dispatch

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// attempt sends the call to a reserved target. On a failure it finishes the
// reservation immediately. isRepeat states that an earlier attempt may have run.
func (r *run) attempt(ctx context.Context, reservation target.Reservation, maxExtraAttempts int, isRepeat bool) (Response, *AttemptFailure) {
	ownDeadline, targetDeadline := r.attemptDeadlines()
	headerDeadline := earliest(ownDeadline, time.Now().Add(r.call.Profile.AttemptTimeout))
	if reservation.IsCold {
		headerDeadline = earliest(headerDeadline, reservation.LeaseDeadline)
	}
	response, failure := r.sender.Send(ctx, Attempt{
		Target:            reservation.Ref,
		HeaderDeadline:    headerDeadline,
		Deadline:          targetDeadline,
		MaxExtraAttempts:  maxExtraAttempts,
		IsRepeat:          isRepeat,
		RequireRecentRead: !r.call.Profile.Idempotent,
		MaySend:           func() bool { return r.maySend(reservation) },
	})
	if failure != nil {
		r.service.Table.Finish(reservation, time.Now(), failure.Result, failure.Report)
	}
	return response, failure
}

// maySend is the last check before the first byte is written. It reports whether
// the deadline has not passed, the response arrives before a planned stop ends, the request is
// not held, the target still accepts work and the claim, if any, could be used.
func (r *run) maySend(reservation target.Reservation) bool {
	now := time.Now()
	if !now.Before(r.call.Deadline) || !r.endsBeforeStop(now, reservation.Forecast) || r.suspect.isHeld() || !r.service.Table.CanSend(reservation, now) {
		return false
	}
	if r.call.Claim == nil {
		return true
	}
	r.claimLapsed = !r.call.Claim.Use()
	return !r.claimLapsed
}

// recordFailure records a failed attempt in the state of the call.
func (r *run) recordFailure(ctx context.Context, reservation target.Reservation, f *AttemptFailure) {
	r.notifyDecision(Failed, reservation, f)
	r.recordPossibleRun(f)
	if f.Written {
		r.markReached()
	}
	if f.Written && f.Result == target.Broken {
		r.suspect.recordLoss(ctx, reservation)
	}
	r.allowance.ChargeDownstream(f.ExtraAttempts)
	r.excluded = append(r.excluded, reservation.Ref.ID)
	if f.Reason != "" && f.Report.RetryAfter == 0 {
		r.declining = append(r.declining, reservation.Ref.ID)
	}
	notRun := !f.Written || f.Result == target.Refused
	if notRun && r.call.Claim != nil {
		r.call.Claim.UndoUse()
	}
}

// callResponse returns the result of a call whose target responded.
func (r *run) callResponse(response Response, reservation target.Reservation) *CallResponse {
	r.allowance.ChargeDownstream(response.ExtraAttempts())
	timeToAttempt := reservation.StartedAt.Sub(r.arrivedAt)
	return &CallResponse{Response: response, TimeToAttempt: timeToAttempt, ExtraAttempts: r.allowance.Spent(), run: r, reservation: reservation}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
