package capacity

import (
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotControlTraffic plots the control traffic of one idle node against the number
// of nodes and writes control-traffic.svg into the directory out.
func plotControlTraffic(t *testing.T, r Result, out string) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Control traffic of an idle node"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "bytes per second"
	p.Y.Min = 0
	if err := plotutil.AddLinePoints(p, "sent to peers", plotPoints(r.SentBytesRateByNodes), "received from peers", plotPoints(r.ReceivedBytesRateByNodes), "read from the log", plotPoints(r.LogReadBytesRateByNodes)); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(8*vg.Inch, 5*vg.Inch, filepath.Join(out, "control-traffic.svg")); err != nil {
		t.Fatal(err)
	}
}

func plotPoints(s fittedLine) (out plotter.XYs) {
	for _, p := range s.Points {
		out = append(out, plotter.XY{X: p.X, Y: p.Y})
	}
	return out
}
