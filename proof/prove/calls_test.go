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

// calls lets idempotent and other calls flow to targets that refuse, break,
// fail, go silent, drain and are withdrawn. A call that is not idempotent runs
// at most once, one told not run never ran, and no work starts out of service.
var calls = scenario{
	name:      "calls",
	play:      playCalls,
	mutations: []mutation{"retry-what-may-have-run", "hide-what-was-written", "ignore-withdrawals"},
}

// site is a set of fake targets that follow a random script.
type site struct {
	r        *run
	mutation mutation

	mu        sync.Mutex
	started   map[string]int
	withdrawn map[zone.Name]time.Time
}

// trouble is what happens to an attempt.
type trouble uint8

const (
	fine trouble = iota
	refusing
	breaking
	unreachable
	silent
	failing
	troubles
)

// draw draws what happens to the next attempt.
func (s *site) draw() (what trouble, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after = s.r.between(time.Millisecond, 40*time.Millisecond)
	if s.r.chance(0.7) {
		return fine, after
	}
	return trouble(s.r.rng.IntN(int(troubles))), after
}

// start enters a call into the ledger.
func (s *site) start(id string, z zone.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[id]++
	if since, out := s.withdrawn[z]; out && time.Now().After(since) {
		s.r.breach("work started in zone %s, which is out of service", z)
	}
}

// sender sends the attempts of one call.
type sender struct {
	site *site
	id   string
}

type reply struct{ failed bool }

func (a reply) IsServerError() bool   { return a.failed }
func (a reply) Report() target.Report { return target.Report{} }
func (a reply) ExtraAttempts() int    { return 0 }
func (a reply) Discard()              {}

// Send makes one attempt, with trouble.
func (s *sender) Send(ctx context.Context, a dispatch.Attempt) (dispatch.Response, *dispatch.AttemptFailure) {
	what, after := s.site.draw()
	if what == unreachable {
		s.site.r.fault("target-unreachable")
		return nil, &dispatch.AttemptFailure{Result: target.ConnectFailed}
	}
	if !a.MaySend() {
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled}
	}
	if what == refusing {
		s.site.r.fault("target-refuses")
		return nil, &dispatch.AttemptFailure{Result: target.Refused, Written: true}
	}
	s.site.start(s.id, a.Target.Zone)
	if what == silent {
		s.site.r.fault("connection-silent")
		after = time.Hour
	}
	written := s.site.mutation != "hide-what-was-written"
	timer := time.NewTimer(min(after, time.Until(a.HeaderDeadline)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: written}
	case <-timer.C:
	}
	switch {
	case what == silent:
		return nil, &dispatch.AttemptFailure{Result: target.TimedOut, Written: written}
	case what == breaking:
		s.site.r.fault("answer-lost")
		return nil, &dispatch.AttemptFailure{Result: target.Broken, Written: written, ExtraAttempts: a.MaxExtraAttempts}
	case what == failing:
		s.site.r.fault("target-fails-fast")
	}
	return reply{failed: what == failing}, nil
}

func playCalls(r *run, m mutation) {
	s := &site{r: r, mutation: m, started: map[string]int{}, withdrawn: map[zone.Name]time.Time{}}
	checks := &invariant.Checker{}
	table := target.NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 1}, target.Settings{Seed: r.seed + 1, Checks: checks})
	var list []vm.VM
	for i := range 6 {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(fmt.Sprint(i)), Zone: zone.Name(fmt.Sprint("z", i%3))})
	}
	withdrawn := func(_ vm.ID, z zone.Name) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, out := s.withdrawn[z]
		return out && m != "ignore-withdrawals"
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
	for n := range 800 {
		s.mu.Lock()
		gap := r.between(0, 8*time.Millisecond)
		idempotent, impatient := r.chance(0.5), r.chance(0.1)
		turn := r.chance(0.02)
		z := zone.Name(fmt.Sprint("z", r.rng.IntN(3)))
		hear, state := r.chance(0.02), target.State(1+r.rng.IntN(4))
		heard := list[r.rng.IntN(len(list))].ID
		s.mu.Unlock()
		time.Sleep(gap)
		if turn {
			r.fault("zone-out-or-in")
			s.turnZone(z)
			table.SetWithdrawn(withdrawn)
		}
		if hear {
			r.fault("target-state-changes")
			table.RecordObservation(time.Now(), target.Observation{ID: heard, Instance: "a", State: state}, 0)
		}
		wg.Go(func() { carry(d, svc, s, fmt.Sprint("call-", n), idempotent, impatient) })
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	if m == "" && checks.TotalViolations() > 0 || m != "" && checks.TotalViolations() > 0 {
		r.breach("invariants broken inside the program: %d", checks.TotalViolations())
	}
	if open, waiting := svc.Gate.CallCounts(); open+waiting > 0 {
		r.breach("calls left in the gate: %d open, %d waiting", open, waiting)
	}
	for _, v := range table.Views(time.Now()) {
		if v.OwnInFlight != 0 {
			r.breach("attempts left open at %s: %d", v.Ref.ID, v.OwnInFlight)
		}
	}
}

func (s *site) turnZone(z zone.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, out := s.withdrawn[z]; out {
		delete(s.withdrawn, z)
		return
	}
	if len(s.withdrawn) < 2 {
		s.withdrawn[z] = time.Now()
	}
}

// carry sends one call and holds what it was told against the ledger.
func carry(d *dispatch.Dispatcher, svc *dispatch.Service, s *site, id string, idempotent, impatient bool) {
	p := profile.Profile{Idempotent: idempotent, CallTimeout: 2 * time.Second, AttemptTimeout: 300 * time.Millisecond, QueueTimeout: 500 * time.Millisecond}
	if idempotent || s.mutation == "retry-what-may-have-run" {
		p.Idempotent, p.MaxRetries, p.Hedge, p.HedgePercentile = true, 2, true, 90
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.CallTimeout)
	defer cancel()
	if impatient {
		s.r.fault("caller-goes")
		time.AfterFunc(15*time.Millisecond, cancel)
	}
	c := &dispatch.Call{Profile: &p, Caller: "c", Deadline: time.Now().Add(p.CallTimeout), Allowance: retry.NewAllowance(p.MaxRetries), BodyReplayable: true}
	won, lost := d.Do(ctx, svc, c, &sender{site: s, id: id})
	if won != nil {
		won.Finish(target.Answered)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost != nil && lost.Outcome == outcome.NotRun && s.started[id] > 0 {
		s.r.breach("%s was told not run (%s) and ran", id, lost.Reason)
	}
	if !idempotent && s.started[id] > 1 {
		s.r.breach("%s is not idempotent and ran %d times", id, s.started[id])
	}
}
