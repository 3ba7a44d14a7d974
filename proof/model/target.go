package model

import (
	"container/list"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// TargetSettings describe the targets of a world.
type TargetSettings struct {
	Slots int
	// Sheds says that a full target refuses; otherwise it queues without end.
	RefusesWhenFull bool
	// Mean and Sigma are of the lognormal service time.
	MeanServiceTime  time.Duration
	ServiceTimeSigma float64
	// SlowShare is the part of its time that a target is slow, SlowFactor how
	// much, SlowLength how long at a time on average.
	SlowFraction     float64
	SlowFactor       float64
	MeanSlowDuration time.Duration
	ColdSlots        int
	ColdPeriod       time.Duration
	// ReportAge is how old the load is that a target reports.
	ReportAge time.Duration
}

// DefaultTargets are the targets of the measurements: 6 slots, 8 ms on average,
// 5 % of the time four times slower.
func DefaultTargetSettings() TargetSettings {
	return TargetSettings{
		Slots: 6, RefusesWhenFull: true, MeanServiceTime: 8 * time.Millisecond, ServiceTimeSigma: 0.5,
		SlowFraction: 0.05, SlowFactor: 4, MeanSlowDuration: 100 * time.Millisecond,
		ColdSlots: 1, ColdPeriod: 3 * time.Second,
	}
}

// EffectiveMean is the mean service time, slow moments included.
func (s TargetSettings) EffectiveMeanServiceTime() time.Duration {
	return time.Duration(float64(s.MeanServiceTime) * (1 + s.SlowFraction*(s.SlowFactor-1)))
}

// Target is one fake target.
type Target struct {
	VM       vm.VM
	settings TargetSettings

	mu       sync.Mutex
	rng      *rand.Rand
	instance int
	state    target.State
	warmAt   time.Time
	slow     bool
	slowTurn time.Time
	factor   float64
	fails    bool
	lies     bool
	open     int
	waiting  *list.List
	reset    chan struct{}
	past     []sample

	// Overruns counts moments at which a cold target had more than it bears.
	ColdOverloads int
	// ServedCold counts calls that were started while cold.
	ColdCalls    int
	StartedCalls int
	// Busy is the target time that calls took, ProbeTime that probes took.
	CallTime, ProbeTime time.Duration
	ProbeCount          int
	LastStartAt         time.Time
}

type sample struct {
	at   time.Time
	open int
}

func newTarget(v vm.VM, s TargetSettings, seed uint64) *Target {
	return &Target{
		VM: v, settings: s, rng: rand.New(rand.NewPCG(seed, 7)), state: target.Live, factor: 1,
		waiting: list.New(), reset: make(chan struct{}), instance: 1,
	}
}

// SetFactor makes calls take so many times longer.
func (t *Target) SetServiceTimeFactor(f float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.factor = f
}

// SetFails makes the target answer that it failed, at once.
func (t *Target) SetFailing(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fails = on
}

// SetLies makes the target report that it is idle and warm.
func (t *Target) SetMisreporting(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lies = on
}

// Restart replaces the process: what is open breaks, the new one is cold.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instance++
	t.state = target.Cold
	t.warmAt = time.Now().Add(t.settings.ColdPeriod)
	close(t.reset)
	t.reset = make(chan struct{})
	t.open = 0
	t.waiting.Init()
}

// Open is how many calls are really open.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// Instance is the present process.
func (t *Target) Instance() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance
}

func (t *Target) warm() {
	if t.state == target.Cold && !time.Now().Before(t.warmAt) {
		t.state = target.Live
	}
}

// Report is the load the target states.
func (t *Target) Report() target.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report()
}

func (t *Target) report() target.Report {
	t.warm()
	r := target.Report{IsPresent: true, Instance: instanceName(t.instance), State: t.state, InFlight: t.reportedOpen()}
	if t.lies {
		r.InFlight, r.State = 0, target.Live
	}
	return r
}

// reportedOpen is the open calls as old as the settings say.
func (t *Target) reportedOpen() int {
	if t.settings.ReportAge == 0 {
		return t.open
	}
	now := time.Now()
	t.past = append(t.past, sample{now, t.open})
	for len(t.past) > 1 && now.Sub(t.past[1].at) >= t.settings.ReportAge {
		t.past = t.past[1:]
	}
	return t.past[0].open
}

func instanceName(n int) target.Instance {
	return target.Instance(fmt.Sprint("i", n))
}

// result is how a call went at the target.
type result uint8

const (
	served result = iota
	refused
	failedFast
	broken
	cancelled
)

// serve runs one call of an instance.
func (t *Target) serve(ctx context.Context, instance int) (result, target.Report) {
	slot, r, reset := t.enter(instance)
	if r != served {
		return r, t.Report()
	}
	select {
	case <-slot:
	case <-ctx.Done():
		t.abandon(slot, instance)
		return cancelled, target.Report{}
	case <-reset:
		return broken, target.Report{}
	}
	return t.work(ctx, instance, reset)
}

// enter opens a call, or says why not; the slot is ready at once or in turn.
func (t *Target) enter(instance int) (slot chan struct{}, r result, reset chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance != t.instance {
		return nil, broken, nil
	}
	if t.fails {
		return nil, failedFast, nil
	}
	t.warm()
	if t.settings.RefusesWhenFull && t.open >= t.settings.Slots {
		return nil, refused, nil
	}
	t.open++
	t.StartedCalls++
	t.LastStartAt = time.Now()
	t.noteCold()
	slot = make(chan struct{}, 1)
	if t.open <= t.settings.Slots {
		slot <- struct{}{}
	} else {
		t.waiting.PushBack(slot)
	}
	return slot, served, t.reset
}

func (t *Target) noteCold() {
	if t.state != target.Cold {
		return
	}
	t.ColdCalls++
	if t.open > t.settings.ColdSlots {
		t.ColdOverloads++
	}
}

// abandon takes back a call that waits, or one whose slot has just come.
func (t *Target) abandon(slot chan struct{}, instance int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance != t.instance {
		return
	}
	for e := t.waiting.Front(); e != nil; e = e.Next() {
		if e.Value == slot {
			t.waiting.Remove(e)
			t.open--
			return
		}
	}
	t.leave()
}

// leave ends a call that has a slot. The lock must be held.
func (t *Target) leave() {
	t.open--
	if e := t.waiting.Front(); e != nil {
		t.waiting.Remove(e).(chan struct{}) <- struct{}{}
	}
}

func (t *Target) work(ctx context.Context, instance int, reset chan struct{}) (result, target.Report) {
	d := t.draw()
	timer := time.NewTimer(d)
	defer timer.Stop()
	began := time.Now()
	r := served
	select {
	case <-timer.C:
	case <-ctx.Done():
		r = cancelled
	case <-reset:
		return broken, target.Report{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.CallTime += time.Since(began)
	if instance != t.instance {
		return broken, target.Report{}
	}
	report := t.report()
	t.leave()
	return r, report
}

// draw draws a service time.
func (t *Target) draw() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.settings
	d := float64(s.MeanServiceTime) * math.Exp(s.ServiceTimeSigma*t.rng.NormFloat64()-s.ServiceTimeSigma*s.ServiceTimeSigma/2) * t.factor
	if t.isSlow() {
		d *= s.SlowFactor
	}
	return time.Duration(d)
}

// isSlow turns the target slow and fast at random. The lock must be held.
func (t *Target) isSlow() bool {
	s := t.settings
	if s.SlowFraction == 0 {
		return false
	}
	now := time.Now()
	if t.slowTurn.IsZero() {
		t.slowTurn = now.Add(t.turn(false))
	}
	for !now.Before(t.slowTurn) {
		t.slow = !t.slow
		t.slowTurn = t.slowTurn.Add(t.turn(t.slow))
	}
	return t.slow
}

func (t *Target) turn(slow bool) time.Duration {
	mean := float64(t.settings.MeanSlowDuration)
	if !slow {
		mean *= (1 - t.settings.SlowFraction) / t.settings.SlowFraction
	}
	return time.Duration(t.rng.ExpFloat64() * mean)
}

// probe answers a probe, which takes target time.
func (t *Target) probe(cost time.Duration) target.Report {
	time.Sleep(cost)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ProbeCount++
	t.ProbeTime += cost
	return t.report()
}
