package model

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/coldstart"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Node is one entry node that runs the load balancer's own decision code.
type Node struct {
	simulation   *Simulation
	zone         zone.Name
	Service      *dispatch.Service
	ProbeBudget  *measuring.Budget
	LeaseManager *coldstart.Manager
	dispatcher   *dispatch.Dispatcher

	mu                sync.Mutex
	connectedInstance map[vm.ID]int
}

func (sim *Simulation) newNode(i int, list []vm.VM) *Node {
	s := sim.Settings
	n := &Node{simulation: sim, zone: sim.zoneOfIndex(i), connectedInstance: map[vm.ID]int{}, ProbeBudget: &measuring.Budget{}}
	serviceConfig := service.Service{Name: "s", Slots: s.TargetSettings.Slots, ColdSlots: s.TargetSettings.ColdSlots, ColdPeriod: s.TargetSettings.ColdPeriod}
	settings := target.Settings{Zone: n.zone, Checks: sim.Checks, Seed: s.Seed*7919 + uint64(i) + 1}
	if s.Strategy.Chooser != nil {
		settings.Chooser = s.Strategy.Chooser()
	}
	if s.Strategy.UsesActualLoad {
		settings.ActualInFlight = sim.actualInFlight
	}
	if s.UsesColdStartLeases {
		n.LeaseManager = sim.newLeaseManager(i)
		settings.ColdStartLeases = n.LeaseManager
	}
	n.Service = &dispatch.Service{
		Table:       target.NewTable(serviceConfig, settings),
		Gate:        admission.NewPool(1 << 20).AddGate(1 << 16),
		RetryBudget: &retry.Budget{},
		HedgeBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: retry.HedgeTokensPerCall}},
		Latencies:   &retry.LatencyWindow{},
	}
	n.dispatcher = &dispatch.Dispatcher{Checks: sim.Checks, ExtraAttemptCounter: sim.Recorder, RefusalBudget: n.ProbeBudget}
	n.Service.Table.SetList(time.Now(), list, func(vm.ID, zone.Name) bool { return false })
	for _, t := range sim.Targets {
		n.connectedInstance[t.VM.ID] = 1
		n.Service.Table.RecordReport(t.VM.ID, time.Now(), t.Report())
	}
	return n
}

func (n *Node) call() {
	p := n.simulation.Settings.Profile
	startedAt := time.Now()
	c := &dispatch.Call{
		Profile: &p, Caller: "c", Deadline: startedAt.Add(p.CallTimeout), Allowance: retry.NewAllowance(p.MaxRetries), BodyReplayable: true,
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	resp, fail := n.dispatcher.Do(ctx, n.Service, c, n)
	if fail != nil {
		n.simulation.Recorder.recordFailed(fail.Outcome, fail.Reason, p.CallTimeout)
		return
	}
	resp.Finish(target.Answered)
	if resp.Response.IsServerError() {
		n.simulation.Recorder.recordFailed(outcome.Done, "server-failed", p.CallTimeout)
		return
	}
	n.simulation.Recorder.recordDone(startedAt, time.Since(startedAt))
}

func (n *Node) oneWayLatency(t *Target) time.Duration {
	if t.VM.Zone == n.zone {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// Send sends an attempt over the node's connection, or over a new one, which is
// probed first.
func (n *Node) Send(ctx context.Context, a dispatch.Attempt) (dispatch.Response, *dispatch.AttemptFailure) {
	t := n.simulation.targetByID(a.Target.ID)
	instance, ok := n.connect(t)
	if !ok || !a.MaySend() {
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled}
	}
	n.simulation.Recorder.countAttempt()
	ctx, cancel := context.WithDeadline(ctx, a.HeaderDeadline)
	defer cancel()
	time.Sleep(n.oneWayLatency(t))
	result, report := t.serve(ctx, instance)
	if result == cancelled {
		if time.Now().Before(a.HeaderDeadline) {
			return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
		}
		return nil, &dispatch.AttemptFailure{Result: target.TimedOut, Written: true}
	}
	time.Sleep(n.oneWayLatency(t))
	switch result {
	case refused:
		n.simulation.Recorder.countRefusal()
		return nil, &dispatch.AttemptFailure{Result: target.Refused, Written: true, Report: report}
	case connectionBroken:
		n.disconnect(t)
		return nil, &dispatch.AttemptFailure{Result: target.Broken, Written: true}
	}
	return &response{failed: result == failedFast, report: report}, nil
}

// connect returns the instance that the node is connected to. After a restart
// of the target it probes the new instance over a new connection first; ok is
// false if the probe budget does not allow this.
func (n *Node) connect(t *Target) (instance int, ok bool) {
	n.mu.Lock()
	connected := n.connectedInstance[t.VM.ID]
	n.mu.Unlock()
	if connected == t.Instance() {
		return connected, true
	}
	n.Service.Table.MarkUnverified(t.VM.ID, time.Now())
	if !n.Probe(t) {
		return 0, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connectedInstance[t.VM.ID], true
}

func (n *Node) disconnect(t *Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connectedInstance[t.VM.ID] = 0
}

// Probe probes a target over a new connection. It reports false if the probe
// budget is used up.
func (n *Node) Probe(t *Target) bool {
	if !n.ProbeBudget.Spend(time.Now(), measuring.Cost{Messages: 1, Bytes: 400, TargetTime: probeCost}) {
		return false
	}
	time.Sleep(n.oneWayLatency(t))
	instance := t.Instance()
	report := t.serveProbe(probeCost)
	time.Sleep(n.oneWayLatency(t))
	n.simulation.Recorder.countProbe()
	n.mu.Lock()
	n.connectedInstance[t.VM.ID] = instance
	n.mu.Unlock()
	n.Service.Table.RecordReport(t.VM.ID, time.Now(), report)
	return true
}
