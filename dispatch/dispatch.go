package dispatch

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
)

// Attempt is one try at one target.
type Attempt struct {
	Target target.Ref
	// HeaderBy is when the answer's headers must have come.
	HeaderDeadline time.Time
	// Deadline is the call's own deadline, less this layer's cost.
	Deadline time.Time
	// Allowance is how many further attempts the layers below may make.
	MaxExtraAttempts int
	// Proven asks for a connection that is new or has just been heard on, since
	// a lost answer could not be tried again.
	RequireRecentRead bool
	// Permit is asked right before the first byte is written; if it says no,
	// nothing may be written.
	MaySend func() bool
}

// Answer is an answer whose headers have come.
type Response interface {
	// Failed reports whether the target says that it failed (5xx).
	IsServerError() bool
	// Report is the load stated on the answer.
	Report() target.Report
	// Spent is how many further attempts the layers below made.
	ExtraAttempts() int
	// Discard ends an answer that nobody wants.
	Discard()
}

// Failure is an attempt without an answer.
type AttemptFailure struct {
	Result target.Result
	// Written says that a byte of the call may have reached the target.
	Written bool
	// BodyConsumed says that the body cannot be sent again.
	BodyConsumed  bool
	Report        target.Report
	ExtraAttempts int
}

// Sender makes attempts.
type Sender interface {
	// Send makes one attempt. It returns an answer once its headers are in, or
	// a failure. When ctx ends it cancels the attempt at the target.
	Send(ctx context.Context, a Attempt) (Response, *AttemptFailure)
}

// Claim is the right to send a keyed call, once.
type Claim interface {
	// Acquire gets the right, or says why it cannot be had.
	Acquire(ctx context.Context) outcome.Failure
	// Use spends the right; it reports false if it is gone or was used.
	Use() bool
	// Unused gives the right back after an attempt that certainly did not run.
	UndoUse()
	// Release lets the key be used again by anyone: the call was not run.
	Release()
}

// Call is one call to carry.
type Call struct {
	// ID names the call in logs; it may be empty.
	ID       string
	Profile  *profile.Profile
	Caller   admission.Caller
	Deadline time.Time
	// Allowance is the further attempts left over the chain.
	Allowance retry.Allowance
	// Replayable says that the body can be sent again.
	BodyReplayable bool
	// Claim guards a keyed call; nil if there is none.
	Claim Claim
}

// Scout asks targets for their state.
type LoadQuerier interface {
	// Ask asks the targets and hands what they say to their table; it returns
	// when it has heard enough for a choice.
	QueryLoad(ctx context.Context, refs []target.Ref)
}

// Service is what a node holds of one service to carry its calls.
type Service struct {
	Table *target.Table
	// Scout, if set, is asked before each choice for what the table has not seen.
	LoadQuerier LoadQuerier
	// Arrivals, if set, pays for every attempt after a call's first that reaches
	// a target, whatever became of the one before; it stands for Retries, Hedges
	// and the ledger of refusals.
	ExtraAttemptBudget *retry.Budget
	Gate               *admission.Gate
	RetryBudget        *retry.Budget
	HedgeBudget        *retry.Budget
	Latencies          *retry.LatencyWindow
	// Overflow holds late calls; calls whose profile states no objective need none.
	LateCallLimiter admission.LateCallLimiter
}

// Further is told of each further attempt and each one forgone.
type ExtraAttemptCounter interface {
	CountExtraAttempt(r outcome.ExtraAttemptReason)
}

// Dispatcher carries calls. Its zero value works and counts nothing.
type Dispatcher struct {
	ExtraAttemptCounter ExtraAttemptCounter
	// Decisions, if set, is told what was decided for each call.
	Observer DecisionObserver
	Checks   *invariant.Checker
	// Ledger bounds how often calls go on to another target after a refusal;
	// nil bounds nothing.
	RefusalBudget *measuring.Budget
}

// Won is an answered call; it must be given to Finish once.
type CallResponse struct {
	Response Response
	// Waited is how long the call waited in this node before its attempt.
	TimeToAttempt time.Duration
	// Spent is how many further attempts were made here and below.
	ExtraAttempts int

	run   *run
	place target.Reservation
	end   func()
}

// Lost is a call without an answer.
type CallFailure struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Spent is how many further attempts were made here and below.
	ExtraAttempts int
	// RoomIn is the forecast of how long it takes until a target could answer;
	// zero if there is none.
	RetryAfter time.Duration
}

// layerCost is what this layer takes off the deadline it hands on.
const layerCost = time.Millisecond

// Do carries a call until its answer's headers are in. Exactly one of the
// results is non-nil.
func (d *Dispatcher) Do(ctx context.Context, svc *Service, c *Call, s Sender) (*CallResponse, *CallFailure) {
	now := time.Now()
	if !now.Before(c.Deadline) {
		return nil, &CallFailure{Outcome: outcome.NotRun, Reason: outcome.DeadlinePassed}
	}
	svc.earn()
	place, refusal := svc.Gate.Acquire(ctx, admission.Request{
		Urgency: c.Profile.Urgency, Caller: c.Caller, Deadline: c.Deadline, MaxWait: c.Profile.QueueTimeout,
	})
	if refusal != "" {
		return nil, &CallFailure{Outcome: outcome.NotRun, Reason: refusal}
	}
	r := &run{d: d, svc: svc, call: c, sender: s, admitted: place, allowance: c.Allowance, arrived: now}
	won, lost := r.carry(ctx)
	r.endWait(false)
	if lost != nil {
		place.Release(false)
		r.checkLost(lost)
	}
	return won, lost
}

// Target is the target that answered.
func (w *CallResponse) Target() target.Ref {
	return w.place.Ref
}

// Finish ends an answered call; result says how its body ended.
func (w *CallResponse) Finish(result target.Result) {
	r := w.run
	now := time.Now()
	if result == target.Answered && w.Response.IsServerError() {
		result = target.ServerFailed
	}
	r.svc.Table.Finish(w.place, now, result, w.Response.Report())
	r.admitted.Release(result == target.Answered || result == target.ServerFailed)
	w.end()
}

// earn books what a call earns for further attempts.
func (s *Service) earn() {
	if s.ExtraAttemptBudget != nil {
		s.ExtraAttemptBudget.Earn()
		return
	}
	s.RetryBudget.Earn()
	s.HedgeBudget.EarnFraction(retry.HedgeTokenFraction(s.Table.AverageLoad()))
}

// spendRetry pays for a further attempt after one that may have run.
func (s *Service) spendRetry() bool {
	if s.ExtraAttemptBudget != nil {
		return s.ExtraAttemptBudget.Spend()
	}
	return s.RetryBudget.Spend()
}

// spendHedge pays for an attempt beside an open one.
func (s *Service) spendHedge() bool {
	if s.ExtraAttemptBudget != nil {
		return s.ExtraAttemptBudget.SpendAboveReserve(hedgeReserve)
	}
	return s.HedgeBudget.Spend()
}

// hedgeReserve is the part of the arrivals' budget that hedges leave to retries.
const hedgeReserve = 0.4

// mayTryOn pays for an attempt after a refusal, which is either an arrival like
// others or, without a budget of arrivals, a probe.
func (d *Dispatcher) mayTryOn(s *Service) bool {
	if s.ExtraAttemptBudget != nil {
		return s.ExtraAttemptBudget.Spend()
	}
	return d.RefusalBudget == nil || d.RefusalBudget.Spend(time.Now(), measuring.Cost{Refusals: 1})
}

func (d *Dispatcher) further(r outcome.ExtraAttemptReason) {
	if d.ExtraAttemptCounter != nil {
		d.ExtraAttemptCounter.CountExtraAttempt(r)
	}
}
