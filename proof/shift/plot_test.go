package shift

import (
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plottedNodes is the number of nodes of the scenarios that are plotted.
const plottedNodes = 13

// plotRows plots the share of calls answered in time against the load, a line for each
// strategy.
func plotRows(t *testing.T, rows []row, path string) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Calls answered in time, 13 nodes over 11 targets"
	p.X.Label.Text = "load, as a fraction of the slots' capacity at their mean slowdown"
	p.Y.Label.Text = "fraction of the calls"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, st := range strategies {
		if points := pointsOf(rows, st); len(points) > 0 {
			lines = append(lines, st.name, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		t.Fatal(err)
	}
}

// pointsOf returns a strategy's points in the scenarios that differ in load only.
func pointsOf(rows []row, st strategy) (points plotter.XYs) {
	for _, r := range rows {
		if r.VariesLoadOnly && r.Nodes == plottedNodes && r.Way == st.name {
			points = append(points, plotter.XY{X: r.Load, Y: r.InTime})
		}
	}
	return points
}
