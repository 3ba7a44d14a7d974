package model

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/admission"
	"github.com/apricotmount/apricotmount/coldstart"
	"github.com/apricotmount/apricotmount/dispatch"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/measuring"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/retry"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Way is a way of deciding that is measured.
type Strategy struct {
	Name string
	// Chooser makes the method of choice of one node.
	Chooser func() routing.Chooser
	// Sheds says that full targets refuse rather than queue.
	RefusesWhenFull bool
	Hedges          bool
	// Exact gives the method the real load of every target.
	UsesActualLoad bool
}

// Settings of a World.
type Settings struct {
	Seed           uint64
	NodeCount      int
	TargetCount    int
	ZoneCount      int
	Strategy       Strategy
	TargetSettings TargetSettings
	Profile        profile.Profile
	// Rights runs the leases for cold targets over a log.
	UsesColdStartLeases bool
}

// hop is the time of a message between two availability zones, and near within
// one.
const (
	hop  = 500 * time.Microsecond
	near = 100 * time.Microsecond
	// probeCost is the target time of a probe.
	probeCost = time.Millisecond
)

// Urgent is the profile of the measurements.
func UrgentProfile(hedge bool) profile.Profile {
	return profile.Profile{
		Name: "round-sheet", Urgency: profile.Urgent, Idempotent: true, CallTimeout: 2 * time.Second, AttemptTimeout: 2 * time.Second,
		QueueTimeout: time.Second, MaxRetries: 2, Hedge: hedge, HedgePercentile: profile.DefaultHedgePercentile,
	}
}

// World is targets and nodes on the test's clock.
type Simulation struct {
	Settings Settings
	Targets  []*Target
	Nodes    []*Node
	Log      *standin.Log
	Checks   *invariant.Checker
	Recorder *Recorder

	rng    *rand.Rand
	calls  sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
}

// Node is one entry node made of the product's decision code.
type Node struct {
	world        *Simulation
	zone         zone.Name
	Service      *dispatch.Service
	ProbeBudget  *measuring.Budget
	LeaseManager *coldstart.Manager
	disp         *dispatch.Dispatcher

	mu    sync.Mutex
	bound map[vm.ID]int
}

// New makes a world; it must be called, and closed, within the test's bubble.
func New(s Settings) *Simulation {
	if s.ZoneCount == 0 {
		s.ZoneCount = 3
	}
	s.TargetSettings.RefusesWhenFull = s.Strategy.RefusesWhenFull
	w := &Simulation{Settings: s, Log: &standin.Log{}, Checks: &invariant.Checker{}, Recorder: NewRecorder(), rng: rand.New(rand.NewPCG(s.Seed, 1))}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	var list []vm.VM
	for i := range s.TargetCount {
		v := vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(fmt.Sprint("10.0.0.", i, ":1")), Zone: w.zoneOf(i), Service: "s"}
		list = append(list, v)
		w.Targets = append(w.Targets, newTarget(v, s.TargetSettings, s.Seed*1000+uint64(i)))
	}
	for i := range s.NodeCount {
		w.Nodes = append(w.Nodes, w.newNode(i, list))
	}
	return w
}

func (w *Simulation) zoneOf(i int) zone.Name {
	return zone.Name(fmt.Sprint("z", i%w.Settings.ZoneCount))
}

func (w *Simulation) newNode(i int, list []vm.VM) *Node {
	s := w.Settings
	n := &Node{world: w, zone: w.zoneOf(i), bound: map[vm.ID]int{}, ProbeBudget: &measuring.Budget{}}
	svc := service.Service{Name: "s", Slots: s.TargetSettings.Slots, ColdSlots: s.TargetSettings.ColdSlots, ColdPeriod: s.TargetSettings.ColdPeriod}
	settings := target.Settings{Zone: n.zone, Checks: w.Checks, Seed: s.Seed*7919 + uint64(i) + 1}
	if s.Strategy.Chooser != nil {
		settings.Chooser = s.Strategy.Chooser()
	}
	if s.Strategy.UsesActualLoad {
		settings.ActualInFlight = w.truth
	}
	if s.UsesColdStartLeases {
		n.LeaseManager = w.newManager(i)
		settings.ColdStartLeases = n.LeaseManager
	}
	n.Service = &dispatch.Service{
		Table:       target.NewTable(svc, settings),
		Gate:        admission.NewPool(1 << 20).AddGate(1 << 16),
		RetryBudget: &retry.Budget{},
		HedgeBudget: &retry.Budget{Settings: retry.Settings{TokensPerCall: retry.HedgeTokensPerCall}},
		Latencies:   &retry.LatencyWindow{},
	}
	n.disp = &dispatch.Dispatcher{Checks: w.Checks, ExtraAttemptCounter: w.Recorder, RefusalBudget: n.ProbeBudget}
	n.Service.Table.SetList(time.Now(), list, func(vm.ID, zone.Name) bool { return false })
	for _, t := range w.Targets {
		n.bound[t.VM.ID] = 1
		n.Service.Table.RecordReport(t.VM.ID, time.Now(), t.Report())
	}
	return n
}

func (w *Simulation) newManager(i int) *coldstart.Manager {
	self := member.Incarnation(i + 1)
	m := &coldstart.Manager{Log: w.Log, Holder: self, State: &coldstart.State{}, LiveMembers: w.members}
	m.Start()
	f := &stream.Follower{Log: w.Log, Name: coldstart.StreamName, Applier: m.State}
	go f.Run(w.ctx)
	go m.Run(w.ctx)
	return m
}

func (w *Simulation) members() (live []member.Entry) {
	for i := range w.Settings.NodeCount {
		live = append(live, member.Entry{Incarnation: member.Incarnation(i + 1)})
	}
	return live
}

func (w *Simulation) truth(id vm.ID) int {
	return w.target(id).InFlight()
}

func (w *Simulation) target(id vm.ID) *Target {
	i := slices.IndexFunc(w.Targets, func(t *Target) bool { return t.VM.ID == id })
	return w.Targets[i]
}

// Close ends the world after its last call.
func (w *Simulation) Close() {
	w.calls.Wait()
	w.cancel()
	// Losers of hedges and loops still have to end.
	time.Sleep(settleTime)
}

// settleTime is longer than any loop or cancelled attempt goes on.
const settleTime = 10 * time.Second

// Capacity is how many calls per second the targets can serve.
func (w *Simulation) CallsPerSecond() float64 {
	s := w.Settings
	return float64(s.TargetCount*s.TargetSettings.Slots) / s.TargetSettings.EffectiveMeanServiceTime().Seconds()
}

// Flow sends calls at random instants, at the given load of the capacity, for
// the given time.
func (w *Simulation) SendCalls(load float64, length time.Duration) {
	rate := load * w.CallsPerSecond()
	end := time.Now().Add(length)
	next := time.Now()
	for {
		next = next.Add(time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(time.Until(next))
		n := w.Nodes[w.rng.IntN(len(w.Nodes))]
		w.calls.Go(n.call)
	}
}

func (n *Node) call() {
	p := n.world.Settings.Profile
	began := time.Now()
	c := &dispatch.Call{
		Profile: &p, Caller: "c", Deadline: began.Add(p.CallTimeout), Allowance: retry.NewAllowance(p.MaxRetries), BodyReplayable: true,
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	resp, fail := n.disp.Do(ctx, n.Service, c, n)
	if fail != nil {
		n.world.Recorder.lost(fail.Outcome, fail.Reason, p.CallTimeout)
		return
	}
	resp.Finish(target.Answered)
	if resp.Response.IsServerError() {
		n.world.Recorder.lost(outcome.Done, "server-failed", p.CallTimeout)
		return
	}
	n.world.Recorder.done(began, time.Since(began))
}

func (n *Node) oneWay(t *Target) time.Duration {
	if t.VM.Zone == n.zone {
		return near
	}
	return hop
}

// reply is an answer of a fake target.
type reply struct {
	failed bool
	report target.Report
}

func (r *reply) IsServerError() bool   { return r.failed }
func (r *reply) Report() target.Report { return r.report }
func (r *reply) ExtraAttempts() int    { return 0 }
func (r *reply) Discard()              {}

// Send makes an attempt over the connection that the node has, or over a new
// one that is verified first.
func (n *Node) Send(ctx context.Context, a dispatch.Attempt) (dispatch.Response, *dispatch.AttemptFailure) {
	t := n.world.target(a.Target.ID)
	instance, ok := n.connect(t)
	if !ok || !a.MaySend() {
		return nil, &dispatch.AttemptFailure{Result: target.Cancelled}
	}
	n.world.Recorder.attempt()
	ctx, cancel := context.WithDeadline(ctx, a.HeaderDeadline)
	defer cancel()
	time.Sleep(n.oneWay(t))
	got, report := t.serve(ctx, instance)
	if got == cancelled {
		if time.Now().Before(a.HeaderDeadline) {
			return nil, &dispatch.AttemptFailure{Result: target.Cancelled, Written: true}
		}
		return nil, &dispatch.AttemptFailure{Result: target.TimedOut, Written: true}
	}
	time.Sleep(n.oneWay(t))
	switch got {
	case refused:
		n.world.Recorder.refused()
		return nil, &dispatch.AttemptFailure{Result: target.Refused, Written: true, Report: report}
	case broken:
		n.unbind(t)
		return nil, &dispatch.AttemptFailure{Result: target.Broken, Written: true}
	}
	return &reply{failed: got == failedFast, report: report}, nil
}

// connect returns the instance that the node's connection leads to. If the
// process was replaced the connection is gone, and a new one is probed first.
func (n *Node) connect(t *Target) (instance int, ok bool) {
	n.mu.Lock()
	bound := n.bound[t.VM.ID]
	n.mu.Unlock()
	if bound == t.Instance() {
		return bound, true
	}
	n.Service.Table.MarkUnverified(t.VM.ID, time.Now())
	if !n.Probe(t) {
		return 0, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bound[t.VM.ID], true
}

func (n *Node) unbind(t *Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bound[t.VM.ID] = 0
}

// Probe probes a target over a new connection, within the measuring budget.
func (n *Node) Probe(t *Target) bool {
	if !n.ProbeBudget.Spend(time.Now(), measuring.Cost{Messages: 1, Bytes: 400, TargetTime: probeCost}) {
		return false
	}
	time.Sleep(n.oneWay(t))
	instance := t.Instance()
	report := t.probe(probeCost)
	time.Sleep(n.oneWay(t))
	n.world.Recorder.probe()
	n.mu.Lock()
	n.bound[t.VM.ID] = instance
	n.mu.Unlock()
	n.Service.Table.RecordReport(t.VM.ID, time.Now(), report)
	return true
}

// probeEvery and probeAgain are the rhythm of a node's probes.
const (
	probeEvery = 100 * time.Millisecond
	probeAgain = 2 * time.Second
)

// RunProbes lets each node probe what answers leave unknown until the world
// ends.
func (w *Simulation) RunProbes() {
	for i, n := range w.Nodes {
		rng := rand.New(rand.NewPCG(w.Settings.Seed, uint64(i)+99))
		go func() {
			for w.ctx.Err() == nil {
				again := probeAgain/2 + time.Duration(rng.Int64N(int64(probeAgain)))
				if ref, ok := n.Service.Table.NextProbeTarget(time.Now(), again); ok {
					n.Probe(w.target(ref.ID))
				}
				time.Sleep(probeEvery)
			}
		}()
	}
}

// SetWithdrawn takes zones out of service at every node.
func (w *Simulation) SetWithdrawn(out ...zone.Name) {
	for _, n := range w.Nodes {
		n.Service.Table.SetWithdrawn(func(_ vm.ID, z zone.Name) bool { return slices.Contains(out, z) })
	}
}
