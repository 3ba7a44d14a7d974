package measure

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotmount/apricotmount/proof/model"
	"github.com/apricotmount/apricotmount/routing"
)

var (
	measureFlag = flag.Bool("measure", false, "run the measurements")
	seedsFlag   = flag.Int("seeds", 1, "how many seeds each case runs with")
)

// The ways that are measured, baselines first.
var (
	random     = model.Way{Name: "random", Chooser: func() routing.Chooser { return routing.Random{} }}
	roundRobin = model.Way{Name: "round robin", Chooser: func() routing.Chooser { return &routing.RoundRobin{} }}
	leastOwn   = model.Way{Name: "least own in-flight", Chooser: func() routing.Chooser { return routing.LeastOwn{} }}
	twoQueue   = model.Way{Name: "two choices, answers' load, targets queue", Chooser: func() routing.Chooser { return routing.TwoChoices{} }}
	leastQueue = model.Way{Name: "least load, answers' load, targets queue", Chooser: func() routing.Chooser { return routing.LeastLoad{} }}
	twoShed    = model.Way{Name: "two choices, answers' load, full target sheds", Sheds: true, Chooser: func() routing.Chooser { return routing.TwoChoices{} }}
	leastShed  = model.Way{Name: "least load, answers' load, full target sheds", Sheds: true, Chooser: func() routing.Chooser { return routing.LeastLoad{} }}
	exact      = model.Way{Name: "exact", Exact: true, Chooser: func() routing.Chooser { return routing.Exact{} }}
	product    = model.Way{Name: "the product: least load, sheds, hedges", Sheds: true, Hedge: true, Chooser: func() routing.Chooser { return routing.LeastLoad{} }}
	twoHedge   = model.Way{Name: "two choices, sheds, hedges", Sheds: true, Hedge: true, Chooser: func() routing.Chooser { return routing.TwoChoices{} }}
)

const (
	warmUp   = 2 * time.Second
	flowTime = 20 * time.Second
)

// steady runs one way at a load and returns what was recorded.
func steady(t *testing.T, way model.Way, seed uint64, nodes int, load float64) (r *model.Recorder) {
	synctest.Test(t, func(t *testing.T) {
		w := model.New(model.Settings{
			Seed: seed, Nodes: nodes, Targets: 10, Way: way, Target: model.DefaultTargets(), Profile: model.Urgent(way.Hedge),
		})
		w.Flow(load, warmUp)
		w.Recorder.Reset()
		w.Flow(load, flowTime)
		w.Close()
		if got := w.Checks.Total(); got != 0 {
			t.Errorf("promises broken: got %d, want 0", got)
		}
		r = w.Recorder
	})
	return r
}

func TestWays(t *testing.T) {
	if !*measureFlag {
		t.Skip("a measurement; run with -measure")
	}
	for _, way := range []model.Way{random, roundRobin, leastOwn, twoQueue, leastQueue, twoShed, leastShed, exact, twoHedge, product} {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			for _, load := range []float64{0.75, 0.9} {
				for _, nodes := range []int{17, 100} {
					r := steady(t, way, 1, nodes, load)
					fmt.Printf("%-48s load %.2f nodes %3d  p50 %6.1f p99 %6.1f p99.9 %6.1f lost %d attempts/call %.3f refusals/call %.3f %v\n", way.Name, load, nodes, r.Millis(50), r.Millis(99), r.Millis(99.9), r.Lost, float64(r.Attempts)/float64(r.Calls), float64(r.Refusals)/float64(r.Calls), r.Reasons)
				}
			}
		})
	}
}
