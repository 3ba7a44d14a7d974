package measure

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/proof/model"
)

// runWorld runs a scene in a runWorld of 17 nodes and 10 targets, unless changed, and
// hands it over after a warm-up.
func runWorld(t *testing.T, seed uint64, change func(s *model.Settings), scene func(w *model.World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := model.Settings{Seed: seed, Nodes: 17, Targets: 10, Way: product, Target: model.DefaultTargets()}
		if change != nil {
			change(&s)
		}
		s.Profile = model.Urgent(s.Way.Hedge)
		w := model.New(s)
		w.RunProbes()
		scene(w)
		w.Close()
		if got := w.Checks.TotalViolations(); got != 0 {
			t.Errorf("invariants broken: got %d, want 0", got)
		}
	})
}

// runSteady runs one way at a load and returns what was recorded.
func runSteady(t *testing.T, way model.Way, seed uint64, nodes int, load float64) (r *model.Recorder) {
	runWorld(t, seed, func(s *model.Settings) { s.Way, s.Nodes = way, nodes }, func(w *model.World) {
		w.Flow(load, warmUpTime)
		w.Recorder.Reset()
		w.Flow(load, flowTime)
		r = w.Recorder
	})
	return r
}

// faultCase is one case in which something goes wrong.
type faultCase struct {
	name   string
	load   float64
	configure func(s *model.Settings)
	run   func(w *model.World)
}

// faultDelay is when things go wrong, and for how long calls flow in all.
const (
	faultDelay  = 4 * time.Second
	faultCaseDuration = 16 * time.Second
)

// flowWithFault lets calls flow and does something in their midst.
func flowWithFault(w *model.World, load float64, do func()) {
	go func() {
		time.Sleep(faultDelay)
		do()
	}()
	w.Flow(load, faultCaseDuration)
}

var faultCases = []faultCase{
	{name: "load doubles within 5 ms", load: 0.4, run: func(w *model.World) {
		w.Flow(0.4, faultDelay)
		w.Flow(0.8, faultCaseDuration-faultDelay)
	}},
	{name: "one target four times slower", load: 0.7, run: func(w *model.World) {
		flowWithFault(w, 0.7, func() { w.Targets[3].SetFactor(4) })
	}},
	{name: "one target fails fast", load: 0.7, run: func(w *model.World) {
		flowWithFault(w, 0.7, func() { w.Targets[3].SetFails(true) })
	}},
	{name: "one target turns cold unannounced", load: 0.7, configure: func(s *model.Settings) { s.Rights = true }, run: func(w *model.World) {
		flowWithFault(w, 0.7, func() { w.Targets[3].Restart() })
	}},
	{name: "reports 1 s late", load: 0.75, configure: func(s *model.Settings) { s.Target.ReportAge = time.Second }, run: func(w *model.World) {
		w.Flow(0.75, faultCaseDuration)
	}},
	{name: "three targets lie", load: 0.75, run: func(w *model.World) {
		flowWithFault(w, 0.75, func() {
			for _, t := range w.Targets[:3] {
				t.SetLies(true)
			}
		})
	}},
}

// runZoneOutage takes a zone out and brings it back, its targets cold; it returns the
// p99 of the steady state and the worst p99 during leave and return. The load
// is what two of three zones can carry.
func runZoneOutage(t *testing.T, seed uint64) (steady, worst float64, late int) {
	runWorld(t, seed, func(s *model.Settings) { s.Targets, s.Rights = 12, true }, func(w *model.World) {
		const load, step = 0.5, 4 * time.Second
		w.Flow(load, 10*time.Second)
		w.Recorder.Reset()
		w.Flow(load, 2*step)
		w.SetWithdrawn("z0")
		out := time.Now()
		w.Flow(load, 2*step)
		for _, each := range w.Targets {
			if each.VM.Zone == "z0" && each.LatestStart.Sub(out) > 2*time.Second {
				late++
			}
		}
		for _, each := range w.Targets {
			if each.VM.Zone == "z0" {
				each.Restart()
			}
		}
		w.SetWithdrawn()
		w.Flow(load, 2*step)
		steady = w.Recorder.Between(0, 2*step, 99)
		worst = max(w.Recorder.Between(2*step, 4*step, 99), w.Recorder.Between(4*step, 6*step, 99))
	})
	return steady, worst, late
}

// runOverloadRecovery overloads the targets twofold for 10 s and returns from when on
// after it the p99 over 2 s is back within 1.2 of the steady one, that p99, and
// the p50 during the overload.
func runOverloadRecovery(t *testing.T, way model.Way, seed uint64) (back time.Duration, steady, during float64) {
	runWorld(t, seed, func(s *model.Settings) { s.Way = way }, func(w *model.World) {
		const load, over, rest = 0.75, 10 * time.Second, 20 * time.Second
		w.Flow(load, warmUpTime)
		w.Recorder.Reset()
		w.Flow(load, over)
		w.Flow(2, over)
		w.Flow(load, rest)
		steady = w.Recorder.Between(0, over, 99)
		during = w.Recorder.Between(over, 2*over, 50)
		const step, window = 500 * time.Millisecond, 2 * time.Second
		for back = 0; back < rest-window; back += step {
			from := 2*over + back
			if w.Recorder.Between(from, from+window, 99) <= 1.2*steady {
				break
			}
		}
	})
	return back, steady, during
}

// runColdStarts restarts targets without a word at random instants and returns how
// often one had more than it bears, and how many calls were served cold.
func runColdStarts(t *testing.T, seed uint64) (overruns, served int) {
	runWorld(t, seed, func(s *model.Settings) {
		s.Nodes, s.Targets, s.Rights = int(3+seed%15), int(3+seed%4), true
		s.Target.ColdSlots = int(1 + seed%2)
		s.Target.ColdPeriod = 400 * time.Millisecond
	}, func(w *model.World) {
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
		w.Flow(load, 600*time.Millisecond)
		for _, each := range w.Targets {
			overruns += each.Overruns
			served += each.ServedCold
		}
	})
	return overruns, served
}
