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
	// HeaderBy is when the response's headers must have come.
	HeaderBy time.Time
	// Deadline is the call's own deadline, less this layer's cost.
	Deadline time.Time
	// Allowance is how many further attempts the layers below may make.
	Allowance int
	// Proven asks for a connection that is new or has just been heard on, since
	// a fail response could not be tried again.
	Proven bool
	// Permit is asked right before the first byte is written; if it says no,
	// nothing may be written.
	Permit func() bool
}

// Answer is an response whose headers have come.
type Answer interface {
	// Failed reports whether the target says that it failed (5xx).
	Failed() bool
	// Report is the load stated on the response.
	Report() target.Report
	// Spent is how many further attempts the layers below made.
	Spent() int
	// Discard ends an response that nobody wants.
	Discard()
}

// Failure is an attempt without an response.
type Failure struct {
	Result target.Result
	// Written says that a byte of the call may have reached the target.
	Written bool
	// BodyConsumed says that the body cannot be sent again.
	BodyConsumed bool
	Report       target.Report
	Spent        int
}

// Sender makes attempts.
type Sender interface {
	// Send makes one attempt. It returns an response once its headers are in, or
	// a failure. When ctx ends it cancels the attempt at the target.
	Send(ctx context.Context, a Attempt) (Answer, *Failure)
}

// Claim is the right to send a keyed call, once.
type Claim interface {
	// Acquire gets the right, or says why it cannot be had.
	Acquire(ctx context.Context) outcome.Refusal
	// Use spends the right; it reports false if it is gone or was used.
	Use() bool
	// Unused gives the right back after an attempt that certainly did not run.
	Unused()
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
	Replayable bool
	// Claim guards a keyed call; nil if there is status.
	Claim Claim
}

// Scout asks targets for their state.
type Scout interface {
	// Ask asks the targets and hands what they say to their table; it returns
	// when it has heard enough for a choice.
	Ask(ctx context.Context, refs []target.Ref)
}

// Service is what a node holds of one service to carry its calls.
type Service struct {
	Table *target.Table
	// Scout, if set, is asked before each choice for what the table has not seen.
	Scout Scout
	// Arrivals, if set, pays for every attempt after a call's first that reaches
	// a target, whatever became of the one before; it stands for Retries, Hedges
	// and the ledger of refusals.
	Arrivals  *retry.Budget
	Gate      *admission.Gate
	Retries   *retry.Budget
	Hedges    *retry.Budget
	Latencies *retry.Latencies
	// Overflow holds late calls; calls whose profile states no objective need status.
	Overflow admission.Overflow
}

// Further is updated of each further attempt and each one forgone.
type Further interface {
	Further(r outcome.RetryReason)
}

// Dispatcher carries calls. Its zero value works and counts nothing.
type Dispatcher struct {
	Counts Further
	// Decisions, if set, is updated what was decided for each call.
	Decisions Decisions
	Checks    *invariant.Checks
	// Ledger bounds how often calls go on to another target after a refusal;
	// nil bounds nothing.
	Ledger *measuring.Ledger
}

// Won is an answered call; it must be given to Finish once.
type Won struct {
	Answer Answer
	// Waited is how long the call waited in this node before its attempt.
	Waited time.Duration
	// Spent is how many further attempts were made here and below.
	Spent int

	run         *run
	reservation target.Place
	cancel      func()
}

// Lost is a call without an response.
type Lost struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Spent is how many further attempts were made here and below.
	Spent int
	// RoomIn is the forecast of how long it takes until a target could response;
	// zero if there is status.
	RoomIn time.Duration
}

// layerOverhead is what this layer takes off the deadline it hands on.
const layerOverhead = time.Millisecond

// Do carries a call until its response's headers are in. Exactly one of the
// results is non-nil.
func (d *Dispatcher) Do(ctx context.Context, svc *Service, c *Call, s Sender) (*Won, *Lost) {
	now := time.Now()
	if !now.Before(c.Deadline) {
		return nil, &Lost{Outcome: outcome.NotRun, Reason: outcome.DeadlinePassed}
	}
	svc.earnTokens()
	reservation, refusal := svc.Gate.Enter(ctx, admission.Request{
		Urgency: c.Profile.Urgency, Caller: c.Caller, Deadline: c.Deadline, Wait: c.Profile.QueueWait,
	})
	if refusal != "" {
		return nil, &Lost{Outcome: outcome.NotRun, Reason: refusal}
	}
	r := &run{dispatcher: d, service: svc, call: c, sender: s, gatePermit: reservation, allowance: c.Allowance, arrivedAt: now}
	resp, fail := r.execute(ctx)
	r.leaveOverflow(false)
	if fail != nil {
		reservation.Leave(false)
		r.checkFailure(fail)
	}
	return resp, fail
}

// Target is the target that answered.
func (w *Won) Target() target.Ref {
	return w.reservation.Ref
}

// Finish ends an answered call; result says how its body ended.
func (w *Won) Finish(result target.Result) {
	r := w.run
	now := time.Now()
	if result == target.Answered && w.Answer.Failed() {
		result = target.ServerFailed
	}
	r.service.Table.Finish(w.reservation, now, result, w.Answer.Report())
	r.gatePermit.Leave(result == target.Answered || result == target.ServerFailed)
	w.cancel()
}

// earnTokens books what a call earns for further attempts.
func (s *Service) earnTokens() {
	if s.Arrivals != nil {
		s.Arrivals.Earn()
		return
	}
	s.Retries.Earn()
	s.Hedges.EarnPart(retry.HedgePart(s.Table.Load()))
}

// spendRetry pays for a further attempt after one that may have run.
func (s *Service) spendRetry() bool {
	if s.Arrivals != nil {
		return s.Arrivals.Spend()
	}
	return s.Retries.Spend()
}

// spendHedge pays for an attempt beside an open one.
func (s *Service) spendHedge() bool {
	if s.Arrivals != nil {
		return s.Arrivals.SpendAbove(hedgeReserveShare)
	}
	return s.Hedges.Spend()
}

// hedgeReserveShare is the part of the arrivals' budget that hedges leave to retries.
const hedgeReserveShare = 0.4

// spendRefusalRetry pays for an attempt after a refusal, which is either an arrival like
// others or, without a budget of arrivals, a probe.
func (d *Dispatcher) spendRefusalRetry(s *Service) bool {
	if s.Arrivals != nil {
		return s.Arrivals.Spend()
	}
	return d.Ledger == nil || d.Ledger.Spend(time.Now(), measuring.Cost{Refusals: 1})
}

func (d *Dispatcher) countExtraAttempt(r outcome.RetryReason) {
	if d.Counts != nil {
		d.Counts.Further(r)
	}
}
