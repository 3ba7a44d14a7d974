package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotmount/apricotmount/proof/model"
	"github.com/apricotmount/apricotmount/routing"
	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// Result holds the figures of a run, written to out/measure.json.
type Result struct {
	TailRatio75           float64 `json:"tail-ratio-load-75"`
	TailRatio90           float64 `json:"tail-ratio-load-90"`
	TailRatio100Nodes     float64 `json:"tail-ratio-100-nodes"`
	RecoverySeconds       float64 `json:"recovery-seconds"`
	ProbeCostPercent      float64 `json:"load-cost-percent"`
	ProbesPerCall         float64 `json:"probes-per-call"`
	ColdOverruns          int     `json:"cold-overruns"`
	ColdServedCalls       int     `json:"cold-served"`
	ColdSeedCount         int     `json:"cold-seeds"`
	ZoneOutageP99Ratio    float64 `json:"zone-out-p99-ratio"`
	ZoneOutageLateTargets int     `json:"zone-out-late"`
	DecisionNS13          float64 `json:"decision-ns-13"`
	DecisionNS64          float64 `json:"decision-ns-64"`
	DecisionGrowth        float64 `json:"decision-growth"`
	DecisionAllocs        int64   `json:"decision-allocs"`
	SeedCount             int     `json:"seeds"`
}

// limits are the bounds that the project guarantees; each figure must not exceed its
// limit.
var limits = []struct {
	name  string
	value func(r Result) float64
	limit float64
}{
	{"tail-ratio-load-75", func(r Result) float64 { return r.TailRatio75 }, 0.6},
	{"tail-ratio-load-90", func(r Result) float64 { return r.TailRatio90 }, 1.05},
	{"tail-ratio-100-nodes", func(r Result) float64 { return r.TailRatio100Nodes }, 1.05},
	{"recovery-seconds", func(r Result) float64 { return r.RecoverySeconds }, 3},
	{"load-cost-percent", func(r Result) float64 { return r.ProbeCostPercent }, 1},
	{"probes-per-call", func(r Result) float64 { return r.ProbesPerCall }, 0.05},
	{"cold-overruns", func(r Result) float64 { return float64(r.ColdOverruns) }, 0},
	{"zone-out-p99-ratio", func(r Result) float64 { return r.ZoneOutageP99Ratio }, 1.2},
	{"zone-out-late", func(r Result) float64 { return float64(r.ZoneOutageLateTargets) }, 0},
	// The time of one choice depends on the machine and has no limit. Its growth from
	// 13 to 64 targets must be at most linear in the number of targets.
	{"decision-growth", func(r Result) float64 { return r.DecisionGrowth }, 64.0 / 13},
	{"decision-allocs", func(r Result) float64 { return float64(r.DecisionAllocs) }, 0},
}

// row is one line of the table of strategies: the results of all seeds of a strategy
// at one load and number of nodes.
type row struct {
	strategy model.Strategy
	load     float64
	nodes    int

	latency                                        *hdrhistogram.Histogram
	calls, attempts, refusals, failedCalls, hedges int
}

// millis returns the latency at percentile p in ms.
func (r *row) millis(p float64) float64 {
	return float64(r.latency.ValueAtPercentile(p)) / 1000
}

// coldSeedCount is the number of seeds of the cold-start runs for every full 10 of the
// -seeds flag. At least this many seeds run.
const coldSeedCount = 1000

// TestMeasure runs all measurements, writes the results to out and checks them
// against limits. It runs only with -measure.
func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("measurement; run with -measure")
	}
	var report strings.Builder
	r := Result{SeedCount: *seedsFlag}
	// The benchmarks run first, while no other load is on the processor.
	r.DecisionNS13, r.DecisionAllocs = benchmarkPick(13)
	r.DecisionNS64, _ = benchmarkPick(64)
	r.DecisionGrowth = r.DecisionNS64 / r.DecisionNS13
	rows := measureStrategies(t)
	writeStrategies(&report, rows)
	r.setTailRatios(rows)
	r.measureFaultCases(t, &report)
	r.measureColdStarts(t)
	r.measureZoneOutages(t, &report)
	r.measureRecovery(t, &report)
	out := filepath.Join("..", "..", "out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		t.Fatal(err)
	}
	plotStrategies(t, rows, filepath.Join(out, "ways.svg"))
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(out, "measure.json"), string(b)+"\n")
	writeFile(t, filepath.Join(out, "measure.md"), report.String())
	fmt.Println(report.String())
	for _, l := range limits {
		if got := l.value(r); got > l.limit {
			t.Errorf("%s: got %.3f, want at most %.3f", l.name, got, l.limit)
		}
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// measureStrategies runs each strategy at each load and number of nodes.
func measureStrategies(t *testing.T) (rows []*row) {
	for _, strategy := range []model.Strategy{random, roundRobin, leastOwnAttempts, twoChoicesQueueing, leastLoadQueueing, twoChoicesShedding, leastLoadShedding, twoChoicesHedging, product, exact} {
		for _, c := range []struct {
			load  float64
			nodes int
		}{{0.75, 17}, {0.9, 17}, {0.75, 3}, {0.75, 100}} {
			rows = append(rows, &row{strategy: strategy, load: c.load, nodes: c.nodes})
		}
	}
	var mu sync.Mutex
	t.Run("strategies", func(t *testing.T) {
		for _, row := range rows {
			for seed := range *seedsFlag {
				t.Run(row.strategy.Name, func(t *testing.T) {
					t.Parallel()
					rec := runSteady(t, row.strategy, uint64(seed+1), row.nodes, row.load)
					mu.Lock()
					defer mu.Unlock()
					row.addRun(rec)
				})
			}
		}
	})
	return rows
}

// addRun adds the results of one seed.
func (r *row) addRun(rec *model.Recorder) {
	merged := model.MergeLatencies(rec)
	if r.latency != nil {
		merged.Merge(r.latency)
	}
	r.latency = merged
	r.calls += rec.Calls
	r.attempts += rec.Attempts
	r.refusals += rec.Refusals
	r.failedCalls += rec.FailedCalls
	r.hedges += rec.ExtraAttempts["hedge"]
}

func writeStrategies(w *strings.Builder, rows []*row) {
	fmt.Fprintf(w, "| strategy | load | nodes | p50 ms | p99 ms | p99.9 ms | attempts per call | refusals per call | hedges per call | failed of calls |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		per := func(n int) float64 { return float64(n) / float64(r.calls) }
		fmt.Fprintf(w, "| %s | %.2f | %d | %.1f | %.1f | %.1f | %.2f | %.2f | %.3f | %d of %d |\n", r.strategy.Name, r.load, r.nodes,
			r.millis(50), r.millis(99), r.millis(99.9), per(r.attempts), per(r.refusals), per(r.hedges), r.failedCalls, r.calls)
	}
}

// find returns the row of a strategy at a load and number of nodes.
func find(rows []*row, strategy model.Strategy, load float64, nodes int) *row {
	for _, r := range rows {
		if r.strategy.Name == strategy.Name && r.load == load && r.nodes == nodes {
			return r
		}
	}
	panic("no row for this strategy, load and number of nodes")
}

func (r *Result) setTailRatios(rows []*row) {
	tail := func(s model.Strategy, load float64, n int) float64 { return find(rows, s, load, n).millis(99.9) }
	r.TailRatio75 = tail(product, 0.75, 17) / tail(exact, 0.75, 17)
	r.TailRatio90 = tail(product, 0.9, 17) / tail(exact, 0.9, 17)
	r.TailRatio100Nodes = tail(product, 0.75, 100) / tail(product, 0.75, 17)
}

// measureFaultCases runs the fault cases with the product and with the exact baseline.
// It records the highest probe cost and the highest number of probes per call.
func (r *Result) measureFaultCases(t *testing.T, w *strings.Builder) {
	type line struct {
		product, exact *model.Recorder
		cost, probes   float64
	}
	lines := make([]line, len(faultCases))
	t.Run("fault cases", func(t *testing.T) {
		for i, s := range faultCases {
			for _, strategy := range []model.Strategy{product, exact} {
				t.Run(s.name, func(t *testing.T) {
					t.Parallel()
					runSimulation(t, 1, func(settings *model.Settings) {
						settings.Strategy = strategy
						if s.configure != nil {
							s.configure(settings)
						}
					}, func(sim *model.Simulation) {
						sim.SendCalls(s.load, warmUpTime)
						if settings := sim.Settings; settings.UsesColdStartLeases {
							time.Sleep(5 * time.Second)
						}
						sim.Recorder.Reset()
						s.run(sim)
						if strategy.UsesActualLoad {
							lines[i].exact = sim.Recorder
							return
						}
						lines[i].product = sim.Recorder
						lines[i].cost, lines[i].probes = probeCost(sim)
					})
				})
			}
		}
	})
	fmt.Fprintf(w, "\n| case | load | p99 ms | p99.9 ms | failed of calls | exact p99 ms | exact p99.9 ms | exact failed | probes per call | cost %% |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for i, s := range faultCases {
		l := lines[i]
		fmt.Fprintf(w, "| %s | %.2f | %.1f | %.1f | %d of %d | %.1f | %.1f | %d | %.5f | %.4f |\n", s.name, s.load,
			l.product.LatencyMillis(99), l.product.LatencyMillis(99.9), l.product.FailedCalls, l.product.Calls, l.exact.LatencyMillis(99), l.exact.LatencyMillis(99.9), l.exact.FailedCalls, l.probes, l.cost)
		r.ProbeCostPercent = max(r.ProbeCostPercent, l.cost)
		r.ProbesPerCall = max(r.ProbesPerCall, l.probes)
	}
}

// probeCost returns the share of the targets' capacity that probes used, in percent,
// and the number of probes per call.
func probeCost(sim *model.Simulation) (percent, probes float64) {
	var probeTime time.Duration
	for _, t := range sim.Targets {
		probeTime += t.ProbeTime
	}
	capacity := float64(len(sim.Targets)*sim.Settings.TargetSettings.Slots) * faultCaseDuration.Seconds()
	return 100 * probeTime.Seconds() / capacity, float64(sim.Recorder.Probes) / float64(sim.Recorder.Calls)
}

func (r *Result) measureColdStarts(t *testing.T) {
	var mu sync.Mutex
	r.ColdSeedCount = coldSeedCount * max(1, *seedsFlag/10)
	t.Run("cold starts", func(t *testing.T) {
		const parts = 16
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < r.ColdSeedCount; seed += parts {
					overruns, served := runColdStarts(t, uint64(seed+1))
					mu.Lock()
					r.ColdOverruns += overruns
					r.ColdServedCalls += served
					mu.Unlock()
				}
			})
		}
	})
	if r.ColdServedCalls == 0 {
		t.Error("calls served by cold targets: got 0, want at least 1")
	}
}

func (r *Result) measureZoneOutages(t *testing.T, w *strings.Builder) {
	var mu sync.Mutex
	t.Run("zone outages", func(t *testing.T) {
		for seed := range max(3, *seedsFlag) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				steadyP99, worstP99, lateCount := runZoneOutage(t, uint64(seed+1))
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintf(w, "\nzone withdrawal and return, seed %d: steady p99 %.1f ms, worst p99 of withdrawal and return %.1f ms\n", seed+1, steadyP99, worstP99)
				r.ZoneOutageP99Ratio = max(r.ZoneOutageP99Ratio, worstP99/steadyP99)
				r.ZoneOutageLateTargets += lateCount
			})
		}
	})
}

func (r *Result) measureRecovery(t *testing.T, w *strings.Builder) {
	var mu sync.Mutex
	t.Run("recovery", func(t *testing.T) {
		for _, strategy := range []model.Strategy{product, exact} {
			t.Run(strategy.Name, func(t *testing.T) {
				t.Parallel()
				recoveryTime, steadyP99, overloadP50 := runOverloadRecovery(t, strategy, 1)
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintf(w, "\ntwofold overload of 10 s, %s: steady p99 %.1f ms, p50 during the overload %.1f ms, p99 recovered after %s\n", strategy.Name, steadyP99, overloadP50, recoveryTime)
				if !strategy.UsesActualLoad {
					r.RecoverySeconds = recoveryTime.Seconds()
				}
			})
		}
	})
}

// benchmarkPick returns the time and the allocations of one choice among n targets.
func benchmarkPick(n int) (ns float64, allocs int64) {
	table := target.NewTable(service.Service{Name: "s", Slots: 6, ColdSlots: 1}, target.Settings{Seed: 1, Chooser: routing.LeastLoad{}})
	now := time.Now()
	var list []vm.VM
	for i := range n {
		list = append(list, vm.VM{ID: vm.ID(fmt.Sprint("t", i)), Address: vm.Address(fmt.Sprint(i))})
	}
	table.SetList(now, list, func(vm.ID, zone.Name) bool { return false })
	for i, v := range list {
		table.RecordReport(v.ID, now, target.Report{IsPresent: true, Instance: "a", State: target.Live, InFlight: i % 5})
	}
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			// Finish is timed too, since every choice is followed by it.
			reservation, _ := table.Pick(now, nil, false)
			table.Finish(reservation, now, target.Cancelled, target.Report{})
		}
	})
	return float64(result.NsPerOp()), result.AllocsPerOp()
}
