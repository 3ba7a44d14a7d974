package measure

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/proof/model"
)

// world runs a scene in a world of 17 nodes and 10 targets, unless changed, and
// hands it over after a warm-up.
func world(t *testing.T, seed uint64, change func(s *model.Settings), scene func(w *model.Simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := model.Settings{Seed: seed, NodeCount: 17, TargetCount: 10, Strategy: product, TargetSettings: model.DefaultTargetSettings()}
		if change != nil {
			change(&s)
		}
		s.Profile = model.UrgentProfile(s.Strategy.Hedges)
		w := model.New(s)
		w.RunProbes()
		scene(w)
		w.Close()
		if got := w.Checks.TotalViolations(); got != 0 {
			t.Errorf("invariants broken: got %d, want 0", got)
		}
	})
}

// steady runs one way at a load and returns what was recorded.
func steady(t *testing.T, way model.Strategy, seed uint64, nodes int, load float64) (r *model.Recorder) {
	world(t, seed, func(s *model.Settings) { s.Strategy, s.NodeCount = way, nodes }, func(w *model.Simulation) {
		w.SendCalls(load, warmUp)
		w.Recorder.Reset()
		w.SendCalls(load, flowTime)
		r = w.Recorder
	})
	return r
}

// scene is one case in which something goes wrong.
type scene struct {
	name   string
	load   float64
	change func(s *model.Settings)
	play   func(w *model.Simulation)
}

// after is when things go wrong, and for how long calls flow in all.
const (
	after  = 4 * time.Second
	length = 16 * time.Second
)

// during lets calls flow and does something in their midst.
func during(w *model.Simulation, load float64, do func()) {
	go func() {
		time.Sleep(after)
		do()
	}()
	w.SendCalls(load, length)
}

var scenes = []scene{
	{name: "load doubles within 5 ms", load: 0.4, play: func(w *model.Simulation) {
		w.SendCalls(0.4, after)
		w.SendCalls(0.8, length-after)
	}},
	{name: "one target four times slower", load: 0.7, play: func(w *model.Simulation) {
		during(w, 0.7, func() { w.Targets[3].SetServiceTimeFactor(4) })
	}},
	{name: "one target fails fast", load: 0.7, play: func(w *model.Simulation) {
		during(w, 0.7, func() { w.Targets[3].SetFailing(true) })
	}},
	{name: "one target turns cold unannounced", load: 0.7, change: func(s *model.Settings) { s.UsesColdStartLeases = true }, play: func(w *model.Simulation) {
		during(w, 0.7, func() { w.Targets[3].Restart() })
	}},
	{name: "reports 1 s late", load: 0.75, change: func(s *model.Settings) { s.TargetSettings.ReportAge = time.Second }, play: func(w *model.Simulation) {
		w.SendCalls(0.75, length)
	}},
	{name: "three targets lie", load: 0.75, play: func(w *model.Simulation) {
		during(w, 0.75, func() {
			for _, t := range w.Targets[:3] {
				t.SetMisreporting(true)
			}
		})
	}},
}

// zoneOut takes a zone out and brings it back, its targets cold; it returns the
// p99 of the steady state and the worst p99 during leave and return. The load
// is what two of three zones can carry.
func zoneOut(t *testing.T, seed uint64) (steady, worst float64, late int) {
	world(t, seed, func(s *model.Settings) { s.TargetCount, s.UsesColdStartLeases = 12, true }, func(w *model.Simulation) {
		const load, step = 0.5, 4 * time.Second
		w.SendCalls(load, 10*time.Second)
		w.Recorder.Reset()
		w.SendCalls(load, 2*step)
		w.SetWithdrawn("z0")
		out := time.Now()
		w.SendCalls(load, 2*step)
		for _, each := range w.Targets {
			if each.VM.Zone == "z0" && each.LastStartAt.Sub(out) > 2*time.Second {
				late++
			}
		}
		for _, each := range w.Targets {
			if each.VM.Zone == "z0" {
				each.Restart()
			}
		}
		w.SetWithdrawn()
		w.SendCalls(load, 2*step)
		steady = w.Recorder.LatencyMillisBetween(0, 2*step, 99)
		worst = max(w.Recorder.LatencyMillisBetween(2*step, 4*step, 99), w.Recorder.LatencyMillisBetween(4*step, 6*step, 99))
	})
	return steady, worst, late
}

// recovery overloads the targets twofold for 10 s and returns from when on
// after it the p99 over 2 s is back within 1.2 of the steady one, that p99, and
// the p50 during the overload.
func recovery(t *testing.T, way model.Strategy, seed uint64) (back time.Duration, steady, during float64) {
	world(t, seed, func(s *model.Settings) { s.Strategy = way }, func(w *model.Simulation) {
		const load, over, rest = 0.75, 10 * time.Second, 20 * time.Second
		w.SendCalls(load, warmUp)
		w.Recorder.Reset()
		w.SendCalls(load, over)
		w.SendCalls(2, over)
		w.SendCalls(load, rest)
		steady = w.Recorder.LatencyMillisBetween(0, over, 99)
		during = w.Recorder.LatencyMillisBetween(over, 2*over, 50)
		const step, window = 500 * time.Millisecond, 2 * time.Second
		for back = 0; back < rest-window; back += step {
			from := 2*over + back
			if w.Recorder.LatencyMillisBetween(from, from+window, 99) <= 1.2*steady {
				break
			}
		}
	})
	return back, steady, during
}

// coldRun restarts targets without a word at random instants and returns how
// often one had more than it bears, and how many calls were served cold.
func coldRun(t *testing.T, seed uint64) (overruns, served int) {
	world(t, seed, func(s *model.Settings) {
		s.NodeCount, s.TargetCount, s.UsesColdStartLeases = int(3+seed%15), int(3+seed%4), true
		s.TargetSettings.ColdSlots = int(1 + seed%2)
		s.TargetSettings.ColdPeriod = 400 * time.Millisecond
	}, func(w *model.Simulation) {
		// Leases are there before anything turns cold.
		time.Sleep(6 * time.Second)
		load := 0.2 + 0.1*float64(seed%9)
		go func() {
			time.Sleep(time.Duration(seed%97) * time.Millisecond)
			for i, each := range w.Targets {
				if seed%3 == 0 || uint64(i) == seed%uint64(len(w.Targets)) {
					each.Restart()
				}
			}
		}()
		w.SendCalls(load, 600*time.Millisecond)
		for _, each := range w.Targets {
			overruns += each.ColdOverloads
			served += each.ColdCalls
		}
	})
	return overruns, served
}
