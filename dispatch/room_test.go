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

// fakeTarget is a target with slots that says truthfully how it is.
type fakeTarget struct {
	mu      sync.Mutex
	running int
	slots   int
}

func (m *fakeTarget) report() target.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return target.Report{Known: true, Detailed: true, State: target.Live, Running: min(m.running, m.slots),
		Waiting: max(0, m.running-m.slots), Slots: m.slots, Pace: 1, InFlight: m.running}
}

func (m *fakeTarget) add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running += n
}

// capacityFixture is a dispatcher before one such target, asked right before each choice.
type capacityFixture struct {
	*Dispatcher
	svc         *Service
	target      *fakeTarget
	serviceTime time.Duration
}

func (r *capacityFixture) Ask(_ context.Context, refs []target.Ref) {
	for _, ref := range refs {
		r.svc.Table.Probed(ref.ID, time.Now(), r.target.report())
	}
}

func (r *capacityFixture) Send(ctx context.Context, a Attempt) (Answer, *Failure) {
	if !a.Permit() {
		return nil, &Failure{Result: target.Cancelled}
	}
	r.target.add(1)
	defer r.target.add(-1)
	timer := time.NewTimer(r.serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return &reportingResponse{report: r.target.report()}, nil
	case <-ctx.Done():
		return nil, &Failure{Result: target.Cancelled, Written: true}
	}
}

type reportingResponse struct{ report target.Report }

func (a *reportingResponse) Failed() bool          { return false }
func (a *reportingResponse) Report() target.Report { return a.report }
func (a *reportingResponse) Spent() int            { return 0 }
func (a *reportingResponse) Discard()              {}

func newCapacityFixture(arrivals *retry.Budget) *capacityFixture {
	r := &capacityFixture{Dispatcher: &Dispatcher{}, target: &fakeTarget{slots: 4}, serviceTime: 200 * time.Millisecond}
	table := target.NewTable(service.Service{Name: "s", Slots: 4}, target.Settings{
		Seed: 1, TrustList: true, Sight: target.Sight{Lifetime: time.Millisecond, Near: 3, Far: 3},
	})
	table.SetList(time.Now(), []vm.VM{{ID: "t", Address: "t", Slots: 4}}, func(vm.ID, zone.Name) bool { return false })
	r.svc = &Service{Table: table, Scout: r, Gate: admission.NewPool(0).Gate(256), Arrivals: arrivals, Latencies: &retry.Latencies{}}
	return r
}

func objectiveProfile() profile.Profile {
	return profile.Profile{Deadline: 2 * time.Second, AttemptTimeout: 2 * time.Second, Objective: 600 * time.Millisecond, QueueWait: time.Second}
}

// callEnd is how one call ended and when.
type callEnd struct {
	lost *Lost
	took time.Duration
}

// offerLoad sends a call every interval for a while and returns how they ended.
func (r *capacityFixture) offerLoad(t *testing.T, every, lasting time.Duration) (ends []callEnd) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for began := time.Now(); time.Since(began) < lasting; time.Sleep(every) {
		calls.Go(func() {
			at := time.Now()
			won, lost := r.Do(t.Context(), r.svc, newCall(objectiveProfile()), r)
			if won != nil {
				won.Finish(target.Answered)
			}
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, callEnd{lost, time.Since(at)})
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
		r := newCapacityFixture(&retry.Budget{})
		const bears = 20 // calls a second: 4 slots of 200 ms
		ends := r.offerLoad(t, time.Second/(2*bears), 10*time.Second)
		inTime, done, lateRefusals := 0, 0, 0
		for _, e := range ends {
			switch {
			case e.lost == nil && e.took <= objectiveProfile().Objective:
				inTime++
				done++
			case e.lost == nil:
				done++
			case e.lost.Outcome != outcome.NotRun || e.lost.RoomIn <= 0 && e.lost.Reason != outcome.QueueFull && e.lost.Reason != outcome.QueueTimeout:
				t.Errorf("lost: got %+v, want not run, with a time to come back", e.lost)
			case e.took > objectiveProfile().Deadline*9/10:
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
		r := newCapacityFixture(&retry.Budget{})
		r.offerLoad(t, 20*time.Millisecond, 5*time.Second)
		ends := r.offerLoad(t, 100*time.Millisecond, 3*time.Second)
		for i, e := range ends {
			if e.lost != nil || e.took > objectiveProfile().Objective {
				t.Errorf("call %d after the overload: got %+v after %s, want an answer in time", i, e.lost, e.took)
			}
		}
	})
}

// The load: a target that refuses everything although it says it is free. Each
// further arrival is paid for by the budget that the fleet shares.
func TestRefusalsArePaidFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 6, failFirst(refusedByTarget, 1<<30))
		r.svc.Arrivals = &retry.Budget{Settings: retry.Settings{PerCall: 0.2, Burst: 3}}
		const calls = 50
		for range calls {
			got := r.do(t.Context(), newCall(nonIdempotent()))
			if want := (outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.TargetsRefused}); got != want {
				t.Fatalf("outcome: got %v, want %v", got, want)
			}
		}
		if got, want := len(r.sender.attempts), calls+calls/5+3; got > want {
			t.Errorf("arrivals: got %d for %d calls, want %d at most", got, calls, want)
		}
	})
}

// A hedge reaches another target, so it counts among the targets that a call may
// be sent to.
func TestHedgeStaysWithinTheAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHedgingFixture(t, func(int, Attempt) action { return action{delay: 300 * time.Millisecond, isServerError: true} })
		p := idempotent()
		p.Hedge, p.HedgePercentile, p.Retries = true, 95, 1
		for range 20 {
			r.svc.Retries.Earn()
		}
		r.do(t.Context(), newCall(p))
		if got := len(r.sender.attempts); got > 2 {
			t.Errorf("attempts: got %d, want 2 at most", got)
		}
		p.Retries = 0
		before := len(r.sender.attempts)
		r.do(t.Context(), newCall(p))
		if got := len(r.sender.attempts) - before; got != 1 {
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
				r := newCapacityFixture(&retry.Budget{})
				r.target.add(tt.running)
				_, lost := r.Do(t.Context(), r.svc, newCall(objectiveProfile()), refusingSender{})
				if lost == nil || lost.Reason != outcome.TargetsRefused || lost.Outcome != outcome.NotRun {
					t.Fatalf("lost: got %+v, want refused by targets", lost)
				}
				if got := lost.RoomIn <= 100*time.Millisecond; got != tt.soon || lost.RoomIn <= 0 {
					t.Errorf("room in %s: got soon %v, want %v", lost.RoomIn, got, tt.soon)
				}
			})
		})
	}
}

// refusingSender stands for targets that refuse everything.
type refusingSender struct{}

func (refusingSender) Send(_ context.Context, a Attempt) (Answer, *Failure) {
	a.Permit()
	return nil, &Failure{Result: target.Refused, Written: true}
}
