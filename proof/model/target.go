package model

import (
	"container/list"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// TargetSettings configures the targets of a Simulation.
type TargetSettings struct {
	Slots int
	// RefusesWhenFull makes a full target refuse calls; otherwise its queue is
	// unbounded. New sets it to the strategy's value.
	RefusesWhenFull bool
	// MeanServiceTime is the mean of the lognormal service time outside slow
	// periods, and ServiceTimeSigma the standard deviation of its logarithm.
	MeanServiceTime  time.Duration
	ServiceTimeSigma float64
	// SlowFraction is the fraction of time for which a target is slow, SlowFactor
	// multiplies its service times then, and MeanSlowDuration is the mean duration of
	// a slow period.
	SlowFraction     float64
	SlowFactor       float64
	MeanSlowDuration time.Duration
	ColdSlots        int
	ColdPeriod       time.Duration
	// ReportAge is the age of the load that a target reports.
	ReportAge time.Duration
}

// DefaultTargetSettings returns the settings used by the measurements: 6 slots, a mean
// service time of 8 ms, and four times that for 5 % of the time.
func DefaultTargetSettings() TargetSettings {
	return TargetSettings{
		Slots: 6, RefusesWhenFull: true, MeanServiceTime: 8 * time.Millisecond, ServiceTimeSigma: 0.5,
		SlowFraction: 0.05, SlowFactor: 4, MeanSlowDuration: 100 * time.Millisecond,
		ColdSlots: 1, ColdPeriod: 3 * time.Second,
	}
}

// EffectiveMeanServiceTime returns the mean service time including the slow periods.
func (s TargetSettings) EffectiveMeanServiceTime() time.Duration {
	return time.Duration(float64(s.MeanServiceTime) * (1 + s.SlowFraction*(s.SlowFactor-1)))
}

// Target is one simulated target.
type Target struct {
	VM       vm.VM
	settings TargetSettings

	mu                sync.Mutex
	rng               *rand.Rand
	instance          int
	state             target.State
	warmAt            time.Time
	slow              bool
	slowChangeAt      time.Time
	serviceTimeFactor float64
	isFailing         bool
	isMisreporting    bool
	inFlight          int
	queue             *list.List
	restarted         chan struct{}
	loadHistory       []loadSample

	// ColdOverloads counts the calls that a cold target accepted beyond its ColdSlots.
	ColdOverloads int
	// ColdCalls counts the calls accepted while the target was cold.
	ColdCalls int
	// StartedCalls counts the accepted calls, the queued ones included.
	StartedCalls int
	// CallTime is the total service time of calls, and ProbeTime that of probes.
	CallTime, ProbeTime time.Duration
	ProbeCount          int
	// LastStartAt is the time at which the target last accepted a call.
	LastStartAt time.Time
}

type loadSample struct {
	at       time.Time
	inFlight int
}

func newTarget(v vm.VM, s TargetSettings, seed uint64) *Target {
	return &Target{
		VM: v, settings: s, rng: rand.New(rand.NewPCG(seed, 7)), state: target.Live, serviceTimeFactor: 1,
		queue: list.New(), restarted: make(chan struct{}), instance: 1,
	}
}

// SetServiceTimeFactor multiplies the service times of later calls by f.
func (t *Target) SetServiceTimeFactor(f float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceTimeFactor = f
}

// SetFailing makes the target respond to every call with an immediate error.
func (t *Target) SetFailing(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isFailing = on
}

// SetMisreporting makes the target report no load and the state Live, whatever its load
// and state are.
func (t *Target) SetMisreporting(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isMisreporting = on
}

// Restart replaces the instance with a cold one and breaks the calls in flight.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instance++
	t.state = target.Cold
	t.warmAt = time.Now().Add(t.settings.ColdPeriod)
	close(t.restarted)
	t.restarted = make(chan struct{})
	t.inFlight = 0
	t.queue.Init()
}

// InFlight returns the actual number of calls in flight, the queued ones included.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// Instance returns the number of the current instance; the first is 1.
func (t *Target) Instance() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance
}

func (t *Target) updateState() {
	if t.state == target.Cold && !time.Now().Before(t.warmAt) {
		t.state = target.Live
	}
}

// Report returns the target's load report.
func (t *Target) Report() target.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report()
}

func (t *Target) report() target.Report {
	t.updateState()
	r := target.Report{IsPresent: true, Instance: instanceName(t.instance), State: t.state, InFlight: t.reportedInFlight()}
	if t.isMisreporting {
		r.InFlight, r.State = 0, target.Live
	}
	return r
}

// reportedInFlight returns the number of calls in flight ReportAge ago.
// t.mu must be held.
func (t *Target) reportedInFlight() int {
	if t.settings.ReportAge == 0 {
		return t.inFlight
	}
	now := time.Now()
	t.loadHistory = append(t.loadHistory, loadSample{now, t.inFlight})
	for len(t.loadHistory) > 1 && now.Sub(t.loadHistory[1].at) >= t.settings.ReportAge {
		t.loadHistory = t.loadHistory[1:]
	}
	return t.loadHistory[0].inFlight
}

func instanceName(n int) target.Instance {
	return target.Instance(fmt.Sprint("i", n))
}

// callResult is the result of a call at the target.
type callResult uint8

const (
	served callResult = iota
	refused
	failedFast
	connectionBroken
	cancelled
)

// serve runs one call that was sent to the given instance.
func (t *Target) serve(ctx context.Context, instance int) (callResult, target.Report) {
	slot, result, restarted := t.admit(instance)
	if result != served {
		return result, t.Report()
	}
	select {
	case <-slot:
	case <-ctx.Done():
		t.cancelCall(slot, instance)
		return cancelled, target.Report{}
	case <-restarted:
		return connectionBroken, target.Report{}
	}
	return t.occupySlot(ctx, instance, restarted)
}

// admit accepts a call or returns the reason against it. The call may start when
// slot receives a value: at once if a slot is free, otherwise in queue order.
func (t *Target) admit(instance int) (slot chan struct{}, result callResult, restarted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance != t.instance {
		return nil, connectionBroken, nil
	}
	if t.isFailing {
		return nil, failedFast, nil
	}
	t.updateState()
	if t.settings.RefusesWhenFull && t.inFlight >= t.settings.Slots {
		return nil, refused, nil
	}
	t.inFlight++
	t.StartedCalls++
	t.LastStartAt = time.Now()
	t.countColdCall()
	slot = make(chan struct{}, 1)
	if t.inFlight <= t.settings.Slots {
		slot <- struct{}{}
	} else {
		t.queue.PushBack(slot)
	}
	return slot, served, t.restarted
}

func (t *Target) countColdCall() {
	if t.state != target.Cold {
		return
	}
	t.ColdCalls++
	if t.inFlight > t.settings.ColdSlots {
		t.ColdOverloads++
	}
}

// cancelCall removes a call from the queue. If it was given a slot in the
// meantime, the slot is released.
func (t *Target) cancelCall(slot chan struct{}, instance int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance != t.instance {
		return
	}
	for e := t.queue.Front(); e != nil; e = e.Next() {
		if e.Value == slot {
			t.queue.Remove(e)
			t.inFlight--
			return
		}
	}
	t.releaseSlot()
}

// releaseSlot ends a call that holds a slot and starts the next queued one.
// t.mu must be held.
func (t *Target) releaseSlot() {
	t.inFlight--
	if e := t.queue.Front(); e != nil {
		t.queue.Remove(e).(chan struct{}) <- struct{}{}
	}
}

func (t *Target) occupySlot(ctx context.Context, instance int, restarted chan struct{}) (callResult, target.Report) {
	serviceTime := t.drawServiceTime()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	startedAt := time.Now()
	result := served
	select {
	case <-timer.C:
	case <-ctx.Done():
		result = cancelled
	case <-restarted:
		return connectionBroken, target.Report{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.CallTime += time.Since(startedAt)
	if instance != t.instance {
		return connectionBroken, target.Report{}
	}
	report := t.report()
	t.releaseSlot()
	return result, report
}
