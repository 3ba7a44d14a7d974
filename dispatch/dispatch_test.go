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

// reply is what a fake target does with an attempt.
type reply struct {
	after   time.Duration
	failure *AttemptFailure
	failed  bool
	spent   int
}

// fake sends attempts to a script instead of targets.
type fake struct {
	script func(n int, a Attempt) reply

	mu        sync.Mutex
	attempts  []Attempt
	cancelled int
	discarded int
}

type answer struct {
	reply
	fake *fake
}

func (a *answer) IsServerError() bool   { return a.failed }
func (a *answer) Report() target.Report { return target.Report{} }
func (a *answer) ExtraAttempts() int    { return a.spent }
func (a *answer) Discard() {
	a.fake.mu.Lock()
	defer a.fake.mu.Unlock()
	a.fake.discarded++
}

func (f *fake) Send(ctx context.Context, a Attempt) (Response, *AttemptFailure) {
	if !a.MaySend() {
		return nil, &AttemptFailure{Result: target.Cancelled}
	}
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	n := len(f.attempts)
	f.mu.Unlock()
	r := f.script(n, a)
	timer := time.NewTimer(min(r.after, time.Until(a.HeaderDeadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelled++
		return nil, &AttemptFailure{Result: target.Cancelled, Written: true}
	}
	if !time.Now().Before(a.HeaderDeadline) {
		return nil, &AttemptFailure{Result: target.TimedOut, Written: true}
	}
	if r.failure != nil {
		return nil, r.failure
	}
	return &answer{reply: r, fake: f}, nil
}

// further counts further attempts by reason.
type further struct {
	mu sync.Mutex
	n  map[outcome.ExtraAttemptReason]int
}

func (f *further) CountExtraAttempt(r outcome.ExtraAttemptReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n[r]++
}

type rig struct {
	*Dispatcher
	svc    *Service
	counts *further
	fake   *fake
}

func newRig(t *testing.T, targets int, script func(n int, a Attempt) reply) *rig {
	t.Helper()
	checks := &invariant.Checker{}
	table := target.NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 1}, target.Settings{Seed: 1, Checks: checks})
	var list []vm.VM
	for i := range targets {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(fmt.Sprint(i))})
	}
	table.SetList(time.Now(), list, func(vm.ID, zone.Name) bool { return false })
	for _, v := range list {
		table.RecordReport(v.ID, time.Now(), target.Report{IsPresent: true, Instance: "a", State: target.Live})
	}
	r := &rig{fake: &fake{script: script}, counts: &further{n: map[outcome.ExtraAttemptReason]int{}}}
	r.Dispatcher = &Dispatcher{ExtraAttemptCounter: r.counts, Checks: checks}
	r.svc = &Service{
		Table: table, Gate: admission.NewPool(0).AddGate(16),
		RetryBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: 1}}, HedgeBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: 1}}, Latencies: &retry.LatencyWindow{},
	}
	t.Cleanup(func() {
		if got := checks.TotalViolations(); got != 0 {
			t.Errorf("invariants broken: got %d, want 0", got)
		}
		for _, v := range table.Views(time.Now()) {
			if v.OwnInFlight != 0 {
				t.Errorf("attempts left open at %s: got %d, want 0", v.Ref.ID, v.OwnInFlight)
			}
		}
		if open, waiting := r.svc.Gate.CallCounts(); open+waiting != 0 {
			t.Errorf("calls left in the gate: got %d open, %d waiting, want none", open, waiting)
		}
	})
	return r
}

func call(p profile.Profile) *Call {
	return &Call{Profile: &p, Caller: "c", Deadline: time.Now().Add(p.CallTimeout), Allowance: retry.NewAllowance(p.MaxRetries), BodyReplayable: true}
}

func idempotent() profile.Profile {
	return profile.Profile{Idempotent: true, CallTimeout: 2 * time.Second, AttemptTimeout: time.Second, QueueTimeout: 500 * time.Millisecond, MaxRetries: 2}
}

func once() profile.Profile {
	return profile.Profile{CallTimeout: 2 * time.Second, AttemptTimeout: time.Second, QueueTimeout: 500 * time.Millisecond}
}

// end finishes a call and returns its outcome and reason.
func (r *rig) end(ctx context.Context, c *Call) outcome.Failure {
	won, lost := r.Do(ctx, r.svc, c, r.fake)
	if lost != nil {
		return outcome.Failure{Outcome: lost.Outcome, Reason: lost.Reason}
	}
	won.Finish(target.Answered)
	return outcome.Failure{Outcome: outcome.Done}
}

var (
	broken  = &AttemptFailure{Result: target.Broken, Written: true}
	refused = &AttemptFailure{Result: target.Refused, Written: true}
	absent  = &AttemptFailure{Result: target.ConnectFailed}
)

func fails(f *AttemptFailure, times int) func(int, Attempt) reply {
	return func(n int, _ Attempt) reply {
		if n <= times {
			return reply{failure: f}
		}
		return reply{after: 8 * time.Millisecond}
	}
}

func TestOutcomes(t *testing.T) {
	notReplayable := func(c *Call) { c.BodyReplayable = false }
	tests := []struct {
		name     string
		profile  profile.Profile
		change   func(*Call)
		script   func(int, Attempt) reply
		want     outcome.Failure
		attempts int
	}{
		{"answered", once(), nil, fails(nil, 0), outcome.Failure{Outcome: outcome.Done}, 1},
		{"lost, not idempotent", once(), nil, fails(broken, 1), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 1},
		{"lost, idempotent", idempotent(), nil, fails(broken, 1), outcome.Failure{Outcome: outcome.Done}, 2},
		{"lost, body gone", idempotent(), notReplayable, fails(broken, 1), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 1},
		{"lost again and again", idempotent(), nil, fails(broken, 99), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 3},
		{"refused, not idempotent", once(), nil, fails(refused, 2), outcome.Failure{Outcome: outcome.Done}, 3},
		{"refused, body gone", once(), notReplayable, fails(refused, 1), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.TargetsRefused}, 1},
		{"no connection, not idempotent", once(), nil, fails(absent, 2), outcome.Failure{Outcome: outcome.Done}, 3},
		{"no connection anywhere", once(), nil, fails(absent, 99), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}, 4},
		{"lost, then refused", idempotent(), nil, func(n int, a Attempt) reply {
			if n == 1 {
				return reply{failure: broken}
			}
			return reply{failure: refused}
		}, outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, -1},
		{"silent, not idempotent", once(), nil, func(int, Attempt) reply { return reply{after: time.Hour} },
			outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AttemptTimeout}, 1},
		{"failed fast, idempotent", idempotent(), nil, func(n int, a Attempt) reply { return reply{failed: n == 1} }, outcome.Failure{Outcome: outcome.Done}, 2},
		{"failed fast, not idempotent", once(), nil, func(n int, a Attempt) reply { return reply{failed: n == 1} }, outcome.Failure{Outcome: outcome.Done}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 6, tt.script)
				for range 10 {
					r.svc.RetryBudget.Earn()
				}
				c := call(tt.profile)
				if tt.change != nil {
					tt.change(c)
				}
				if got := r.end(t.Context(), c); got != tt.want {
					t.Errorf("outcome: got %v, want %v", got, tt.want)
				}
				if got := len(r.fake.attempts); tt.attempts >= 0 && got != tt.attempts {
					t.Errorf("attempts: got %d, want %d", got, tt.attempts)
				}
			})
		})
	}
}

func TestAllRefuseEndsWithinPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 6, fails(refused, 1<<30))
		began := time.Now()
		got := r.end(t.Context(), call(once()))
		if want := (outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.TargetsRefused}); got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
		if took := time.Since(began); took > once().QueueTimeout {
			t.Errorf("took %s, want the final answer within %s", took, once().QueueTimeout)
		}
	})
}

func TestNoTargetAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0, nil)
		began := time.Now()
		got := r.end(t.Context(), call(once()))
		if want := (outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.NoTarget}); got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("took %s, want none", took)
		}
	})
}

func TestCallerGoes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		script func(int, Attempt) reply
		want   outcome.Failure
	}{
		{"after the send", func(int, Attempt) reply { return reply{after: time.Second} }, outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.CallerGoneAfterSend}},
		{"while refused", fails(refused, 1<<30), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.CallerGone}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 3, tt.script)
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				if got := r.end(ctx, call(once())); got != tt.want {
					t.Errorf("outcome: got %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// hedged is a rig whose observed latencies allow hedges after 10 ms.
func hedged(t *testing.T, script func(n int, a Attempt) reply) *rig {
	r := newRig(t, 6, script)
	for range 200 {
		r.svc.Latencies.Observe(time.Now(), 10*time.Millisecond)
		r.svc.HedgeBudget.Earn()
	}
	return r
}

func TestHedge(t *testing.T) {
	hedging := idempotent()
	hedging.Hedge, hedging.HedgePercentile = true, 95
	noHedge := once()
	noHedge.Hedge, noHedge.HedgePercentile = true, 95
	tests := []struct {
		name      string
		profile   profile.Profile
		first     reply
		second    reply
		within    time.Duration
		attempts  int
		cancelled int
	}{
		{"hedge wins", hedging, reply{after: 900 * time.Millisecond}, reply{after: 5 * time.Millisecond}, 30 * time.Millisecond, 2, 1},
		{"first wins", hedging, reply{after: 20 * time.Millisecond}, reply{after: 900 * time.Millisecond}, 30 * time.Millisecond, 2, 1},
		{"no need", hedging, reply{after: 5 * time.Millisecond}, reply{}, 6 * time.Millisecond, 1, 0},
		{"first breaks, hedge wins", hedging, reply{after: 15 * time.Millisecond, failure: broken}, reply{after: 50 * time.Millisecond}, 70 * time.Millisecond, 2, 0},
		{"not idempotent", noHedge, reply{after: 300 * time.Millisecond}, reply{}, 301 * time.Millisecond, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := hedged(t, func(n int, _ Attempt) reply {
					if n == 1 {
						return tt.first
					}
					return tt.second
				})
				began := time.Now()
				if got := r.end(t.Context(), call(tt.profile)); got.Outcome != outcome.Done {
					t.Errorf("outcome: got %v, want done", got)
				}
				if took := time.Since(began); took > tt.within {
					t.Errorf("took %s, want at most %s", took, tt.within)
				}
				synctest.Wait()
				if got := len(r.fake.attempts); got != tt.attempts {
					t.Errorf("attempts: got %d, want %d", got, tt.attempts)
				}
				if got := r.fake.cancelled; got != tt.cancelled {
					t.Errorf("cancelled: got %d, want %d", got, tt.cancelled)
				}
			})
		})
	}
}

func TestHedgesNeedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := hedged(t, func(int, Attempt) reply { return reply{after: 100 * time.Millisecond} })
		r.svc.HedgeBudget = &retry.Budget{Settings: retry.Settings{TokensPerCall: 0.05}}
		p := idempotent()
		p.Hedge, p.HedgePercentile = true, 50
		const calls = 200
		for range calls {
			r.end(t.Context(), call(p))
		}
		synctest.Wait()
		if got, most := len(r.fake.attempts)-calls, calls/20+1; got > most {
			t.Errorf("hedges of %d calls: got %d, want at most %d", calls, got, most)
		}
	})
}

// TestChainDoesNotMultiply puts seven layers above a target that always breaks.
func TestChainDoesNotMultiply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const layers, allowance = 7, 4
		leaf := 0
		var descend func(layer, allowance int) (spent int, ok bool)
		descend = func(layer, allowance int) (int, bool) {
			if layer == layers {
				leaf++
				return 0, false
			}
			r := newRig(t, 3, func(_ int, a Attempt) reply {
				spent, ok := descend(layer+1, a.MaxExtraAttempts)
				if ok {
					return reply{spent: spent}
				}
				return reply{failure: &AttemptFailure{Result: target.Broken, Written: true, ExtraAttempts: a.MaxExtraAttempts}}
			})
			for range 20 {
				r.svc.RetryBudget.Earn()
			}
			c := call(idempotent())
			c.Allowance = retry.NewAllowance(allowance)
			won, lost := r.Do(t.Context(), r.svc, c, r.fake)
			if lost != nil {
				return lost.ExtraAttempts, false
			}
			won.Finish(target.Answered)
			return won.ExtraAttempts, true
		}
		descend(0, allowance)
		if most := allowance + 1; leaf > most {
			t.Errorf("attempts at the last layer: got %d, want at most %d", leaf, most)
		}
	})
}

// fakeClaim is a claim that was granted.
type fakeClaim struct {
	refusal                outcome.Failure
	lapsed                 bool
	uses, unused, releases int
}

func (c *fakeClaim) Acquire(context.Context) outcome.Failure { return c.refusal }
func (c *fakeClaim) Use() bool                               { c.uses++; return !c.lapsed }
func (c *fakeClaim) UndoUse()                                { c.unused++ }
func (c *fakeClaim) Release()                                { c.releases++ }

func TestClaims(t *testing.T) {
	tests := []struct {
		name     string
		claim    fakeClaim
		script   func(int, Attempt) reply
		want     outcome.Failure
		attempts int
		releases int
	}{
		{"granted", fakeClaim{}, fails(nil, 0), outcome.Failure{Outcome: outcome.Done}, 1, 0},
		{"refused", fakeClaim{refusal: outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}}, nil,
			outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimUnavailable}, 0, 0},
		{"lapsed", fakeClaim{lapsed: true}, nil, outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ClaimLapsed}, 0, 1},
		{"not run", fakeClaim{}, fails(absent, 99), outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}, 4, 1},
		{"lost", fakeClaim{}, fails(broken, 1), outcome.Failure{Outcome: outcome.Unknown, Reason: outcome.AnswerLost}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 6, tt.script)
				c := call(once())
				c.Claim = &tt.claim
				if got := r.end(t.Context(), c); got != tt.want {
					t.Errorf("outcome: got %v, want %v", got, tt.want)
				}
				if got := len(r.fake.attempts); got != tt.attempts {
					t.Errorf("attempts: got %d, want %d", got, tt.attempts)
				}
				if got := tt.claim.releases; got != tt.releases {
					t.Errorf("releases: got %d, want %d", got, tt.releases)
				}
			})
		})
	}
}

// TestSecondSendIsCaught shows that the invariant sees a second send of a call
// that must run at most once.
func TestSecondSendIsCaught(t *testing.T) {
	p := once()
	checks := &invariant.Checker{}
	r := &run{d: &Dispatcher{Checks: checks}, call: &Call{Profile: &p}}
	r.noteSent(broken)
	r.noteSent(broken)
	if got := checks.Violations(invariant.SendOnce); got != 1 {
		t.Errorf("breaches: got %d, want 1", got)
	}
}

// TestUntrueNotRunIsCaught shows that the invariant sees a call told not run
// after an attempt that may have run.
func TestUntrueNotRunIsCaught(t *testing.T) {
	p := idempotent()
	checks := &invariant.Checker{}
	r := &run{d: &Dispatcher{Checks: checks}, call: &Call{Profile: &p}}
	r.checkLost(&CallFailure{Outcome: outcome.NotRun})
	if got := checks.Violations(invariant.NotRunIsTrue); got != 0 {
		t.Errorf("breaches of a true one: got %d, want 0", got)
	}
	r.noteSent(broken)
	r.checkLost(&CallFailure{Outcome: outcome.NotRun})
	if got := checks.Violations(invariant.NotRunIsTrue); got != 1 {
		t.Errorf("breaches: got %d, want 1", got)
	}
}
