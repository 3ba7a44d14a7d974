package shift

import (
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plottedNodes is the size of the fleet whose rows are drawn.
const plottedNodes = 13

// plotRows draws what each way answers in time against the load.
func plotRows(t *testing.T, rows []row, path string) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Calls answered in time, 13 nodes over 11 targets"
	p.X.Label.Text = "load, of what the slots bear at their mean pace"
	p.Y.Label.Text = "part of the calls"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, w := range strategies {
		if points := pointsOf(rows, w); len(points) > 0 {
			lines = append(lines, w.name, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		t.Fatal(err)
	}
}

// pointsOf returns a way's points in scenarios that differ in load only.
func pointsOf(rows []row, w strategy) (points plotter.XYs) {
	for _, r := range rows {
		if r.Plain && r.Nodes == plottedNodes && r.Way == w.name {
			points = append(points, plotter.XY{X: r.Load, Y: r.InTime})
		}
	}
	return points
}
