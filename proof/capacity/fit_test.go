package capacity

import (
	"math"
	"testing"
)

// point is one measurement: a quantity Y at the size X.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// fittedLine is a line fitted through points by least squares.
type fittedLine struct {
	PerUnit float64 `json:"per-unit"`
	Base    float64 `json:"base"`
	// Spread is the largest vertical distance of a point from the line, in percent
	// of the largest absolute Y.
	Spread float64 `json:"spread-percent"`
	Points []point `json:"points"`
}

// fit returns the least-squares line through the points. Callers pass at least
// three points.
func fit(points []point) (s fittedLine) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	s.Points = points
	s.PerUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.PerUnit*sx) / n
	largestY, deviation := 0.0, 0.0
	for _, p := range points {
		largestY = max(largestY, math.Abs(p.Y))
		deviation = max(deviation, math.Abs(p.Y-s.Base-s.PerUnit*p.X))
	}
	if largestY > 0 {
		s.Spread = 100 * deviation / largestY
	}
	return s
}

func TestFitOfExactLine(t *testing.T) {
	s := fit([]point{{1, 12}, {2, 14}, {10, 30}})
	if math.Abs(s.PerUnit-2) > 1e-9 || math.Abs(s.Base-10) > 1e-9 || s.Spread > 1e-6 {
		t.Errorf("fit: got %+v, want slope 2, base 10 and spread 0", s)
	}
}
