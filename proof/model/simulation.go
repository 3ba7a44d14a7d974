package model

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/coldstart"
	"github.com/apricotmount/apricotmount/invariant"
	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/standin"
	"github.com/apricotmount/apricotmount/stream"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Strategy is a routing strategy under measurement.
type Strategy struct {
	Name string
	// Chooser returns a new target chooser for one node; nil selects the default.
	Chooser func() routing.Chooser
	// RefusesWhenFull makes full targets refuse calls instead of queueing them.
	RefusesWhenFull bool
	Hedges          bool
	// UsesActualLoad gives the chooser the actual number of calls in flight at each target.
	UsesActualLoad bool
}

// Settings configures a Simulation.
type Settings struct {
	Seed           uint64
	NodeCount      int
	TargetCount    int
	ZoneCount      int
	Strategy       Strategy
	TargetSettings TargetSettings
	Profile        profile.Profile
	// UsesColdStartLeases enables cold-start leases, which are replicated over a log.
	UsesColdStartLeases bool
}

// crossZoneLatency and sameZoneLatency are the one-way message times between two
// availability zones and within one.
const (
	crossZoneLatency = 500 * time.Microsecond
	sameZoneLatency  = 100 * time.Microsecond
	// probeCost is the time that a target spends on a probe.
	probeCost = time.Millisecond
)

// UrgentProfile returns the urgent, idempotent profile that the measurements use.
func UrgentProfile(hedge bool) profile.Profile {
	return profile.Profile{
		Name: "round-sheet", Urgency: profile.Urgent, Idempotent: true, CallTimeout: 2 * time.Second, AttemptTimeout: 2 * time.Second,
		QueueTimeout: time.Second, MaxRetries: 2, Hedge: hedge, HedgePercentile: profile.DefaultHedgePercentile,
	}
}

// Simulation is a set of simulated targets and entry nodes on a test's fake clock.
type Simulation struct {
	Settings Settings
	Targets  []*Target
	Nodes    []*Node
	Log      *standin.Log
	Checks   *invariant.Checker
	Recorder *Recorder

	rng         *rand.Rand
	activeCalls sync.WaitGroup
	cancel      context.CancelFunc
	ctx         context.Context
}

// New returns a running Simulation. New and Close must be called within the same
// synctest bubble.
func New(s Settings) *Simulation {
	if s.ZoneCount == 0 {
		s.ZoneCount = 3
	}
	s.TargetSettings.RefusesWhenFull = s.Strategy.RefusesWhenFull
	sim := &Simulation{Settings: s, Log: &standin.Log{}, Checks: &invariant.Checker{}, Recorder: NewRecorder(), rng: rand.New(rand.NewPCG(s.Seed, 1))}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	var list []vm.VM
	for i := range s.TargetCount {
		v := vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(fmt.Sprint("10.0.0.", i, ":1")), Zone: sim.zoneOfIndex(i), Service: "s"}
		list = append(list, v)
		sim.Targets = append(sim.Targets, newTarget(v, s.TargetSettings, s.Seed*1000+uint64(i)))
	}
	for i := range s.NodeCount {
		sim.Nodes = append(sim.Nodes, sim.newNode(i, list))
	}
	return sim
}

func (sim *Simulation) zoneOfIndex(i int) zone.Name {
	return zone.Name(fmt.Sprint("z", i%sim.Settings.ZoneCount))
}

func (sim *Simulation) newLeaseManager(i int) *coldstart.Manager {
	incarnation := member.Incarnation(i + 1)
	manager := &coldstart.Manager{Log: sim.Log, Holder: incarnation, State: &coldstart.State{}, LiveMembers: sim.liveMembers}
	manager.Start()
	follower := &stream.Follower{Log: sim.Log, Name: coldstart.StreamName, Applier: manager.State}
	go follower.Run(sim.ctx)
	go manager.Run(sim.ctx)
	return manager
}

func (sim *Simulation) liveMembers() (live []member.Entry) {
	for i := range sim.Settings.NodeCount {
		live = append(live, member.Entry{Incarnation: member.Incarnation(i + 1)})
	}
	return live
}

func (sim *Simulation) actualInFlight(id vm.ID) int {
	return sim.targetByID(id).InFlight()
}

func (sim *Simulation) targetByID(id vm.ID) *Target {
	i := slices.IndexFunc(sim.Targets, func(t *Target) bool { return t.VM.ID == id })
	return sim.Targets[i]
}

// Close waits for the calls in flight and stops the background loops.
func (sim *Simulation) Close() {
	sim.activeCalls.Wait()
	sim.cancel()
	// Cancelled hedged attempts and background loops need time to end.
	time.Sleep(settleTime)
}

// settleTime exceeds the time that any loop or cancelled attempt takes to end.
const settleTime = 10 * time.Second

// CallsPerSecond returns the number of calls per second that all targets can serve.
func (sim *Simulation) CallsPerSecond() float64 {
	s := sim.Settings
	return float64(s.TargetCount*s.TargetSettings.Slots) / s.TargetSettings.EffectiveMeanServiceTime().Seconds()
}

// SendCalls sends calls at exponentially distributed intervals for the given
// duration. The load is a fraction of CallsPerSecond.
func (sim *Simulation) SendCalls(load float64, duration time.Duration) {
	rate := load * sim.CallsPerSecond()
	end := time.Now().Add(duration)
	next := time.Now()
	for {
		next = next.Add(time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(time.Until(next))
		n := sim.Nodes[sim.rng.IntN(len(sim.Nodes))]
		sim.activeCalls.Go(n.call)
	}
}

// response is the response of a simulated target.
type response struct {
	failed bool
	report target.Report
}

func (r *response) IsServerError() bool   { return r.failed }
func (r *response) Report() target.Report { return r.report }
func (r *response) ExtraAttempts() int    { return 0 }
func (r *response) Discard()              {}

// probeInterval is the time between two probes of a node, and
// meanReprobeInterval the mean time between two probes of the same target.
const (
	probeInterval       = 100 * time.Millisecond
	meanReprobeInterval = 2 * time.Second
)

// RunProbes makes each node probe the targets that are not live or are ejected,
// whose state responses to calls don't show, until the Simulation is closed.
func (sim *Simulation) RunProbes() {
	for i, n := range sim.Nodes {
		rng := rand.New(rand.NewPCG(sim.Settings.Seed, uint64(i)+99))
		go func() {
			for sim.ctx.Err() == nil {
				reprobeAfter := meanReprobeInterval/2 + time.Duration(rng.Int64N(int64(meanReprobeInterval)))
				if ref, ok := n.Service.Table.NextProbeTarget(time.Now(), reprobeAfter); ok {
					n.Probe(sim.targetByID(ref.ID))
				}
				time.Sleep(probeInterval)
			}
		}()
	}
}

// SetWithdrawn replaces the set of withdrawn zones at every node.
func (sim *Simulation) SetWithdrawn(zones ...zone.Name) {
	for _, n := range sim.Nodes {
		n.Service.Table.SetWithdrawn(func(_ vm.ID, z zone.Name) bool { return slices.Contains(zones, z) })
	}
}
