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

// machine is a target with slots that says truthfully how it is.
type machine struct {
	mu      sync.Mutex
	running int
	slots   int
}

func (m *machine) report() target.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return target.Report{IsPresent: true, IsDetailed: true, State: target.Live, RunningCount: min(m.running, m.slots),
		WaitingCount: max(0, m.running-m.slots), Slots: m.slots, SlowdownFactor: 1, InFlight: m.running}
}

func (m *machine) add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running += n
}

// roomRig is a dispatcher before one such target, asked right before each choice.
type roomRig struct {
	*Dispatcher
	svc  *Service
	m    *machine
	work time.Duration
}

func (r *roomRig) QueryLoad(_ context.Context, refs []target.Ref) {
	for _, ref := range refs {
		r.svc.Table.RecordReport(ref.ID, time.Now(), r.m.report())
	}
}

func (r *roomRig) Send(ctx context.Context, a Attempt) (Response, *AttemptFailure) {
	if !a.MaySend() {
		return nil, &AttemptFailure{Result: target.Cancelled}
	}
	r.m.add(1)
	defer r.m.add(-1)
	timer := time.NewTimer(r.work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return &machineAnswer{report: r.m.report()}, nil
	case <-ctx.Done():
		return nil, &AttemptFailure{Result: target.Cancelled, Written: true}
	}
}

type machineAnswer struct{ report target.Report }

func (a *machineAnswer) IsServerError() bool   { return false }
func (a *machineAnswer) Report() target.Report { return a.report }
func (a *machineAnswer) ExtraAttempts() int    { return 0 }
func (a *machineAnswer) Discard()              {}

func newRoomRig(arrivals *retry.Budget) *roomRig {
	r := &roomRig{Dispatcher: &Dispatcher{}, m: &machine{slots: 4}, work: 200 * time.Millisecond}
	table := target.NewTable(service.Service{Name: "s", Slots: 4}, target.Settings{
		Seed: 1, ListIsAuthoritative: true, LoadQuery: target.LoadQuerySettings{MaxReportAge: time.Millisecond, SameZoneCount: 3, OtherZoneCount: 3},
	})
	table.SetList(time.Now(), []vm.VM{{ID: "t", Address: "t", Slots: 4}}, func(vm.ID, zone.Name) bool { return false })
	r.svc = &Service{Table: table, LoadQuerier: r, Gate: admission.NewPool(0).AddGate(256), ExtraAttemptBudget: arrivals, Latencies: &retry.LatencyWindow{}}
	return r
}

func urgent() profile.Profile {
	return profile.Profile{CallTimeout: 2 * time.Second, AttemptTimeout: 2 * time.Second, LatencyObjective: 600 * time.Millisecond, QueueTimeout: time.Second}
}

// end is how one call ended and when.
type end struct {
	lost *CallFailure
	took time.Duration
}

// press sends a call every interval for a while and returns how they ended.
func (r *roomRig) press(t *testing.T, every, lasting time.Duration) (ends []end) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for began := time.Now(); time.Since(began) < lasting; time.Sleep(every) {
		calls.Go(func() {
			at := time.Now()
			won, lost := r.Do(t.Context(), r.svc, call(urgent()), r)
			if won != nil {
				won.Finish(target.Answered)
			}
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, end{lost, time.Since(at)})
		})
	}
	calls.Wait()
	return ends
}

// The load: for ten seconds twice the calls that the target bears. Most of what it
// can serve comes within the objective, what cannot be served is refused long
// before its deadline with a time to come back, and no refused call has run.
func TestOverloadKeepsServingInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoomRig(&retry.Budget{})
		const bears = 20 // calls a second: 4 slots of 200 ms
		ends := r.press(t, time.Second/(2*bears), 10*time.Second)
		inTime, done, lateRefusals := 0, 0, 0
		for _, e := range ends {
			switch {
			case e.lost == nil && e.took <= urgent().LatencyObjective:
				inTime++
				done++
			case e.lost == nil:
				done++
			case e.lost.Outcome != outcome.NotRun || e.lost.RetryAfter <= 0 && e.lost.Reason != outcome.QueueFull && e.lost.Reason != outcome.QueueTimeout:
				t.Errorf("lost: got %+v, want not run, with a time to come back", e.lost)
			case e.took > urgent().CallTimeout*9/10:
				lateRefusals++
			}
		}
		if want := 10 * bears * 6 / 10; inTime < want {
			t.Errorf("in time: got %d of %d (%d done), want %d at least", inTime, len(ends), done, want)
		}
		if want := len(ends) / 20; lateRefusals > want {
			t.Errorf("refused only near the deadline: got %d, want %d at most", lateRefusals, want)
		}
	})
}

// After the overload the queue is gone within the time of a few calls.
func TestOverloadLeavesNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoomRig(&retry.Budget{})
		r.press(t, 20*time.Millisecond, 5*time.Second)
		ends := r.press(t, 100*time.Millisecond, 3*time.Second)
		for i, e := range ends {
			if e.lost != nil || e.took > urgent().LatencyObjective {
				t.Errorf("call %d after the overload: got %+v after %s, want an answer in time", i, e.lost, e.took)
			}
		}
	})
}

// The load: a target that refuses everything although it says it is free. Each
// further arrival is paid for by the budget that the fleet shares.
func TestRefusalsArePaidFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 6, fails(refused, 1<<30))
		r.svc.ExtraAttemptBudget = &retry.Budget{Settings: retry.Settings{TokensPerCall: 0.2, Burst: 3}}
		const calls = 50
		for range calls {
			got := r.end(t.Context(), call(once()))
			if want := (outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.TargetsRefused}); got != want {
				t.Fatalf("outcome: got %v, want %v", got, want)
			}
		}
		if got, want := len(r.fake.attempts), calls+calls/5+3; got > want {
			t.Errorf("arrivals: got %d for %d calls, want %d at most", got, calls, want)
		}
	})
}

// A hedge reaches another target, so it counts among the targets that a call may
// be sent to.
func TestHedgeStaysWithinTheAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := hedged(t, func(int, Attempt) reply { return reply{after: 300 * time.Millisecond, failed: true} })
		p := idempotent()
		p.Hedge, p.HedgePercentile, p.MaxRetries = true, 95, 1
		for range 20 {
			r.svc.RetryBudget.Earn()
		}
		r.end(t.Context(), call(p))
		if got := len(r.fake.attempts); got > 2 {
			t.Errorf("attempts: got %d, want 2 at most", got)
		}
		p.MaxRetries = 0
		before := len(r.fake.attempts)
		r.end(t.Context(), call(p))
		if got := len(r.fake.attempts) - before; got != 1 {
			t.Errorf("attempts without an allowance: got %d, want 1", got)
		}
	})
}

// The load: targets that refuse half of what they get although they have slots
// free. Whoever is refused may come back at once, while there is time.
func TestRefusedWithSlotsFreeMayComeBackSoon(t *testing.T) {
	tests := []struct {
		name    string
		running int
		soon    bool
	}{
		{"slots free", 1, true},
		{"full", 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRoomRig(&retry.Budget{})
				r.m.add(tt.running)
				_, lost := r.Do(t.Context(), r.svc, call(urgent()), refuser{})
				if lost == nil || lost.Reason != outcome.TargetsRefused || lost.Outcome != outcome.NotRun {
					t.Fatalf("lost: got %+v, want refused by targets", lost)
				}
				if got := lost.RetryAfter <= 100*time.Millisecond; got != tt.soon || lost.RetryAfter <= 0 {
					t.Errorf("room in %s: got soon %v, want %v", lost.RetryAfter, got, tt.soon)
				}
			})
		})
	}
}

// refuser stands for targets that refuse everything.
type refuser struct{}

func (refuser) Send(_ context.Context, a Attempt) (Response, *AttemptFailure) {
	a.MaySend()
	return nil, &AttemptFailure{Result: target.Refused, Written: true}
}
