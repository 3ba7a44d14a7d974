package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/target"
)

// LoadQuerier queries the load of targets.
type LoadQuerier interface {
	// QueryLoad queries the targets and records their load reports in the target
	// table. It returns once there are enough reports for a choice.
	QueryLoad(ctx context.Context, refs []target.Ref)
}

// Path states whether a node has a path to the targets of a service.
type Path interface {
	IsLost() bool
	// IsInDoubt reports whether as many targets were silent as for a lost path, and none
	// has responded since.
	IsInDoubt() bool
	// Lost returns a context that is done while the path is lost.
	Lost() context.Context
}

// Service is the state that a node keeps to execute the calls of one service.
type Service struct {
	Table *target.Table
	// LoadQuerier, if set, queries targets without a fresh load report before each
	// choice.
	LoadQuerier LoadQuerier
	// ExtraAttemptBudget, if set, pays for each hedge and for each retry after an
	// attempt that reached a target, including one that the target refused. It
	// replaces RetryBudget, HedgeBudget and Dispatcher.RefusalBudget.
	ExtraAttemptBudget *retry.Budget
	Gate               *admission.Gate
	RetryBudget        *retry.Budget
	HedgeBudget        *retry.Budget
	// Latencies holds the recent latencies of first attempts, which set the hedge
	// delay of calls without a forecast.
	Latencies *retry.LatencyWindow
	// Canary, if set, sends some calls to targets of a new version.
	Canary Canary
	// Path, if set, ends calls that another node may serve once this one has no path to
	// the targets.
	Path Path
	// LateCallLimiter bounds the number of waiting calls that can no longer meet
	// their objective. Calls whose profile has no objective are never late.
	LateCallLimiter admission.LateCallLimiter
	// Backlog orders the calls that wait for capacity.
	Backlog admission.Backlog

	turnQueue     turnQueue
	responseTimes responseTimes
}

// ExtraAttemptCounter counts extra attempts, made or skipped, by reason.
type ExtraAttemptCounter interface {
	CountExtraAttempt(r outcome.ExtraAttemptReason)
}

// Dispatcher executes calls. The zero value is ready to use; it neither counts nor
// reports anything.
type Dispatcher struct {
	ExtraAttemptCounter ExtraAttemptCounter
	// Observer, if set, receives the decisions on each call.
	Observer DecisionObserver
	Checks   *invariant.Checker
	// Quarantine, if set, keeps requests that end targets from them.
	Quarantine Quarantine
	// RefusalBudget bounds the rate of attempts at another target after a refusal,
	// for services without an ExtraAttemptBudget; nil means no bound.
	RefusalBudget *measuring.Budget

	// isStopping ends calls before their next attempt.
	isStopping atomic.Bool
	// stopEnd is the end of a planned stop; nil without one.
	stopEnd atomic.Pointer[time.Time]
}

// EndWaiting ends all calls that wait for capacity, and those that arrive from now on.
// Attempts that are open go on.
func (d *Dispatcher) EndWaiting() {
	d.isStopping.Store(true)
}

// CallResponse is a call whose target responded; Finish must be called once.
type CallResponse struct {
	Response Response
	// TimeToAttempt is the time from the call's arrival in this node to the start of
	// the attempt that got the response. It includes earlier failed attempts.
	TimeToAttempt time.Duration
	// ExtraAttempts is the number of extra attempts of this layer and the layers
	// below that were charged to the call's allowance.
	ExtraAttempts int

	run         *run
	reservation target.Reservation
	hedge       *hedge
	cancel      func()
}

// CallFailure is a call that ended without a response.
type CallFailure struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// ExtraAttempts is the number of extra attempts of this layer and the layers
	// below that were charged to the call's allowance.
	ExtraAttempts int
	// RetryAfter is the delay after which the caller should retry, derived from the
	// load of the targets; zero if none could be derived.
	RetryAfter time.Duration
	// HasReached reports whether an attempt has reached a target, which ran or refused it.
	HasReached bool
	// CanForward reports whether the call may be sent through another node: this one has no
	// path to the targets, and no copy may have run or one more is paid for.
	CanForward bool
	// Allowance is what is left of the call's allowance. If CanForward, the next attempt is
	// not counted in it.
	Allowance retry.Allowance
	// IsCounted reports whether the call has added its tokens to the budgets of a node.
	IsCounted bool
	// AdvisedRetry is the delay that another node has chosen for this caller, which takes the
	// place of RetryAfter and EarliestRetry; zero if unknown.
	AdvisedRetry time.Duration
	// EarliestRetry is the delay before which a retry would be refused again; zero if
	// unknown.
	EarliestRetry time.Duration
}

// IsForAnotherNode reports whether another node may serve the call: no target was reached, and
// the reason lies with this node.
func (f *CallFailure) IsForAnotherNode() bool {
	return f.Outcome == outcome.NotRun && !f.HasReached && outcome.LiesWithNode(f.Reason)
}

// layerOverhead is subtracted from the deadline passed to a target, for the time
// that this layer takes itself.
const layerOverhead = time.Millisecond

// Do executes a call until the response's headers have been received. Exactly one
// of the results is non-nil.
func (d *Dispatcher) Do(ctx context.Context, svc *Service, c *Call, s Sender) (*CallResponse, *CallFailure) {
	now := time.Now()
	if !now.Before(c.Deadline) {
		return nil, &CallFailure{Outcome: outcome.NotRun, Reason: outcome.DeadlinePassed}
	}
	// The node that serves a call without a path decides on it, and its tokens are that one's.
	if svc.isPathLost() {
		return nil, &CallFailure{Outcome: outcome.NotRun, Reason: outcome.PathLost, CanForward: !c.IsRelayed, Allowance: c.Allowance, IsCounted: c.IsCounted}
	}
	if !c.IsRelayed && !c.IsCounted {
		svc.earnTokens()
	}
	suspect, fail := d.admitSuspect(c)
	if fail != nil {
		return nil, fail
	}
	permit, reason := svc.Gate.Acquire(ctx, admission.Request{
		Urgency: c.Profile.Urgency, Caller: c.Caller, Deadline: c.Deadline, MaxWait: c.Profile.QueueTimeout,
	})
	if reason != "" {
		suspect.leave()
		return nil, &CallFailure{Outcome: outcome.NotRun, Reason: reason}
	}
	r := &run{dispatcher: d, service: svc, call: c, sender: s, gatePermit: permit, allowance: c.Allowance, arrivedAt: now, suspect: suspect}
	resp, fail := r.execute(ctx)
	r.releaseLateCall(false)
	r.leaveBacklog(false)
	r.leaveTurnQueue()
	if fail != nil {
		permit.Release(false)
		r.suspect.leave()
		r.checkFailure(fail)
	}
	return resp, fail
}

// Target returns the target that responded.
func (c *CallResponse) Target() target.Ref {
	return c.reservation.Ref
}

// MayHaveRun reports whether an attempt before the one that got the response may have run.
func (c *CallResponse) MayHaveRun() bool {
	return c.run.mayHaveRun
}

// IsRelayed reports whether another node has sent the call.
func (c *CallResponse) IsRelayed() bool {
	return c.run.call.IsRelayed
}

// Finish ends a call whose target responded; result is how the response's body
// ended.
func (c *CallResponse) Finish(result target.Result) {
	r := c.run
	now := time.Now()
	if result == target.Answered {
		r.service.responseTimes.observe(now, r.call.Profile.Name, now.Sub(c.reservation.StartedAt))
	}
	if result == target.Answered && c.Response.IsServerError() {
		result = target.ServerFailed
	}
	r.service.Table.Finish(c.reservation, now, result, c.Response.Report())
	r.gatePermit.Release(result == target.Answered || result == target.ServerFailed)
	c.cancel()
	switch result {
	case target.Answered, target.ServerFailed:
		r.suspect.recordCompletion()
		r.suspect.leave()
	case target.Broken:
		// The caller need not wait until it is known why the response broke off.
		go func() {
			r.suspect.recordLoss(context.Background(), c.reservation)
			r.suspect.leave()
		}()
	default:
		r.suspect.leave()
	}
}
