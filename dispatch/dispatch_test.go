package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// action is how a fake target handles an attempt: it returns the failure, or a
// response if that is nil, after the delay.
type action struct {
	delay         time.Duration
	failure       *AttemptFailure
	isServerError bool
	extraAttempts int
}

// fakeSender is a Sender that handles the nth attempt, counted from 1, with the
// action that script returns.
type fakeSender struct {
	script func(n int, a Attempt) action

	mu             sync.Mutex
	attempts       []Attempt
	cancelledCount int
	discardedCount int
}

// fakeResponse is the response of a fakeSender.
type fakeResponse struct {
	action
	sender *fakeSender
}

func (r *fakeResponse) IsServerError() bool   { return r.isServerError }
func (r *fakeResponse) Report() target.Report { return target.Report{} }
func (r *fakeResponse) ExtraAttempts() int    { return r.extraAttempts }
func (r *fakeResponse) Discard() {
	r.sender.mu.Lock()
	defer r.sender.mu.Unlock()
	r.sender.discardedCount++
}

func (f *fakeSender) Send(ctx context.Context, a Attempt) (Response, *AttemptFailure) {
	if !a.MaySend() {
		return nil, &AttemptFailure{Result: target.Cancelled}
	}
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	n := len(f.attempts)
	f.mu.Unlock()
	act := f.script(n, a)
	timer := time.NewTimer(min(act.delay, time.Until(a.HeaderDeadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelledCount++
		return nil, &AttemptFailure{Result: target.Cancelled, Written: true}
	}
	if !time.Now().Before(a.HeaderDeadline) {
		return nil, &AttemptFailure{Result: target.TimedOut, Written: true}
	}
	if act.failure != nil {
		return nil, act.failure
	}
	return &fakeResponse{action: act, sender: f}, nil
}

// extraAttemptCounts counts extra attempts by reason.
type extraAttemptCounts struct {
	mu       sync.Mutex
	byReason map[outcome.ExtraAttemptReason]int
}

func (c *extraAttemptCounts) CountExtraAttempt(r outcome.ExtraAttemptReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byReason[r]++
}

// fixture is a dispatcher and a service whose targets follow a script.
type fixture struct {
	*Dispatcher
	svc    *Service
	counts *extraAttemptCounts
	sender *fakeSender
}

// newFixture returns a fixture with live targets. At the end of the test it checks
// that no invariant was violated and that no attempt or call is still open.
func newFixture(t *testing.T, targets int, script func(n int, a Attempt) action) *fixture {
	t.Helper()
	checker := &invariant.Checker{}
	table := target.NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 1}, target.Settings{Seed: 1, Checks: checker})
	var list []vm.VM
	for i := range targets {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(fmt.Sprint(i))})
	}
	table.SetList(time.Now(), list, func(vm.ID, zone.Name) bool { return false })
	for _, v := range list {
		table.RecordReport(v.ID, time.Now(), target.Report{IsPresent: true, Instance: "a", State: target.Live})
	}
	f := &fixture{sender: &fakeSender{script: script}, counts: &extraAttemptCounts{byReason: map[outcome.ExtraAttemptReason]int{}}}
	f.Dispatcher = &Dispatcher{ExtraAttemptCounter: f.counts, Checks: checker}
	f.svc = &Service{
		Table: table, Gate: admission.NewPool(0).AddGate(16),
		RetryBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: 1}}, HedgeBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: 1}}, Latencies: &retry.LatencyWindow{},
	}
	t.Cleanup(func() {
		if got := checker.TotalViolations(); got != 0 {
			t.Errorf("invariant violations: got %d, want 0", got)
		}
		for _, v := range table.Views(time.Now()) {
			if v.OwnInFlight != 0 {
				t.Errorf("open attempts at %s after the test: got %d, want 0", v.Ref.ID, v.OwnInFlight)
			}
		}
		if open, waiting := f.svc.Gate.CallCounts(); open+waiting != 0 {
			t.Errorf("calls in the gate after the test: got %d open, %d waiting, want none", open, waiting)
		}
	})
	return f
}

func newCall(p profile.Profile) *Call {
	return &Call{Profile: &p, Caller: "c", Deadline: time.Now().Add(p.CallTimeout), Allowance: retry.NewAllowance(p.MaxRetries), BodyReplayable: true}
}

func idempotent() profile.Profile {
	return profile.Profile{Idempotent: true, CallTimeout: 2 * time.Second, AttemptTimeout: time.Second, QueueTimeout: 500 * time.Millisecond, MaxRetries: 2}
}

func nonIdempotent() profile.Profile {
	return profile.Profile{CallTimeout: 2 * time.Second, AttemptTimeout: time.Second, QueueTimeout: 500 * time.Millisecond}
}

// do executes a call to its end and returns its outcome and reason.
func (f *fixture) do(ctx context.Context, c *Call) outcome.Failure {
	resp, fail := f.Do(ctx, f.svc, c, f.sender)
	if fail != nil {
		return outcome.Failure{Outcome: fail.Outcome, Reason: fail.Reason}
	}
	resp.Finish(target.Answered)
	return outcome.Failure{Outcome: outcome.Done}
}

var (
	brokenAfterWrite = &AttemptFailure{Result: target.Broken, Written: true}
	refusedByTarget  = &AttemptFailure{Result: target.Refused, Written: true}
	connectFailed    = &AttemptFailure{Result: target.ConnectFailed}
)

// failFirst returns a script that fails the given number of first attempts and then
// responds after 8 ms.
func failFirst(f *AttemptFailure, times int) func(int, Attempt) action {
	return func(n int, _ Attempt) action {
		if n <= times {
			return action{failure: f}
		}
		return action{delay: 8 * time.Millisecond}
	}
}

// A retry is allowed only if the failed attempt cannot have run or the profile is
// idempotent, and NotRun must be reported only if no attempt can have run.
func TestOutcomeOfFailedAttempts(t *testing.T) {
	notReplayable := func(c *Call) { c.BodyReplayable = false }
	tests := []struct {
		name     string
		profile  profile.Profile
		change   func(*Call)
		script   func(int, Attempt) action
		want     outcome.Failure
		attempts int // -1 is not checked
	}{
		{"response received, not idempotent", nonIdempotent(), nil, failFirst(nil, 0), outcome.Failure{Outcome: outcome.Done}, 1},
		{"response lost, not idempotent", nonIdempotent(), nil, failFirst(brokenAfterWrite, 1), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 1},
		{"response lost, idempotent", idempotent(), nil, failFirst(brokenAfterWrite, 1), outcome.Failure{Outcome: outcome.Done}, 2},
		{"response lost, body not replayable", idempotent(), notReplayable, failFirst(brokenAfterWrite, 1), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 1},
		{"response lost every time", idempotent(), nil, failFirst(brokenAfterWrite, 99), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 3},
		{"refused, not idempotent", nonIdempotent(), nil, failFirst(refusedByTarget, 2), outcome.Failure{Outcome: outcome.Done}, 3},
		{"refused, body not replayable", nonIdempotent(), notReplayable, failFirst(refusedByTarget, 1), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.TargetsRefused}, 1},
		{"connect failed twice, not idempotent", nonIdempotent(), nil, failFirst(connectFailed, 2), outcome.Failure{Outcome: outcome.Done}, 3},
		{"connect failed every time", nonIdempotent(), nil, failFirst(connectFailed, 99), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}, 4},
		{"response lost, then refused", idempotent(), nil, func(n int, a Attempt) action {
			if n == 1 {
				return action{failure: brokenAfterWrite}
			}
			return action{failure: refusedByTarget}
		}, outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, -1},
		{"no response, not idempotent", nonIdempotent(), nil, func(int, Attempt) action { return action{delay: time.Hour} },
			outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AttemptTimeout}, 1},
		{"server error, idempotent", idempotent(), nil, func(n int, a Attempt) action { return action{isServerError: n == 1} }, outcome.Failure{Outcome: outcome.Done}, 2},
		{"server error, not idempotent", nonIdempotent(), nil, func(n int, a Attempt) action { return action{isServerError: n == 1} }, outcome.Failure{Outcome: outcome.Done}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 6, tt.script)
				for range 10 {
					f.svc.RetryBudget.Earn()
				}
				c := newCall(tt.profile)
				if tt.change != nil {
					tt.change(c)
				}
				if got := f.do(t.Context(), c); got != tt.want {
					t.Errorf("outcome: got %v, want %v", got, tt.want)
				}
				if got := len(f.sender.attempts); tt.attempts >= 0 && got != tt.attempts {
					t.Errorf("attempts: got %d, want %d", got, tt.attempts)
				}
			})
		})
	}
}

// If all targets refuse, the call must end within the profile's QueueTimeout.
func TestRefusedByAllTargetsEndsWithinQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6, failFirst(refusedByTarget, 1<<30))
		start := time.Now()
		got := f.do(t.Context(), newCall(nonIdempotent()))
		if want := (outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.TargetsRefused}); got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
		if took := time.Since(start); took > nonIdempotent().QueueTimeout {
			t.Errorf("duration: got %s, want at most %s", took, nonIdempotent().QueueTimeout)
		}
	})
}

func TestNoTargetFailsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0, nil)
		start := time.Now()
		got := f.do(t.Context(), newCall(nonIdempotent()))
		if want := (outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.NoTarget}); got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("duration: got %s, want 0", took)
		}
	})
}

func TestOutcomeAfterCallerDisconnects(t *testing.T) {
	for _, tt := range []struct {
		name   string
		script func(int, Attempt) action
		want   outcome.Failure
	}{
		{"after the send", func(int, Attempt) action { return action{delay: time.Second} }, outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.CallerGoneAfterSend}},
		{"between refusals", failFirst(refusedByTarget, 1<<30), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.CallerGone}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 3, tt.script)
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				if got := f.do(ctx, newCall(nonIdempotent())); got != tt.want {
					t.Errorf("outcome: got %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// newHedgingFixture returns a fixture whose observed latencies set the hedge delay
// to 10 ms.
func newHedgingFixture(t *testing.T, script func(n int, a Attempt) action) *fixture {
	f := newFixture(t, 6, script)
	for range 200 {
		f.svc.Latencies.Observe(time.Now(), 10*time.Millisecond)
		f.svc.HedgeBudget.Earn()
	}
	return f
}

func TestHedgeFirstResponseIsUsed(t *testing.T) {
	hedging := idempotent()
	hedging.Hedge, hedging.HedgePercentile = true, 95
	hedgingNotIdempotent := nonIdempotent()
	hedgingNotIdempotent.Hedge, hedgingNotIdempotent.HedgePercentile = true, 95
	tests := []struct {
		name        string
		profile     profile.Profile
		first       action
		second      action
		maxDuration time.Duration
		attempts    int
		cancelled   int
	}{
		{"hedge responds first", hedging, action{delay: 900 * time.Millisecond}, action{delay: 5 * time.Millisecond}, 30 * time.Millisecond, 2, 1},
		{"first attempt responds first", hedging, action{delay: 20 * time.Millisecond}, action{delay: 900 * time.Millisecond}, 30 * time.Millisecond, 2, 1},
		{"response before the hedge delay", hedging, action{delay: 5 * time.Millisecond}, action{}, 6 * time.Millisecond, 1, 0},
		{"first attempt breaks, hedge responds", hedging, action{delay: 15 * time.Millisecond, failure: brokenAfterWrite}, action{delay: 50 * time.Millisecond}, 70 * time.Millisecond, 2, 0},
		{"not idempotent", hedgingNotIdempotent, action{delay: 300 * time.Millisecond}, action{}, 301 * time.Millisecond, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHedgingFixture(t, func(n int, _ Attempt) action {
					if n == 1 {
						return tt.first
					}
					return tt.second
				})
				start := time.Now()
				if got := f.do(t.Context(), newCall(tt.profile)); got.Outcome != outcome.Done {
					t.Errorf("outcome: got %v, want done", got)
				}
				if took := time.Since(start); took > tt.maxDuration {
					t.Errorf("duration: got %s, want at most %s", took, tt.maxDuration)
				}
				synctest.Wait()
				if got := len(f.sender.attempts); got != tt.attempts {
					t.Errorf("attempts: got %d, want %d", got, tt.attempts)
				}
				if got := f.sender.cancelledCount; got != tt.cancelled {
					t.Errorf("cancelled attempts: got %d, want %d", got, tt.cancelled)
				}
			})
		})
	}
}

func TestHedgesAreBoundedByTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHedgingFixture(t, func(int, Attempt) action { return action{delay: 100 * time.Millisecond} })
		f.svc.HedgeBudget = &retry.Budget{Settings: retry.Settings{TokensPerCall: 0.05}}
		p := idempotent()
		p.Hedge, p.HedgePercentile = true, 50
		const calls = 200
		for range calls {
			f.do(t.Context(), newCall(p))
		}
		synctest.Wait()
		if got, limit := len(f.sender.attempts)-calls, calls/20+1; got > limit {
			t.Errorf("hedges of %d calls: got %d, want at most %d", calls, got, limit)
		}
	})
}

// Retries must not multiply over layers: seven layers call a target that always
// breaks the connection, and the target may get the first attempt and at most as
// many more as the allowance.
func TestAllowanceBoundsAttemptsOfChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const layers, allowance = 7, 4
		leafAttempts := 0
		var callLayer func(layer, allowance int) (spent int, ok bool)
		callLayer = func(layer, allowance int) (int, bool) {
			if layer == layers {
				leafAttempts++
				return 0, false
			}
			f := newFixture(t, 3, func(_ int, a Attempt) action {
				spent, ok := callLayer(layer+1, a.MaxExtraAttempts)
				if ok {
					return action{extraAttempts: spent}
				}
				return action{failure: &AttemptFailure{Result: target.Broken, Written: true, ExtraAttempts: a.MaxExtraAttempts}}
			})
			for range 20 {
				f.svc.RetryBudget.Earn()
			}
			c := newCall(idempotent())
			c.Allowance = retry.NewAllowance(allowance)
			resp, fail := f.Do(t.Context(), f.svc, c, f.sender)
			if fail != nil {
				return fail.ExtraAttempts, false
			}
			resp.Finish(target.Answered)
			return resp.ExtraAttempts, true
		}
		callLayer(0, allowance)
		if limit := allowance + 1; leafAttempts > limit {
			t.Errorf("attempts at the last layer: got %d, want at most %d", leafAttempts, limit)
		}
	})
}

// fakeClaim is a claim that is granted unless acquireFailure is set.
type fakeClaim struct {
	acquireFailure                       outcome.Failure
	expired                              bool
	useCount, undoUseCount, releaseCount int
}

func (c *fakeClaim) Acquire(context.Context) outcome.Failure { return c.acquireFailure }
func (c *fakeClaim) Use() bool                               { c.useCount++; return !c.expired }
func (c *fakeClaim) UndoUse()                                { c.undoUseCount++ }
func (c *fakeClaim) Release()                                { c.releaseCount++ }

func TestClaimIsReleasedOnlyIfNotRun(t *testing.T) {
	tests := []struct {
		name     string
		claim    fakeClaim
		script   func(int, Attempt) action
		want     outcome.Failure
		attempts int
		releases int
	}{
		{"granted", fakeClaim{}, failFirst(nil, 0), outcome.Failure{Outcome: outcome.Done}, 1, 0},
		{"not granted", fakeClaim{acquireFailure: outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}}, nil,
			outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}, 0, 0},
		{"expired", fakeClaim{expired: true}, nil, outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimLapsed}, 0, 1},
		{"not run", fakeClaim{}, failFirst(connectFailed, 99), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}, 4, 1},
		{"response lost", fakeClaim{}, failFirst(brokenAfterWrite, 1), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 6, tt.script)
				c := newCall(nonIdempotent())
				c.Claim = &tt.claim
				if got := f.do(t.Context(), c); got != tt.want {
					t.Errorf("outcome: got %v, want %v", got, tt.want)
				}
				if got := len(f.sender.attempts); got != tt.attempts {
					t.Errorf("attempts: got %d, want %d", got, tt.attempts)
				}
				if got := tt.claim.releaseCount; got != tt.releases {
					t.Errorf("releases of the claim: got %d, want %d", got, tt.releases)
				}
			})
		})
	}
}

// A second send of a call that is not idempotent must be counted as a violation of
// SendOnce.
func TestSecondSendViolatesInvariant(t *testing.T) {
	p := nonIdempotent()
	checker := &invariant.Checker{}
	r := &run{dispatcher: &Dispatcher{Checks: checker}, call: &Call{Profile: &p}}
	r.recordPossibleRun(brokenAfterWrite)
	r.recordPossibleRun(brokenAfterWrite)
	if got := checker.Violations(invariant.SendOnce); got != 1 {
		t.Errorf("violations: got %d, want 1", got)
	}
}

// A call reported as not run after an attempt that may have run must be counted as
// a violation of NotRunIsTrue.
func TestFalseNotRunViolatesInvariant(t *testing.T) {
	p := idempotent()
	checker := &invariant.Checker{}
	r := &run{dispatcher: &Dispatcher{Checks: checker}, call: &Call{Profile: &p}}
	r.checkFailure(&CallFailure{Outcome: outcome.NotRun})
	if got := checker.Violations(invariant.NotRunIsTrue); got != 0 {
		t.Errorf("violations of a correct report: got %d, want 0", got)
	}
	r.recordPossibleRun(brokenAfterWrite)
	r.checkFailure(&CallFailure{Outcome: outcome.NotRun})
	if got := checker.Violations(invariant.NotRunIsTrue); got != 1 {
		t.Errorf("violations: got %d, want 1", got)
	}
}
