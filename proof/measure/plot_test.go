package measure

import (
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/apricotmount/apricotmount/proof/model"
)

// plotPercentiles are the percentiles of a latency curve, in percent.
var plotPercentiles = []float64{50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9}

// plotStrategies plots the latency percentiles of the main strategies at a load of 0.75 with
// 17 nodes.
func plotStrategies(t *testing.T, rows []*row, path string) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Latency at 0.75 of capacity, 17 nodes over 10 targets"
	p.X.Label.Text = "fraction of calls with a higher latency"
	p.Y.Label.Text = "latency in ms"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	var lines []any
	for _, strategy := range []model.Strategy{random, leastOwnAttempts, leastLoadQueueing, leastLoadShedding, product, exact} {
		r := find(rows, strategy, 0.75, 17)
		var points plotter.XYs
		for _, percent := range plotPercentiles {
			points = append(points, plotter.XY{X: 1 - percent/100, Y: r.millis(percent)})
		}
		lines = append(lines, strategy.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		t.Fatal(err)
	}
}
