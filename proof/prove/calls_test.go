package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// calls checks that a call that is not idempotent runs at most once, that a call
// with the outcome not-run never ran, and that no call starts in a withdrawn zone.
// Idempotent and other calls are sent to targets that refuse calls, break
// connections, fail, become unresponsive, drain and are withdrawn.
var calls = scenario{
	name:      "calls",
	run:       runCalls,
	mutations: []mutation{"retry-what-may-have-run", "hide-what-was-written", "ignore-withdrawals"},
}

// fakeTargets is a set of fake targets with random faults.
type fakeTargets struct {
	r        *run
	mutation mutation

	mu             sync.Mutex
	startCounts    map[string]int
	withdrawnSince map[zone.Name]time.Time
}

// attemptFault is the fault that an attempt meets.
type attemptFault uint8

const (
	noFault attemptFault = iota
	refuses
	breaksConnection
	unreachable
	unresponsive
	failsFast
	attemptFaultCount
)

// drawFault returns a random fault, or noFault, and the duration of the attempt.
func (f *fakeTargets) drawFault() (fault attemptFault, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	duration = f.r.durationBetween(time.Millisecond, 40*time.Millisecond)
	if f.r.chance(0.7) {
		return noFault, duration
	}
	return attemptFault(f.r.rng.IntN(int(attemptFaultCount))), duration
}

// recordStart counts an attempt that a target has started.
func (f *fakeTargets) recordStart(id string, z zone.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startCounts[id]++
	if withdrawnAt, isWithdrawn := f.withdrawnSince[z]; isWithdrawn && time.Now().After(withdrawnAt) {
		f.r.addViolation("attempt started in withdrawn zone %s", z)
	}
}

// sender implements dispatch.Sender for one call.
type sender struct {
	targets *fakeTargets
	id      string
}

type response struct{ failed bool }

func (a response) IsServerError() bool   { return a.failed }
func (a response) Report() target.Report { return target.Report{} }
func (a response) ExtraAttempts() int    { return 0 }
func (a response) Discard()              {}

// Send makes one attempt, which may meet a random fault.
func (s *sender) Send(ctx context.Context, a dispatch.Attempt) (dispatch.Response, *dispatch.AttemptFailure) {
	fault, duration := s.targets.drawFault()
	if fault == unreachable {
		s.targets.r.countFault("target-unreachable")
		return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
	}
	if !a.MaySend() {
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled}
	}
	if fault == refuses {
		s.targets.r.countFault("target-refuses")
		return nil, &dispatch.AttemptFailure{Result: target.Refused, Written: true}
	}
	s.targets.recordStart(s.id, a.Target.Zone)
	if fault == unresponsive {
		s.targets.r.countFault("connection-silent")
		duration = time.Hour
	}
	written := s.targets.mutation != "hide-what-was-written"
	timer := time.NewTimer(min(duration, time.Until(a.HeaderDeadline)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: written}
	case <-timer.C:
	}
	switch {
	case fault == unresponsive:
		return nil, &dispatch.AttemptFailure{Result: target.TimedOut, Written: written}
	case fault == breaksConnection:
		s.targets.r.countFault("answer-lost")
		return nil, &dispatch.AttemptFailure{Result: target.Broken, Written: written, ExtraAttempts: a.MaxExtraAttempts}
	case fault == failsFast:
		s.targets.r.countFault("target-fails-fast")
	}
	return response{failed: fault == failsFast}, nil
}

func runCalls(r *run, m mutation) {
	targets := &fakeTargets{r: r, mutation: m, startCounts: map[string]int{}, withdrawnSince: map[zone.Name]time.Time{}}
	checks := &invariant.Checker{}
	table := target.NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 1}, target.Settings{Seed: r.seed + 1, Checks: checks})
	var list []vm.VM
	for i := range 6 {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(fmt.Sprint(i)), Zone: zone.Name(fmt.Sprint("z", i%3))})
	}
	withdrawn := func(_ vm.ID, z zone.Name) bool {
		targets.mu.Lock()
		defer targets.mu.Unlock()
		_, isWithdrawn := targets.withdrawnSince[z]
		return isWithdrawn && m != "ignore-withdrawals"
	}
	table.SetList(time.Now(), list, withdrawn)
	for _, v := range list {
		table.RecordReport(v.ID, time.Now(), target.Report{IsPresent: true, Instance: "a", State: target.Live})
	}
	svc := &dispatch.Service{
		Table: table, Gate: admission.NewPool(200).AddGate(50), RetryBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: 0.5}},
		HedgeBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: 0.5}}, Latencies: &retry.LatencyWindow{},
	}
	d := &dispatch.Dispatcher{Checks: checks}
	var wg sync.WaitGroup
	for i := range 800 {
		targets.mu.Lock()
		gap := r.durationBetween(0, 8*time.Millisecond)
		idempotent, cancelsEarly := r.chance(0.5), r.chance(0.1)
		togglesZone := r.chance(0.02)
		z := zone.Name(fmt.Sprint("z", r.rng.IntN(3)))
		changesState, state := r.chance(0.02), target.State(1+r.rng.IntN(4))
		changedTarget := list[r.rng.IntN(len(list))].ID
		targets.mu.Unlock()
		time.Sleep(gap)
		if togglesZone {
			r.countFault("zone-out-or-in")
			targets.toggleZone(z)
			table.SetWithdrawn(withdrawn)
		}
		if changesState {
			r.countFault("target-state-changes")
			table.RecordObservation(time.Now(), target.Observation{ID: changedTarget, Instance: "a", State: state}, 0)
		}
		wg.Go(func() { runCall(d, svc, targets, fmt.Sprint("call-", i), idempotent, cancelsEarly) })
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	if m == "" && checks.TotalViolations() > 0 || m != "" && checks.TotalViolations() > 0 {
		r.addViolation("invariant violations counted by the load balancer: got %d, want 0", checks.TotalViolations())
	}
	if open, waiting := svc.Gate.CallCounts(); open+waiting > 0 {
		r.addViolation("calls left in the admission gate: got %d open and %d waiting, want 0", open, waiting)
	}
	for _, v := range table.Views(time.Now()) {
		if v.OwnInFlight != 0 {
			r.addViolation("attempts in flight at %s after all calls ended: got %d, want 0", v.Ref.ID, v.OwnInFlight)
		}
	}
}

func (f *fakeTargets) toggleZone(z zone.Name) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, isWithdrawn := f.withdrawnSince[z]; isWithdrawn {
		delete(f.withdrawnSince, z)
		return
	}
	if len(f.withdrawnSince) < 2 {
		f.withdrawnSince[z] = time.Now()
	}
}

// runCall sends one call and compares its outcome with the recorded starts.
func runCall(d *dispatch.Dispatcher, svc *dispatch.Service, targets *fakeTargets, id string, idempotent, cancelsEarly bool) {
	p := profile.Profile{Idempotent: idempotent, CallTimeout: 2 * time.Second, AttemptTimeout: 300 * time.Millisecond, QueueTimeout: 500 * time.Millisecond}
	if idempotent || targets.mutation == "retry-what-may-have-run" {
		p.Idempotent, p.MaxRetries, p.Hedge, p.HedgePercentile = true, 2, true, 90
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.CallTimeout)
	defer cancel()
	if cancelsEarly {
		targets.r.countFault("caller-goes")
		time.AfterFunc(15*time.Millisecond, cancel)
	}
	c := &dispatch.Call{Profile: &p, Caller: "c", Deadline: time.Now().Add(p.CallTimeout), Allowance: retry.NewAllowance(p.MaxRetries), BodyReplayable: true}
	resp, fail := d.Do(ctx, svc, c, &sender{targets: targets, id: id})
	if resp != nil {
		resp.Finish(target.Answered)
	}
	targets.mu.Lock()
	defer targets.mu.Unlock()
	if fail != nil && fail.Outcome == outcome.NotRun && targets.startCounts[id] > 0 {
		targets.r.addViolation("%s has the outcome not-run (%s) but ran", id, fail.Reason)
	}
	if !idempotent && targets.startCounts[id] > 1 {
		targets.r.addViolation("%s is not idempotent and ran %d times", id, targets.startCounts[id])
	}
}
