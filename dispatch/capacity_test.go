package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// fakeTarget is a target with a number of slots that reports its load accurately.
type fakeTarget struct {
	mu      sync.Mutex
	running int
	slots   int
	// limit is the rate limit that the target names.
	limit target.RateLimit
}

func (f *fakeTarget) report() target.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return target.Report{IsPresent: true, IsDetailed: true, State: target.Live, RunningCount: min(f.running, f.slots),
		WaitingCount: max(0, f.running-f.slots), Slots: f.slots, SlowdownFactor: 1, InFlight: f.running,
		Limit: f.limit, ReceivedAt: time.Now()}
}

func (f *fakeTarget) add(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running += n
}

// capacityFixture is a dispatcher with one fakeTarget. It is the LoadQuerier and
// the Sender of its calls.
type capacityFixture struct {
	*Dispatcher
	svc         *Service
	target      *fakeTarget
	serviceTime time.Duration
}

func (f *capacityFixture) QueryLoad(_ context.Context, refs []target.Ref) {
	for _, ref := range refs {
		f.svc.Table.RecordReport(ref.ID, time.Now(), f.target.report())
	}
}

func (f *capacityFixture) Send(ctx context.Context, a Attempt) (Response, *AttemptFailure) {
	if !a.MaySend() {
		return nil, &AttemptFailure{Result: target.Cancelled}
	}
	f.target.add(1)
	defer f.target.add(-1)
	timer := time.NewTimer(f.serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return &reportingResponse{report: f.target.report()}, nil
	case <-ctx.Done():
		return nil, &AttemptFailure{Result: target.Cancelled, Written: true}
	}
}

// reportingResponse is a response with a load report.
type reportingResponse struct{ report target.Report }

func (r *reportingResponse) IsServerError() bool   { return false }
func (r *reportingResponse) Report() target.Report { return r.report }
func (r *reportingResponse) ExtraAttempts() int    { return 0 }
func (r *reportingResponse) Discard()              {}

// newCapacityFixture returns a fixture whose target has 4 slots and a service time
// of 200 ms.
func newCapacityFixture(extraAttemptBudget *retry.Budget) *capacityFixture {
	f := &capacityFixture{Dispatcher: &Dispatcher{}, target: &fakeTarget{slots: 4}, serviceTime: 200 * time.Millisecond}
	table := target.NewTable(service.Service{Name: "s", Slots: 4}, target.Settings{
		Seed: 1, ListIsAuthoritative: true, LoadQuery: target.LoadQuerySettings{MaxReportAge: time.Millisecond, SameZoneCount: 3, OtherZoneCount: 3},
	})
	table.SetList(time.Now(), []vm.VM{{ID: "t", Address: "t", Slots: 4}}, func(vm.ID, zone.Name) bool { return false })
	f.svc = &Service{Table: table, LoadQuerier: f, Gate: admission.NewPool(0).AddGate(256), ExtraAttemptBudget: extraAttemptBudget, Latencies: &retry.LatencyWindow{}}
	return f
}

// objectiveProfile returns a profile with a latency objective.
func objectiveProfile() profile.Profile {
	return profile.Profile{CallTimeout: 2 * time.Second, AttemptTimeout: 2 * time.Second, LatencyObjective: 600 * time.Millisecond, QueueTimeout: time.Second}
}

// callEnd is how one call ended, and how long it took; failure is nil if the target
// responded.
type callEnd struct {
	failure  *CallFailure
	duration time.Duration
}

// offerLoad sends a call every interval for a duration and returns how the calls
// ended.
func (f *capacityFixture) offerLoad(t *testing.T, interval, duration time.Duration) (ends []callEnd) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
		calls.Go(func() {
			startedAt := time.Now()
			resp, failure := f.Do(t.Context(), f.svc, newCall(objectiveProfile()), f)
			if resp != nil {
				resp.Finish(target.Answered)
			}
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, callEnd{failure, time.Since(startedAt)})
		})
	}
	calls.Wait()
	return ends
}

// For ten seconds the load is twice the capacity of the target. The responses within
// the objective must be at least 60% of what the target can serve. The refused calls
// must not have run and must have a retry delay or a queue limit as the reason; at
// most 5% of all calls may be refused in the last tenth of their deadline.
func TestOverloadServesWithinObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCapacityFixture(&retry.Budget{})
		const capacity = 20 // calls per second: 4 slots with a service time of 200 ms
		ends := f.offerLoad(t, time.Second/(2*capacity), 10*time.Second)
		inTime, done, lateRefusals := 0, 0, 0
		for _, e := range ends {
			switch {
			case e.failure == nil && e.duration <= objectiveProfile().LatencyObjective:
				inTime++
				done++
			case e.failure == nil:
				done++
			case e.failure.Outcome != outcome.NotRun || e.failure.RetryAfter <= 0 && e.failure.Reason != outcome.QueueFull && e.failure.Reason != outcome.QueueTimeout:
				t.Errorf("failure: got %+v, want not run, with a retry delay or because of the queue", e.failure)
			case e.duration > objectiveProfile().CallTimeout*9/10:
				lateRefusals++
			}
		}
		if want := 10 * capacity * 6 / 10; inTime < want {
			t.Errorf("responses within the objective: got %d of %d (%d done), want at least %d", inTime, len(ends), done, want)
		}
		if want := len(ends) / 20; lateRefusals > want {
			t.Errorf("refused only near the deadline: got %d, want at most %d", lateRefusals, want)
		}
	})
}

// Calls that wait during an overload must not delay the calls after it.
func TestQueueDrainsAfterOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCapacityFixture(&retry.Budget{})
		f.offerLoad(t, 20*time.Millisecond, 5*time.Second)
		ends := f.offerLoad(t, 100*time.Millisecond, 3*time.Second)
		for i, e := range ends {
			if e.failure != nil || e.duration > objectiveProfile().LatencyObjective {
				t.Errorf("call %d after the overload: got failure %+v after %s, want a response within the objective", i, e.failure, e.duration)
			}
		}
	})
}

// Targets that report free slots but refuse every call must not multiply the
// attempts: each attempt after a refusal spends a token of ExtraAttemptBudget.
func TestAttemptsAfterRefusalsAreBoundedByTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6, failFirst(refusedByTarget, 1<<30))
		f.svc.ExtraAttemptBudget = &retry.Budget{Settings: retry.Settings{TokensPerCall: 0.2, Burst: 3}}
		const calls = 50
		for range calls {
			got := f.do(t.Context(), newCall(nonIdempotent()))
			if want := (outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.TargetsRefused}); got != want {
				t.Fatalf("outcome: got %v, want %v", got, want)
			}
		}
		if got, want := len(f.sender.attempts), calls+calls/5+3; got > want {
			t.Errorf("attempts: got %d for %d calls, want at most %d", got, calls, want)
		}
	})
}

// A retry that no token pays for is not made, so it must not be counted as made.
func TestForgoneRetryAfterRefusalIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6, failFirst(refusedByTarget, 1<<30))
		f.svc.ExtraAttemptBudget = &retry.Budget{Settings: retry.Settings{TokensPerCall: 0.2, Burst: 2}}
		for range 10 {
			f.do(t.Context(), newCall(nonIdempotent()))
		}
		made := len(f.sender.attempts) - 10
		if got := f.counts.byReason[outcome.RetryTargetRefused]; got != made {
			t.Errorf("retries counted: got %d, want the %d that were made", got, made)
		}
	})
}

// A hedge is an extra attempt at another target, so it must count against the
// allowance of the call.
func TestHedgeCountsAgainstAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHedgingFixture(t, func(int, Attempt) action { return action{delay: 300 * time.Millisecond, isServerError: true} })
		p := idempotent()
		p.Hedge, p.HedgePercentile, p.MaxRetries = true, 95, 1
		for range 20 {
			f.svc.RetryBudget.Earn()
		}
		f.do(t.Context(), newCall(p))
		if got := len(f.sender.attempts); got > 2 {
			t.Errorf("attempts: got %d, want at most 2", got)
		}
		p.MaxRetries = 0
		before := len(f.sender.attempts)
		f.do(t.Context(), newCall(p))
		if got := len(f.sender.attempts) - before; got != 1 {
			t.Errorf("attempts without an allowance: got %d, want 1", got)
		}
	})
}

// Faulty targets may refuse calls, such as half of them, although they have free
// slots. As capacity is not the cause, the caller must get a short retry delay while
// it still has time to retry.
func TestRefusalWithFreeSlotsHasShortRetryAfter(t *testing.T) {
	tests := []struct {
		name    string
		running int
		isShort bool
	}{
		{"free slots", 1, true},
		{"no free slot", 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCapacityFixture(&retry.Budget{})
				f.target.add(tt.running)
				_, failure := f.Do(t.Context(), f.svc, newCall(objectiveProfile()), refusingSender{})
				if failure == nil || failure.Reason != outcome.TargetsRefused || failure.Outcome != outcome.NotRun {
					t.Fatalf("failure: got %+v, want not run, refused by targets", failure)
				}
				if got := failure.RetryAfter <= 100*time.Millisecond; got != tt.isShort || failure.RetryAfter <= 0 {
					t.Errorf("retry delay %s: got short %v, want %v", failure.RetryAfter, got, tt.isShort)
				}
			})
		})
	}
}

// refusingSender is a Sender whose targets refuse every call.
type refusingSender struct{}

func (refusingSender) Send(_ context.Context, a Attempt) (Response, *AttemptFailure) {
	a.MaySend()
	return nil, &AttemptFailure{Result: target.Refused, Written: true}
}

// All targets want no requests for a while. A call that can still meet its objective
// afterwards must wait and be served; one that cannot must be refused at once, with the
// time that remains, and without an attempt.
func TestCallWaitsForBackOffOnlyIfItCanBeServedInTime(t *testing.T) {
	for _, tt := range []struct {
		name    string
		backOff time.Duration
		isShort bool
	}{
		{"within the objective", 200 * time.Millisecond, true},
		{"beyond the objective", 900 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCapacityFixture(&retry.Budget{})
				f.svc.Table.RecordReport("t", time.Now(), target.Report{RetryAfter: tt.backOff})
				start := time.Now()
				resp, failure := f.Do(t.Context(), f.svc, newCall(objectiveProfile()), f)
				if tt.isShort {
					if resp == nil || time.Since(start) < tt.backOff {
						t.Fatalf("response: got %v after %v (%+v), want one after the back-off", resp, time.Since(start), failure)
					}
					resp.Finish(target.Answered)
					return
				}
				if failure == nil || failure.Outcome != outcome.NotRun || failure.EarliestRetry != tt.backOff || time.Since(start) != 0 {
					t.Errorf("failure: got %+v after %v, want not run at once, with the %v that remain", failure, time.Since(start), tt.backOff)
				}
			})
		})
	}
}
