package measure

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/proof/model"
)

// runSimulation runs a simulation of 17 nodes and 10 targets, unless configure changes
// that, on a synctest clock. It calls run once the probes have been started, and
// fails the test if an invariant was violated.
func runSimulation(t *testing.T, seed uint64, configure func(s *model.Settings), run func(sim *model.Simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := model.Settings{Seed: seed, NodeCount: 17, TargetCount: 10, Strategy: product, TargetSettings: model.DefaultTargetSettings()}
		if configure != nil {
			configure(&s)
		}
		s.Profile = model.UrgentProfile(s.Strategy.Hedges)
		sim := model.New(s)
		sim.RunProbes()
		run(sim)
		sim.Close()
		if got := sim.Checks.TotalViolations(); got != 0 {
			t.Errorf("invariant violations: got %d, want 0", got)
		}
	})
}

// runSteady runs one strategy at a constant load and returns what was recorded after
// the warm-up. The load is a fraction of the targets' capacity.
func runSteady(t *testing.T, strategy model.Strategy, seed uint64, nodes int, load float64) (r *model.Recorder) {
	runSimulation(t, seed, func(s *model.Settings) { s.Strategy, s.NodeCount = strategy, nodes }, func(sim *model.Simulation) {
		sim.SendCalls(load, warmUpTime)
		sim.Recorder.Reset()
		sim.SendCalls(load, measuredLoadTime)
		r = sim.Recorder
	})
	return r
}

// faultCase is a simulation with a fault or a load change. Its load is a fraction of
// the targets' capacity.
type faultCase struct {
	name      string
	load      float64
	configure func(s *model.Settings)
	run       func(sim *model.Simulation)
}

// faultDelay is the time from the start of the load to the fault, and
// faultCaseDuration the total time under load.
const (
	faultDelay        = 4 * time.Second
	faultCaseDuration = 16 * time.Second
)

// sendCallsWithFault runs the load for faultCaseDuration and calls inject after
// faultDelay.
func sendCallsWithFault(sim *model.Simulation, load float64, inject func()) {
	go func() {
		time.Sleep(faultDelay)
		inject()
	}()
	sim.SendCalls(load, faultCaseDuration)
}

var faultCases = []faultCase{
	{name: "load doubles within 5 ms", load: 0.4, run: func(sim *model.Simulation) {
		sim.SendCalls(0.4, faultDelay)
		sim.SendCalls(0.8, faultCaseDuration-faultDelay)
	}},
	{name: "one target four times slower", load: 0.7, run: func(sim *model.Simulation) {
		sendCallsWithFault(sim, 0.7, func() { sim.Targets[3].SetServiceTimeFactor(4) })
	}},
	{name: "one target fails fast", load: 0.7, run: func(sim *model.Simulation) {
		sendCallsWithFault(sim, 0.7, func() { sim.Targets[3].SetFailing(true) })
	}},
	{name: "one target turns cold unannounced", load: 0.7, configure: func(s *model.Settings) { s.UsesColdStartLeases = true }, run: func(sim *model.Simulation) {
		sendCallsWithFault(sim, 0.7, func() { sim.Targets[3].Restart() })
	}},
	{name: "reports 1 s late", load: 0.75, configure: func(s *model.Settings) { s.TargetSettings.ReportAge = time.Second }, run: func(sim *model.Simulation) {
		sim.SendCalls(0.75, faultCaseDuration)
	}},
	{name: "three targets misreport their load", load: 0.75, run: func(sim *model.Simulation) {
		sendCallsWithFault(sim, 0.75, func() {
			for _, t := range sim.Targets[:3] {
				t.SetMisreporting(true)
			}
		})
	}},
}

// runZoneOutage withdraws a zone and returns it with all of its targets cold. It
// returns the steady p99 and the worse p99 of the withdrawal and the return, both in
// ms, and the number of targets of the zone that started a call later than 2 s after
// the withdrawal. The load fits the capacity of two of the three zones.
func runZoneOutage(t *testing.T, seed uint64) (steadyP99, worstP99 float64, lateCount int) {
	runSimulation(t, seed, func(s *model.Settings) { s.TargetCount, s.UsesColdStartLeases = 12, true }, func(sim *model.Simulation) {
		const load, step = 0.5, 4 * time.Second
		sim.SendCalls(load, 10*time.Second)
		sim.Recorder.Reset()
		sim.SendCalls(load, 2*step)
		sim.SetWithdrawn("z0")
		withdrawnAt := time.Now()
		sim.SendCalls(load, 2*step)
		for _, tg := range sim.Targets {
			if tg.VM.Zone == "z0" && tg.LastStartAt.Sub(withdrawnAt) > 2*time.Second {
				lateCount++
			}
		}
		for _, tg := range sim.Targets {
			if tg.VM.Zone == "z0" {
				tg.Restart()
			}
		}
		sim.SetWithdrawn()
		sim.SendCalls(load, 2*step)
		steadyP99 = sim.Recorder.LatencyMillisBetween(0, 2*step, 99)
		worstP99 = max(sim.Recorder.LatencyMillisBetween(2*step, 4*step, 99), sim.Recorder.LatencyMillisBetween(4*step, 6*step, 99))
	})
	return steadyP99, worstP99, lateCount
}

// runOverloadRecovery loads the targets with twice their capacity for 10 s. It
// returns the time from the end of the overload until the p99 over a window of 2 s is
// at most 1.2 times the steady p99, the steady p99 in ms, and the p50 during the
// overload in ms.
func runOverloadRecovery(t *testing.T, strategy model.Strategy, seed uint64) (recoveryTime time.Duration, steadyP99, overloadP50 float64) {
	runSimulation(t, seed, func(s *model.Settings) { s.Strategy = strategy }, func(sim *model.Simulation) {
		const load, overload, rest = 0.75, 10 * time.Second, 20 * time.Second
		sim.SendCalls(load, warmUpTime)
		sim.Recorder.Reset()
		sim.SendCalls(load, overload)
		sim.SendCalls(2, overload)
		sim.SendCalls(load, rest)
		steadyP99 = sim.Recorder.LatencyMillisBetween(0, overload, 99)
		overloadP50 = sim.Recorder.LatencyMillisBetween(overload, 2*overload, 50)
		const step, window = 500 * time.Millisecond, 2 * time.Second
		for recoveryTime = 0; recoveryTime < rest-window; recoveryTime += step {
			from := 2*overload + recoveryTime
			if sim.Recorder.LatencyMillisBetween(from, from+window, 99) <= 1.2*steadyP99 {
				break
			}
		}
	})
	return recoveryTime, steadyP99, overloadP50
}

// runColdStarts restarts targets without an announcement at times derived from the
// seed. It returns how often a cold target had more open calls than its limit and how
// many calls started at cold targets.
func runColdStarts(t *testing.T, seed uint64) (overruns, served int) {
	runSimulation(t, seed, func(s *model.Settings) {
		s.NodeCount, s.TargetCount, s.UsesColdStartLeases = int(3+seed%15), int(3+seed%4), true
		s.TargetSettings.ColdSlots = int(1 + seed%2)
		s.TargetSettings.ColdPeriod = 400 * time.Millisecond
	}, func(sim *model.Simulation) {
		// Wait until the nodes hold cold-start leases before a target turns cold.
		time.Sleep(6 * time.Second)
		load := 0.2 + 0.1*float64(seed%9)
		go func() {
			time.Sleep(time.Duration(seed%97) * time.Millisecond)
			for i, tg := range sim.Targets {
				if seed%3 == 0 || uint64(i) == seed%uint64(len(sim.Targets)) {
					tg.Restart()
				}
			}
		}()
		sim.SendCalls(load, 600*time.Millisecond)
		for _, tg := range sim.Targets {
			overruns += tg.ColdOverloads
			served += tg.ColdCalls
		}
	})
	return overruns, served
}
